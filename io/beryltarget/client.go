package beryltarget

// This file defines the client of targets and how its errors become verdicts.

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"berylspoke"
)

// RequestHeader carries the request id to targets. It is not one of the header
// names that make net/http repeat a request by itself.
const RequestHeader = "Berylspoke-Request"

const (
	dialTimeout  = 2 * time.Second
	loadTimeout  = 2 * time.Second
	orderTimeout = 5 * time.Second
	maxAnswer    = 8 << 20
	maxReport    = 64 << 10
)

// Addresses tells where targets listen.
type Addresses interface {
	// Address returns the address of a target, or "".
	Address(target berylspoke.TargetID) string
}

// Options are the times within which a target must show progress.
type Options struct {
	// FirstToken is the wait for the first token before the target is probed.
	FirstToken time.Duration
	// Progress is the silence between tokens before the target is probed.
	Progress time.Duration
	// Call is the longest time of a call of a plain service.
	Call time.Duration
}

// DefaultOptions returns the product's times.
func DefaultOptions() Options {
	return Options{FirstToken: 2 * time.Second, Progress: time.Second, Call: 20 * time.Second}
}

// Client implements berylspoke.Targets.
type Client struct {
	options   Options
	addresses Addresses
	streams   *http.Client
	calls     *http.Client
	control   *http.Client
	// ControlBytes counts the bytes of load reports, probes and orders.
	ControlBytes atomic.Uint64
}

var _ berylspoke.Targets = (*Client)(nil)

// NewClient returns a client of the targets at the given addresses.
func NewClient(options Options, addresses Addresses) *Client {
	client := &Client{options: options, addresses: addresses}
	dialer := &net.Dialer{Timeout: dialTimeout}
	// Streams and calls use a connection of their own. A kept one may have been
	// forgotten by something on the way; net/http would then either hang or
	// repeat the request unasked, and nobody could say whether it ran.
	single := func() *http.Transport {
		return &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true}
	}
	client.streams = &http.Client{Transport: single()}
	client.calls = &http.Client{Transport: single(), CheckRedirect: stayHere}
	kept := &http.Transport{
		DialContext:     (&countingDialer{dialer, &client.ControlBytes}).dial,
		IdleConnTimeout: 30 * time.Second, DisableCompression: true,
	}
	client.control = &http.Client{Transport: kept}
	return client
}

// stayHere hands a redirect to the caller; following it would send the request
// a second time.
func stayHere(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func (client *Client) url(target berylspoke.TargetID, path string) (string, error) {
	address := client.addresses.Address(target)
	if address == "" {
		return "", &berylspoke.Refusal{
			Verdict: berylspoke.NotRun, Reason: berylspoke.ReasonNoTarget,
			Cause: errors.Errorf("target %s has no address", target),
		}
	}
	return "http://" + address + path, nil
}

// failure turns an error of net/http into a refusal.
func failure(err error) *berylspoke.Refusal {
	verdict := berylspoke.MayHaveRun
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		// No connection was made, so no byte can have reached the target.
		verdict = berylspoke.NotRun
	}
	return &berylspoke.Refusal{Verdict: verdict, Reason: berylspoke.ReasonTarget, Cause: err}
}

// Call implements berylspoke.Targets.
func (client *Client) Call(ctx context.Context, target berylspoke.TargetID, call berylspoke.Call) (berylspoke.Answer, error) {
	url, err := client.url(target, call.Path)
	if err != nil {
		return berylspoke.Answer{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, client.options.Call)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, call.Method, url, bytes.NewReader(call.Body))
	if err != nil {
		return berylspoke.Answer{}, &berylspoke.Refusal{Verdict: berylspoke.NotRun, Reason: berylspoke.ReasonMalformed, Cause: err}
	}
	// Without GetBody net/http has nothing to repeat the request with.
	request.GetBody = nil
	request.Header.Set(RequestHeader, string(call.Request))
	request.Header.Set("Content-Type", call.Type)
	response, err := client.calls.Do(request)
	if err != nil {
		return berylspoke.Answer{}, failure(err)
	}
	defer func() { _ = response.Body.Close() }()
	if echoed := response.Header.Get(RequestHeader); echoed != string(call.Request) {
		return berylspoke.Answer{}, &berylspoke.Refusal{
			Verdict: berylspoke.MayHaveRun, Reason: berylspoke.ReasonTarget,
			Cause: errors.Errorf("answer names request %.80q", echoed),
		}
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return berylspoke.Answer{}, failure(err)
	}
	return berylspoke.Answer{Status: response.StatusCode, Type: response.Header.Get("Content-Type"), Body: body}, nil
}

type wireLoad struct {
	Running int              `json:"running"`
	Waiting int              `json:"waiting"`
	Held    berylspoke.Order `json:"held"`
}

// Load implements berylspoke.Targets.
func (client *Client) Load(ctx context.Context, target berylspoke.TargetID) (berylspoke.LoadReport, error) {
	report, _, err := client.Report(ctx, target)
	return report, err
}

// Report returns a target's load and what the engine holds.
func (client *Client) Report(ctx context.Context, target berylspoke.TargetID) (berylspoke.LoadReport, berylspoke.Order, error) {
	var load wireLoad
	if err := client.exchange(ctx, target, http.MethodGet, "/v1/load", nil, &load); err != nil {
		return berylspoke.LoadReport{}, berylspoke.Order{}, err
	}
	return berylspoke.LoadReport{Running: load.Running, Waiting: load.Waiting}, load.Held, nil
}

// Order implements berylspoke.Targets.
func (client *Client) Order(ctx context.Context, target berylspoke.TargetID, order berylspoke.Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return errors.Wrap(err, "order cannot be encoded")
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return client.exchange(ctx, target, http.MethodPost, "/v1/orders", body, nil)
}

// exchange sends one control request.
func (client *Client) exchange(ctx context.Context, target berylspoke.TargetID, method, path string, body []byte, answer any) error {
	url, err := client.url(target, path)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "control request cannot be made")
	}
	request.Header.Set("User-Agent", "")
	response, err := client.control.Do(request)
	if err != nil {
		return failure(err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxReport))
	if err != nil {
		return failure(err)
	}
	if response.StatusCode != http.StatusOK {
		return &berylspoke.Refusal{
			Verdict: berylspoke.MayHaveRun, Reason: berylspoke.ReasonTarget,
			Cause: errors.Errorf("target %s answers %s", target, response.Status),
		}
	}
	if answer == nil {
		return nil
	}
	return errors.Wrapf(json.Unmarshal(content, answer), "report of target %s is garbled", target)
}
