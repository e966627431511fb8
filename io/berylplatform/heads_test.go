package berylplatform

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"berylspoke/io/berylstand"
)

// Guards against patches and VMs that count although the head of the answer is not valid.
func TestAnswersOfThePlatformWithABrokenHeadAreNone(t *testing.T) {
	for _, test := range berylstand.Heads() {
		t.Run(test.Case, func(t *testing.T) {
			t.Parallel()
			target := &berylstand.HeadTarget{
				Head: test, Body: `{"patches":[{"number":3,"body":"e30="}],"revision":4,"vms":[]}`,
				Fields: func(*http.Request) string { return "" },
			}
			server := httptest.NewServer(target)
			defer server.Close()
			client := NewClient(strings.TrimPrefix(server.URL, "http://"))
			patches, patchErr := client.Patches(t.Context(), 2)
			_, revision, vmErr := client.VMs(t.Context(), 3)
			if !test.Broken {
				require.NoError(t, patchErr)
				require.Len(t, patches, 1)
				require.NoError(t, vmErr)
				require.EqualValues(t, 4, revision)
				return
			}
			require.Error(t, patchErr)
			require.Empty(t, patches)
			require.Error(t, vmErr)
		})
	}
}
