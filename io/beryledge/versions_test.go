package beryledge

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke"
	"berylspoke/core/berylgate"
	"berylspoke/core/berylorigin"
	"berylspoke/io/berylresponse"
)

// versionedEvents returns a handler that streams the events up to an id, with a text that names
// the version, and then breaks the connection in the middle of the next event. If hang is set,
// it sends nothing more instead.
func versionedEvents(version string, until int, hang bool) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		writer.Header().Set("X-Id", request.Header.Get("X-Id"))
		writer.Header().Set("X-Seal", "s")
		last, _ := strconv.Atoi(request.Header.Get("X-Last"))
		for id := last + 1; id <= max(until, last+1); id++ {
			_, _ = fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", id, version)
			_ = http.NewResponseController(writer).Flush()
		}
		if hang {
			<-request.Context().Done()
			return
		}
		_, _ = io.WriteString(writer, "id: ")
		_ = http.NewResponseController(writer).Flush()
		panic(http.ErrAbortHandler)
	}
}

// versionsIn returns the versions that wrote the events of a text.
func versionsIn(text string) map[string]bool {
	versions := make(map[string]bool)
	for _, line := range strings.Split(text, "\n") {
		if version, found := strings.CutPrefix(line, "data: "); found {
			versions[version] = true
		}
	}
	return versions
}

// putEngine publishes an engine of a version.
func (store *testStore) putEngine(target *testTarget, version string, fields ...string) {
	store.put("t/"+target.id, strings.Join(append([]string{"engines", target.address(), "version=" + version}, fields...), " "))
}

// Guards against a stream that holds events of two versions: its engine breaks off, and the rest
// comes from another version within the same answer.
func TestStreamIsNotResumedAtAnotherVersion(t *testing.T) {
	one := newTestTarget(t, "e1", versionedEvents("v1", 2, false))
	two := newTestTarget(t, "e2", versionedEvents("v2", 2, false))
	daemon, store := startServing(t, map[string]*testTarget{"engines#1": one})
	store.putEngine(two, "v2")
	awaitTargets(t, daemon, 2)
	for i := range 6 {
		_, text, err := send(t, daemon, http.MethodPost, "/resume/x", fmt.Sprint("id-", i), "prompt")
		require.Error(t, err)
		require.Len(t, versionsIn(text), 1, text)
	}
}

// Guards against a stream that holds events of two versions: its engine was doubtful, as is the one
// that goes on with it, so that neither's version is certain.
func TestStreamOfNoCertainBuildGoesOnAtNoOtherEngine(t *testing.T) {
	one := newTestTarget(t, "e1", versionedEvents("v1", 2, false))
	two := newTestTarget(t, "e2", versionedEvents("v2", 2, false))
	daemon, store := startServing(t, map[string]*testTarget{"engines#1": one})
	store.putEngine(two, "v2")
	awaitTargets(t, daemon, 2)
	refuseConnections := func() {
		daemon.inspectCore(func(now time.Time, core *core) {
			request := &berylgate.Request{Service: "engines", Kind: berylspoke.Streaming, Arrived: now, Objective: time.Minute, MaxAttempts: 2}
			for range 2 {
				require.Nil(t, core.gate.Submit(now, request).Refusal)
				core.gate.AttemptEnded(now, request, berylgate.Unreachable)
			}
		})
	}
	store.down.Store(true)
	refuseConnections()
	for i := range 6 {
		// The pause after a refused connection ends before the store answers again.
		time.Sleep(300 * time.Millisecond)
		_, text, err := send(t, daemon, http.MethodPost, "/resume/x", fmt.Sprint("id-", i), "prompt")
		require.Error(t, err)
		require.Len(t, versionsIn(text), 1, text)
	}
}

// awaitTargets waits until a daemon knows a number of targets.
func awaitTargets(t *testing.T, daemon *Daemon, count int) {
	require.Eventually(t, func() bool {
		known := 0
		daemon.inspectCore(func(_ time.Time, core *core) { known = len(core.published) })
		return known == count
	}, 10*time.Second, 10*time.Millisecond)
}

// testStream is a stream that a caller has open.
type testStream struct {
	id         string
	status     int
	retryAfter string
	// version wrote its first event, empty if there was none.
	version string
	last    int
	close   func()
}

// streamRequest is a request for a stream; it takes up another if last or resumes are set.
type streamRequest struct {
	id, key, resumes, last string
}

