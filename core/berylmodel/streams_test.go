package berylmodel

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke"
)

// streamFleet returns a fleet whose callers leave and take up streams.
func streamFleet(streams StreamOptions) FleetOptions {
	options := SmallFleet(Gates)
	options.Streams = &streams
	return options
}

// halves are the versions of engines of which four have one version and the others another.
var halves = []berylspoke.SoftwareVersion{"v1", "v1", "v1", "v1", "v2"}

// releaseAll replaces engines by those of a version, one after the other.
func releaseAll(from time.Duration, version berylspoke.SoftwareVersion, engines ...int) []Release {
	var releases []Release
	for i, engine := range engines {
		releases = append(releases, Release{At: from + time.Duration(i)*400*time.Millisecond, Engine: engine, Version: version})
	}
	return releases
}

// Guards against streams that hold events of two builds, and against streams that are taken up and
// do not go on half as often as new ones begin, while versions serve side by side, beside
// releases, killed and silent daemons and lost messages. The same runs join streams where these
// go on anywhere.
func TestStreamsThatAreTakenUpGoOnAtTheirBuild(t *testing.T) {
	for name, streams := range map[string]StreamOptions{
		"two versions":         {Versions: halves, LeaveFraction: 0.3},
		"two versions, losses": {Versions: halves, LeaveFraction: 0.3, LossFraction: 0.2},
		"release of half": {
			Versions: []berylspoke.SoftwareVersion{"v1"}, LeaveFraction: 0.3, Releases: releaseAll(5*time.Second, "v2", 5, 6, 7, 8),
		},
		"three versions": {
			Versions: halves, LeaveFraction: 0.3, Releases: releaseAll(6*time.Second, "v3", 2, 3, 7, 8),
		},
		"release and kills": {
			Versions: []berylspoke.SoftwareVersion{"v1"}, LeaveFraction: 0.1, Releases: releaseAll(5*time.Second, "v2", 5, 6, 7, 8),
			Kills: []Kill{{5100 * time.Millisecond, 0}, {7 * time.Second, 1}, {7 * time.Second, 2}, {7 * time.Second, 3}, {12 * time.Second, 4}},
		},
		"release in silence": {
			Versions: []berylspoke.SoftwareVersion{"v1"}, LeaveFraction: 0.3, Releases: releaseAll(5*time.Second, "v2", 5, 6, 7, 8),
			Silences: []Silence{{4 * time.Second, 12 * time.Second, 0}, {6 * time.Second, 11 * time.Second, 1}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			load := meanLoad(11)
			load.RequestsPerSecond = 200
			streams.Seed = 5
			tally := Run(streamFleet(streams), load).Streams
			t.Logf("%+v", tally)
			require.Zero(t, tally.Joined)
			require.Greater(t, tally.TakenUp, 100)
			begins, goesOn := float64(tally.Began)/float64(tally.New), float64(tally.WentOn)/float64(tally.TakenUp)
			require.Greater(t, goesOn, 0.5*begins)
			streams.AnyBuild = true
			require.Greater(t, Run(streamFleet(streams), load).Streams.Joined, 20, "the run does not show the failure")
		})
	}
}

// killAllBut kills all entry daemons of a small fleet but one at a time.
func killAllBut(left int, at time.Duration) []Kill {
	var kills []Kill
	for entry := range SmallFleet(Gates).Entries {
		if entry != left {
			kills = append(kills, Kill{at, entry})
		}
	}
	return kills
}

// Guards against streams that do not go on half as often as new ones begin after all daemons but one were
// lost at once, as only a few held their records.
func TestStreamsGoOnAfterAllDaemonsButOneAreLost(t *testing.T) {
	for left := range 3 {
		load := meanLoad(13)
		load.RequestsPerSecond = 200
		tally := Run(streamFleet(StreamOptions{
			Seed: uint64(left), Versions: halves, Kills: append(killAllBut(left, 6*time.Second), killAllBut(left, 11*time.Second)...),
		}), load).Streams
		t.Logf("%+v", tally)
		require.Zero(t, tally.Joined)
		require.Greater(t, tally.TakenUp, 100)
		begins, goesOn := float64(tally.Began)/float64(tally.New), float64(tally.WentOn)/float64(tally.TakenUp)
		require.Greater(t, goesOn, 0.5*begins)
	}
}

// Guards against messages about streams while a service has one build only.
func TestStreamsOfOneBuildCostNoMessages(t *testing.T) {
	load := meanLoad(12)
	load.RequestsPerSecond = 200
	tally := Run(streamFleet(StreamOptions{Versions: []berylspoke.SoftwareVersion{"v1"}, LeaveFraction: 0.3}), load).Streams
	require.Zero(t, tally.Told+tally.Asked+tally.Refused)
	require.Positive(t, tally.WentOn)
}
