package berylcall

// This file defines the client and its resolution of daemons' addresses.

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"berylspoke"
	"berylspoke/io/berylresponse"
)

const (
	verdictHeader = "Berylspoke-Verdict"
	idHeader      = "Berylspoke-Id"
	// resolveTimeout bounds one request for addresses or for the outcome of an id.
	resolveTimeout = 3 * time.Second
	maxAnswerBytes = 16 << 20
	// maxControlBytes bounds an answer with addresses or a refusal, maxHeaderBytes a header.
	maxControlBytes = 1 << 20
	maxHeaderBytes  = 64 << 10
)

type wireResolve struct {
	Addresses []string `json:"addresses"`
	KeepMs    int      `json:"keepMs"`
	Ticket    string   `json:"ticket"`
	Owner     string   `json:"owner"`
	Calls     uint32   `json:"calls"`
}

type wireError struct {
	Reason     string `json:"reason"`
	Verdict    string `json:"verdict"`
	RetryAfter int64  `json:"retryAfterMs"`
	Message    string `json:"message"`
}

// Failure is a refusal that a daemon answered with.
type Failure struct {
	Reason     berylspoke.Reason
	Verdict    berylspoke.Verdict
	RetryAfter time.Duration
	Message    string
}

// Error implements error.
func (failure *Failure) Error() string {
	return fmt.Sprintf("%s: %s", failure.Verdict, failure.Message)
}

func (wire wireError) failure() *Failure {
	return &Failure{
		Reason: berylspoke.Reason(wire.Reason), Verdict: parseVerdict(wire.Verdict),
		RetryAfter: time.Duration(wire.RetryAfter) * time.Millisecond, Message: wire.Message,
	}
}

func parseVerdict(text string) berylspoke.Verdict {
	for _, verdict := range []berylspoke.Verdict{berylspoke.NotRun, berylspoke.Ran} {
		if verdict.String() == text {
			return verdict
		}
	}
	return berylspoke.MayHaveRun
}

// Options are the settings of a client.
type Options struct {
	// Seeds are addresses at which some of the daemons serve callers.
	Seeds []string
	Key   string
	// SeedsOnly makes the client send generation requests and reads to the seeds in turn
	// instead of to resolved addresses.
	SeedsOnly bool
}

// Client sends the requests of one organisation to the fleet.
type Client struct {
	options    Options
	http       *http.Client
	mutex      sync.Mutex
	resolution wireResolve
	validUntil time.Time
	// nextNumber numbers the calls under the current ticket.
	nextNumber uint32
	nextSeed   int
}

// New returns a client that resolves addresses on its first request.
func New(options Options) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second, MaxResponseHeaderBytes: maxHeaderBytes}
	return &Client{options: options, http: &http.Client{Transport: berylresponse.Transport{Transport: transport}}}
}

// resolve returns the cached addresses. When they have expired, it asks the seeds and the
// last addresses for new ones, in turn.
func (client *Client) resolve(ctx context.Context) (wireResolve, error) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if time.Now().Before(client.validUntil) {
		return client.resolution, nil
	}
	seeds := append(append([]string(nil), client.options.Seeds...), client.resolution.Addresses...)
	var lastErr error
	for range seeds {
		seed := seeds[client.nextSeed%len(seeds)]
		client.nextSeed++
		resolution, err := client.resolveAt(ctx, seed)
		if err != nil {
			lastErr = err
			continue
		}
		client.resolution, client.nextNumber = resolution, 0
		client.validUntil = time.Now().Add(time.Duration(resolution.KeepMs) * time.Millisecond)
		return resolution, nil
	}
	return wireResolve{}, errors.Wrap(lastErr, "no daemon returned addresses")
}

func (client *Client) resolveAt(ctx context.Context, seed string) (wireResolve, error) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	response, err := client.send(ctx, http.MethodGet, seed, "/v1/resolve", "", "", nil)
	if err != nil {
		return wireResolve{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return wireResolve{}, readFailure(response)
	}
	var resolution wireResolve
	err = json.NewDecoder(io.LimitReader(response.Body, maxControlBytes)).Decode(&resolution)
	return resolution, errors.Wrap(err, "malformed answer to a request for addresses")
}

// InvalidateAddresses expires the cached addresses and the ticket, so that the next
// request resolves new ones.
func (client *Client) InvalidateAddresses() {
	client.mutex.Lock()
	client.validUntil = time.Time{}
	client.mutex.Unlock()
}

// address returns the address for an attempt of a generation request or a read.
func (client *Client) address(ctx context.Context, attempt int) (string, error) {
	if client.options.SeedsOnly {
		return client.options.Seeds[attempt%len(client.options.Seeds)], nil
	}
	resolution, err := client.resolve(ctx)
	if err != nil {
		return "", err
	}
	if len(resolution.Addresses) == 0 {
		return resolution.Owner, nil
	}
	return resolution.Addresses[attempt%len(resolution.Addresses)], nil
}

func (client *Client) send(ctx context.Context, method, address, path, id, contentType string, body io.Reader) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return nil, errors.Wrap(err, "cannot create the request")
	}
	request.Header.Set("Authorization", "Bearer "+client.options.Key)
	if contentType != "" {
		request.Header.Set("Content-Type", contentType)
	}
	if id != "" {
		request.Header.Set(idHeader, id)
	}
	return client.http.Do(request)
}

// readFailure returns the refusal in an unsuccessful answer.
func readFailure(response *http.Response) *Failure {
	var wire struct {
		Error wireError `json:"error"`
	}
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxControlBytes))
	if json.Unmarshal(body, &wire) == nil && wire.Error.Reason != "" {
		return wire.Error.failure()
	}
	return &Failure{
		Verdict: parseVerdict(response.Header.Get(verdictHeader)),
		Message: fmt.Sprintf("status %s: %.200s", response.Status, body),
	}
}
