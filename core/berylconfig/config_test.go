package berylconfig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"berylspoke"
)

// The scripts publish patches and show the state of a reader after each.
func TestFoldScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		store := NewStore()
		var published []berylspoke.Published
		datadriven.RunTest(t, path, func(t *testing.T, step *datadriven.TestData) string {
			switch step.Cmd {
			case "publish":
				var compact bytes.Buffer
				body := []byte(step.Input)
				if json.Compact(&compact, body) == nil {
					body = compact.Bytes()
				}
				published = append(published, berylspoke.Published{Number: berylspoke.PatchNumber(len(published) + 1), Body: body})
				store.Add(published[len(published)-1:])
				return describe(store)
			case "stale":
				// A platform restored from a backup publishes a shorter history.
				var upTo int
				step.ScanArgs(t, "to", &upTo)
				store.Add(published[:upTo])
				return describe(store)
			case "rewrite":
				var number int
				step.ScanArgs(t, "number", &number)
				store.Add([]berylspoke.Published{{Number: berylspoke.PatchNumber(number), Body: []byte(`{"base":0}`)}})
				return fmt.Sprintf("%sconflicts %d\n", describe(store), store.Conflicts)
			case "organisations":
				var text strings.Builder
				for id, organisation := range store.State().Declarations.Organisations {
					fmt.Fprintf(&text, "%s weight %d\n", id, organisation.Weight)
				}
				return text.String()
			}
			return "unknown step"
		})
	})
}

func describe(store *Store) string {
	last := store.Outcomes()[len(store.Outcomes())-1]
	text := fmt.Sprintf("number %d version %d\n", store.State().Number, store.State().Version)
	if last.Number == store.State().Number && !last.Accepted {
		text += "rejected: " + last.Problem + "\n"
	}
	return text
}

func drawPatch(t *rapid.T, base berylspoke.ConfigVersion) []byte {
	patch := &Patch{Base: base, Organisations: make(map[berylspoke.OrganisationID]*Organisation)}
	id := berylspoke.OrganisationID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation"))
	if rapid.Bool().Draw(t, "set") {
		patch.Organisations[id] = &Organisation{Weight: berylspoke.Weight(rapid.IntRange(0, 3).Draw(t, "weight"))}
	} else {
		patch.Organisations[id] = nil
	}
	body, _ := json.Marshal(patch)
	return body
}

// Readers receive the same patches from a platform that goes back and from peers, in any
// pieces and any order. All readers at the same number hold the same version, and none
// ever goes back.
func TestReadersAgreeAndNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var published []berylspoke.Published
		stores := []*Store{NewStore(), NewStore(), NewStore()}
		byNumber := make(map[berylspoke.PatchNumber]Hash)
		reader := func(t *rapid.T) *Store { return stores[rapid.IntRange(0, len(stores)-1).Draw(t, "reader")] }
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) {
				base := stores[0].State().Version
				if rapid.IntRange(0, 3).Draw(t, "late") == 0 {
					base = berylspoke.ConfigVersion(rapid.IntRange(0, 3).Draw(t, "base"))
				}
				body := drawPatch(t, base)
				published = append(published, berylspoke.Published{Number: berylspoke.PatchNumber(len(published) + 1), Body: body})
				stores[0].Add(published)
			},
			"read": func(t *rapid.T) {
				if len(published) == 0 {
					return
				}
				from := rapid.IntRange(0, len(published)-1).Draw(t, "from")
				to := rapid.IntRange(from, len(published)).Draw(t, "to")
				reader(t).Add(published[from:to])
			},
			"pull": func(t *rapid.T) {
				to, from := reader(t), reader(t)
				if entries, kept := from.EntriesAfter(to.State().Number, 100); kept {
					to.Add(entries)
				}
			},
			"adopt": func(t *rapid.T) {
				to, from := reader(t), reader(t)
				before := to.State().Number
				to.ApplySnapshot(from.Snapshot())
				if to.State().Number < before {
					t.Fatalf("a snapshot set the number back from %d to %d", before, to.State().Number)
				}
			},
			"": func(t *rapid.T) {
				for _, store := range stores {
					state := store.State()
					if hash, known := byNumber[state.Number]; known && hash != state.Hash {
						t.Fatalf("two readers at number %d have different hashes", state.Number)
					}
					byNumber[state.Number] = state.Hash
					if len(state.Declarations.Validate()) > 0 {
						t.Fatalf("invalid declarations are in force")
					}
					if store.Conflicts > 0 {
						t.Fatalf("a conflict was counted in one history")
					}
				}
			},
		})
	})
}

