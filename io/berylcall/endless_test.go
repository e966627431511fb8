package berylcall

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"berylspoke"
)

// Guards against an outcome that is cut and taken for whole.
func TestOutcomeThatIsTooLongIsNotTakenForWhole(t *testing.T) {
	recorder := httptest.NewRecorder()
	recorder.Header().Set(verdictHeader, berylspoke.Ran.String())
	recorder.WriteHeader(http.StatusOK)
	_, _ = recorder.WriteString(strings.Repeat("x", maxAnswerBytes+1))
	outcome := readOutcome("id", recorder.Result())
	require.Error(t, outcome.Err)
	recorder = httptest.NewRecorder()
	recorder.Header().Set(verdictHeader, berylspoke.Ran.String())
	_, _ = recorder.WriteString(strings.Repeat("x", maxAnswerBytes))
	outcome = readOutcome("id", recorder.Result())
	require.NoError(t, outcome.Err)
	require.Len(t, outcome.Body, maxAnswerBytes)
}
