package beryllog

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// pieces keeps what each write brought.
type pieces [][]byte

func (pieces *pieces) Write(bytes []byte) (int, error) {
	*pieces = append(*pieces, append([]byte(nil), bytes...))
	return len(bytes), nil
}

// A collector that keeps the first kilobytes of a write loses the lines behind them.
func TestLinesAreWrittenInSmallWholePieces(t *testing.T) {
	var out pieces
	writer := &Writer{out: &out, wake: make(chan struct{}, 1)}
	long := strings.Repeat("x", 2*writeBytes) + "\n"
	want := strings.Repeat(strings.Repeat("y", 99)+"\n", 100) + long + "last\n"
	_, _ = writer.Write([]byte(want))
	require.NoError(t, writer.Sync())
	require.Equal(t, want, string(bytes.Join(out, nil)))
	for _, piece := range out {
		require.True(t, bytes.HasSuffix(piece, []byte("\n")), "a whole line")
		require.True(t, len(piece) <= writeBytes || string(piece) == long)
	}
}
