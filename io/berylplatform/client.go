package berylplatform

// This file defines the client of the platform's configuration service.

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"berylspoke"
	"berylspoke/io/berylresponse"
)

const (
	// watchWait is how long the platform may hold a watch open.
	watchWait = 20 * time.Second
	// responseSlack is how much longer than watchWait a request may take.
	responseSlack    = 5 * time.Second
	maxResponseBytes = 16 << 20
)

type wirePatch struct {
	Number uint64 `json:"number"`
	Body   []byte `json:"body"`
}

type wireVM struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failureDomain"`
	PeerAddress   string `json:"peerAddress"`
	CallAddress   string `json:"callAddress"`
	Leaving       bool   `json:"leaving"`
}

type wireVMs struct {
	Revision uint64   `json:"revision"`
	VMs      []wireVM `json:"vms"`
}

// Client implements berylspoke.Platform over HTTP.
type Client struct {
	baseURL string
	client  *http.Client
}

var _ berylspoke.Platform = (*Client)(nil)

// NewClient returns a client for the platform at the given address.
func NewClient(address string) *Client {
	return &Client{baseURL: "http://" + address, client: &http.Client{
		Timeout: watchWait + responseSlack, Transport: berylresponse.DefaultTransport,
	}}
}

// Patches returns the patches published after the given number. It waits for one, up to
// watchWait.
func (client *Client) Patches(ctx context.Context, after berylspoke.PatchNumber) ([]berylspoke.Published, error) {
	var patches []berylspoke.Published
	path := fmt.Sprintf("/v1/patches?after=%d&waitMs=%d", after, watchWait.Milliseconds())
	err := client.get(ctx, path, func(body io.Reader) error {
		err := decodePatches(json.NewDecoder(body), func(patch wirePatch) {
			patches = append(patches, berylspoke.Published{Number: berylspoke.PatchNumber(patch.Number), Body: patch.Body})
		})
		if len(patches) > 0 {
			// The rest follows: a response that is too long would be so again.
			return nil
		}
		return err
	})
	return patches, err
}

// decodePatches decodes a response with patches and passes each of them on as it is complete.
func decodePatches(decoder *json.Decoder, add func(wirePatch)) error {
	for depth := 0; ; {
		token, err := decoder.Token()
		if err != nil {
			return err
		}
		switch token {
		case json.Delim('{'):
			depth++
		case json.Delim('}'):
			if depth--; depth == 0 {
				return nil
			}
		case json.Delim('['):
			for decoder.More() {
				var patch wirePatch
				if err := decoder.Decode(&patch); err != nil {
					return err
				}
				add(patch)
			}
		}
	}
}

// VMs returns the list of VMs and its revision. It waits for a revision that differs from
// the given one, up to watchWait.
func (client *Client) VMs(ctx context.Context, after uint64) ([]berylspoke.VM, uint64, error) {
	var response wireVMs
	path := fmt.Sprintf("/v1/vms?after=%d&waitMs=%d", after, watchWait.Milliseconds())
	if err := client.get(ctx, path, func(body io.Reader) error { return json.NewDecoder(body).Decode(&response) }); err != nil {
		return nil, 0, err
	}
	vms := make([]berylspoke.VM, len(response.VMs))
	for i, vm := range response.VMs {
		vms[i] = berylspoke.VM{
			ID: berylspoke.VMID(vm.ID), FailureDomain: berylspoke.FailureDomain(vm.FailureDomain),
			PeerAddress: vm.PeerAddress, CallAddress: vm.CallAddress, Leaving: vm.Leaving,
		}
	}
	return vms, response.Revision, nil
}

// get makes one call and decodes its response, or as much of it as fits the limit.
func (client *Client) get(ctx context.Context, path string, decode func(body io.Reader) error) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, client.baseURL+path, nil)
	if err != nil {
		return errors.Wrap(err, "platform request cannot be created")
	}
	response, err := client.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "platform request failed")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("platform responded with status %s", response.Status)
	}
	return errors.Wrap(decode(io.LimitReader(response.Body, maxResponseBytes)), "platform response is malformed")
}
