package berylcall

// This file defines the client and how it finds daemons.

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
)

const (
	verdictHeader = "Berylspoke-Verdict"
	idHeader      = "Berylspoke-Id"
	// resolveTimeout bounds the wait for one daemon's addresses.
	resolveTimeout = 3 * time.Second
	maxAnswer      = 16 << 20
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

// Failure is a refusal as the fleet reported it.
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
	// Seeds are the callers' addresses of any daemons.
	Seeds []string
	Key   string
	// Fixed makes the client use the first seed and resolve nothing.
	Fixed bool
}

// Client calls the fleet for one organisation.
type Client struct {
	options Options
	http    *http.Client
	mutex   sync.Mutex
	found   wireResolve
	until   time.Time
	used    uint32
	turn    int
}

// New returns a client that has resolved nothing yet.
func New(options Options) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second}
	return &Client{options: options, http: &http.Client{Transport: transport}}
}

// resolve returns the addresses in force, asking any seed when they are old.
func (client *Client) resolve(ctx context.Context) (wireResolve, error) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if time.Now().Before(client.until) {
		return client.found, nil
	}
	seeds := append(append([]string(nil), client.options.Seeds...), client.found.Addresses...)
	var last error
	for range seeds {
		seed := seeds[client.turn%len(seeds)]
		client.turn++
		found, err := client.ask(ctx, seed)
		if err != nil {
			last = err
			continue
		}
		client.found, client.used = found, 0
		client.until = time.Now().Add(time.Duration(found.KeepMs) * time.Millisecond)
		return found, nil
	}
	return wireResolve{}, errors.Wrap(last, "no daemon tells an address")
}

func (client *Client) ask(ctx context.Context, seed string) (wireResolve, error) {
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
	var found wireResolve
	err = json.NewDecoder(response.Body).Decode(&found)
	return found, errors.Wrap(err, "addresses are garbled")
}

// Forget makes the next request resolve anew.
func (client *Client) Forget() {
	client.mutex.Lock()
	client.until = time.Time{}
	client.mutex.Unlock()
}

// address returns the address for the given attempt of a draft or a read.
func (client *Client) address(ctx context.Context, attempt int) (string, error) {
	if client.options.Fixed {
		return client.options.Seeds[attempt%len(client.options.Seeds)], nil
	}
	found, err := client.resolve(ctx)
	if err != nil {
		return "", err
	}
	if len(found.Addresses) == 0 {
		return found.Owner, nil
	}
	return found.Addresses[attempt%len(found.Addresses)], nil
}

func (client *Client) send(ctx context.Context, method, address, path, id, kind string, body io.Reader) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return nil, errors.Wrap(err, "request cannot be made")
	}
	request.Header.Set("Authorization", "Bearer "+client.options.Key)
	if kind != "" {
		request.Header.Set("Content-Type", kind)
	}
	if id != "" {
		request.Header.Set(idHeader, id)
	}
	return client.http.Do(request)
}

// readFailure reads the refusal of an answer that is not a success.
func readFailure(response *http.Response) *Failure {
	var wire struct {
		Error wireError `json:"error"`
	}
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if json.Unmarshal(body, &wire) == nil && wire.Error.Reason != "" {
		return wire.Error.failure()
	}
	return &Failure{
		Verdict: parseVerdict(response.Header.Get(verdictHeader)),
		Message: fmt.Sprintf("status %s: %.200s", response.Status, body),
	}
}
