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
)

const (
	// watchTime is how long the platform may hold a watch open.
	watchTime = 20 * time.Second
	// answerTime is how much longer an answer may take.
	answerTime = 5 * time.Second
	maxAnswer  = 16 << 20
)

type wirePatch struct {
	Number uint64 `json:"number"`
	Body   []byte `json:"body"`
}

type wirePatches struct {
	Patches []wirePatch `json:"patches"`
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
	base   string
	client *http.Client
}

var _ berylspoke.Platform = (*Client)(nil)

// NewClient returns a client of the platform at the given address.
func NewClient(address string) *Client {
	return &Client{base: "http://" + address, client: &http.Client{Timeout: watchTime + answerTime}}
}

// Patches returns patches published after the given number, waiting for one.
func (client *Client) Patches(ctx context.Context, after berylspoke.EntryNumber) ([]berylspoke.Published, error) {
	var answer wirePatches
	path := fmt.Sprintf("/v1/patches?after=%d&waitMs=%d", after, watchTime.Milliseconds())
	if err := client.get(ctx, path, &answer); err != nil {
		return nil, err
	}
	entries := make([]berylspoke.Published, len(answer.Patches))
	for i, patch := range answer.Patches {
		entries[i] = berylspoke.Published{Number: berylspoke.EntryNumber(patch.Number), Body: patch.Body}
	}
	return entries, nil
}

// VMs returns the list of VMs once its revision differs from the given one.
func (client *Client) VMs(ctx context.Context, after uint64) ([]berylspoke.VM, uint64, error) {
	var answer wireVMs
	path := fmt.Sprintf("/v1/vms?after=%d&waitMs=%d", after, watchTime.Milliseconds())
	if err := client.get(ctx, path, &answer); err != nil {
		return nil, 0, err
	}
	vms := make([]berylspoke.VM, len(answer.VMs))
	for i, vm := range answer.VMs {
		vms[i] = berylspoke.VM{
			ID: berylspoke.VMID(vm.ID), FailureDomain: berylspoke.FailureDomain(vm.FailureDomain),
			PeerAddress: vm.PeerAddress, CallAddress: vm.CallAddress, Leaving: vm.Leaving,
		}
	}
	return vms, answer.Revision, nil
}

func (client *Client) get(ctx context.Context, path string, answer any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, client.base+path, nil)
	if err != nil {
		return errors.Wrap(err, "platform request cannot be made")
	}
	response, err := client.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "platform does not answer")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("platform answers %s", response.Status)
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(response.Body, maxAnswer)).Decode(answer), "platform's answer is garbled")
}
