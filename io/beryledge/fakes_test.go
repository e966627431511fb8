package beryledge

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"berylspoke"
	"berylspoke/core/berylgate"
	"berylspoke/io/berylresponse"
)

// testDialect is a dialect with its own header names, so that these tests do not depend
// on a platform.
type testDialect struct{ catalog *berylspoke.Catalog }

var _ berylspoke.Dialect = testDialect{}

func (testDialect) Prefixes() (string, string) { return "c/", "t/" }

func (testDialect) ParseRequest(header http.Header) (berylspoke.RequestInfo, error) {
	info := berylspoke.RequestInfo{ID: berylspoke.RequestID(header.Get("X-Id")), Key: header.Get("X-Key")}
	if info.ID == "" {
		return info, errors.New("request has no id")
	}
	millis, _ := strconv.Atoi(header.Get("X-Left"))
	info.TimeRemaining = time.Duration(millis) * time.Millisecond
	info.Input, info.Output = 100, 10
	if last, err := strconv.ParseInt(header.Get("X-Last"), 10, 64); err == nil {
		info.LastEvent, info.HasLastEvent = last, true
	}
	for _, field := range strings.Fields(header.Get("X-Parts")) {
		info.Segments = append(info.Segments, berylspoke.PromptSegment{ID: xxhash.Sum64String(field), Tokens: 10})
	}
	info.Resumes = berylspoke.RequestID(header.Get("X-Resumes"))
	info.Continues = info.HasLastEvent || info.Resumes != ""
	return info, nil
}

func (testDialect) Peek(head []byte) berylspoke.RequestInfo {
	_, rest, _ := bytes.Cut(head, []byte("\r\nX-Key: "))
	key, _, _ := bytes.Cut(rest, lineEnd)
	return berylspoke.RequestInfo{Key: string(key), Input: 100, Output: 10}
}

func (testDialect) ForwardHeaders(header http.Header, forward berylspoke.ForwardInfo) http.Header {
	sent := header.Clone()
	sent.Del("X-Key")
	sent.Set("X-Left", strconv.FormatInt(forward.TimeRemaining.Milliseconds(), 10))
	sent.Set("X-Target", string(forward.Target))
	sent.Set("X-Organisation", string(forward.Organisation))
	if forward.Resume {
		sent.Set("X-Last", strconv.FormatInt(forward.LastEvent, 10))
	}
	return sent
}

func (testDialect) ParseResponse(_ int, header http.Header) berylspoke.ResponseInfo {
	restMillis, _ := strconv.Atoi(header.Get("X-Rest"))
	return berylspoke.ResponseInfo{
		ID:     berylspoke.RequestID(header.Get("X-Id")),
		Sealed: header.Get("X-Seal") != "", NotRun: header.Get("X-Not-Run") != "",
		Leaving: header.Get("X-Leaving") != "", Rest: time.Duration(restMillis) * time.Millisecond,
	}
}

func (testDialect) CopyResponseHeaders(header, received http.Header) {
	for _, name := range []string{"X-Id", "X-Seal", "Content-Type"} {
		if value := received.Get(name); value != "" {
			header.Set(name, value)
		}
	}
}

func (testDialect) SetRequestID(header http.Header, id berylspoke.RequestID) {
	header.Set("X-Id", string(id))
}

func (testDialect) Evacuated(items []berylspoke.Item) []berylspoke.FailureDomain {
	var domains []berylspoke.FailureDomain
	for _, item := range items {
		if domain, found := strings.CutPrefix(item.Key, "c/empty/"); found {
			domains = append(domains, berylspoke.FailureDomain(domain))
		}
	}
	return domains
}

func (dialect testDialect) Catalog(items []berylspoke.Item) (*berylspoke.Catalog, error) {
	if len(items) == 0 {
		return nil, nil
	}
	catalog := *dialect.catalog
	catalog.Version = berylspoke.ConfigVersion(items[0].Position.Revision)
	if sequence, known := dialect.Sequence(items[0]); known {
		catalog.Version = berylspoke.ConfigVersion(sequence.Number)
	}
	return &catalog, nil
}

// Sequence reads the value's number at the end of "@run.number".
func (testDialect) Sequence(item berylspoke.Item) (berylspoke.Sequence, bool) {
	_, text, found := strings.Cut(string(item.Value), "@")
	var sequence berylspoke.Sequence
	if !found {
		return sequence, false
	}
	_, err := fmt.Sscanf(text, "%d.%d", &sequence.Run, &sequence.Number)
	return sequence, err == nil
}

