package berylnode

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke"
	"berylspoke/core/berylconfig"
)

// heldFleet is a fleet one node of which holds leased slots of all engines.
type heldFleet struct {
	*fakeFleet
	node      *Node
	submitted int
}

func newHeldFleet(t *testing.T, engines int) *heldFleet {
	fleet := &heldFleet{fakeFleet: newFakeFleet(1, fakeVMs("a1", "a2"))}
	targets := make(map[berylspoke.TargetID]berylconfig.Target)
	for i := range engines {
		id := berylspoke.TargetID(fmt.Sprint("e-", i))
		targets[id] = berylconfig.Target{Service: "model", FailureDomain: "a1", Address: fmt.Sprint("127.0.0.1:", i+1)}
		fleet.slots[id] = 4
	}
	fleet.publish(fakePatch(targets, map[berylspoke.OrganisationID]berylspoke.Weight{"clergy": 1}))
	fleet.startAll()
	fleet.run(5*time.Second, 50*time.Millisecond)
	fleet.node = fleet.nodes[fleet.vms[0].ID]
	for range engines {
		require.NotEmpty(t, fleet.send())
	}
	return fleet
}

// send submits a request and returns the target that it was sent to, empty if none.
func (fleet *heldFleet) send() berylspoke.TargetID {
	fleet.submitted++
	id := berylspoke.RequestID(fmt.Sprint("r-", fleet.submitted))
	fleet.submit(fleet.vms[0].ID, "model", "clergy", id, 20, nil)
	for range 100 {
		fleet.step(10 * time.Millisecond)
		for _, job := range fleet.jobs {
			if job.id == id {
				return job.target
			}
		}
	}
	return ""
}

func (fleet *heldFleet) follow(advice Advice) {
	advice.At = fleet.now
	if advice.Address == "" {
		advice.Address = fleet.node.Declarations().Targets[advice.Target].Address
	}
	fleet.node.FollowAdvice(fleet.now, advice)
}

// Guards against slots that were leased ahead and are used at a target that has since asked
// for rest, or said that it leaves.
func TestLeasedSlotsOfATargetThatWantsNothingStayUnused(t *testing.T) {
	const rest = 3 * time.Second
	for _, advice := range []Advice{{Target: "e-0", Rest: rest}, {Target: "e-0", Leaving: true}} {
		fleet := newHeldFleet(t, 2)
		fleet.follow(advice)
		for end := fleet.now.Add(rest - 400*time.Millisecond); fleet.now.Before(end); {
			require.NotEqual(t, advice.Target, fleet.send())
		}
		if advice.Leaving {
			continue
		}
		_, used := fleet.runUntil(20*time.Second, func() bool { return fleet.send() == advice.Target })
		require.True(t, used, "it is used again after its rest")
	}
}

// Guards against requests that wait for their deadline, or are sent, while all targets of a
// service rest.
func TestRequestsAreRefusedWhileAllTargetsRest(t *testing.T) {
	fleet := newHeldFleet(t, 2)
	fleet.follow(Advice{Target: "e-0", Rest: 5 * time.Second})
	fleet.follow(Advice{Target: "e-1", Rest: 3 * time.Second})
	require.Empty(t, fleet.send())
	refusal := fleet.refused[berylspoke.RequestID(fmt.Sprint("r-", fleet.submitted))]
	require.NotNil(t, refusal)
	require.Equal(t, berylspoke.ReasonTargetsResting, refusal.Reason)
	require.GreaterOrEqual(t, refusal.RetryAfter, 3*time.Second-50*time.Millisecond)
	require.LessOrEqual(t, refusal.RetryAfter, 3*time.Second+returnSpread)
}

// Guards against a target that gets nothing because another one at an address that it had
// before, or has now, asked for that.
func TestHoldBelongsToTheAddressThatAskedForIt(t *testing.T) {
	fleet := newHeldFleet(t, 1)
	fleet.follow(Advice{Target: "e-0", Address: "127.0.0.1:99", Rest: time.Minute})
	require.NotEmpty(t, fleet.send())
	fleet.follow(Advice{Target: "e-0", Leaving: true})
	require.Empty(t, fleet.send())
	moved := fakePatch(map[berylspoke.TargetID]berylconfig.Target{
		"e-0": {Service: "model", FailureDomain: "a1", Address: "127.0.0.1:77"},
	}, nil)
	moved.Base = fleet.highest()
	fleet.publish(moved)
	_, used := fleet.runUntil(10*time.Second, func() bool { return fleet.send() != "" })
	require.True(t, used)
}
