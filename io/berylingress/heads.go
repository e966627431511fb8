package berylingress

// This file defines what heads take in memory.

import (
	"bytes"
	"net/http"
)

// headBytes returns what some bytes of a head take once they are parsed.
func headBytes(data []byte) int64 {
	return int64(len(data))*byteFactor + int64(bytes.Count(data, newline))*lineBytes
}

var newline = []byte("\n")

// parsedBytes returns what a parsed head takes.
func parsedBytes(header http.Header) int64 {
	var size, lines int
	for name, values := range header {
		size += len(name)
		lines += len(values)
		for _, value := range values {
			size += len(value)
		}
	}
	return int64(size)*byteFactor + int64(lines)*lineBytes
}
