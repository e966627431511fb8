package berylcatalog

import (
	"testing"

	"github.com/stretchr/testify/require"

	"berylspoke"
)

// Guards against a request that is served in a region that only its route or only its
// organisation allows.
func TestRegionsOfRouteAndOrganisationBothApply(t *testing.T) {
	index := New(&berylspoke.Catalog{
		Routes: []berylspoke.Route{{Prefix: "/a/"}, {Prefix: "/b/", Regions: berylspoke.Regions{"r"}}},
		Organisations: []berylspoke.Organisation{
			{ID: "free", Keys: []string{"f"}}, {ID: "bound", Keys: []string{"b"}, Regions: berylspoke.Regions{"r", "s"}},
			{ID: "elsewhere", Keys: []string{"e"}, Regions: berylspoke.Regions{"t"}},
		},
	})
	free, bound := index.Route("", "/a/x"), index.Route("", "/b/x")
	require.Nil(t, index.Regions(free, "free"))
	require.Equal(t, berylspoke.Regions{"r", "s"}, index.Regions(free, "bound"))
	require.Equal(t, berylspoke.Regions{"r"}, index.Regions(bound, "free"))
	require.Equal(t, berylspoke.Regions{"r"}, index.Regions(bound, "bound"))
	none := index.Regions(bound, "elsewhere")
	require.False(t, none.Allows("r") || none.Allows("t"))
}
