package beryltarget

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"berylspoke"
	"berylspoke/io/berylstand"
)

// Guards against a part of an answer that callers get as the whole: its target ends the connection while the
// call is still being written to it, and the answer has neither a length nor chunks.
func TestAnswerThatEndsDuringTheUploadIsNotWhole(t *testing.T) {
	for _, test := range berylstand.Uploads() {
		t.Run(test.Case, func(t *testing.T) {
			t.Parallel()
			target := &berylstand.UploadTarget{
				Upload: test, Halves: [2]string{"half an answer", " and the rest"},
				Fields: func(*http.Request) string { return RequestHeader + ": r\r\n" },
			}
			address, err := target.Listen()
			require.NoError(t, err)
			defer target.Close()
			client := NewClient(DefaultOptions(), fixedLocator{address})
			for range 10 {
				call := berylspoke.Call{Request: "r", Method: http.MethodPost, Path: "/x", Body: []byte(strings.Repeat("x", test.BodyBytes))}
				answer, err := client.Call(t.Context(), "t", call)
				if !test.Half {
					require.NoError(t, err)
					require.Equal(t, target.Halves[0]+target.Halves[1], string(answer.Body))
					continue
				}
				require.Error(t, err, "%q is passed on", answer.Body)
				require.Equal(t, berylspoke.MayHaveRun, berylspoke.VerdictOf(err))
			}
			require.EqualValues(t, 10, target.Seen.Load(), "a call was sent again")
		})
	}
}
