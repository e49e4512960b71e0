// The primary's handling of a batch of state reads.

package coordination

import (
	"testing"

	"github.com/stretchr/testify/require"

	"keelstair.example/host/simulated"
	"keelstair.example/ids"
)

// countingMachine counts how often its state is encoded.
type countingMachine struct{ snapshots int }

func (*countingMachine) Apply(ids.Seq, string, []byte) ([]byte, error)          { return nil, nil }
func (*countingMachine) Published(string) bool                                  { return true }
func (m *countingMachine) Snapshot(bool) []byte                                 { m.snapshots++; return nil }
func (*countingMachine) Restore([]byte) error                                   { return nil }
func (*countingMachine) Keys() []ids.Key                                        { return nil }
func (*countingMachine) DueCommands(_ ids.Tick, seq, applied ids.Seq) []Command { return nil }

// TestConcurrentReadsEncodeStateOnce checks that the primary encodes the state once per batch, not once
// per reader: nodes that all start at the same time read it in one batch.
func TestConcurrentReadsEncodeStateOnce(t *testing.T) {
	p := simulated.NewWorld(1).Machine("10.0.0.1").Start()
	defer p.Kill()
	machine := &countingMachine{}
	l := &leader{core: &Core{options: Options{Host: p.Host()}, state: newReplicatedState(machine)}}
	var batch []*operation
	for range 300 {
		batch = append(batch, &operation{readState: true, done: make(chan struct{})})
	}
	l.completeBatch(batch)
	require.Equal(t, 1, machine.snapshots)
	for _, op := range batch {
		<-op.done
		require.NotNil(t, op.snapshot)
	}
}
