package berylconn

// This file defines bounds on what targets send: bytes may come without end, in a head or a body.

import (
	"bytes"
	"io"
	"sync/atomic"

	"github.com/pkg/errors"

	"berylspoke"
)

const (
	// maxHeadBytes bounds the head of a response, and each of those before it that are skipped. Each line
	// counts as lineBytes more, which is about what a parsed one takes.
	maxHeadBytes = 64 << 10
	lineBytes    = 192
	// maxAskBytes bounds the body of the response to a small request.
	maxAskBytes = 256 << 10
	// minReadBytes is the size of the buffer that a body is read into at first.
	minReadBytes = 4 << 10
)

// ErrTooLarge means that a response, or a part of it, is longer than it may be.
var ErrTooLarge = errors.New("response is too large")

// ErrNoMemory means that responses take all the memory that they may.
var ErrNoMemory = errors.New("no memory is left for the response")

// Memory bounds the bytes that buffered responses take together. The zero value and nil have no bound.
type Memory struct {
	limit int64
	used  atomic.Int64
}

var _ berylspoke.MemoryBudget = (*Memory)(nil)

// NewMemory returns a bound in bytes, zero for none.
func NewMemory(limit int64) *Memory { return &Memory{limit: limit} }

// Reserve reserves bytes and returns ErrNoMemory if there is no room for them.
func (memory *Memory) Reserve(bytes int64) error {
	if memory == nil || memory.limit == 0 {
		return nil
	}
	if memory.used.Add(bytes) > memory.limit {
		memory.used.Add(-bytes)
		return ErrNoMemory
	}
	return nil
}

// Release gives back reserved bytes.
func (memory *Memory) Release(bytes int64) {
	if memory != nil && memory.limit > 0 {
		memory.used.Add(-bytes)
	}
}

// Used returns the number of bytes that are reserved.
func (memory *Memory) Used() int64 {
	if memory == nil {
		return 0
	}
	return memory.used.Load()
}

// ReadAll reads a body of at most limit bytes, and returns ErrTooLarge if it is longer. The capacity of
// the result stays reserved, also after an error. Memory may be nil for no bound.
func ReadAll(body io.Reader, limit int64, memory berylspoke.MemoryBudget) ([]byte, error) {
	var read []byte
	for {
		if len(read) == cap(read) {
			grown := max(2*cap(read), minReadBytes)
			if err := reserve(memory, int64(grown-cap(read))); err != nil {
				return read, err
			}
			read = append(make([]byte, 0, grown), read...)
		}
		count, err := body.Read(read[len(read):cap(read)])
		read = read[:len(read)+count]
		switch {
		case int64(len(read)) > limit:
			return read, ErrTooLarge
		case err == io.EOF:
			return read, nil
		case err != nil:
			return read, err
		}
	}
}

func reserve(memory berylspoke.MemoryBudget, bytes int64) error {
	if memory == nil {
		return nil
	}
	return memory.Reserve(bytes)
}

// readHead calls a function that reads the head of a response, of which no more than maxHeadBytes are
// read from the connection.
func (conn *conn) readHead(read func() error) error {
	conn.headLeft = maxHeadBytes
	defer func() { conn.headLeft = unlimited }()
	err := read()
	if conn.headLeft <= 0 && err != nil {
		return errors.WithMessage(ErrTooLarge, "head")
	}
	return err
}

// unlimited is the value of headLeft while no head is read.
const unlimited = -1

// readBounded is Read of the connection within the bound on the head.
func (conn *conn) readBounded(buffer []byte) (int, error) {
	if conn.headLeft == unlimited {
		return conn.Conn.Read(buffer)
	}
	if conn.headLeft == 0 {
		return 0, ErrTooLarge
	}
	count, err := conn.Conn.Read(buffer[:min(len(buffer), conn.headLeft)])
	// The last bytes may be those of a body, whose lines bound nothing as no more of the head is read.
	conn.headLeft = max(conn.headLeft-count-lineBytes*bytes.Count(buffer[:count], newline), 0)
	return count, err
}

var newline = []byte("\n")
