package berylingress

// This file defines bodies that are read as far as there is room.

import (
	"bytes"
	"io"
	"time"

	"github.com/pkg/errors"
)

const (
	// minPartBytes and maxPartBytes bound the parts in which a body is kept. A part is as large as what has
	// arrived before, so that a body that stops takes at most twice of what has arrived.
	minPartBytes = 4 << 10
	maxPartBytes = 256 << 10
)

// ErrNoRoom means that callers hold all the memory that they may.
var ErrNoRoom = errors.New("callers hold too much memory")

// BodyBytes is the body of a request, in parts that are never copied. The zero value is empty.
type BodyBytes struct {
	parts [][]byte
	size  int64
}

// Len returns the size of the body.
func (body *BodyBytes) Len() int64 { return body.size }

// Parts returns the body in parts.
func (body *BodyBytes) Parts() [][]byte { return body.parts }

// Bytes returns the body in one piece, which is a copy if it has several parts.
func (body *BodyBytes) Bytes() []byte {
	if len(body.parts) == 1 {
		return body.parts[0]
	}
	return bytes.Join(body.parts, nil)
}

// Reader returns a reader of the whole body.
func (body *BodyBytes) Reader() io.Reader { return &bodyReader{parts: body.parts} }

// bodyReader reads the parts of a body.
type bodyReader struct {
	parts [][]byte
	// offset is that in the first part.
	offset int
}

// Read implements io.Reader.
func (reader *bodyReader) Read(buffer []byte) (int, error) {
	if len(reader.parts) == 0 {
		return 0, io.EOF
	}
	count := copy(buffer, reader.parts[0][reader.offset:])
	if reader.offset += count; reader.offset == len(reader.parts[0]) {
		reader.parts, reader.offset = reader.parts[1:], 0
	}
	return count, nil
}

// Fill reads a body whose length is announced, or negative if it is not. It returns ErrNoRoom once there is no
// room for more, and io.ErrUnexpectedEOF if the body ends before its length.
func (body *BodyBytes) Fill(hold *Hold, source io.Reader, length int64) error {
	for body.size != length {
		size := min(max(body.size, minPartBytes), maxPartBytes)
		if length >= 0 {
			size = min(size, length-body.size)
		}
		if !hold.GrowBody(time.Now(), size) {
			return ErrNoRoom
		}
		err := body.readPart(source, size)
		switch {
		case err == io.EOF && (length < 0 || body.size == length):
			return nil
		case err == io.EOF:
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
	}
	return readEnd(source)
}

// readPart reads a part of a size, or what comes before an error of the source.
func (body *BodyBytes) readPart(source io.Reader, size int64) error {
	part := make([]byte, size)
	read := 0
	var err error
	for read < len(part) && err == nil {
		var count int
		count, err = source.Read(part[read:])
		read += count
	}
	if read > 0 {
		body.parts = append(body.parts, part[:read])
		body.size += int64(read)
	}
	return err
}

// readEnd reads the end of a body of which all bytes were read: only then is its source at its end.
func readEnd(source io.Reader) error {
	var probe [1]byte
	count, err := source.Read(probe[:])
	if err == io.EOF && count == 0 {
		return nil
	}
	return err
}
