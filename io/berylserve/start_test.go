package berylserve

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"berylspoke"
	"berylspoke/core/berylnode"
	"berylspoke/io/berylsettings"
)

// actorOnly returns a daemon that has its actor and no sockets yet.
func actorOnly(t *testing.T) *Daemon {
	settings := berylsettings.Defaults()
	settings.VM = "vm-1"
	daemon := &Daemon{settings: &settings, log: zap.NewNop(), opened: make(chan struct{})}
	daemon.ctx, daemon.cancel = context.WithCancel(t.Context())
	daemon.startActor(time.Now(), berylspoke.NewIncarnation(time.Now().UnixMilli(), 1))
	t.Cleanup(func() {
		daemon.cancel()
		daemon.system.Root.Stop(daemon.actorPID)
	})
	return daemon
}

// inspected reports whether the actor answers.
func inspected(t *testing.T, daemon *Daemon) bool {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	return daemon.inspect(ctx, func(time.Time, *berylnode.Node) {}) == nil
}

// Guards against a process that lives on without its core, which panicked a few times: it answers nobody
// and is never replaced.
func TestActorGoesOnAfterPanics(t *testing.T) {
	daemon := actorOnly(t)
	for range 20 {
		daemon.send(inspect{func(time.Time, *berylnode.Node) { panic("test") }, make(chan struct{})})
	}
	require.True(t, inspected(t, daemon), "the actor has stopped")
}

// Guards against a message of a peer that is answered before there is a socket to answer by.
func TestMessagesWaitUntilTheyCanBeAnswered(t *testing.T) {
	daemon := actorOnly(t)
	received := make(chan struct{})
	go func() {
		daemon.receive("vm-2", nil)
		close(received)
	}()
	select {
	case <-received:
		t.Fatal("the message did not wait")
	case <-time.After(50 * time.Millisecond):
	}
	close(daemon.opened)
	<-received
	require.True(t, inspected(t, daemon))
}
