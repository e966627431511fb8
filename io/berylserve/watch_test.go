package berylserve

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"berylspoke"
)

// listedVMs is one answer of a platform.
type listedVMs struct {
	revision uint64
	vms      []berylspoke.VM
}

// scriptedPlatform answers with lists of VMs, one after the other, and then ends the reader.
type scriptedPlatform struct {
	berylspoke.Platform
	lists []listedVMs
	end   context.CancelFunc
}

func (platform *scriptedPlatform) VMs(ctx context.Context, _ uint64) ([]berylspoke.VM, uint64, error) {
	if len(platform.lists) == 0 {
		platform.end()
		return nil, 0, ctx.Err()
	}
	next := platform.lists[0]
	platform.lists = platform.lists[1:]
	return next.vms, next.revision, nil
}

// Guards against a list of VMs that is missed as the platform returned from an older copy and
// gave its revision out again.
func TestListOfAKnownRevisionIsCompared(t *testing.T) {
	one, two := []berylspoke.VM{{ID: "vm-1"}}, []berylspoke.VM{{ID: "vm-1"}, {ID: "vm-2"}}
	ctx, cancel := context.WithCancel(t.Context())
	platform := &scriptedPlatform{lists: []listedVMs{{1, nil}, {7, one}, {7, one}, {7, two}, {8, one}, {6, one}}, end: cancel}
	var applied [][]berylspoke.VM
	followVMs(ctx, platform, zap.NewNop(), func(vms []berylspoke.VM) { applied = append(applied, vms) })
	require.Equal(t, [][]berylspoke.VM{nil, one, two, one}, applied)
}
