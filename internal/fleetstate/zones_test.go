// Tests of the failback time of zones.

package fleetstate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/coordination"
	"keelstair.example/ids"
)

// TestFailbackAge checks the reported time since a zone's failback. The leader reports it. A replica
// that takes over, or that restored a snapshot, continues from the time that it knows, so that the
// reported time is never too long. After the longest slow start of all services the failback is no
// longer reported. A second failback has another number.
func TestFailbackAge(t *testing.T) {
	text := []byte(`{"services":{"a":{"name":"a","warmMs":2000},"b":{"name":"b","warmMs":6000}}}`)
	newMachine := func() *Machine { return NewMachine(MachineOptions{}) }
	seq := ids.Seq(0)
	do := func(kind string, body []byte, ms ...*Machine) {
		t.Helper()
		seq++
		for _, m := range ms {
			_, err := m.Apply(seq, kind, body)
			require.NoError(t, err)
		}
	}
	evacuate := func(evacuated bool, ms ...*Machine) {
		do(EvacuateKind, coordination.MustMarshal(&Evacuate{Zone: "z", Evacuated: evacuated}), ms...)
	}
	reported := func(m *Machine) Failback {
		t.Helper()
		v := NewView(nil)
		require.NoError(t, v.Restore(m.Snapshot(true)))
		return v.Current().Failbacks["z"]
	}
	leader, backup := newMachine(), newMachine()
	do(PrepareKind, coordination.MustMarshal(&PrepareVersion{Text: text}), leader, backup)
	do(CommitKind, coordination.MustMarshal(&CommitVersion{1}), leader, backup)
	evacuate(true, leader, backup)
	require.Zero(t, reported(leader))
	evacuate(false, leader, backup)
	at := func(s float64) ids.Tick { return ids.Tick(s * float64(time.Second)) }
	require.Empty(t, leader.DueCommands(at(100), seq, seq))
	require.Equal(t, Failback{"z", 1, 0}, reported(leader))
	require.Empty(t, leader.DueCommands(at(103), seq, seq))
	require.Equal(t, Failback{"z", 1, int64(3 * time.Second)}, reported(leader))

	require.Equal(t, Failback{"z", 1, 0}, reported(backup), "the backup has not led yet")
	require.Empty(t, backup.DueCommands(at(7), seq, seq))
	require.Empty(t, backup.DueCommands(at(9), seq, seq))
	require.Equal(t, int64(2*time.Second), reported(backup).ElapsedNs, "measured from its own start")
	restored := newMachine()
	require.NoError(t, restored.Restore(leader.Snapshot(false)))
	require.Empty(t, restored.DueCommands(at(50), seq, seq))
	require.Empty(t, restored.DueCommands(at(51), seq, seq))
	require.Equal(t, int64(4*time.Second), reported(restored).ElapsedNs, "measured from the restored time")

	due := leader.DueCommands(at(107.1), seq, seq)
	require.Len(t, due, 1)
	require.Equal(t, SlowStartEndedKind, due[0].Kind)
	evacuate(true, leader, backup)
	evacuate(false, leader, backup)
	require.Equal(t, coordination.ErrUnchanged, func() error {
		_, err := leader.Apply(seq+1, due[0].Kind, due[0].Body)
		return err
	}(), "the command refers to an earlier failback")
	require.Empty(t, leader.DueCommands(at(108), seq, seq))
	require.Equal(t, Failback{"z", 2, 0}, reported(leader))
	due = leader.DueCommands(at(115.1), seq, seq)
	do(due[0].Kind, due[0].Body, leader, backup)
	require.Zero(t, reported(leader))
	require.Zero(t, reported(backup))
	require.Empty(t, leader.DueCommands(at(116), seq, seq))
}
