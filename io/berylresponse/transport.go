package berylresponse

// This file defines a transport of net/http whose responses are valid.

import (
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/pkg/errors"
)

// Transport is an http.Transport that returns ErrInvalidHead in place of a response whose head, or that of an
// interim response before it, is not valid. A response without framing fails at its end if the request was not
// written whole or, over a Conn, not received whole.
type Transport struct{ *http.Transport }

var _ http.RoundTripper = Transport{}

// DefaultTransport uses the connections of http.DefaultTransport.
var DefaultTransport = Transport{http.DefaultTransport.(*http.Transport)}

// RoundTrip implements http.RoundTripper.
func (transport Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var conn *Conn
	written := make(chan error, 1)
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { conn, _ = info.Conn.(*Conn) },
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			// The transport may write a request again.
			select {
			case <-written:
			default:
			}
			written <- info.Err
		},
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error { return checkNames(http.Header(header)) },
	})
	response, err := transport.Transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	err = CheckHead(response)
	if err == nil && response.StatusCode == http.StatusSwitchingProtocols {
		err = errors.WithMessage(ErrInvalidHead, "protocol that was not asked for")
	}
	if err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	RequireSent(response, func() error {
		select {
		case err := <-written:
			if err == nil && conn != nil {
				err = conn.CheckReceived()
			}
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	})
	return response, nil
}