// takeUp returns the request that takes up a stream.
func (stream testStream) takeUp(id string) streamRequest {
	return streamRequest{id: id, resumes: stream.id, last: strconv.Itoa(stream.last)}
}

// openStream sends a request for a stream and reads its first event.
func openStream(t *testing.T, daemon *Daemon, sent streamRequest) testStream {
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+daemon.settings.CallersAddress+"/resume/x", strings.NewReader("prompt"))
	require.NoError(t, err)
	request.Host = "h.example"
	for name, value := range map[string]string{
		"X-Id": sent.id, "X-Key": cmp.Or(sent.key, "k"), "X-Left": "4000", "User-Agent": "", "X-Resumes": sent.resumes, "X-Last": sent.last,
	} {
		request.Header.Set(name, value)
	}
	client := &http.Client{Transport: berylresponse.Transport{Transport: &http.Transport{DisableKeepAlives: true}}}
	response, err := client.Do(request)
	require.NoError(t, err)
	stream := testStream{id: sent.id, status: response.StatusCode, retryAfter: response.Header.Get("Retry-After"), close: func() {
		cancel()
		_ = response.Body.Close()
	}}
	if response.StatusCode != http.StatusOK {
		return stream
	}
	lines := bufio.NewReader(response.Body)
	for stream.version == "" {
		line, err := lines.ReadString('\n')
		require.NoError(t, err)
		if text, found := strings.CutPrefix(line, "id: "); found {
			stream.last, err = strconv.Atoi(strings.TrimSpace(text))
			require.NoError(t, err)
		}
		if text, found := strings.CutPrefix(line, "data: "); found {
			stream.version = strings.TrimSpace(text)
		}
	}
	return stream
}

// startFleet runs daemons on one store and waits until all know each other.
func startFleet(t *testing.T, store *testStore, count int) []*Daemon {
	store.put("c/1", "catalog")
	var daemons []*Daemon
	var seeds []berylspoke.VMID
	for range count {
		daemon := startDaemon(t, store, seeds...)
		daemons, seeds = append(daemons, daemon), append(seeds, daemon.settings.VM)
	}
	awaitFleet(t, daemons)
	return daemons
}

// awaitFleet waits until all daemons are ready and know each other, and fills their retry budgets.
func awaitFleet(t *testing.T, daemons []*Daemon) {
	require.Eventually(t, func() bool {
		for _, daemon := range daemons {
			if !daemon.Ready() || len(daemon.entries.Load().domains) < len(daemons) {
				return false
			}
		}
		return true
	}, 20*time.Second, 20*time.Millisecond)
	for _, daemon := range daemons {
		fillRetryBudget(daemon)
	}
}

// Guards against a stream that holds events of two versions: its caller takes it up at another
// daemon, which sends it to any engine, such as an idle one of a version that came later. All
// of them must go on, as engines of their version serve.
func TestStreamThatACallerTakesUpGoesOnAtItsVersion(t *testing.T) {
	store := newTestStore()
	putEngines := func(version string, delay time.Duration) {
		for i := range 2 {
			serve := versionedEvents(version, 1, true)
			store.putEngine(newTestTarget(t, fmt.Sprint(version, "-", i), func(writer http.ResponseWriter, request *http.Request) {
				time.Sleep(delay)
				serve(writer, request)
			}), version)
		}
	}
	// Slow engines make the others the better choice.
	putEngines("v1", 150*time.Millisecond)
	daemons := startFleet(t, store, 3)
	var streams []testStream
	for i := range 16 {
		stream := openStream(t, daemons[i%3], streamRequest{id: fmt.Sprint("id-", i)})
		require.Equal(t, http.StatusOK, stream.status)
		streams = append(streams, stream)
	}
	putEngines("v2", 0)
	for _, daemon := range daemons {
		awaitTargets(t, daemon, 4)
	}
	for i, began := range streams {
		began.close()
		for try := range 2 {
			next := openStream(t, daemons[(i+1+try)%3], began.takeUp(fmt.Sprint(began.id, "-", try)))
			next.close()
			require.Equal(t, http.StatusOK, next.status)
			require.Equal(t, began.version, next.version)
			require.Equal(t, began.last+1, next.last)
			began.last = next.last
		}
	}
}

