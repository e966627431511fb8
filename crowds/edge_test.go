//go:build crowds

package berylcrowds

// This file tests the daemon of the users' platform.

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke/io/berylresponse"
	"berylspoke/platform/beryldouble"
)

const (
	hostName = "h.example"
	apiKey   = "key-1"
	// memoryMB and descriptors are those of the VM.
	memoryMB    = 80
	descriptors = 640
	// smallestMB is the memory of the smallest VM that is declared.
	smallestMB = 112
	// largestBody and largestHead are the largest that a request may have.
	largestBody = 4 << 20
	largestHead = 16 << 10
	// largeAnswerBytes is the size of the answers of one service.
	largeAnswerBytes = 5 << 20
	// slowAnswer is how long the targets of one service take.
	slowAnswer = 40 * time.Second
	// faultyTargets is the number of targets of the service whose targets are faulty, faultyTimeout the timeout
	// of its routes.
	faultyTargets = 16
	faultyTimeout = 6 * time.Second
	// basePort is the first port of the process.
	basePort = 8700
	// peersPortOffset is the offset of the port of the peers.
	peersPortOffset = 4
)

// deployment is one process with a store and a target for each service.
type deployment struct {
	*process
	t     *testing.T
	store *beryldouble.Store
	vm    beryldouble.VM
	mutex sync.Mutex
	// ran holds the ids of the requests that have run.
	ran map[string]bool
	// faulty are targets that no other test uses.
	faulty []*beryldouble.Target
}

// startDeployment starts a deployment and waits until it is ready.
func startDeployment(t *testing.T, memoryMB int) *deployment {
	t.Helper()
	store, err := beryldouble.NewStore()
	require.NoError(t, err)
	t.Cleanup(store.Close)
	deployment := &deployment{t: t, store: store, ran: make(map[string]bool)}
	require.NoError(t, configuration().Publish(store))
	for _, options := range []beryldouble.TargetOptions{
		{ID: "engine", Service: "engines", FailureDomain: "north-a", Slots: 64, Events: 4, EventInterval: 5 * time.Millisecond},
		{ID: "desk", Service: "desks", FailureDomain: "north-a", Slots: 1000, ProcessingTime: time.Millisecond},
		{ID: "slow", Service: "slow", FailureDomain: "north-a", Slots: 1000, ProcessingTime: slowAnswer},
		{ID: "large", Service: "large", FailureDomain: "north-a", Slots: 1000, AnswerBytes: largeAnswerBytes},
	} {
		target, err := beryldouble.StartTarget(store, options, beryldouble.Observer{OnRun: deployment.recordRun, OnArrival: func(beryldouble.Arrival) {}})
		require.NoError(t, err)
		t.Cleanup(target.Crash)
	}
	for i := range faultyTargets {
		options := beryldouble.TargetOptions{ID: fmt.Sprint("faulty-", i), Service: "faulty", FailureDomain: "north-a", Slots: 64}
		target, err := beryldouble.StartTarget(store, options, beryldouble.Observer{OnRun: deployment.recordRun, OnArrival: func(beryldouble.Arrival) {}})
		require.NoError(t, err)
		t.Cleanup(target.Crash)
		deployment.faulty = append(deployment.faulty, target)
	}
	own := os.Getpid()
	deployment.vm = beryldouble.VM{
		Name: "vm-1", Host: fmt.Sprintf("127.%d.%d.1", 192+own%60, own/60%256), FailureDomain: "north-a", Region: "north",
		RegionOf: map[string]string{"north-a": "north"}, StoreAddress: store.Address(), BasePort: basePort,
		Cores: 0.4, MemoryMB: memoryMB, Descriptors: descriptors, Bootstrap: true, StopSeconds: 8,
	}
	deployment.vm.SeedHosts = []string{deployment.vm.Host}
	settings, err := deployment.vm.Settings()
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "settings.toml")
	require.NoError(t, os.WriteFile(path, settings, 0o600))
	deployment.process = startProcess(t, "edge", "-settings", path)
	require.Eventually(t, deployment.vm.IsReady, waitTimeout, 20*time.Millisecond)
	return deployment
}

