//go:build crowds

package berylcrowds

// This file defines the callers of a crowd and what they send.

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/tailscale/hujson"

	"berylspoke/io/berylresponse"
)

const (
	// sendTimeout bounds the time in which a caller of a crowd sends what it has to send.
	sendTimeout = 20 * time.Second
	// answerTimeout bounds the wait for an answer that has arrived if there is one.
	answerTimeout = 20 * time.Millisecond
)

// crowd describes callers that all do the same.
type crowd struct {
	Name string `json:"name"`
	// Listener is the one that the callers connect to.
	Listener    string `json:"listener"`
	Connections int    `json:"connections"`
	// SpacingMillis is the time between the beginnings of two callers. What arrives at once may be rejected as
	// the processor is overloaded, and takes no memory then.
	SpacingMillis int `json:"spacingMillis"`
	// Silent callers send nothing.
	Silent bool `json:"silent"`
	// Before is the number of whole requests that are sent and answered first.
	Before int    `json:"before"`
	Method string `json:"method"`
	Path   string `json:"path"`
	// Lines is the style of the lines that fill the head up to HeadBytes. CutHead leaves out its end.
	Lines     string `json:"lines"`
	HeadBytes int    `json:"headBytes"`
	CutHead   bool   `json:"cutHead"`
	// BodyBytes is the size of the body, of which the last Missing are not sent. With ChunkBytes it is sent
	// in chunks, with PieceBytes in pieces with pauses.
	BodyBytes  int `json:"bodyBytes"`
	Missing    int `json:"missing"`
	ChunkBytes int `json:"chunkBytes"`
	PieceBytes int `json:"pieceBytes"`
	// BodyPrefix begins the body.
	BodyPrefix string `json:"bodyPrefix"`
	// TrailerBytes is the size of the trailer after the chunks.
	TrailerBytes int `json:"trailerBytes"`
	// Next are the bytes of another head of the same style that follow a whole request at once.
	Next int `json:"next"`
	// Again is how often a caller whose connection ends comes back.
	Again int `json:"again"`
}

// readCrowds reads the crowds of one test.
func readCrowds(t *testing.T, test string) []crowd {
	t.Helper()
	body, err := os.ReadFile(filepath.Join("testdata", "crowds.hujson"))
	require.NoError(t, err)
	body, err = hujson.Standardize(body)
	require.NoError(t, err)
	var crowds map[string][]crowd
	require.NoError(t, json.Unmarshal(body, &crowds))
	require.NotEmpty(t, crowds[test])
	return crowds[test]
}

// caller is one caller of a crowd.
type caller struct {
	crowd   *crowd
	address string
	// headers are lines of the head that the listener asks for.
	headers string
	id      string
	conn    net.Conn
}

// run sends the request, and again on new connections if the crowd says so. Errors are ignored: a caller that
// does not behave may be refused, and its connection closed.
func (caller *caller) run() {
	for range 1 + caller.crowd.Again {
		if caller.conn != nil {
			_ = caller.conn.Close()
		}
		conn, err := dialSmall(caller.address)
		if err != nil {
			return
		}
		caller.conn = conn
		_ = conn.SetDeadline(time.Now().Add(sendTimeout))
		if caller.crowd.Silent {
			return
		}
		if caller.send() == nil {
			return
		}
	}
}

// dialSmall opens a connection whose receive buffer is small, so that an answer that is not read stays with
// its sender.
func dialSmall(address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: sendTimeout, Control: smallReceiveBuffer}
	return dialer.Dial("tcp", address)
}

func (caller *caller) send() error {
	for range caller.crowd.Before {
		if err := caller.sendWhole(); err != nil {
			return err
		}
	}
	writer := bufio.NewWriterSize(caller.conn, max(caller.crowd.PieceBytes, 64<<10))
	head := caller.head(caller.id)
	if caller.crowd.CutHead {
		head = strings.TrimSuffix(head, "\r\n")
	}
	_, _ = writer.WriteString(head)
	if err := caller.writeBody(writer); err != nil {
		return err
	}
	if next := caller.crowd.Next; next > 0 {
		_, _ = writer.WriteString(caller.head(caller.id + "-next")[:next])
	}
	return writer.Flush()
}