// A daemon was away for longer than its peers keep entries. It must get a snapshot and
// reach their state.
func TestSnapshotReplacesLostEntries(t *testing.T) {
	ahead, behind := NewStore(), NewStore()
	for number := range 2 * maxEntries {
		body := fmt.Sprintf(`{"base":%d,"organisations":{"o%d":{"weight":1,"keyDigests":[]}}}`, number, number%7)
		ahead.Add([]berylspoke.Published{{Number: berylspoke.PatchNumber(number + 1), Body: []byte(body)}})
	}
	_, kept := ahead.EntriesAfter(behind.State().Number, 1000)
	require.False(t, kept)
	require.True(t, behind.ApplySnapshot(ahead.Snapshot()))
	require.Equal(t, ahead.State().Hash, behind.State().Hash)
	require.Len(t, behind.State().Declarations.Organisations, 7)
	require.False(t, behind.ApplySnapshot([]byte(`{"number":99999}`)), "a malformed snapshot changes nothing")
}

func FuzzParsePatch(f *testing.F) {
	f.Add([]byte(`{"base":1,"organisations":{"a":{"weight":1,"keyDigests":[]},"b":null}}`))
	f.Add([]byte(`{"base":-1}`))
	f.Add([]byte(`{"base":1}{}`))
	f.Add([]byte(`{"targets":{"t":{"address":"1.2.3.4:5"}}}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		store := NewStore()
		store.Add([]berylspoke.Published{{Number: 1, Body: body}})
		require.Empty(t, store.State().Declarations.Validate())
	})
}

func BenchmarkFoldPatch(b *testing.B) {
	for _, count := range []int{10, 1000, 24_000, 100_000} {
		b.Run(fmt.Sprintf("organisations=%d", count), func(b *testing.B) {
			state := stateOf(count)
			body := []byte(fmt.Sprintf(`{"base":%d,"organisations":{"org-5":{"weight":3,"keyDigests":["%064x"]}}}`, state.Version, 5))
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				state.Fold(berylspoke.Published{Number: state.Number + 1, Body: body})
			}
		})
	}
}

func BenchmarkParseFirstPatches(b *testing.B) {
	for _, count := range []int{1000, 24_000, 100_000} {
		b.Run(fmt.Sprintf("organisations=%d", count), func(b *testing.B) {
			b.ReportAllocs()
			bytes := 0
			for range b.N {
				bytes = foldMany(NewStore(), count)
			}
			b.ReportMetric(float64(bytes)/float64(count), "bytes/organisation")
			b.ReportMetric(float64(bytes)/float64(MaxPatchBytes), "values")
		})
	}
}

func stateOf(count int) *State {
	store := NewStore()
	foldMany(store, count)
	return store.State()
}

// foldMany declares organisations in patches of 5,000 and returns the total size of the
// patches in bytes.
func foldMany(store *Store, count int) int {
	const each = 5000
	total := 0
	for start := 0; start < count; start += each {
		patch := &Patch{Base: store.State().Version, Organisations: make(map[berylspoke.OrganisationID]*Organisation)}
		for i := start; i < min(start+each, count); i++ {
			patch.Organisations[berylspoke.OrganisationID(fmt.Sprintf("org-%d", i))] = &Organisation{
				Weight: berylspoke.Weight(1 + i%9), KeyDigests: []string{fmt.Sprintf("%064x", i)},
			}
		}
		body, _ := json.Marshal(patch)
		total += len(body)
		store.Add([]berylspoke.Published{{Number: store.State().Number + 1, Body: body}})
	}
	return total
}