// startVersions runs daemons and two engines of each of some versions, which all know.
func startVersions(t *testing.T, daemonCount int, versions ...string) ([]*Daemon, map[string][]*testTarget, *testStore) {
	store, engines := newTestStore(), make(map[string][]*testTarget)
	for _, version := range versions {
		for i := range 2 {
			engine := newTestTarget(t, fmt.Sprint(version, "-", i), versionedEvents(version, 1, true))
			engines[version] = append(engines[version], engine)
			store.putEngine(engine, version)
		}
	}
	daemons := startFleet(t, store, daemonCount)
	for _, daemon := range daemons {
		awaitTargets(t, daemon, 2*len(versions))
	}
	return daemons, engines, store
}

// Guards against streams that are lost with the daemon that began them, which is killed as soon as
// their callers have the first event: its holders know their build.
func TestStreamOfAKilledDaemonGoesOnAtItsVersion(t *testing.T) {
	daemons, _, _ := startVersions(t, 5, "v1", "v2")
	var streams []testStream
	for i := range 12 {
		streams = append(streams, openStream(t, daemons[0], streamRequest{id: fmt.Sprint("id-", i)}))
	}
	daemons[0].Kill()
	for i, began := range streams {
		began.close()
		next := openStream(t, daemons[1+i%4], began.takeUp(began.id+"-again"))
		next.close()
		require.Equal(t, http.StatusOK, next.status)
		require.Equal(t, began.version, next.version)
	}
}

// Guards against streams that are lost as all daemons but one are killed at once: the one that lives
// through it knows the build of each, and so do daemons that start then and ask it.
func TestStreamsGoOnAfterAllDaemonsButOneAreKilled(t *testing.T) {
	daemons, _, store := startVersions(t, 6, "v1", "v2")
	var streams []testStream
	for i := range 20 {
		streams = append(streams, openStream(t, daemons[i%5], streamRequest{id: fmt.Sprint("id-", i)}))
	}
	time.Sleep(2 * spreadInterval)
	for _, daemon := range daemons[:5] {
		daemon.Kill()
	}
	left := daemons[5]
	late := startDaemon(t, store, left.settings.VM)
	awaitFleet(t, []*Daemon{left, late})
	for i, began := range streams {
		began.close()
		next := openStream(t, []*Daemon{left, late}[i%2], began.takeUp(began.id+"-again"))
		next.close()
		require.Equal(t, http.StatusOK, next.status)
		require.Equal(t, began.version, next.version)
	}
}

// Guards against streams that are lost as half of the daemons are killed, and the others once those
// have started again: who starts is told of the streams that run.
func TestStreamsGoOnAfterBothHalvesAreKilledInTurn(t *testing.T) {
	daemons, _, store := startVersions(t, 6, "v1", "v2")
	var streams []testStream
	for i := range 18 {
		streams = append(streams, openStream(t, daemons[i%3], streamRequest{id: fmt.Sprint("id-", i)}))
	}
	time.Sleep(2 * spreadInterval)
	for _, daemon := range daemons[3:] {
		daemon.Kill()
	}
	var fresh []*Daemon
	for range 3 {
		fresh = append(fresh, startDaemon(t, store, daemons[0].settings.VM))
	}
	awaitFleet(t, append(fresh, daemons[:3]...))
	time.Sleep(2 * spreadInterval)
	for _, daemon := range daemons[:3] {
		daemon.Kill()
	}
	for i, began := range streams {
		began.close()
		next := openStream(t, fresh[i%3], began.takeUp(began.id+"-again"))
		next.close()
		require.Equal(t, http.StatusOK, next.status)
		require.Equal(t, began.version, next.version)
	}
}

// Guards against a stream whose build is guessed: its caller does not name the attempt that began
// it, names one that nobody knows or one of another organisation, or used the id of the attempt
// for streams of two builds. Such a request has not run, and is refused as such.
func TestStreamOfUnknownBuildIsRefused(t *testing.T) {
	daemons, engines, store := startVersions(t, 3, "v1", "v2")
	began := openStream(t, daemons[0], streamRequest{id: "id"})
	began.close()
	other := map[string]string{"v1": "v2", "v2": "v1"}[began.version]
	seen := func() int64 {
		total := int64(0)
		for _, list := range engines {
			for _, engine := range list {
				total += engine.seen.Load()
			}
		}
		return total
	}
	before := seen()
	for name, request := range map[string]streamRequest{
		"no attempt":           {id: "a", last: "1"},
		"unknown attempt":      {id: "b", last: "1", resumes: "id-0"},
		"another organisation": {id: "c", last: "1", resumes: "id", key: "u"},
		"no last event":        {id: "d", resumes: "id-0"},
	} {
		refused := openStream(t, daemons[1], request)
		require.Equal(t, http.StatusServiceUnavailable, refused.status, name)
		require.NotEmpty(t, refused.retryAfter, name)
	}
	require.Equal(t, before, seen(), "a refused request ran")
	for _, engine := range engines[began.version] {
		store.putEngine(engine, began.version, "leaving")
	}
	require.Eventually(t, func() bool {
		again := openStream(t, daemons[2], streamRequest{id: "id"})
		again.close()
		return again.version == other
	}, 5*time.Second, 50*time.Millisecond)
	// The record of the second stream may still be on its way.
	require.Eventually(t, func() bool {
		refused := openStream(t, daemons[1], began.takeUp("e"))
		require.Equal(t, http.StatusServiceUnavailable, refused.status)
		return refused.retryAfter == ""
	}, 5*time.Second, 50*time.Millisecond, "what is not certain does not become so")
}