func (testDialect) IdentityPath() string { return "/identity" }

// Started reads the number after "started=".
func (testDialect) Started(body []byte) (int64, bool) {
	_, text, found := strings.Cut(string(body), "started=")
	started, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	return started, found && err == nil
}

// Target reads the fields of a value. The version of a target is v1 unless a field tells it.
func (testDialect) Target(item berylspoke.Item) (berylspoke.Target, error) {
	fields := strings.Fields(string(item.Value))
	if len(fields) < 2 {
		return berylspoke.Target{}, errors.Errorf("target %s is malformed", item.Key)
	}
	target := berylspoke.Target{
		ID: berylspoke.TargetID(strings.TrimPrefix(item.Key, "t/")), Service: berylspoke.ServiceID(fields[0]),
		Address: fields[1], FailureDomain: "a", Slots: 8, Draining: slices.Contains(fields, "leaving"), Version: "v1",
	}
	for _, field := range fields[2:] {
		if version, found := strings.CutPrefix(field, "version="); found {
			target.Version = berylspoke.SoftwareVersion(version)
		}
		if started, found := strings.CutPrefix(field, "started="); found {
			target.Started, _ = strconv.ParseInt(started, 10, 64)
		}
	}
	return target, nil
}

// testStore is an in-memory store that can be made to fail, or to return from a copy.
type testStore struct {
	mutex    sync.Mutex
	items    map[string]berylspoke.Item
	revision berylspoke.Revision
	era      berylspoke.Era
	changed  chan struct{}
	down     atomic.Bool
	calls    atomic.Int64
	// lists counts the calls that were lists.
	lists atomic.Int64
}

// at returns a position in the first era.
func at(revision berylspoke.Revision) berylspoke.Position {
	return berylspoke.Position{Revision: revision}
}

// testCopy is what a store held at one time.
type testCopy struct {
	items    map[string]berylspoke.Item
	revision berylspoke.Revision
}

func (store *testStore) copy() testCopy {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return testCopy{maps.Clone(store.items), store.revision}
}

// returnFrom makes the store return from a copy, and then writes items before it answers a
// call.
func (store *testStore) returnFrom(copy testCopy, written ...[2]string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.items, store.revision = maps.Clone(copy.items), copy.revision
	store.era++
	for _, item := range written {
		store.write(item[0], item[1])
	}
	store.wake()
}

func newTestStore() *testStore {
	return &testStore{items: make(map[string]berylspoke.Item), changed: make(chan struct{}), revision: 1}
}

func (store *testStore) put(key, value string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.write(key, value)
	store.wake()
}

func (store *testStore) write(key, value string) {
	store.revision++
	store.items[key] = berylspoke.Item{Key: key, Value: []byte(value), Position: at(store.revision), Deleted: value == ""}
}

// wake ends the waits for a change.
func (store *testStore) wake() {
	close(store.changed)
	store.changed = make(chan struct{})
}

func (store *testStore) after(prefix string, after berylspoke.Revision, deleted bool) (berylspoke.StoreAnswer, chan struct{}) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	var items []berylspoke.Item
	for key, item := range store.items {
		if strings.HasPrefix(key, prefix) && item.Position.Revision > after && (deleted || !item.Deleted) {
			item.Position.Era = store.era
			items = append(items, item)
		}
	}
	return berylspoke.StoreAnswer{Items: items, AsOf: berylspoke.Position{Era: store.era, Revision: store.revision}}, store.changed
}

func (store *testStore) List(_ context.Context, prefix string) (berylspoke.StoreAnswer, error) {
	store.calls.Add(1)
	store.lists.Add(1)
	if store.down.Load() {
		return berylspoke.StoreAnswer{}, errors.New("store is down")
	}
	answer, _ := store.after(prefix, 0, false)
	return answer, nil
}

func (store *testStore) Watch(ctx context.Context, prefix string, after berylspoke.Revision, wait time.Duration) (berylspoke.StoreAnswer, error) {
	store.calls.Add(1)
	deadline := time.After(wait)
	for {
		if store.down.Load() {
			return berylspoke.StoreAnswer{}, errors.New("store is down")
		}
		answer, changed := store.after(prefix, after, true)
		if after > answer.AsOf.Revision {
			return berylspoke.StoreAnswer{}, &berylspoke.StoreError{Era: answer.AsOf.Era, Cause: berylspoke.ErrHistoryGone}
		}
		if len(answer.Items) > 0 {
			return answer, nil
		}
		select {
		case <-changed:
		case <-deadline:
			return answer, nil
		case <-ctx.Done():
			return berylspoke.StoreAnswer{}, ctx.Err()
		}
	}
}

