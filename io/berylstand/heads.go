package berylstand

// This file defines answers with odd or broken heads.

import (
	_ "embed"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

//go:embed heads.hujson
var headsText []byte

// Head is the head of an answer that a target sends.
type Head struct {
	Case string `json:"case"`
	// Head is the text without the last line. FIELDS in it stands for the fields of a sound answer, N for the
	// length of the body.
	Head string `json:"head"`
	// Ends is set if the target closes the connection after the answer.
	Ends bool `json:"ends"`
	// Broken is set if the answer is none.
	Broken bool `json:"broken"`
}

// Heads returns heads that are broken and odd ones that are sound.
func Heads() (heads []Head) {
	decodeCases(headsText, &heads)
	return heads
}

// decodeCases decodes a list of cases that is part of the program.
func decodeCases(text []byte, into any) {
	standard, err := hujson.Standardize(slices.Clone(text))
	if err == nil {
		err = json.Unmarshal(standard, into)
	}
	if err != nil {
		panic(err)
	}
}

// text returns an answer with the head.
func (head Head) text(fields, body string) string {
	return strings.NewReplacer("FIELDS", fields, "N\r\n", strconv.Itoa(len(body))+"\r\n").Replace(head.Head) + "\r\n" + body
}

// closeTimeout is how long a HeadTarget waits for its connection to be closed after a broken answer.
const closeTimeout = 5 * time.Second

// HeadTarget is a target whose answers have a certain head.
type HeadTarget struct {
	Head Head
	// Fields returns the lines of the fields that a sound answer to a request has, each with its end.
	Fields func(request *http.Request) string
	Body   string
	// Seen counts the requests, Closed the connections that were closed after a broken answer.
	Seen, Closed atomic.Int64
}

var _ http.Handler = (*HeadTarget)(nil)

// ServeHTTP implements http.Handler.
func (target *HeadTarget) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	conn, buffered, err := writer.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	for {
		target.Seen.Add(1)
		_, _ = io.WriteString(conn, target.Head.text(target.Fields(request), target.Body))
		if target.Head.Ends || target.Head.Broken {
			break
		}
		if request, err = http.ReadRequest(buffered.Reader); err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
	}
	if target.Head.Ends {
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(closeTimeout))
	if _, err := conn.Read(make([]byte, 1)); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		target.Closed.Add(1)
	}
}
