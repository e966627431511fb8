package berylresponse

// This file defines which heads of responses are valid.

import (
	"bufio"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrInvalidHead means that the head of a response is not valid HTTP/1.
var ErrInvalidHead = errors.New("response has an invalid head")

// The range of valid statuses, of interim responses too.
const (
	minStatus = 100
	maxStatus = 599
)

// oldVersion begins a response of HTTP/1.0, which has no chunks. The parser drops the field that announces them
// there without a trace, and takes their marks for the body.
const oldVersion = "HTTP/1.0"

// Read reads the head of a response as http.ReadResponse does, and returns ErrInvalidHead unless it is valid.
// Nothing can be read after the body of a response of HTTP/1.0.
func Read(reader *bufio.Reader, request *http.Request) (*http.Response, error) {
	old, err := begins(reader, oldVersion)
	if err != nil {
		return nil, err
	}
	if old {
		_, _ = reader.Discard(len(oldVersion))
		reader = bufio.NewReader(io.MultiReader(strings.NewReader("HTTP/1.1"), reader))
	}
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return nil, err
	}
	if old && len(response.TransferEncoding) > 0 {
		return nil, errors.WithMessage(ErrInvalidHead, "chunks in HTTP/1.0")
	}
	if old {
		response.Proto, response.ProtoMinor, response.Close = oldVersion, 0, true
	}
	if err := CheckHead(response); err != nil {
		return nil, err
	}
	return response, nil
}

// begins reports whether what is read next begins with a text. It waits for no more than shows that it does not.
func begins(reader *bufio.Reader, text string) (bool, error) {
	for at := range len(text) {
		begin, err := reader.Peek(at + 1)
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return false, err
		}
		if begin[at] != text[at] {
			return false, nil
		}
	}
	return true, nil
}

// CheckHead returns ErrInvalidHead, with what is wrong, unless the head of a response is valid.
func CheckHead(response *http.Response) error {
	switch {
	case response.ProtoMajor != 1:
		return errors.WithMessagef(ErrInvalidHead, "version %.20q", response.Proto)
	case response.StatusCode < minStatus || response.StatusCode > maxStatus:
		return errors.WithMessagef(ErrInvalidHead, "status %.20q", response.Status)
	case !httpguts.ValidHeaderFieldValue(response.Status):
		return errors.WithMessagef(ErrInvalidHead, "reason phrase %.40q", response.Status)
	}
	return checkNames(response.Header)
}

func checkNames(header http.Header) error {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.WithMessagef(ErrInvalidHead, "field name %.40q", name)
		}
	}
	return nil
}
