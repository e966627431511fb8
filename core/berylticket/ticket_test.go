package berylticket

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"berylspoke"
)

// simulation is one owner VM, one witness VM and every message ever sent between them;
// any of them may arrive at any later time, repeatedly.
type simulation struct {
	now      time.Time
	owner    *Owner
	witness  *Witness
	starts   berylspoke.Incarnation
	permits  []PermitRequest
	answers  []PermitAnswer
	ids      []CallID
	runs     map[CallID]int
	notRun   map[CallID]bool
	inFlight []CallID
}

const smallBound = 1

func (simulation *simulation) startOwner() {
	simulation.starts++
	simulation.owner = NewOwner(berylspoke.Process{VM: "owner", Incarnation: simulation.starts}, smallBound)
}

func (simulation *simulation) startWitness() {
	simulation.starts++
	simulation.witness = NewWitness(berylspoke.Process{VM: "witness", Incarnation: simulation.starts}, smallBound)
}

func (simulation *simulation) drawID(t *rapid.T) CallID {
	return simulation.ids[rapid.IntRange(0, len(simulation.ids)-1).Draw(t, "id")]
}

// A request runs at most once, and one reported as not run never runs, in whatever order
// calls, permits, closes, crashes and evictions occur.
func TestAtMostOnceInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		simulation := &simulation{now: time.Unix(0, 0), runs: make(map[CallID]int), notRun: make(map[CallID]bool)}
		simulation.startOwner()
		simulation.startWitness()
		mint := func(*rapid.T) {
			ticket := simulation.owner.Mint(simulation.witness.self)
			simulation.ids = append(simulation.ids, CallID{ticket, 0}, CallID{ticket, 1})
		}
		mint(t)
		t.Repeat(map[string]func(*rapid.T){
			"mint": mint,
			"call": func(t *rapid.T) {
				if id := simulation.drawID(t); simulation.owner.Owns(id) {
					simulation.owner.Register(simulation.now, id)
				}
			},
			"ask": func(t *rapid.T) {
				if id := simulation.drawID(t); simulation.owner.Owns(id) && simulation.owner.RequestPermit(simulation.now, id) {
					simulation.permits = append(simulation.permits, PermitRequest{id})
				}
			},
			"giveUp": func(t *rapid.T) {
				if id := simulation.drawID(t); simulation.owner.Owns(id) && simulation.owner.Abandon(simulation.now, id) {
					simulation.notRun[id] = true
				}
			},
			"permit": func(t *rapid.T) {
				if len(simulation.permits) == 0 {
					return
				}
				id := simulation.permits[rapid.IntRange(0, len(simulation.permits)-1).Draw(t, "permit")].ID
				simulation.answers = append(simulation.answers, PermitAnswer{id, simulation.witness.Permit(id)})
			},
			"answer": func(t *rapid.T) {
				if len(simulation.answers) == 0 {
					return
				}
				answer := simulation.answers[rapid.IntRange(0, len(simulation.answers)-1).Draw(t, "answer")]
				dispatch, denied := simulation.owner.Permit(simulation.now, answer.ID, answer.Granted)
				if dispatch {
					simulation.inFlight = append(simulation.inFlight, answer.ID)
				}
				if denied {
					simulation.notRun[answer.ID] = true
				}
			},
			"execute": func(*rapid.T) {
				for _, id := range simulation.inFlight {
					simulation.runs[id]++
					if simulation.owner.Owns(id) {
						simulation.owner.Finish(simulation.now, id, berylspoke.Ran, berylspoke.Answer{})
					}
				}
				simulation.inFlight = nil
			},
			"settleAtOwner": func(t *rapid.T) {
				if id := simulation.drawID(t); simulation.owner.Settle(simulation.now, id) == StatusNotRun {
					simulation.notRun[id] = true
				}
			},
			"closeAtWitness": func(t *rapid.T) {
				if id := simulation.drawID(t); simulation.witness.Close(id) == StatusNotRun {
					simulation.notRun[id] = true
				}
			},
			"ownerCrashes":   func(*rapid.T) { simulation.startOwner() },
			"witnessCrashes": func(*rapid.T) { simulation.startWitness() },
			"": func(t *rapid.T) {
				for _, id := range simulation.ids {
					if simulation.runs[id] > 1 {
						t.Fatalf("%s ran %d times", id, simulation.runs[id])
					}
					if simulation.runs[id] > 0 && simulation.notRun[id] {
						t.Fatalf("%s ran and was reported as not run", id)
					}
				}
			},
		})
	})
}

// A caller that has the id of another organisation's request, from a log or by a guess,
// must learn nothing about it.
func TestSealBindsOrganisation(t *testing.T) {
	sealer := NewSealer([]byte("fleet key of sixteen"))
	ticket := Ticket{
		Owner:   berylspoke.Process{VM: "kgn-a-1", Incarnation: 0xabc},
		Witness: berylspoke.Process{VM: "kgn-b-2", Incarnation: 7}, Serial: 19,
	}
	text := FormatCall(sealer.Format("clergy", ticket), 3)
	id, err := sealer.ParseCall("clergy", text)
	require.NoError(t, err)
	require.Equal(t, CallID{ticket, 3}, id)
	_, err = sealer.ParseCall("unions", text)
	require.ErrorContains(t, err, "no seal of this organisation")
	_, err = NewSealer([]byte("another fleet's key")).ParseCall("clergy", text)
	require.ErrorContains(t, err, "no seal of this organisation")
}

func FuzzParseCall(f *testing.F) {
	sealer := NewSealer([]byte("fleet key of sixteen"))
	f.Add(FormatCall(sealer.Format("clergy", Ticket{Serial: 1}), 0))
	f.Add("a~b~c~d~e~f~g")
	f.Add("~~~~~~")
	f.Fuzz(func(t *testing.T, text string) {
		id, err := sealer.ParseCall("clergy", text)
		if err != nil {
			return
		}
		again, err := sealer.ParseCall("clergy", FormatCall(sealer.Format("clergy", id.Ticket), id.Number))
		require.NoError(t, err)
		require.Equal(t, id, again)
	})
}
