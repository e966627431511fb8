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
						path := []string{"/faulty-look/x", "/faulty-book/x", "/faulty-draft/x"}[number%3]
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
