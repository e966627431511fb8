package main

// This file defines the record of what was sent, answered and run.

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes lines with the seconds since its start to a file, and the lines that matter to a
// reader to standard output too.
type record struct {
	mutex   sync.Mutex
	file    *os.File
	buffer  *bufio.Writer
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, buffer: bufio.NewWriter(file), started: time.Now()}, nil
}

// line writes a line to the file.
func (log *record) line(format string, values ...any) string {
	text := fmt.Sprintf("%8.3f ", time.Since(log.started).Seconds()) + fmt.Sprintf(format, values...)
	log.mutex.Lock()
	defer log.mutex.Unlock()
	_, _ = fmt.Fprintln(log.buffer, text)
	return text
}

// print writes a line to the file and to standard output.
func (log *record) print(format string, values ...any) { fmt.Println(log.line(format, values...)) }

func (log *record) close() {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	_ = log.buffer.Flush()
	_ = log.file.Close()
}
