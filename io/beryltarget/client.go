package beryltarget

// This file defines the client of targets and the verdicts of its errors.

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"berylspoke"
	"berylspoke/core/berylnode"
	"berylspoke/io/berylconn"
	"berylspoke/io/berylresponse"
)

// RequestHeader carries the request id to targets. It is none of the header names that
// make net/http retry a request by itself.
const RequestHeader = "Berylspoke-Request"

const (
	dialTimeout    = 2 * time.Second
	controlTimeout = 2 * time.Second
	orderTimeout   = 5 * time.Second
	maxAnswerBytes = 8 << 20
	// maxHeaderBytes bounds the header of an answer.
	maxHeaderBytes = 64 << 10
	maxReportBytes = 64 << 10
)

// Locator returns the addresses of targets.
type Locator interface {
	// Address returns the address of a target, or "" if it is not known.
	Address(target berylspoke.TargetID) string
}

// Options are the timeouts of requests to targets.
type Options struct {
	// FirstTokenTimeout is the wait for the first token after which the engine is probed.
	FirstTokenTimeout time.Duration
	// ProgressTimeout is the wait for the next chunk after which the engine is probed.
	ProgressTimeout time.Duration
	// CallTimeout bounds a call to a plain service.
	CallTimeout time.Duration
	// OnAdvice is called with what targets ask for in answers.
	OnAdvice func(berylnode.Advice)
}

// DefaultOptions returns the default timeouts.
func DefaultOptions() Options {
	return Options{
		FirstTokenTimeout: 2 * time.Second, ProgressTimeout: time.Second, CallTimeout: 20 * time.Second,
		OnAdvice: func(berylnode.Advice) {},
	}
}

// Client implements berylspoke.Targets.
type Client struct {
	options Options
	locator Locator
	streams *http.Client
	calls   *http.Client
	control *http.Client
	closed  closedTargets
	// ControlBytes counts the bytes of load reports and orders in both directions.
	ControlBytes atomic.Uint64
}

var _ berylspoke.Targets = (*Client)(nil)

// NewClient returns a client of the targets that locator finds.
func NewClient(options Options, locator Locator) *Client {
	client := &Client{options: options, locator: locator, closed: closedTargets{advice: make(map[berylspoke.TargetID]berylnode.Advice)}}
	dialer := &net.Dialer{Timeout: dialTimeout}
	// Each stream and call opens a new connection. A middlebox may have dropped the
	// state of a reused one; net/http would then hang or retry the request by itself,
	// and whether it ran could not be determined.
	newTransport := func() http.RoundTripper {
		return berylresponse.Transport{Transport: &http.Transport{
			DialContext: client.dialOpen(dialer), DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
		}}
	}
	client.streams = &http.Client{Transport: newTransport()}
	client.calls = &http.Client{Transport: newTransport(), CheckRedirect: useLastResponse}
	keepAlive := &http.Transport{
		DialContext:     (&countingDialer{dialer, &client.ControlBytes}).dial,
		IdleConnTimeout: 30 * time.Second, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
	}
	client.control = &http.Client{Transport: berylresponse.Transport{Transport: keepAlive}}
	return client
}

// useLastResponse returns a redirect to the caller; following it would send the request
// a second time.
func useLastResponse(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func (client *Client) url(target berylspoke.TargetID, path string) (string, error) {
	address := client.locator.Address(target)
	if address == "" {
		return "", &berylspoke.Refusal{
			Verdict: berylspoke.NotRun, Reason: berylspoke.ReasonNoTarget,
			Cause: errors.Errorf("target %s has no address", target),
		}
	}
	return "http://" + address + path, nil
}

// requestURL is url for a request, which a closed target does not get.
func (client *Client) requestURL(target berylspoke.TargetID, path string) (string, error) {
	if client.closed.refuses(time.Now(), target, client.locator.Address(target)) {
		return "", closedRefusal(target)
	}
	return client.url(target, path)
}

// controlURL is url for a control request, which a target that rests does not get.
func (client *Client) controlURL(target berylspoke.TargetID, path string) (string, error) {
	if client.closed.rests(time.Now(), target, client.locator.Address(target)) {
		return "", closedRefusal(target)
	}
	return client.url(target, path)
}

// targetRefusal returns the refusal for an error of a request to a target.
func targetRefusal(err error) *berylspoke.Refusal {
	var refusal *berylspoke.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	verdict := berylspoke.MayHaveRun
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		// No connection was opened, so no byte can have reached the target.
		verdict = berylspoke.NotRun
	}
	return &berylspoke.Refusal{Verdict: verdict, Reason: berylspoke.ReasonTargetFailed, Cause: err}
}

