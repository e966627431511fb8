package berylresponse

// This file defines which responses are complete whose body ends with their connection.

import (
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

// Framed reports whether a response has a length or is chunked. The body of any other response
// ends with its connection, so that its end does not show whether it is complete.
func Framed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// RequireSent makes the body of a response without framing fail with io.ErrUnexpectedEOF where it ends
// if sent, which is called once then, returns why the request was not sent whole. Whoever ends a
// connection before it has the request has broken off.
func RequireSent(response *http.Response, sent func() error) {
	if !Framed(response) && response.Body != http.NoBody {
		response.Body = &unframedBody{response.Body, sync.OnceValue(sent)}
	}
}

type unframedBody struct {
	io.ReadCloser
	sent func() error
}

// Read implements io.Reader.
func (body *unframedBody) Read(buffer []byte) (int, error) {
	count, err := body.ReadCloser.Read(buffer)
	if err != io.EOF {
		return count, err
	}
	if cause := body.sent(); cause != nil {
		err = errors.Wrapf(io.ErrUnexpectedEOF, "response ended before its request (%v)", cause)
	}
	return count, err
}
