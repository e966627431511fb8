//go:build crowds

package berylcrowds

// This file tests the daemon of the users' platform against answers of targets.

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke/io/berylstand"
	"berylspoke/platform/beryldouble"
)

const (
	// endlessCallers is the number of callers whose requests meet faulty targets at once, endlessTime how long
	// they go on.
	endlessCallers = 300
	endlessTime    = 4 * time.Second
)

// Guards against a process that falls to answers whose bytes do not end, in a head or in a body, and against
// ordinary callers that are not answered beside them.
func TestAnswersWithoutEnd(t *testing.T) {
	for style := beryldouble.Ends + 1; style < beryldouble.EndlessStyles; style++ {
		t.Run(style.String(), func(t *testing.T) {
			deployment := startDeployment(t, memoryMB)
			for _, target := range deployment.faulty {
				target.SetEndless(style)
			}
			var callers sync.WaitGroup
			end := time.Now().Add(endlessTime)
			for caller := range endlessCallers {
				callers.Go(func() {
					for number := 0; time.Now().Before(end); number++ {
						path := faultyPaths[number%len(faultyPaths)]
						status, body, err := deployment.post(path, fmt.Sprintf("endless-%d-%d", caller, number), "", strings.NewReader("a letter"))
						if err == nil && status == http.StatusOK {
							t.Errorf("%d bytes of an answer without end are passed on as whole", len(body))
							return
						}
						time.Sleep(10 * time.Millisecond)
					}
				})
			}
			deployment.checkOrdinary("beside")
			callers.Wait()
			deployment.check("beside", memoryMB, descriptors)
			for _, target := range deployment.faulty {
				target.SetEndless(beryldouble.Ends)
			}
			deployment.checkOrdinary("after")
			require.Eventually(t, func() bool {
				status, _, err := deployment.post("/faulty-look/x", fmt.Sprint("after-", time.Now().UnixNano()), "", strings.NewReader("a letter"))
				return err == nil && status == http.StatusOK
			}, waitTimeout, 50*time.Millisecond, "a target that has recovered is used")
		})
	}
}

// soundFields returns the fields of a sound answer.
func soundFields(request *http.Request) string {
	id := request.Header.Get("Attempt-Id")
	return fmt.Sprintf("Attempt-Id: %s\r\nServer-Seal: crowds:%s\r\n", id, id)
}

// faultyPaths are paths of each kind of route whose targets are faulty.
var faultyPaths = []string{"/faulty-book/x", "/faulty-look/x", "/faulty-draft/x"}

// Guards against answers with a broken head that a process passes on.
func TestAnswersWithABrokenHead(t *testing.T) {
	deployment := startDeployment(t, memoryMB)
	const body = "id: 0\ndata: text\n\nid: 1\ndata: end\n\n"
	for number, head := range berylstand.Heads() {
		faulty := &berylstand.HeadTarget{Head: head, Body: body, Fields: soundFields}
		for _, target := range deployment.faulty {
			target.SetAnswers(faulty)
		}
		for _, path := range faultyPaths {
			status, answer, err := deployment.post(path, fmt.Sprintf("head-%d%s", number, path), "", strings.NewReader("a letter"))
			require.NoError(t, err, "%s, %s", head.Case, path)
			if head.Broken {
				require.Equal(t, http.StatusBadGateway, status, "%s, %s: %q", head.Case, path, answer)
				continue
			}
			require.Equal(t, http.StatusOK, status, "%s, %s", head.Case, path)
			require.Equal(t, body, string(answer), "%s, %s", head.Case, path)
		}
		// Targets that failed are paused.
		time.Sleep(pausedTime)
	}
	deployment.check("heads", memoryMB, descriptors)
}

// pausedTime is longer than targets are paused after a failure.
const pausedTime = 300 * time.Millisecond

// Guards against a part of an answer that a process passes on as the whole, as its target ends the connection
// while the request is still being written to it.
func TestAnswersThatEndDuringTheUpload(t *testing.T) {
	deployment := startDeployment(t, smallestMB)
	for _, target := range deployment.faulty {
		target.Deregister()
	}
	for number, upload := range berylstand.Uploads() {
		faulty := &berylstand.UploadTarget{
			Upload: upload, Fields: soundFields, Halves: [2]string{"id: 0\ndata: text\n\n", "id: 1\ndata: end\n\n"},
		}
		address, err := faulty.Listen()
		require.NoError(t, err)
		target, err := beryldouble.StartTarget(deployment.store, beryldouble.TargetOptions{
			ID: fmt.Sprint("upload-", number), Service: "faulty", FailureDomain: "north-a", Slots: 64, Advertise: func(string) string { return address },
		}, beryldouble.Observer{OnRun: deployment.recordRun, OnArrival: func(beryldouble.Arrival) {}})
		require.NoError(t, err)
		faulty.Reports = fmt.Sprintf(`{"born":%d}`, target.Born())
		for _, path := range faultyPaths {
			seen := faulty.Seen.Load()
			for attempt := 0; faulty.Seen.Load() == seen; attempt++ {
				require.Less(t, attempt, 100, "%s, %s", upload.Case, path)
				id := fmt.Sprintf("upload-%d-%d%s", number, attempt, path)
				status, answer, err := deployment.post(path, id, "", strings.NewReader(strings.Repeat("u", upload.BodyBytes)))
				switch {
				case faulty.Seen.Load() == seen:
					time.Sleep(50 * time.Millisecond)
				case upload.Half:
					require.True(t, err != nil || status == http.StatusBadGateway, "%s, %s: %d, %q", upload.Case, path, status, answer)
				default:
					require.NoError(t, err, "%s, %s", upload.Case, path)
					require.Equal(t, http.StatusOK, status, "%s, %s", upload.Case, path)
					require.Equal(t, faulty.Halves[0]+faulty.Halves[1], string(answer), "%s, %s", upload.Case, path)
				}
			}
		}
		target.Deregister()
		faulty.Close()
	}
}