// Call implements berylspoke.Targets.
func (client *Client) Call(ctx context.Context, target berylspoke.TargetID, call berylspoke.Call) (berylspoke.Answer, error) {
	url, err := client.requestURL(target, call.Path)
	if err != nil {
		return berylspoke.Answer{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, client.options.CallTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(withDestination(ctx, target), call.Method, url, bytes.NewReader(call.Body))
	if err != nil {
		return berylspoke.Answer{}, &berylspoke.Refusal{Verdict: berylspoke.NotRun, Reason: berylspoke.ReasonMalformed, Cause: err}
	}
	// Without GetBody, net/http cannot retry the request.
	request.GetBody = nil
	request.Header.Set(RequestHeader, string(call.Request))
	request.Header.Set("Content-Type", call.ContentType)
	response, err := client.calls.Do(request)
	if err != nil {
		return berylspoke.Answer{}, targetRefusal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if echoed := response.Header.Get(RequestHeader); echoed != string(call.Request) {
		return berylspoke.Answer{}, &berylspoke.Refusal{
			Verdict: berylspoke.MayHaveRun, Reason: berylspoke.ReasonTargetFailed,
			Cause: errors.Errorf("answer names request %.80q", echoed),
		}
	}
	if client.followAdvice(target, call.Request, response) {
		return berylspoke.Answer{}, closedRefusal(target)
	}
	body, err := berylconn.ReadAll(response.Body, maxAnswerBytes, nil)
	if err != nil {
		return berylspoke.Answer{}, targetRefusal(err)
	}
	return berylspoke.Answer{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body}, nil
}

type wireLoad struct {
	Running int                    `json:"running"`
	Waiting int                    `json:"waiting"`
	Held    berylspoke.EngineOrder `json:"held"`
}

// Load implements berylspoke.Targets.
func (client *Client) Load(ctx context.Context, target berylspoke.TargetID) (berylspoke.LoadReport, error) {
	report, _, err := client.Report(ctx, target)
	return report, err
}

// Report returns the load of a target and the order that its engine reports as current.
func (client *Client) Report(ctx context.Context, target berylspoke.TargetID) (berylspoke.LoadReport, berylspoke.EngineOrder, error) {
	var load wireLoad
	if err := client.exchange(ctx, target, http.MethodGet, "/v1/load", nil, &load); err != nil {
		return berylspoke.LoadReport{}, berylspoke.EngineOrder{}, err
	}
	return berylspoke.LoadReport{Running: load.Running, Waiting: load.Waiting}, load.Held, nil
}

// Order implements berylspoke.Targets.
func (client *Client) Order(ctx context.Context, target berylspoke.TargetID, order berylspoke.EngineOrder) error {
	body, err := json.Marshal(order)
	if err != nil {
		return errors.Wrap(err, "cannot encode the order")
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return client.exchange(ctx, target, http.MethodPost, "/v1/orders", body, nil)
}

// exchange sends one control request.
func (client *Client) exchange(ctx context.Context, target berylspoke.TargetID, method, path string, body []byte, answer any) error {
	url, err := client.controlURL(target, path)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "cannot create the control request")
	}
	request.Header.Set("User-Agent", "")
	response, err := client.control.Do(request)
	if err != nil {
		return targetRefusal(err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := berylconn.ReadAll(response.Body, maxReportBytes, nil)
	if err != nil {
		return targetRefusal(err)
	}
	if response.StatusCode != http.StatusOK {
		return &berylspoke.Refusal{
			Verdict: berylspoke.MayHaveRun, Reason: berylspoke.ReasonTargetFailed,
			Cause: errors.Errorf("target %s answered a control request with %s", target, response.Status),
		}
	}
	if answer == nil {
		return nil
	}
	return errors.Wrapf(json.Unmarshal(content, answer), "malformed answer of target %s to a control request", target)
}
