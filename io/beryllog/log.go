package beryllog

// This file defines the logger and its bounded writer.

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// maxBufferBytes bounds the buffered lines, to about one second of the log of the
	// busiest process.
	maxBufferBytes = 512 << 10
	// flushDelay is how long lines are collected before they are written together,
	// because a write costs as much as some dozen lines.
	flushDelay = 200 * time.Millisecond
	// maxWriteBytes bounds one write. A pipe accepts up to this size atomically, and a
	// collector that reads only part of a larger write loses the lines at its end.
	maxWriteBytes = 4 << 10
	// syncTimeout bounds the time to write the last lines of a process: nobody may read them.
	syncTimeout = 100 * time.Millisecond
)

var errSyncTimeout = errors.New("log was not written in time")

// Writer buffers lines and drops those for which it has no room.
type Writer struct {
	out     io.Writer
	mutex   sync.Mutex
	buffer  []byte
	dropped int
	wake    chan struct{}
	// flushing is held while lines are written.
	flushing sync.Mutex
}

var _ zapcore.WriteSyncer = (*Writer)(nil)

// NewWriter returns a writer that buffers lines for another one.
func NewWriter(out io.Writer) *Writer {
	writer := &Writer{out: out, wake: make(chan struct{}, 1)}
	go writer.run()
	return writer
}

// Write implements io.Writer. It neither blocks nor fails.
func (writer *Writer) Write(line []byte) (int, error) {
	writer.mutex.Lock()
	if len(writer.buffer)+len(line) > maxBufferBytes {
		writer.dropped++
	} else {
		writer.buffer = append(writer.buffer, line...)
	}
	writer.mutex.Unlock()
	select {
	case writer.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer by writing the buffered lines, for a bounded time.
func (writer *Writer) Sync() error {
	written := make(chan error, 1)
	go func() { written <- writer.flush() }()
	select {
	case err := <-written:
		return err
	case <-time.After(syncTimeout):
		return errSyncTimeout
	}
}

func (writer *Writer) takeBuffer() []byte {
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	lines := writer.buffer
	writer.buffer = nil
	if writer.dropped > 0 {
		lines = append(lines, fmt.Sprintf("{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"count\":%d}\n", writer.dropped)...)
		writer.dropped = 0
	}
	return lines
}

func (writer *Writer) run() {
	for range writer.wake {
		time.Sleep(flushDelay)
		// A failure to write the log cannot be logged.
		_ = writer.flush()
	}
}

// flush writes the buffered lines, with only whole lines in each write.
func (writer *Writer) flush() error {
	writer.flushing.Lock()
	defer writer.flushing.Unlock()
	lines := writer.takeBuffer()
	for len(lines) > 0 {
		size := writeSize(lines)
		if _, err := writer.out.Write(lines[:size]); err != nil {
			return err
		}
		lines = lines[size:]
	}
	return nil
}

// writeSize returns the size of the next write: as many whole lines as fit, but at least
// one.
func writeSize(lines []byte) int {
	if len(lines) <= maxWriteBytes {
		return len(lines)
	}
	if end := bytes.LastIndexByte(lines[:maxWriteBytes], '\n'); end >= 0 {
		return end + 1
	}
	if end := bytes.IndexByte(lines, '\n'); end >= 0 {
		return end + 1
	}
	return len(lines)
}

// New returns a logger that writes JSON lines of at least the given level.
func New(out io.Writer, level zapcore.Level) *zap.Logger {
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.ISO8601TimeEncoder
	encoding.EncodeDuration = zapcore.MillisDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoding), NewWriter(out), level))
}
