package beryltarget

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke"
	"berylspoke/core/berylnode"
	"berylspoke/io/berylstand"
)

// fixedLocator finds one target.
type fixedLocator struct{ address string }

func (locator fixedLocator) Address(berylspoke.TargetID) string { return locator.address }

// adviceClient returns a client of a fake engine, and what the client was asked for.
func adviceClient(t *testing.T, options berylstand.EngineOptions) (*Client, *berylstand.Engine, chan berylnode.Advice) {
	engine := berylstand.NewEngine(options)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	server, err := berylstand.Listen(address, engine.Handler())
	require.NoError(t, err)
	t.Cleanup(server.Close)
	advice := make(chan berylnode.Advice, 100)
	clientOptions := DefaultOptions()
	clientOptions.FirstTokenTimeout, clientOptions.ProgressTimeout = 50*time.Millisecond, 50*time.Millisecond
	clientOptions.OnAdvice = func(asked berylnode.Advice) { advice <- asked }
	return NewClient(clientOptions, fixedLocator{address}), engine, advice
}

func generate(client *Client, id berylspoke.RequestID) error {
	generation := berylspoke.GenerationRequest{Request: id, Prompt: "p [tokens=10]"}
	return client.Stream(context.Background(), "e", generation, func(berylspoke.Chunk) error { return nil })
}

// Guards against requests, probes and reports of load that reach an engine while it has
// asked for rest.
func TestNothingIsSentToAnEngineThatRests(t *testing.T) {
	const rest = 600 * time.Millisecond
	client, engine, advice := adviceClient(t, berylstand.DefaultEngineOptions())
	engine.Shed(rest)
	err := generate(client, "r-1")
	require.Equal(t, berylspoke.NotRun, berylspoke.VerdictOf(err))
	require.Equal(t, rest, (<-advice).Rest)
	engine.Shed(0)
	seen := len(engine.Arrivals())
	for end := time.Now().Add(rest - 100*time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		require.ErrorIs(t, generate(client, "r-2"), errClosed)
		_, err := client.Load(context.Background(), "e")
		require.ErrorIs(t, err, errClosed)
	}
	require.Len(t, engine.Arrivals(), seen)
	time.Sleep(150 * time.Millisecond)
	require.NoError(t, generate(client, "r-3"))
}

// Guards against a stream that ends because its engine, which has asked for rest meanwhile,
// gets no probes.
func TestSlowStreamOfAnEngineThatRestsGoesOn(t *testing.T) {
	options := berylstand.DefaultEngineOptions()
	options.StepTime = 150 * time.Millisecond
	client, engine, _ := adviceClient(t, options)
	ended := make(chan error, 1)
	go func() { ended <- generate(client, "r-1") }()
	require.Eventually(t, func() bool { return len(engine.Arrivals()) > 0 }, 5*time.Second, 5*time.Millisecond)
	engine.Shed(10 * time.Second)
	require.Error(t, generate(client, "r-2"))
	require.NoError(t, <-ended)
}

// Guards against an engine that gets requests, beside its running streams, after it has said
// that it leaves. Its load is still read.
func TestEngineThatSaysItLeavesGetsNoMoreRequests(t *testing.T) {
	client, engine, advice := adviceClient(t, berylstand.DefaultEngineOptions())
	engine.Leave()
	require.NoError(t, generate(client, "r-1"))
	require.True(t, (<-advice).Leaving)
	seen := len(engine.Arrivals())
	require.ErrorIs(t, generate(client, "r-2"), errClosed)
	require.Len(t, engine.Arrivals(), seen)
	_, err := client.Load(context.Background(), "e")
	require.NoError(t, err)
}

// Guards against a request that is sent after its target asked for rest while the connection
// was opened.
func TestConnectionToAnEngineThatRestsIsNotUsed(t *testing.T) {
	client, engine, _ := adviceClient(t, berylstand.DefaultEngineOptions())
	address := client.locator.Address("e")
	client.closed.record(berylnode.Advice{Target: "e", Address: address, Rest: time.Minute, At: time.Now()})
	conn, err := client.dialOpen(&net.Dialer{})(withDestination(context.Background(), "e"), "tcp", address)
	require.ErrorIs(t, err, errClosed)
	require.Nil(t, conn)
	require.Empty(t, engine.Arrivals())
}

// Guards against malformed delays that close a target for ever, or not at all.
func TestRestIsParsed(t *testing.T) {
	for value, expected := range map[string]time.Duration{"0.5": 500 * time.Millisecond, "3": 3 * time.Second, "0": 0, "1e9": maxRest} {
		rest, usable := parseRest(value)
		require.True(t, usable, value)
		require.Equal(t, expected, rest, value)
	}
	for _, value := range []string{"-1", "NaN", "Inf", "soon", ""} {
		_, usable := parseRest(value)
		require.False(t, usable, value)
	}
}
