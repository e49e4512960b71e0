// What is told of zones that were taken back.

package fleetstate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/coordination"
	"keelstair.example/ids"
)

// TestFailback: a copy that leads tells for how long a zone has been back; one that takes
// over, or that was given the snapshot, begins from what it was told, never later. When the
// longest time of all services went by the zone is no longer told of. A second return has
// another number.
func TestFailback(t *testing.T) {
	text := []byte(`{"services":{"a":{"name":"a","warmMs":2000},"b":{"name":"b","warmMs":6000}}}`)
	fresh := func() *Machine { return NewMachine(MachineOptions{}) }
	seq := ids.Seq(0)
	do := func(kind string, body []byte, ms ...*Machine) {
		t.Helper()
		seq++
		for _, m := range ms {
			_, err := m.Apply(seq, kind, body)
			require.NoError(t, err)
		}
	}
	vacate := func(out bool, ms ...*Machine) {
		do(EvacuateKind, coordination.MustMarshal(&Evacuate{Zone: "z", Evacuated: out}), ms...)
	}
	tells := func(m *Machine) Failback {
		t.Helper()
		v := NewView(nil)
		require.NoError(t, v.Restore(m.Snapshot(true)))
		return v.Current().Failbacks["z"]
	}
	lead, backup := fresh(), fresh()
	do(PrepareKind, coordination.MustMarshal(&PrepareVersion{Text: text}), lead, backup)
	do(CommitKind, coordination.MustMarshal(&CommitVersion{1}), lead, backup)
	vacate(true, lead, backup)
	require.Zero(t, tells(lead))
	vacate(false, lead, backup)
	at := func(s float64) ids.Tick { return ids.Tick(s * float64(time.Second)) }
	require.Empty(t, lead.Due(at(100), seq, seq))
	require.Equal(t, Failback{"z", 1, 0}, tells(lead))
	require.Empty(t, lead.Due(at(103), seq, seq))
	require.Equal(t, Failback{"z", 1, int64(3 * time.Second)}, tells(lead))

	require.Equal(t, Failback{"z", 1, 0}, tells(backup), "it has not led")
	require.Empty(t, backup.Due(at(7), seq, seq))
	require.Empty(t, backup.Due(at(9), seq, seq))
	require.Equal(t, int64(2*time.Second), tells(backup).ElapsedNs, "from its own start on")
	given := fresh()
	require.NoError(t, given.Restore(lead.Snapshot(false)))
	require.Empty(t, given.Due(at(50), seq, seq))
	require.Empty(t, given.Due(at(51), seq, seq))
	require.Equal(t, int64(4*time.Second), tells(given).ElapsedNs, "from what it was told on")

	due := lead.Due(at(107.1), seq, seq)
	require.Len(t, due, 1)
	require.Equal(t, SlowStartEndedKind, due[0].Kind)
	vacate(true, lead, backup)
	vacate(false, lead, backup)
	require.Equal(t, coordination.ErrUnchanged, func() error {
		_, err := lead.Apply(seq+1, due[0].Kind, due[0].Body)
		return err
	}(), "it speaks of an earlier time")
	require.Empty(t, lead.Due(at(108), seq, seq))
	require.Equal(t, Failback{"z", 2, 0}, tells(lead))
	due = lead.Due(at(115.1), seq, seq)
	do(due[0].Kind, due[0].Body, lead, backup)
	require.Zero(t, tells(lead))
	require.Zero(t, tells(backup))
	require.Empty(t, lead.Due(at(116), seq, seq))
}