// testTarget is a target whose answers come from a handler of the test.
type testTarget struct {
	*httptest.Server
	id string
	// started is what the target says of its start.
	started atomic.Int64
	// silent makes the target not say it.
	silent atomic.Bool
	seen   atomic.Int64
	serve  atomic.Pointer[http.HandlerFunc]
}

func newTestTarget(t *testing.T, id string, serve http.HandlerFunc) *testTarget {
	target := &testTarget{id: id}
	target.serve.Store(&serve)
	target.Server = httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == (testDialect{}).IdentityPath() {
			if target.silent.Load() {
				<-request.Context().Done()
				return
			}
			_, _ = fmt.Fprintf(writer, "started=%d", target.started.Load())
			return
		}
		target.seen.Add(1)
		(*target.serve.Load())(writer, request)
	}))
	t.Cleanup(func() {
		target.CloseClientConnections()
		target.Close()
	})
	return target
}

func (target *testTarget) address() string { return strings.TrimPrefix(target.URL, "http://") }

// sealed returns a handler that answers as a target does.
func sealed(status int, body string) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		writer.Header().Set("X-Id", request.Header.Get("X-Id"))
		writer.Header().Set("X-Seal", "s")
		writer.WriteHeader(status)
		_, _ = io.WriteString(writer, body)
	}
}

// raw returns a handler that answers with arbitrary bytes and closes the connection.
func raw(answer func(id string) string) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		conn, _, err := writer.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, answer(request.Header.Get("X-Id")))
		_ = conn.Close()
	}
}

func testCatalog() *berylspoke.Catalog {
	route := func(path string, kind berylspoke.Kind, service berylspoke.ServiceID, attempts int) berylspoke.Route {
		return berylspoke.Route{
			Name: path, Host: "h.example", Prefix: "/" + path + "/", Kind: kind, Resumable: path == "resume",
			Timeout: 5 * time.Second, Objective: 2 * time.Second, MaxAttempts: attempts,
			Shares: []berylspoke.Share{{Service: service, Weight: 1}},
		}
	}
	return &berylspoke.Catalog{
		Routes: []berylspoke.Route{
			route("read", berylspoke.Idempotent, "desk", 2), route("file", berylspoke.NonIdempotent, "desk", 2),
			route("draft", berylspoke.Streaming, "engines", 1), route("resume", berylspoke.Streaming, "engines", 2),
		},
		Services: map[berylspoke.ServiceID]berylspoke.Service{
			"desk":    {ID: "desk", MaxConnections: 100},
			"engines": {ID: "engines", MaxConnections: 100, Engine: &berylspoke.EngineSpec{Slots: 8, CacheCapacity: 100_000}},
		},
		Organisations: []berylspoke.Organisation{{ID: "clergy", Keys: []string{"k"}}, {ID: "union", Keys: []string{"u"}}},
		Limits:        berylspoke.Limits{BodyBytes: 1 << 20, TokensPerSecond: 100_000},
	}
}

var daemons atomic.Int64

// uniqueHost returns a loopback address that no other process and no other daemon in this
// process uses, so that fixed ports on it are free.
func uniqueHost() string {
	process := os.Getpid()
	const perNetwork = 250
	count := int(daemons.Add(1)) - 1
	return fmt.Sprintf("127.%d.%d.%d", 1+process>>8&0x3f+64*(count/perNetwork%3), process&0xff, 2+count%perNetwork)
}

// startDaemon runs a daemon in this process.
func startDaemon(t *testing.T, store berylspoke.Store, seeds ...berylspoke.VMID) *Daemon {
	return startWith(t, store, testDialect{testCatalog()}, seeds...)
}

// startWith runs a daemon with a dialect.
func startWith(t *testing.T, store berylspoke.Store, dialect berylspoke.Dialect, seeds ...berylspoke.VMID) *Daemon {
	return startIn(t, store, dialect, "a", map[berylspoke.FailureDomain]berylspoke.Region{"a": "r"}, seeds...)
}

// startIn runs a daemon in a failure domain.
func startIn(t *testing.T, store berylspoke.Store, dialect berylspoke.Dialect, domain berylspoke.FailureDomain, regions map[berylspoke.FailureDomain]berylspoke.Region, seeds ...berylspoke.VMID) *Daemon {
	return startLogged(t, zap.NewNop(), 8*time.Second, store, dialect, domain, regions, seeds...)
}

