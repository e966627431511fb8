package berylsettings

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestEveryFieldIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	require.NoError(t, err)
	for _, name := range fields(reflect.TypeFor[Settings](), nil) {
		require.Contains(t, string(page), name)
	}
}

func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/settings.json")
	require.NoError(t, err)
	require.Len(t, files, 2)
	for _, file := range files {
		_, err := Load(file)
		require.NoError(t, err)
	}
}

func TestFaultsNameFieldAndLine(t *testing.T) {
	cases := []struct{ text, fault string }{
		{"{\n\"vm\": \"a\",\n\"peerAdress\": \"x\"}", `line 3: unknown field "peerAdress", did you mean "peerAddress"?`},
		{"{\n\"callers\": {\"maxBodyBites\": 1}}", `line 2: unknown field "maxBodyBites", did you mean "maxBodyBytes"?`},
		{"{\n// no comma\n\"vm\": 3}", "line 3: field vm cannot hold a number"},
		{"{", "not valid JSON with comments"},
	}
	for _, test := range cases {
		settings := Defaults()
		require.ErrorContains(t, Decode([]byte(test.text), &settings), test.fault)
	}
	settings := Defaults()
	settings.Callers.ReadTimeoutMillis = 0
	faults := strings.Join(settings.Validate(), "\n")
	require.Contains(t, faults, "callers.readMillis: 0 is not positive")
	require.Contains(t, faults, `peerAddress: "" is not an IP number and a port`)
	require.Contains(t, faults, "fleetKeys: is empty")
}
