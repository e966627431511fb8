package main

// This file tests requests and patches end to end with separate processes.

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"berylspoke"
	"berylspoke/core/berylconfig"
	"berylspoke/io/berylcall"
	"berylspoke/io/berylfleet"
	"berylspoke/io/berylserve"
	"berylspoke/io/berylstand"
)

// A caller streams a draft, files a booking twice under one id and reads an address,
// and an operator's patch comes into force at every daemon.
func TestWholePath(t *testing.T) {
	fleet := startProcesses(t, berylfleet.Parish(), nil)
	ctx := testContext(t)
	client := fleet.client("small-1")

	prompt := "An issue on the harvest. [tokens=30]"
	var text strings.Builder
	tokens, err := client.Stream(ctx, berylcall.GenerationRequest{Service: fleet.Plan.ModelService, Prompt: prompt}, func(piece string, _ berylspoke.Tokens) {
		text.WriteString(piece)
	})
	require.NoError(t, err)
	require.Equal(t, berylspoke.Tokens(30), tokens)
	require.Equal(t, berylstand.OutputText(prompt, 0), text.String())

	id, owner, err := client.NewID(ctx)
	require.NoError(t, err)
	first := client.CallOnce(ctx, fleet.Plan.PlainService, "/bookings", id, owner, "text/plain", []byte("three hundred copies"))
	second := client.CallOnce(ctx, fleet.Plan.PlainService, "/bookings", id, owner, "text/plain", []byte("three hundred copies"))
	require.NoError(t, first.Err)
	require.Equal(t, first, second)
	maxRuns, requests := fleet.ExecutionCounts()
	require.Equal(t, 1, maxRuns)
	require.Equal(t, 1, requests)

	status := client.Get(ctx, fleet.Plan.PlainService, "/addresses/12")
	require.NoError(t, status.Err)
	require.Contains(t, string(status.Body), "filed")

	fleet.publish(&berylconfig.Patch{Base: 1, Organisations: map[berylspoke.OrganisationID]*berylconfig.Organisation{"newcomer": {Weight: 1}}})
	for _, vm := range fleet.Plan.VMs() {
		fleet.waitState(vm.ID, func(state berylserve.Dump) bool { return state.Version == 2 })
	}
}
