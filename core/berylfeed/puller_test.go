package berylfeed

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke"
)

// pullScript is one scripted run of a puller; times are milliseconds from its start.
type pullScript struct {
	Name  string `json:"name"`
	Rank  int    `json:"rank"`
	Delay int    `json:"delayMillis"`
	Steps []struct {
		At       int    `json:"atMillis"`
		Offer    string `json:"offer"`
		Remote   bool   `json:"remote"`
		Era      uint64 `json:"era"`
		Revision uint64 `json:"revision"`
		Advance  uint64 `json:"advance"`
	} `json:"steps"`
	// Pulls are the expected pulls until the end of the script.
	Pulls []struct {
		At   int    `json:"atMillis"`
		From string `json:"from"`
	} `json:"pulls"`
	End int `json:"endMillis"`
}

// Guards against copies of one change that multiply: daemons that all pull from another
// region, and pulls that are repeated while their answer is under way.
func TestPullerScripts(t *testing.T) {
	body, err := os.ReadFile("testdata/pulls.json")
	require.NoError(t, err)
	var scripts []pullScript
	require.NoError(t, json.Unmarshal(body, &scripts))
	for _, script := range scripts {
		t.Run(script.Name, func(t *testing.T) { playPulls(t, script) })
	}
}

func playPulls(t *testing.T, script pullScript) {
	const step = 50
	start := time.Unix(1000, 0)
	var puller Puller
	steps, pulls := script.Steps, script.Pulls
	for millis := 0; millis <= script.End; millis += step {
		now := start.Add(time.Duration(millis) * time.Millisecond)
		for len(steps) > 0 && steps[0].At == millis {
			if steps[0].Offer != "" {
				puller.Offer(now, berylspoke.VMID(steps[0].Offer), steps[0].Remote, berylspoke.Position{Era: berylspoke.Era(steps[0].Era), Revision: berylspoke.Revision(steps[0].Revision)})
			} else {
				puller.Advance(now, berylspoke.Position{Era: berylspoke.Era(steps[0].Era), Revision: berylspoke.Revision(steps[0].Advance)})
			}
			steps = steps[1:]
		}
		from, due := puller.Next(now, script.Rank, time.Duration(script.Delay)*time.Millisecond)
		if !due {
			continue
		}
		require.NotEmpty(t, pulls, "pull from %s at %d", from, millis)
		require.Equal(t, pulls[0].From, string(from), "pull at %d", millis)
		require.Equal(t, pulls[0].At, millis)
		pulls = pulls[1:]
	}
	require.Empty(t, steps)
	require.Empty(t, pulls)
}
