package berylconfig

import (
	"strings"
	"testing"

	"berylspoke"
)

// Guards against a published patch that ends a daemon, or after which it follows no other.
func FuzzFoldedPatches(f *testing.F) {
	for _, body := range []string{
		``, `null`, `[]`, `{}`, `{"base":0}`, `{"base":-1}`, `{"base":1e30}`, `{"base":0}{}`, strings.Repeat("[", 20_000),
		`{"base":0,"more":` + strings.Repeat("[", 9000) + strings.Repeat("]", 9000) + `}`,
		`{"base":0,"targets":null,"services":{"":null,"s":{"kind":"x"}}}`, `{"base":0,"services":{"s":{"kind":"plain"}},"failureDomains":{"a":{"region":"r"}}}`,
		`{"base":0,"targets":{"t":{"service":"s","address":"10.0.0.1:99999","failureDomain":"a"}}}`,
		`{"base":0,"organisations":{"o":{"weight":9223372036854775807,"keyDigests":["00",null]}}}`,
	} {
		f.Add([]byte(body))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		state, outcome := InitialState().Fold(berylspoke.Published{Number: 1, Body: body})
		if state.Number != 1 || outcome.Accepted != (state.Version == 1) || outcome.Accepted == (outcome.Problem != "") {
			t.Fatalf("%+v, %+v", state, outcome)
		}
		next, outcome := state.Fold(berylspoke.Published{Number: 2, Body: []byte(`{"base":` + []string{"0", "1"}[state.Version] + `,"failureDomains":{"next":{"region":"r"}}}`)})
		if !outcome.Accepted || next.Declarations.Region("next") != "r" {
			t.Fatalf("the next patch is not followed: %+v", outcome)
		}
		_, _ = parseSnapshot(body)
	})
}
