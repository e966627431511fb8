package beryllog

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// writes records the bytes of each write.
type writes [][]byte

func (writes *writes) Write(bytes []byte) (int, error) {
	*writes = append(*writes, append([]byte(nil), bytes...))
	return len(bytes), nil
}

// Guards against lines lost by a collector that reads only the first kilobytes of a
// write: each write must be small and hold whole lines.
func TestWritesAreSmallAndHoldWholeLines(t *testing.T) {
	var out writes
	writer := &Writer{out: &out, wake: make(chan struct{}, 1)}
	long := strings.Repeat("x", 2*maxWriteBytes) + "\n"
	want := strings.Repeat(strings.Repeat("y", 99)+"\n", 100) + long + "last\n"
	_, _ = writer.Write([]byte(want))
	require.NoError(t, writer.Sync())
	require.Equal(t, want, string(bytes.Join(out, nil)))
	for _, written := range out {
		require.True(t, bytes.HasSuffix(written, []byte("\n")), "a whole line")
		require.True(t, len(written) <= maxWriteBytes || string(written) == long)
	}
}
