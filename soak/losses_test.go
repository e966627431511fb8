package berylsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke/platform/beryldouble"
)

const (
	// lostStreams is the number of streams that run as processes are lost, newStreams the number that
	// is sent newStreamsAfter the processes are back.
	lostStreams, newStreams = 60, 20
	newStreamsAfter         = 2 * time.Second
	// versionsSettle is the time within which engines of a new version get streams, streamsRun that for which
	// streams run before the loss, lossDowntime that until the processes start again.
	versionsSettle, streamsRun, lossDowntime = 3 * time.Second, 800 * time.Millisecond, time.Second
	// takeUpInterval is the time between two tries of a caller, until takeUpLimit.
	takeUpInterval, takeUpLimit = 400 * time.Millisecond, 6 * time.Second
)

// loss says which engines serve as processes are lost, and which of both live on.
type loss struct {
	versions []string
	// oldLeaves lets the engines of the first version leave while the processes are down.
	oldLeaves bool
	// spared is the number of processes that live on.
	spared int
}

// lossOutcome counts the streams that were taken up while engines of their version served, those of them
// that went on, and the new streams that began after the loss.
type lossOutcome struct {
	takenUp, wentOn, newBegan atomic.Int64
}

// playLoss plays a loss of processes in a world of its own.
func playLoss(t *testing.T, loss loss) *lossOutcome {
	folder, err := os.MkdirTemp("", "soak")
	require.NoError(t, err)
	world, err := NewWorld(program, folder, Size{VMs: 6, Engines: 3, Desks: 2, MemoryMB: 134, Versions: true, Scenes: true})
	if world != nil {
		defer world.Close()
	}
	require.NoError(t, err)
	for _, version := range loss.versions[1:] {
		for range 3 {
			_, err := world.addEngine(version)
			require.NoError(t, err)
		}
	}
	time.Sleep(versionsSettle)
	caller := beryldouble.NewCaller(1, domains[0].name, domains[0].region, world.resolveAddresses(domains[0].name), nil)
	defer caller.Close()
	outcome, lastTry := new(lossOutcome), time.Now().Add(takeUpLimit)
	var running, killing sync.WaitGroup
	for number := range lostStreams {
		running.Go(func() { world.takeUpAnywhere(caller, number, lastTry, outcome) })
	}
	time.Sleep(streamsRun)
	world.judge.recordUnplannedFault()
	for _, process := range world.processes[loss.spared:] {
		killing.Go(func() { world.restart(process, syscall.SIGKILL, lossDowntime) })
	}
	if loss.oldLeaves {
		world.leaveAll(loss.versions[0])
	}
	killing.Wait()
	require.NoError(t, world.awaitReady(world.processes))
	time.Sleep(newStreamsAfter)
	for number := range newStreams {
		running.Go(func() {
			if world.sendLost(caller, new(stream), lostRequest(lostStreams+number), number).Succeeded() {
				outcome.newBegan.Add(1)
			}
		})
	}
	running.Wait()
	t.Logf("%d of %d streams went on, %d of %d new ones began", outcome.wentOn.Load(), outcome.takenUp.Load(), outcome.newBegan.Load(), newStreams)
	for _, violation := range world.judge.result(processLogs{}).Violations {
		t.Errorf("%s", violation)
	}
	checkPanics(t, folder)
	if t.Failed() {
		t.Logf("logs are kept in %s", folder)
	} else {
		_ = os.RemoveAll(folder)
	}
	return outcome
}

// leaveAll lets all engines of a version leave at once.
func (world *World) leaveAll(version string) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	for id, target := range world.targets {
		if target.service == engineService && target.Options().Version == version {
			delete(world.targets, id)
			target.Deregister()
		}
	}
}

// lostRequest returns a request for a stream.
func lostRequest(number int) beryldouble.Request {
	request := (*World)(nil).sceneStream(step{}, number)
	request.ID = fmt.Sprintf("loss-%d", number)
	return request
}

