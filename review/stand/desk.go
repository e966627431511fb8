package main

// This file defines a target of a plain service that writes its answers byte by byte, so that it can
// send one of them twice.

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// deskOptions are the options of a desk.
type deskOptions struct {
	id, service, zone string
	// slots is the number of requests that run at once, queue the number of those that wait.
	slots, queue int
	// work is the time that one request takes.
	work func(path string) time.Duration
	// unframed is the number of answers after which one comes with neither a length nor chunks and
	// ends with its channel, zero for never.
	unframed int
	// duplicate is the number of answers after which one is sent twice, zero for never.
	duplicate int
}

// desk is a target of a plain service.
type desk struct {
	deskOptions
	log      *record
	listener net.Listener
	born     int64
	slot     chan struct{}
	mutex    sync.Mutex
	admitted int
	// answers counts all answers, ran those of requests that ran; due is set while an answer is due
	// to be sent twice, and copies counts those that were.
	answers, ran, copies int
	due                  bool
	// runs are the numbers of runs by attempt.
	runs map[string]int
}

func startDesk(fleet *fleet, log *record, options deskOptions) (*desk, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	desk := &desk{
		deskOptions: options, log: log, listener: listener, born: time.Now().UnixMilli(),
		slot: make(chan struct{}, options.slots), runs: make(map[string]int),
	}
	go desk.accept()
	body, err := json.Marshal(map[string]any{
		"service": options.service, "address": listener.Addr().String(), "zone": options.zone, "version": "v1",
		"slots": options.slots, "state": "ready", "coldLeftMs": 0, "seq": 1, "born": desk.born,
	})
	if err != nil {
		return nil, err
	}
	fleet.store.Put(names.Entries+options.id, body)
	return desk, nil
}

func (desk *desk) accept() {
	for {
		conn, err := desk.listener.Accept()
		if err != nil {
			return
		}
		go desk.serve(conn)
	}
}

// serve answers the requests of one connection one after the other.
func (desk *desk) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	// late is the copy of an answer that is sent once the next request has been read.
	late := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if late != "" {
			desk.log.line("%s: sends the copy of its last answer as attempt %s arrives", desk.id, request.Header.Get(names.RequestID))
			if _, err := io.WriteString(conn, late); err != nil {
				return
			}
			late = ""
		}
		answer, framed := desk.answer(request)
		if _, err := io.WriteString(conn, answer); err != nil || !framed {
			return
		}
		if desk.sendsTwice() {
			late = answer
		}
	}
}

// sendsTwice counts an answer after which the channel stays open, and reports whether it is sent twice.
func (desk *desk) sendsTwice() bool {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	twice := desk.due
	if twice {
		desk.due = false
		desk.copies++
	}
	return twice
}

// countAnswer counts an answer.
func (desk *desk) countAnswer() {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	desk.answers++
	desk.due = desk.due || desk.duplicate > 0 && desk.answers%desk.duplicate == 0
}

// answer runs a request unless the desk is full. It returns the answer, and false if that ends with
// the channel.
func (desk *desk) answer(request *http.Request) (string, bool) {
	defer desk.countAnswer()
	id := request.Header.Get(names.RequestID)
	echo, notRun := names.RequestID+": "+id+"\r\n", names.NotRun+": 1\r\n"
	switch expected := request.Header.Get(names.Target); {
	case id == "":
		desk.log.line("%s: rejects %s without an id", desk.id, request.URL.Path)
		return answerText("400 Bad Request", notRun, ""), true
	case expected != "" && expected != desk.id:
		return answerText("421 Misdirected Request", echo+"Instance-Id: "+desk.id+"\r\n", ""), true
	case !desk.admit():
		desk.log.line("%s: rejects attempt %s, which does not run", desk.id, id)
		return answerText("503 Service Unavailable", echo+notRun, ""), true
	}
	desk.slot <- struct{}{}
	desk.log.line("%s: runs attempt %s", desk.id, id)
	ran := desk.recordRun(id)
	time.Sleep(desk.work(request.URL.Path))
	<-desk.slot
	desk.release()
	headers, body := echo+names.Seal+": sealed-"+id+"\r\n", "answer to "+id
	if desk.unframed > 0 && ran%desk.unframed == 0 {
		return "HTTP/1.1 200 OK\r\n" + headers + "Connection: close\r\n\r\n" + body, false
	}
	return answerText("200 OK", headers, body), true
}

func answerText(status, headers, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
}

// admit admits a request unless the slots and the queue are full.
func (desk *desk) admit() bool {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	if desk.admitted >= desk.slots+desk.queue {
		return false
	}
	desk.admitted++
	return true
}

func (desk *desk) release() {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	desk.admitted--
}

// recordRun records a run and returns the number of runs.
func (desk *desk) recordRun(id string) int {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	desk.runs[id]++
	desk.ran++
	return desk.ran
}

// counts returns the number of answers, and of those that were sent twice.
func (desk *desk) counts() (answers, copies int) {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	return desk.answers, desk.copies
}

// runsOf returns how often an attempt ran here.
func (desk *desk) runsOf(id string) int {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	return desk.runs[id]
}
