// Package berylconn sends requests to targets over pooled HTTP/1.1 connections.
//
// A connection carries one request at a time and is reused only after the complete
// response to that request, with nothing left to read. Unlike http.Transport, the
// pool never retries a request: it returns the error together with whether a byte of
// the request may have reached the target, and the caller decides whether to retry.
// Requests and responses are written and parsed by net/http.
package berylconn
