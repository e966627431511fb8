package berylstand

// This file defines targets that answer while a request is uploaded to them.

import (
	"bufio"
	"context"
	_ "embed"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

//go:embed uploads.hujson
var uploadsText []byte

// Upload is how a target answers a request that is uploaded to it.
type Upload struct {
	Case string `json:"case"`
	// BodyBytes is the size of the body of the request; Reads is set if the target reads it before it answers.
	BodyBytes int  `json:"bodyBytes"`
	Reads     bool `json:"reads"`
	// Framing is length, chunks or none.
	Framing string `json:"framing"`
	// Half is set if the target sends the first half of the answer only.
	Half bool `json:"half"`
	// End is how the connection ends: reset, close or halfClose.
	End string `json:"end"`
}

// Uploads returns kinds of uploads.
func Uploads() (uploads []Upload) {
	decodeCases(uploadsText, &uploads)
	return uploads
}

const (
	// uploadBufferBytes is the size of the receive buffer of a target's connections.
	uploadBufferBytes = 16 << 10
	// uploadPause is the time in which an upload fills the buffers of both ends, and lingerTime how long a
	// half-closed connection stays open.
	uploadPause = 50 * time.Millisecond
	lingerTime  = 300 * time.Millisecond
	// uploadTimeout bounds the time of one connection.
	uploadTimeout = 20 * time.Second
)

// UploadTarget is a target with small receive buffers.
type UploadTarget struct {
	Upload Upload
	// Fields returns the lines of the fields that a sound answer to a request has, each with its end.
	Fields func(request *http.Request) string
	// Halves are the two halves of the body of the answers.
	Halves [2]string
	// Reports is the answer to requests with the method GET.
	Reports string
	// Seen counts the other requests.
	Seen     atomic.Int64
	listener net.Listener
}

// Listen accepts connections until Close is called, and returns the address.
func (target *UploadTarget) Listen() (string, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, uploadBufferBytes)
		})
		if err != nil {
			return err
		}
		return failed
	}}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	target.listener = listener
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go target.serve(conn.(*net.TCPConn))
		}
	}()
	return listener.Addr().String(), nil
}

// Close accepts no more connections.
func (target *UploadTarget) Close() { _ = target.listener.Close() }

// text returns what the target sends.
func (target *UploadTarget) text(fields string) string {
	head, sent := "HTTP/1.1 200 OK\r\n"+fields, target.Halves[:]
	if target.Upload.Half {
		sent = sent[:1]
	}
	switch target.Upload.Framing {
	case "length":
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(target.Halves[0])+len(target.Halves[1])) + strings.Join(sent, "")
	case "chunks":
		text := head + "Transfer-Encoding: chunked\r\n\r\n"
		for _, half := range sent {
			text += fmt.Sprintf("%x\r\n%s\r\n", len(half), half)
		}
		if !target.Upload.Half {
			text += "0\r\n\r\n"
		}
		return text
	}
	return head + "\r\n" + strings.Join(sent, "")
}

// serve answers one request.
func (target *UploadTarget) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(uploadTimeout))
	request, err := http.ReadRequest(bufio.NewReaderSize(conn, 1024))
	if err != nil {
		return
	}
	if request.Method == http.MethodGet {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(target.Reports), target.Reports)
		return
	}
	target.Seen.Add(1)
	if target.Upload.Reads {
		_, _ = io.Copy(io.Discard, request.Body)
	}
	_, _ = io.WriteString(conn, target.text(target.Fields(request)))
	time.Sleep(uploadPause)
	switch target.Upload.End {
	case "reset":
		_ = conn.SetLinger(0)
	case "halfClose":
		_ = conn.CloseWrite()
		time.Sleep(lingerTime)
	}
}
