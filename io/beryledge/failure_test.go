package beryledge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke/core/berylgate"
)

// Guards against a request that is never answered as the decision on it fails.
func TestFailedDecisionIsARefusal(t *testing.T) {
	daemon := startDaemon(t, newTestStore())
	decision := make(chan berylgate.Decision, 1)
	daemon.send(submit{decision: decision})
	select {
	case decided := <-decision:
		require.NotNil(t, decided.Refusal)
	case <-time.After(5 * time.Second):
		t.Fatal("no decision")
	}
	granted := make(chan bool, 1)
	daemon.send(reserve{granted: granted})
	select {
	case <-granted:
	case <-time.After(5 * time.Second):
		t.Fatal("no decision on a retry")
	}
}