func configuration() beryldouble.Configuration {
	route := func(name, kind, service string, timeout time.Duration) beryldouble.Route {
		return beryldouble.Route{
			Name: name, Prefix: "/" + name + "/", Kind: kind, Service: service, TimeoutMillis: int(timeout.Milliseconds()),
			FirstByteObjectiveMillis: 1000, MaxAttempts: 1,
		}
	}
	return beryldouble.Configuration{
		Version: 1, Host: hostName, TokensPerSecond: 400_000,
		Services: []beryldouble.Service{{Name: "engines", Slots: 64, CacheCapacity: 400_000, EventTokens: 8}, {Name: "desks"}, {Name: "slow"}, {Name: "large"}, {Name: "faulty"}},
		Routes: []beryldouble.Route{
			route("draft", "streaming", "engines", time.Minute), route("look", "idempotent", "desks", time.Minute),
			route("book", "non_idempotent", "desks", time.Minute), route("slow", "non_idempotent", "slow", time.Minute),
			route("large", "idempotent", "large", time.Minute), route("faulty-look", "idempotent", "faulty", faultyTimeout),
			route("faulty-book", "non_idempotent", "faulty", faultyTimeout), route("faulty-draft", "streaming", "faulty", faultyTimeout),
		},
		Organisations: []beryldouble.Organisation{{Name: "organisation-1", Keys: []string{apiKey}}},
	}
}

func (deployment *deployment) recordRun(run beryldouble.Run) {
	deployment.mutex.Lock()
	defer deployment.mutex.Unlock()
	deployment.ran[run.RequestID] = true
}

func (deployment *deployment) hasRun(id string) bool {
	deployment.mutex.Lock()
	defer deployment.mutex.Unlock()
	return deployment.ran[id]
}

// address returns the address of a listener.
func (deployment *deployment) address(listener string) string {
	return map[string]string{
		"callers": deployment.vm.CallersAddress(), "ready": deployment.vm.ReadyAddress(),
		"resolve": deployment.vm.ResolveAddress(), "operators": deployment.vm.OperatorsAddress(),
	}[listener]
}

// post sends a request of an ordinary caller on a connection of its own and returns its status and body.
func (deployment *deployment) post(path, id, lines string, body io.Reader) (int, []byte, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+deployment.vm.CallersAddress()+path, body)
	if err != nil {
		return 0, nil, err
	}
	request.Host = hostName
	request.Header.Set("Authorization", "Bearer "+apiKey)
	request.Header.Set("Attempt-Id", id)
	for _, line := range strings.Fields(lines) {
		request.Header[strings.TrimSuffix(line, ":")] = []string{""}
	}
	client := http.Client{Transport: berylresponse.Transport{Transport: &http.Transport{DisableKeepAlives: true}}, Timeout: waitTimeout}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}

// checkOrdinary checks that ordinary callers are answered at each listener, also if they have to come back.
func (deployment *deployment) checkOrdinary(name string) {
	deployment.t.Helper()
	attempt := 0
	for _, path := range []string{"/look/x", "/draft/x"} {
		require.Eventually(deployment.t, func() bool {
			attempt++
			status, _, err := deployment.post(path, fmt.Sprintf("ordinary-%s-%d", name, attempt), "", strings.NewReader(strings.Repeat("o", 1000)))
			return err == nil && status == http.StatusOK
		}, waitTimeout, 50*time.Millisecond, "%s: an ordinary caller is answered on %s", name, path)
	}
	for _, get := range []string{
		deployment.vm.ReadyAddress() + "/readyz", deployment.vm.ResolveAddress() + "/resolve?zone=north-a", deployment.vm.OperatorsAddress() + "/metrics",
	} {
		client := http.Client{Transport: berylresponse.Transport{Transport: &http.Transport{DisableKeepAlives: true}}, Timeout: 5 * time.Second}
		require.Eventually(deployment.t, func() bool {
			response, err := client.Get("http://" + get)
			if err != nil {
				return false
			}
			_ = response.Body.Close()
			return response.StatusCode == http.StatusOK
		}, waitTimeout, 50*time.Millisecond, "%s: %s", name, get)
	}
}