// Guards against a stream that goes on at the version that its engine had before it restarted
// under its id: daemons learned of the restart only after the stream had begun.
func TestStreamOfAnEngineThatRestartedUnderItsIDDoesNotGoOnAtItsOldVersion(t *testing.T) {
	daemons, engines, store := startVersions(t, 3, "v1", "v2")
	for _, engine := range engines["v2"] {
		store.put("t/"+engine.id, "")
	}
	for _, daemon := range daemons {
		awaitTargets(t, daemon, 2)
	}
	started := time.Now().UnixMilli()
	for _, engine := range engines["v1"] {
		serve := versionedEvents("v3", 1, true)
		engine.serve.Store(&serve)
	}
	began := openStream(t, daemons[0], streamRequest{id: "id"})
	began.close()
	require.Equal(t, "v3", began.version)
	restarted, other := engines["v1"][0], engines["v1"][1]
	if restarted.seen.Load() == 0 {
		restarted, other = other, restarted
	}
	serve := versionedEvents("v1", 1, true)
	other.serve.Store(&serve)
	store.putEngine(restarted, "v3", fmt.Sprint("started=", started))
	for _, daemon := range daemons {
		require.Eventually(t, func() bool {
			known := false
			daemon.inspectCore(func(_ time.Time, core *core) {
				known = core.published["t/"+restarted.id].Version == "v3"
			})
			return known
		}, 5*time.Second, 10*time.Millisecond)
	}
	time.Sleep(2 * tickInterval)
	for i, daemon := range daemons {
		next := openStream(t, daemon, began.takeUp(fmt.Sprint("again-", i)))
		next.close()
		require.NotEqual(t, "v1", next.version)
	}
}

// Guards against a stream that goes on at an engine that has just restarted under its id with
// another version, which no daemon knows yet.
func TestStreamDoesNotGoOnAtAnEngineThatHasJustRestarted(t *testing.T) {
	daemons, engines, store := startVersions(t, 3, "v1", "v2")
	for _, engine := range engines["v2"] {
		store.put("t/"+engine.id, "")
	}
	for _, daemon := range daemons {
		awaitTargets(t, daemon, 2)
	}
	began := openStream(t, daemons[0], streamRequest{id: "id"})
	began.close()
	for _, engine := range engines["v1"] {
		engine.CloseClientConnections()
		engine.started.Store(time.Now().UnixMilli())
		serve := versionedEvents("v3", 1, true)
		engine.serve.Store(&serve)
	}
	for i, daemon := range daemons {
		next := openStream(t, daemon, began.takeUp(fmt.Sprint("again-", i)))
		next.close()
		require.Equal(t, http.StatusServiceUnavailable, next.status)
	}
}

// Guards against a caller that waits for a build that does not return.
func TestStreamWhoseBuildIsGoneIsRefusedAtOnce(t *testing.T) {
	daemons, engines, store := startVersions(t, 3, "v1", "v2")
	began := openStream(t, daemons[0], streamRequest{id: "id"})
	began.close()
	for _, engine := range engines[began.version] {
		store.put("t/"+engine.id, "")
	}
	for _, daemon := range daemons {
		awaitTargets(t, daemon, 2)
	}
	sent := time.Now()
	refused := openStream(t, daemons[1], began.takeUp("again"))
	require.Equal(t, http.StatusServiceUnavailable, refused.status)
	require.Empty(t, refused.retryAfter)
	require.Less(t, time.Since(sent), askInterval)
}

