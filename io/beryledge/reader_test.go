package beryledge

import (
	"context"
	"encoding/json"
	"os"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"berylspoke"
	"berylspoke/core/berylfeed"
)

type scriptedPosition struct {
	Era      uint64 `json:"era"`
	Revision uint64 `json:"revision"`
}

func (scripted scriptedPosition) position() berylspoke.Position {
	return berylspoke.Position{Era: berylspoke.Era(scripted.Era), Revision: berylspoke.Revision(scripted.Revision)}
}

// scriptedCall is a call that is expected, and its answer; without an era the answer does not
// state it.
type scriptedCall struct {
	Call  string  `json:"call"`
	After uint64  `json:"after"`
	Era   *uint64 `json:"era"`
	AsOf  uint64  `json:"asOf"`
	Fails string  `json:"fails"`
}

// readScript is one scripted run of a reader.
type readScript struct {
	Name  string           `json:"name"`
	Known scriptedPosition `json:"known"`
	Reads []struct {
		Calls []scriptedCall   `json:"calls"`
		AsOf  scriptedPosition `json:"asOf"`
		Fails bool             `json:"fails"`
	} `json:"reads"`
}

// scriptedStore answers the calls of a script.
type scriptedStore struct {
	t     *testing.T
	calls []scriptedCall
}

func (store *scriptedStore) List(context.Context, string) (berylspoke.StoreAnswer, error) {
	return store.answer("list", 0)
}

func (store *scriptedStore) Watch(_ context.Context, _ string, after berylspoke.Revision, _ time.Duration) (berylspoke.StoreAnswer, error) {
	return store.answer("watch", after)
}

func (store *scriptedStore) answer(call string, after berylspoke.Revision) (berylspoke.StoreAnswer, error) {
	require.NotEmpty(store.t, store.calls, "%s after %d", call, after)
	next := store.calls[0]
	store.calls = store.calls[1:]
	require.Equal(store.t, next.Call, call)
	require.EqualValues(store.t, next.After, after)
	era := berylspoke.Era(0)
	if next.Era != nil {
		era = berylspoke.Era(*next.Era)
	}
	switch next.Fails {
	case "gone":
		return berylspoke.StoreAnswer{}, &berylspoke.StoreError{Era: era, EraUnknown: next.Era == nil, Cause: berylspoke.ErrHistoryGone}
	case "unreadable":
		return berylspoke.StoreAnswer{}, &berylspoke.StoreError{Era: era, EraUnknown: next.Era == nil, Unreadable: true, Cause: errors.New("malformed")}
	case "busy":
		return berylspoke.StoreAnswer{}, &berylspoke.StoreError{Era: era, EraUnknown: next.Era == nil, Cause: errors.New("busy")}
	}
	asOf := berylspoke.Position{Era: era, Revision: berylspoke.Revision(next.AsOf)}
	return berylspoke.StoreAnswer{Items: []berylspoke.Item{{Key: "t/a", Position: asOf}}, AsOf: asOf, EraUnknown: next.Era == nil}, nil
}

// Guards against a reader that misses a return of the store from an older copy, or believes
// one that did not happen, whichever call tells of it, and against one that repeats a watch whose answer
// it cannot read.
func TestStoreReaderScripts(t *testing.T) {
	body, err := os.ReadFile("testdata/reads.json")
	require.NoError(t, err)
	var scripts []readScript
	require.NoError(t, json.Unmarshal(body, &scripts))
	for _, script := range scripts {
		t.Run(script.Name, func(t *testing.T) {
			store := &scriptedStore{t: t}
			daemon := &Daemon{settings: &Settings{}, store: store, log: zap.NewNop(), ctx: t.Context()}
			daemon.meters = newMeters(daemon)
			known := script.Known.position()
			daemon.positions[berylfeed.Targets].Store(&known)
			reader := storeReader{daemon: daemon, feed: berylfeed.Targets, prefix: "t/"}
			for _, read := range script.Reads {
				store.calls = read.Calls
				message, err := reader.read(time.Second)
				require.Empty(t, store.calls)
				require.Equal(t, read.Fails, err != nil, "%v", err)
				if read.Fails {
					continue
				}
				require.Equal(t, read.AsOf.position(), message.asOf)
				require.Equal(t, message.asOf, message.items[0].Position)
				daemon.positions[berylfeed.Targets].Store(&message.asOf)
			}
		})
	}
}
