package beryllog

// This file defines the log and its bounded writer.

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// bufferBytes bounds the lines that wait to be written: about a second of
	// the busiest process.
	bufferBytes = 512 << 10
	// gatherFor is how long lines gather before they are written together; a
	// write costs as much as some dozen lines.
	gatherFor = 200 * time.Millisecond
	// writeBytes bounds one write: a pipe takes so much as a whole, and collectors
	// that read less than a large write lose the lines at its end.
	writeBytes = 4 << 10
)

// Writer is a bounded writer that drops what it has no room for.
type Writer struct {
	out     io.Writer
	mutex   sync.Mutex
	waiting []byte
	dropped int
	wake    chan struct{}
}

var _ zapcore.WriteSyncer = (*Writer)(nil)

// NewWriter returns a writer in front of another one.
func NewWriter(out io.Writer) *Writer {
	writer := &Writer{out: out, wake: make(chan struct{}, 1)}
	go writer.run()
	return writer
}

// Write implements io.Writer; it never waits and never fails.
func (writer *Writer) Write(line []byte) (int, error) {
	writer.mutex.Lock()
	if len(writer.waiting)+len(line) > bufferBytes {
		writer.dropped++
	} else {
		writer.waiting = append(writer.waiting, line...)
	}
	writer.mutex.Unlock()
	select {
	case writer.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer: it writes what waits.
func (writer *Writer) Sync() error {
	return writer.flush()
}

func (writer *Writer) take() []byte {
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	lines := writer.waiting
	writer.waiting = nil
	if writer.dropped > 0 {
		lines = append(lines, fmt.Sprintf("{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"count\":%d}\n", writer.dropped)...)
		writer.dropped = 0
	}
	return lines
}

func (writer *Writer) run() {
	for range writer.wake {
		time.Sleep(gatherFor)
		// There is nowhere to report a failure of the log itself.
		_ = writer.flush()
	}
}

// flush writes the lines that wait, whole ones in each write.
func (writer *Writer) flush() error {
	lines := writer.take()
	for len(lines) > 0 {
		size := writeSize(lines)
		if _, err := writer.out.Write(lines[:size]); err != nil {
			return err
		}
		lines = lines[size:]
	}
	return nil
}

// writeSize returns the size of the next write: as many whole lines as it may hold, but
// at least one.
func writeSize(lines []byte) int {
	if len(lines) <= writeBytes {
		return len(lines)
	}
	if end := bytes.LastIndexByte(lines[:writeBytes], '\n'); end >= 0 {
		return end + 1
	}
	if end := bytes.IndexByte(lines, '\n'); end >= 0 {
		return end + 1
	}
	return len(lines)
}

// New returns a log of JSON lines from the given level on.
func New(out io.Writer, level zapcore.Level) *zap.Logger {
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.ISO8601TimeEncoder
	encoding.EncodeDuration = zapcore.MillisDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoding), NewWriter(out), level))
}