// startLogged runs a daemon with a log and a time to stop within.
func startLogged(t *testing.T, log *zap.Logger, stopTimeout time.Duration, store berylspoke.Store, dialect berylspoke.Dialect, domain berylspoke.FailureDomain, regions map[berylspoke.FailureDomain]berylspoke.Region, seeds ...berylspoke.VMID) *Daemon {
	return startConfigured(t, log, stopTimeout, store, dialect, domain, regions, func(*Settings) {}, seeds...)
}

// startConfigured is startLogged with a change of the settings.
func startConfigured(t *testing.T, log *zap.Logger, stopTimeout time.Duration, store berylspoke.Store, dialect berylspoke.Dialect, domain berylspoke.FailureDomain, regions map[berylspoke.FailureDomain]berylspoke.Region, change func(*Settings), seeds ...berylspoke.VMID) *Daemon {
	host := uniqueHost()
	settings := &Settings{
		Name: t.Name(), VM: berylspoke.VMID(host + ":7001"),
		FailureDomain: domain, Region: regions[domain], RegionOf: regions,
		Seeds: seeds, CallersAddress: host + ":7002", ReadyAddress: host + ":7003", ResolveAddress: host + ":7004",
		OperatorsAddress: host + ":7005", MaxDescriptors: 1000, Capacity: 19, StopTimeout: stopTimeout,
		RetryRatio: 1, RetrySlack: 1000, StoreAddress: "127.0.0.1:1", FleetKey: "a key of the tests only",
	}
	change(settings)
	require.NoError(t, settings.Check())
	endpoints := func(*Daemon) Endpoints {
		return Endpoints{Resolve: http.NotFoundHandler(), Ready: http.NotFoundHandler()}
	}
	daemon, err := Start(settings, dialect, store, endpoints, log)
	require.NoError(t, err)
	t.Cleanup(daemon.Kill)
	return daemon
}

// startServing runs a daemon with targets, by service with an optional #number, and waits
// until it is ready.
func startServing(t *testing.T, targets map[string]*testTarget) (*Daemon, *testStore) {
	return startServingWith(t, targets, testDialect{testCatalog()})
}

// startServingWith is startServing with a dialect.
func startServingWith(t *testing.T, targets map[string]*testTarget, dialect berylspoke.Dialect) (*Daemon, *testStore) {
	store := newTestStore()
	store.put("c/1", "catalog")
	for service, target := range targets {
		name, _, _ := strings.Cut(service, "#")
		store.put("t/"+target.id, name+" "+target.address())
	}
	daemon := startWith(t, store, dialect)
	require.Eventually(t, daemon.Ready, 10*time.Second, 10*time.Millisecond)
	fillRetryBudget(daemon)
	return daemon, store
}

// fillRetryBudget fills the retry budgets by requests that end at once.
func fillRetryBudget(daemon *Daemon) {
	const enough = 4
	daemon.inspectCore(func(now time.Time, core *core) {
		for service := range testCatalog().Services {
			for range enough {
				request := &berylgate.Request{Service: service, Arrived: now, Objective: time.Minute}
				core.gate.Submit(now, request)
				core.gate.AttemptEnded(now, request, berylgate.Abandoned)
			}
		}
	})
}

// send sends one request and returns the answer and its body.
func send(t *testing.T, daemon *Daemon, method, path, id, body string) (*http.Response, string, error) {
	request, err := http.NewRequest(method, "http://"+daemon.settings.CallersAddress+path, strings.NewReader(body))
	require.NoError(t, err)
	return do(request, id)
}

// sendParts posts one request with further headers.
func sendParts(t *testing.T, daemon *Daemon, path, id, body string, header http.Header) (*http.Response, string, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+daemon.settings.CallersAddress+path, strings.NewReader(body))
	require.NoError(t, err)
	request.Header = header.Clone()
	return do(request, id)
}

// do sends a request of a caller.
func do(request *http.Request, id string) (*http.Response, string, error) {
	request.Host = "h.example"
	request.Header.Set("X-Id", id)
	request.Header.Set("X-Key", "k")
	request.Header.Set("X-Left", "4000")
	request.Header.Set("User-Agent", "")
	client := &http.Client{Transport: berylresponse.Transport{Transport: &http.Transport{DisableKeepAlives: true}}, Timeout: 20 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response, string(text), err
}