// playCrowds plays the crowds of a test, each with a deployment of its own.
func playCrowds(t *testing.T, test string) {
	crowds := readCrowds(t, test)
	for i := range crowds {
		crowd := &crowds[i]
		t.Run(crowd.Name, func(t *testing.T) {
			deployment := startDeployment(t, memoryMB)
			callers := play(crowd, deployment.address, "Authorization: Bearer "+apiKey+"\r\nDeadline-Ms: 60000\r\n")
			defer leave(callers)
			deployment.checkOrdinary("beside")
			deployment.check("beside", memoryMB, descriptors)
			for _, id := range refused(callers) {
				require.False(t, deployment.hasRun(id), "%s was refused as not run, and ran", id)
			}
			leave(callers)
			deployment.checkOrdinary("after")
			deployment.check("after", memoryMB, descriptors)
		})
	}
}

// Guards against heads of many lines that fill the memory while their bodies are awaited.
func TestHeadsOfManyLines(t *testing.T) { playCrowds(t, "headsOfManyLines") }

// Guards against bodies with a length that fill the memory before they are whole.
func TestLargeBodiesWithALength(t *testing.T) { playCrowds(t, "largeBodies") }

// Guards against chunked bodies that fill the memory before they are whole.
func TestLargeChunkedBodies(t *testing.T) { playCrowds(t, "chunkedBodies") }

// Guards against whole requests that fill the memory while they wait or run.
func TestWholeRequestsThatWait(t *testing.T) { playCrowds(t, "wholeRequests") }

// Guards against trailers and pipelined heads that fill the memory while a request runs.
func TestLinesAfterTheBody(t *testing.T) { playCrowds(t, "linesAfterTheBody") }

// Guards against answers that fill the memory as their callers do not read them.
func TestAnswersThatAreNotRead(t *testing.T) { playCrowds(t, "unreadAnswers") }

// Guards against connections that take all descriptors, or the memory.
func TestManyConnections(t *testing.T) { playCrowds(t, "connections") }

// Guards against heads and bodies that fill the memory at the listeners that serve no calls.
func TestOtherListeners(t *testing.T) { playCrowds(t, "otherListeners") }

// Guards against bounds that refuse a request with the largest head and body in calm.
func TestLargestHeadAndBodyAreServed(t *testing.T) {
	deployment := startDeployment(t, smallestMB)
	for _, lines := range []string{"short", "same", "long"} {
		for _, chunk := range []int{0, 64 << 10} {
			for _, path := range []string{"/look/x", "/book/x", "/draft/x"} {
				single := &caller{
					crowd: &crowd{Method: http.MethodPost, Path: path, Lines: lines, HeadBytes: largestHead, BodyBytes: largestBody, ChunkBytes: chunk},
					id:    fmt.Sprintf("largest-%s-%d%s", lines, chunk, path), address: deployment.vm.CallersAddress(),
					headers: "Authorization: Bearer " + apiKey + "\r\nDeadline-Ms: 60000\r\n",
				}
				head := len(single.head(single.id))
				require.InDelta(t, largestHead, head, 8)
				require.LessOrEqual(t, head, largestHead)
				single.run()
				require.Equal(t, http.StatusOK, single.status(), single.id)
				require.True(t, deployment.hasRun(single.id), single.id)
				leave([]*caller{single})
			}
		}
	}
	deployment.check("largest", smallestMB, descriptors)
}

// Guards against bounds that refuse a single request within the limits in calm.
func TestLargestRequestIsServed(t *testing.T) {
	deployment := startDeployment(t, smallestMB)
	body := bytes.Repeat([]byte{'b'}, largestBody)
	// The client adds lines of its own, and each takes two bytes more than here.
	lines := strings.ReplaceAll(fillerLines("short", largestHead*5/8), "\r", "")
	for name, reader := range map[string]func() io.Reader{
		"length": func() io.Reader { return bytes.NewReader(body) },
		"chunks": func() io.Reader { return io.MultiReader(bytes.NewReader(body)) },
	} {
		for _, path := range []string{"/look/x", "/book/x", "/draft/x"} {
			id := "largest-" + name + path
			status, _, err := deployment.post(path, id, lines, reader())
			require.NoError(t, err, id)
			require.Equal(t, http.StatusOK, status, id)
			require.True(t, deployment.hasRun(id), id)
		}
	}
	deployment.check("largest", smallestMB, descriptors)
}
