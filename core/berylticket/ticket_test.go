package berylticket

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"berylspoke"
)

// world is one owner VM and one witness VM with every message that was ever
// sent between them; any of them may arrive at any later time, again and again.
type world struct {
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

func (world *world) startOwner() {
	world.starts++
	world.owner = NewOwner(berylspoke.Process{VM: "owner", Incarnation: world.starts}, smallBound)
}

func (world *world) startWitness() {
	world.starts++
	world.witness = NewWitness(berylspoke.Process{VM: "witness", Incarnation: world.starts}, smallBound)
}

func (world *world) draw(t *rapid.T) CallID {
	return world.ids[rapid.IntRange(0, len(world.ids)-1).Draw(t, "id")]
}

// A booking is posted once or never, and what was reported as not run never
// runs, whatever order calls, permits, closes, crashes and evictions come in.
func TestAtMostOnceInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := &world{now: time.Unix(0, 0), runs: make(map[CallID]int), notRun: make(map[CallID]bool)}
		world.startOwner()
		world.startWitness()
		mint := func(*rapid.T) {
			ticket := world.owner.Mint(world.witness.self)
			world.ids = append(world.ids, CallID{ticket, 0}, CallID{ticket, 1})
		}
		mint(t)
		t.Repeat(map[string]func(*rapid.T){
			"mint": mint,
			"call": func(t *rapid.T) {
				if id := world.draw(t); world.owner.Owns(id) {
					world.owner.Begin(world.now, id)
				}
			},
			"ask": func(t *rapid.T) {
				if id := world.draw(t); world.owner.Owns(id) && world.owner.Ask(world.now, id) {
					world.permits = append(world.permits, PermitRequest{id})
				}
			},
			"giveUp": func(t *rapid.T) {
				if id := world.draw(t); world.owner.Owns(id) && world.owner.GiveUp(world.now, id) {
					world.notRun[id] = true
				}
			},
			"permit": func(t *rapid.T) {
				if len(world.permits) == 0 {
					return
				}
				id := world.permits[rapid.IntRange(0, len(world.permits)-1).Draw(t, "permit")].ID
				world.answers = append(world.answers, PermitAnswer{id, world.witness.Permit(id)})
			},
			"answer": func(t *rapid.T) {
				if len(world.answers) == 0 {
					return
				}
				answer := world.answers[rapid.IntRange(0, len(world.answers)-1).Draw(t, "answer")]
				dispatch, refused := world.owner.Permit(world.now, answer.ID, answer.Granted)
				if dispatch {
					world.inFlight = append(world.inFlight, answer.ID)
				}
				if refused {
					world.notRun[answer.ID] = true
				}
			},
			"execute": func(*rapid.T) {
				for _, id := range world.inFlight {
					world.runs[id]++
					if world.owner.Owns(id) {
						world.owner.Finish(world.now, id, berylspoke.Ran, berylspoke.Answer{})
					}
				}
				world.inFlight = nil
			},
			"settleAtOwner": func(t *rapid.T) {
				if id := world.draw(t); world.owner.Settle(world.now, id) == StandsNotRun {
					world.notRun[id] = true
				}
			},
			"closeAtWitness": func(t *rapid.T) {
				if id := world.draw(t); world.witness.Close(id) == StandsNotRun {
					world.notRun[id] = true
				}
			},
			"ownerCrashes":   func(*rapid.T) { world.startOwner() },
			"witnessCrashes": func(*rapid.T) { world.startWitness() },
			"": func(t *rapid.T) {
				for _, id := range world.ids {
					if world.runs[id] > 1 {
						t.Fatalf("%s ran %d times", id, world.runs[id])
					}
					if world.runs[id] > 0 && world.notRun[id] {
						t.Fatalf("%s ran and was reported as not run", id)
					}
				}
			},
		})
	})
}

// A caller holds the id of another organisation's booking, from a log or by a
// guess, and must learn nothing of it.
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