// sendLost sends a request for a stream, or takes it up, at the process with a number modulo their count.
func (world *World) sendLost(caller *beryldouble.Caller, stream *stream, request beryldouble.Request, number int) beryldouble.Result {
	address := world.processes[number%len(world.processes)].vm.CallersAddress()
	request.Resumes, request.LastEvent = stream.began, stream.next-1
	world.judge.recordSent(request.ID, &attempt{
		path: request.Path, organisation: organisationName(0), processRun: world.currentRun(address), sent: time.Now(), stream: stream, takesUp: stream.began != "",
	})
	answer := caller.Send(context.Background(), address, request)
	world.judge.recordAnswer(answer)
	return answer
}

// takeUpAnywhere sends a request for a stream and, once it has broken, takes it up at any process until it
// goes on, as long as its caller has time.
func (world *World) takeUpAnywhere(caller *beryldouble.Caller, number int, until time.Time, outcome *lossOutcome) {
	stream, request := new(stream), lostRequest(number)
	world.sendLost(caller, stream, request, number)
	if stream.next == 0 || stream.complete {
		return
	}
	id, received, serves := request.ID, stream.next, false
	for try := 0; time.Now().Before(until); try++ {
		request.ID, request.TimeRemaining = fmt.Sprintf("%s-%d", id, try), time.Until(until)
		answer := world.sendLost(caller, stream, request, rand.IntN(len(world.processes)))
		serves = serves || world.countServing(stream.text) >= servingEngines
		if stream.next > received || answer.Succeeded() {
			outcome.takenUp.Add(1)
			outcome.wentOn.Add(1)
			return
		}
		time.Sleep(takeUpInterval)
	}
	if serves {
		outcome.takenUp.Add(1)
	}
}

// countServing returns the number of engines of a version that have not ended.
func (world *World) countServing(text string) int {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	serving := 0
	for _, target := range world.targets {
		if target.service == engineService && target.Text() == text && !target.Ended() {
			serving++
		}
	}
	return serving
}

// requireStreamsGoOn checks that half as many of the streams went on, at least, as new ones began.
func requireStreamsGoOn(t *testing.T, outcome *lossOutcome) {
	takenUp, wentOn := float64(outcome.takenUp.Load()), float64(outcome.wentOn.Load())
	require.GreaterOrEqual(t, takenUp, float64(minTakenUp), "too few streams were broken")
	require.GreaterOrEqual(t, wentOn/takenUp, minShare*float64(outcome.newBegan.Load())/newStreams)
}

// Guards against streams that do not go on although one process has lived through the loss of all others.
func TestStreamsGoOnAfterAllProcessesButOneAreLost(t *testing.T) {
	requireStreamsGoOn(t, playLoss(t, loss{versions: []string{"v1", "v2"}, spared: 1}))
}

// losses of all processes at once.
var allLost = map[string]loss{
	"both versions serve": {versions: []string{"v1", "v2"}},
	"the old one left":    {versions: []string{"v1", "v2"}, oldLeaves: true},
	"one version":         {versions: []string{"v1"}},
}

// Guards against streams that hold events of two versions, and processes that serve no new ones, after all
// processes were lost at once: nobody knows which version began a stream, and those that serve now need not
// be those that served before.
func TestStreamsOfALostFleetAreNotJoined(t *testing.T) {
	for name, loss := range allLost {
		t.Run(name, func(t *testing.T) {
			require.GreaterOrEqual(t, float64(playLoss(t, loss).newBegan.Load()), minShare*newStreams)
		})
	}
}

// Guards against streams that do not go on after all processes were lost at once, though engines of the
// version that began them serve.
func TestStreamsOfALostFleetGoOn(t *testing.T) {
	for _, name := range []string{"both versions serve", "one version"} {
		t.Run(name, func(t *testing.T) { requireStreamsGoOn(t, playLoss(t, allLost[name])) })
	}
}