// settle lets a daemon know that no stream began before it started.
func settle(daemon *Daemon) {
	daemon.inspectCore(func(now time.Time, core *core) {
		daemon.origins.mutex.Lock()
		defer daemon.origins.mutex.Unlock()
		daemon.origins.versions = berylorigin.NewVersions(true)
		for _, target := range core.published {
			daemon.origins.versions.Set(now, target)
		}
		daemon.origins.versions.Confirm(now, core.targetsAsOf(), daemon.versionDelay())
	})
}

// awaitAccounts waits until no daemon lacks builds that may have begun streams.
func awaitAccounts(t *testing.T, daemons []*Daemon) {
	require.Eventually(t, func() bool {
		for _, daemon := range daemons {
			daemon.origins.mutex.Lock()
			lacks := daemon.origins.versions.Lacks(time.Now())
			daemon.origins.mutex.Unlock()
			if lacks {
				return false
			}
		}
		return true
	}, 10*time.Second, 20*time.Millisecond)
}

// Guards against streams that do not go on though their service has one build only: the daemon that
// served them is killed, and those that are left have started within the memory, so that each
// of them alone cannot know that there was no other build.
func TestStreamOfAKilledDaemonGoesOnAtDaemonsThatHaveJustStarted(t *testing.T) {
	daemons, _, store := startVersions(t, 1, "v1")
	settle(daemons[0])
	for range 2 {
		daemons = append(daemons, startDaemon(t, store, daemons[0].settings.VM))
	}
	awaitFleet(t, daemons)
	time.Sleep(4 * time.Second)
	var streams []testStream
	for i := range 12 {
		streams = append(streams, openStream(t, daemons[0], streamRequest{id: fmt.Sprint("id-", i)}))
	}
	daemons[0].Kill()
	for i, began := range streams {
		began.close()
		next := openStream(t, daemons[1+i%2], began.takeUp(began.id+"-again"))
		next.close()
		require.Equal(t, http.StatusOK, next.status)
		require.Equal(t, "v1", next.version)
	}
}

// Guards against messages about streams, and against streams that are refused, while a service
// has had one build only. A daemon that has just started asks the others.
func TestStreamsOfTheOnlyBuildNeedNoRecords(t *testing.T) {
	daemons, _, _ := startVersions(t, 3, "v1")
	settle(daemons[0])
	settle(daemons[1])
	awaitAccounts(t, daemons)
	time.Sleep(inquiryMemory)
	told := daemons[0].meters.originsTold.Get()
	for i := range 4 {
		began := openStream(t, daemons[0], streamRequest{id: fmt.Sprint("id-", i)})
		began.close()
		for try, daemon := range []*Daemon{daemons[1], daemons[2]} {
			next := openStream(t, daemon, began.takeUp(fmt.Sprint(began.id, "-", try)))
			next.close()
			require.Equal(t, http.StatusOK, next.status)
		}
	}
	require.Equal(t, told, daemons[0].meters.originsTold.Get())
}

// Guards against events that are missing or come twice where a caller takes its stream up: the
// engine begins after another event than the one that the caller named.
func TestStreamThatIsTakenUpGoesOnWithTheNextEvent(t *testing.T) {
	for name, first := range map[string]int{"an event is missing": 5, "an event comes twice": 3} {
		t.Run(name, func(t *testing.T) {
			engine := newTestTarget(t, "e1", func(writer http.ResponseWriter, request *http.Request) {
				_, _ = io.Copy(io.Discard, request.Body)
				writer.Header().Set("X-Id", request.Header.Get("X-Id"))
				writer.Header().Set("X-Seal", "s")
				for id := first; id <= 6; id++ {
					_, _ = fmt.Fprintf(writer, "id: %d\ndata: v1\n\n", id)
				}
			})
			daemon, _ := startServing(t, map[string]*testTarget{"engines": engine})
			settle(daemon)
			response, text, err := sendWith(t, daemon, map[string]string{"X-Id": "again", "X-Resumes": "id", "X-Last": "3"})
			if first > 4 {
				require.True(t, err != nil || response.StatusCode != http.StatusOK)
				return
			}
			require.NoError(t, err)
			require.True(t, strings.HasPrefix(text, "id: 4\n"), text)
		})
	}
}

// sendWith sends a request for a stream with headers and returns the answer and its text.
func sendWith(t *testing.T, daemon *Daemon, headers map[string]string) (*http.Response, string, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+daemon.settings.CallersAddress+"/resume/x", strings.NewReader("prompt"))
	require.NoError(t, err)
	request.Host = "h.example"
	for name, value := range map[string]string{"X-Key": "k", "X-Left": "4000", "User-Agent": ""} {
		request.Header.Set(name, value)
	}
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response, string(text), err
}
