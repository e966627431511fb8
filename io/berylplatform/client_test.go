package berylplatform

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"berylspoke"
)

// Guards against patches that are never read, as those that were missed are more than one response may
// have: the same call brings them all again, and more.
func TestPatchesBeyondOneResponseAreReadInTurns(t *testing.T) {
	const count, size = 40, 1 << 20
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		after, _ := strconv.Atoi(request.URL.Query().Get("after"))
		var response struct {
			Patches []wirePatch `json:"patches"`
		}
		for number := after + 1; number <= count; number++ {
			response.Patches = append(response.Patches, wirePatch{Number: uint64(number), Body: []byte(strings.Repeat("x", size))})
		}
		_ = json.NewEncoder(writer).Encode(response)
	}))
	defer server.Close()
	client := NewClient(strings.TrimPrefix(server.URL, "http://"))
	after := berylspoke.PatchNumber(0)
	for calls := 0; after < count; calls++ {
		require.Less(t, calls, count)
		patches, err := client.Patches(t.Context(), after)
		require.NoError(t, err)
		for _, patch := range patches {
			after++
			require.Equal(t, after, patch.Number)
			require.Len(t, patch.Body, size)
		}
	}
}

// Guards against a response that cannot be read and counts as one without patches.
func TestMalformedPatchesFail(t *testing.T) {
	for _, body := range []string{"", "{", `{"patches":[`, `{"patches":[{"number":"a"}]}`, `{"patches":[{"number":1,`} {
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			_, _ = writer.Write([]byte(body))
		}))
		_, err := NewClient(strings.TrimPrefix(server.URL, "http://")).Patches(t.Context(), 0)
		require.Error(t, err, body)
		server.Close()
	}
}