// sendWhole sends a whole small request and reads its answer.
func (caller *caller) sendWhole() error {
	if _, err := fmt.Fprintf(caller.conn, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s-before\r\n%s\r\n",
		http.MethodGet, caller.crowd.Path, hostName, caller.id, caller.headers); err != nil {
		return err
	}
	response, err := berylresponse.Read(bufio.NewReader(caller.conn), nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// head returns the head of the request, filled up to its size.
func (caller *caller) head(id string) string {
	crowd := caller.crowd
	var head strings.Builder
	_, _ = fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\n%s", crowd.Method, crowd.Path, hostName, id, caller.headers)
	switch {
	case crowd.ChunkBytes > 0:
		head.WriteString("Transfer-Encoding: chunked\r\n")
	case crowd.BodyBytes > 0:
		_, _ = fmt.Fprintf(&head, "Content-Length: %d\r\n", crowd.BodyBytes)
	}
	head.WriteString(fillerLines(crowd.Lines, crowd.HeadBytes-head.Len()-len("\r\n")))
	head.WriteString("\r\n")
	return head.String()
}

// fillerLines returns lines of a style that have a size at most.
func fillerLines(style string, size int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*^_`|~"
	var lines strings.Builder
	for i := 0; style != ""; i++ {
		line := fillerLine(style, string([]byte{letters[i%len(letters)], letters[i/len(letters)%len(letters)]}), size)
		if lines.Len()+len(line) > size {
			break
		}
		lines.WriteString(line)
	}
	return lines.String()
}

// fillerLine returns a line of a style; only a long line has the whole size.
func fillerLine(style, name string, size int) string {
	switch style {
	case "short":
		return name + ":\r\n"
	case "bare":
		return name + ":\n"
	case "values":
		return name + ": 1\r\n"
	case "same":
		return "x:\r\n"
	case "folded":
		return "x: y\r\n z\r\n"
	default:
		return "x: " + strings.Repeat("y", max(size-len("x: \r\n"), 0)) + "\r\n"
	}
}

// writeBody writes the body but its last bytes.
func (caller *caller) writeBody(writer *bufio.Writer) error {
	crowd := caller.crowd
	left := crowd.BodyBytes - crowd.Missing
	size := crowd.ChunkBytes
	if size == 0 {
		size = max(left, 1)
	}
	data := bytes.Repeat([]byte{'b'}, min(size, max(left, 1)))
	first := append([]byte(crowd.BodyPrefix), data...)
	for sent := false; left > 0; sent = true {
		part := data[:min(left, size)]
		if !sent {
			part = first[:len(part)]
		}
		left -= len(part)
		if crowd.ChunkBytes > 0 {
			// The last chunk of a body that stops short is announced in full.
			announced := len(part)
			if left == 0 {
				announced += crowd.Missing
			}
			_, _ = fmt.Fprintf(writer, "%x\r\n", announced)
		}
		if err := caller.writePieces(writer, part); err != nil {
			return err
		}
		if crowd.ChunkBytes > 0 && (left > 0 || crowd.Missing == 0) {
			_, _ = writer.WriteString("\r\n")
		}
	}
	if crowd.ChunkBytes > 0 && crowd.Missing == 0 {
		_, _ = writer.WriteString("0\r\n" + fillerLines(crowd.Lines, crowd.TrailerBytes) + "\r\n")
	}
	return nil
}

// writePieces writes a part of the body, in pieces if the crowd says so.
func (caller *caller) writePieces(writer *bufio.Writer, part []byte) error {
	piece := caller.crowd.PieceBytes
	if piece == 0 {
		_, err := writer.Write(part)
		return err
	}
	for len(part) > 0 {
		count := min(piece, len(part))
		if _, err := writer.Write(part[:count]); err != nil {
			return err
		}
		if err := writer.Flush(); err != nil {
			return err
		}
		part = part[count:]
		time.Sleep(time.Millisecond)
	}
	return nil
}

// promisesNotRun reports whether an answer has arrived that promises that the request does not run.
func (caller *caller) promisesNotRun() bool {
	if caller.conn == nil {
		return false
	}
	_ = caller.conn.SetReadDeadline(time.Now().Add(answerTimeout))
	response, err := berylresponse.Read(bufio.NewReader(caller.conn), nil)
	if err != nil {
		return false
	}
	switch response.StatusCode {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// status waits for the answer and returns its status, zero if there is none.
func (caller *caller) status() int {
	if caller.conn == nil {
		return 0
	}
	_ = caller.conn.SetReadDeadline(time.Now().Add(sendTimeout))
	response, err := berylresponse.Read(bufio.NewReader(caller.conn), nil)
	if err != nil {
		return 0
	}
	return response.StatusCode
}

// play sends all that a crowd sends, and returns its callers, whose connections stay open.
func play(crowd *crowd, address func(listener string) string, headers string) []*caller {
	callers := make([]*caller, crowd.Connections)
	var wait sync.WaitGroup
	for i := range callers {
		callers[i] = &caller{crowd: crowd, address: address(crowd.Listener), headers: headers, id: fmt.Sprintf("crowd-%s-%d", crowd.Name, i)}
		wait.Go(callers[i].run)
		time.Sleep(time.Duration(crowd.SpacingMillis) * time.Millisecond)
	}
	wait.Wait()
	return callers
}

// refused returns the ids of the requests that were refused with the promise that they do not run.
func refused(callers []*caller) (ids []string) {
	var wait sync.WaitGroup
	var mutex sync.Mutex
	for _, caller := range callers {
		wait.Go(func() {
			if caller.promisesNotRun() {
				mutex.Lock()
				defer mutex.Unlock()
				ids = append(ids, caller.id)
			}
		})
	}
	wait.Wait()
	return ids
}

func leave(callers []*caller) {
	for _, caller := range callers {
		if caller.conn != nil {
			_ = caller.conn.Close()
		}
	}
}
