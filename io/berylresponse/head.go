package berylresponse

// This file defines which heads of responses are valid.

import (
	"bufio"
	"net/http"

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

// Read reads the head of a response as http.ReadResponse does, and returns ErrInvalidHead unless it is valid.
func Read(reader *bufio.Reader, request *http.Request) (*http.Response, error) {
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return nil, err
	}
	if err := CheckHead(response); err != nil {
		return nil, err
	}
	return response, nil
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
