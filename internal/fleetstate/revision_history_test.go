// These tests check that late and repeated commands are distinguished from new ones.

package fleetstate

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/tinylib/msgp/msgp"

	"keelstair.example/coordination"
	"keelstair.example/failure"
	"keelstair.example/ids"
)

// replicas are machines that apply the same commands.
type replicas struct {
	*testing.T
	seq      ids.Seq
	machines []*Machine
}

func newReplicas(t *testing.T) *replicas {
	return &replicas{T: t, machines: []*Machine{NewMachine(MachineOptions{})}}
}

// apply applies a command to every replica and checks that all agree on its outcome.
func (r *replicas) apply(kind string, c msgp.Marshaler) error {
	r.Helper()
	r.seq++
	_, first := r.machines[0].Apply(r.seq, kind, coordination.MustMarshal(c))
	for _, m := range r.machines[1:] {
		_, err := m.Apply(r.seq, kind, coordination.MustMarshal(c))
		require.Equal(r, failure.KindOf(first), failure.KindOf(err))
		require.Equal(r, first == nil, err == nil)
	}
	return first
}

// addFromSnapshot adds a replica that is restored from a snapshot of the first one.
func (r *replicas) addFromSnapshot() {
	m := NewMachine(MachineOptions{})
	require.NoError(r, m.Restore(r.machines[0].Snapshot(false)))
	r.machines = append(r.machines, m)
}

func (r *replicas) zoneRevision(z ids.Zone) (revision uint64, evacuated bool) {
	return r.machines[0].encode(true).ZoneRevision(z)
}

// TestCompareAndSetEvacuated checks that an evacuation with a base revision is applied if the zone
// has not changed since, changes nothing if the zone is already in the requested state, and is
// stale otherwise. A replica that was restored from a snapshot returns the same results, and changes
// of other zones have no influence.
func TestCompareAndSetEvacuated(t *testing.T) {
	r := newReplicas(t)
	evacuate := func(base uint64, evacuated bool) error {
		return r.apply(EvacuateKind, &Evacuate{Zone: "z", Evacuated: evacuated, Compare: true, BaseRevision: base})
	}
	require.NoError(t, evacuate(0, true))
	require.Equal(t, coordination.ErrUnchanged, evacuate(0, true), "the zone is evacuated already")
	r.addFromSnapshot()
	require.NoError(t, evacuate(1, false))
	require.True(t, failure.Is(evacuate(0, true), failure.Stale), "a delayed duplicate of the first command")
	require.True(t, failure.Is(evacuate(1, true), failure.Stale))
	r.addFromSnapshot()
	require.True(t, failure.Is(evacuate(0, true), failure.Stale))
	require.NoError(t, r.apply(EvacuateKind, &Evacuate{Zone: "y", Evacuated: true, Compare: true}))
	revision, evacuated := r.zoneRevision("z")
	require.EqualValues(t, 2, revision)
	require.False(t, evacuated)
	require.NoError(t, evacuate(2, true))
}

// TestEvacuateOfEarlierReleases checks that a log entry of an earlier release, without a base
// revision, is applied and increments the revision. A snapshot without revisions can be restored.
func TestEvacuateOfEarlierReleases(t *testing.T) {
	entry := msgp.AppendMapHeader(nil, 2)
	entry = msgp.AppendString(msgp.AppendString(entry, "Zone"), "z")
	entry = msgp.AppendBool(msgp.AppendString(entry, "Out"), true)
	m := NewMachine(MachineOptions{})
	_, err := m.Apply(1, EvacuateKind, entry)
	require.NoError(t, err)
	revision, evacuated := m.encode(true).ZoneRevision("z")
	require.EqualValues(t, 1, revision)
	require.True(t, evacuated)

	encoded := m.encode(false)
	encoded.RevisionHistory = RevisionHistory{}
	require.NoError(t, m.Restore(coordination.MustMarshal(encoded)))
	revision, evacuated = m.encode(true).ZoneRevision("z")
	require.Zero(t, revision)
	require.True(t, evacuated)
}

// TestUnchangedCommandLogged checks that a command that is recognized only by its operation id is
// written to the log even if it changes nothing, so that the coordination service remembers the id.
func TestUnchangedCommandLogged(t *testing.T) {
	r := newReplicas(t)
	for range 2 {
		require.NoError(t, r.apply(EvacuateKind, &Evacuate{Zone: "z", Evacuated: true}))
		require.NoError(t, r.apply(DrainKind, &Drain{Worker: "w", Drained: true}))
	}
	revision, _ := r.zoneRevision("z")
	require.EqualValues(t, 1, revision, "the repetition changes nothing")
}

// prepare prepares a version of the configuration or of the program sets, depending on kind.
func (r *replicas) prepare(kind string, base, next ids.Version) error {
	return r.apply(kind, &PrepareVersion{Base: base, Next: next, Text: []byte(`{}`)})
}

// TestSupersededBaseVersion checks that a command with a superseded base version is stale while all
// versions since then are remembered, and has an unknown outcome if its base version is older. This
// holds for the configuration and the program sets, for outcome queries, and for a replica that was
// restored from a snapshot. A base number that never was a version is stale if it is not below the
// remembered range.
func TestSupersededBaseVersion(t *testing.T) {
	for _, kind := range []string{PrepareKind, PrepareProgramsKind} {
		r := newReplicas(t)
		for v := range ids.Version(maxSuperseded + 100) {
			require.NoError(t, r.prepare(kind, 2*v, 2*v+2))
			if v == 700 {
				r.addFromSnapshot()
			}
		}
		r.addFromSnapshot()
		newest := ids.Version(2 * (maxSuperseded + 100))
		oldest := newest - 2*maxSuperseded
		for base, want := range map[ids.Version]failure.Kind{
			0: failure.OutcomeUnknown, oldest - 2: failure.OutcomeUnknown, oldest - 1: failure.OutcomeUnknown,
			oldest: failure.Stale, oldest + 1: failure.Stale, newest - 2: failure.Stale, newest + 2: failure.Stale,
		} {
			query := &OutcomeQuery{Base: base, Programs: kind == PrepareProgramsKind}
			require.Equal(t, want, failure.KindOf(r.prepare(kind, base, 0)), "base %d", base)
			require.Equal(t, want, failure.KindOf(r.apply(QueryKind, query)), "base %d", base)
		}
		query := &OutcomeQuery{Base: newest, Programs: kind == PrepareProgramsKind}
		require.Equal(t, failure.NotExecuted, failure.KindOf(r.apply(QueryKind, query)), "nothing was accepted on top of the newest version")
		require.NoError(t, r.prepare(kind, newest, 0))
	}
}

// TestAllVersionsRemembered checks that no outcome is unknown while all versions that were ever
// prepared are remembered.
func TestAllVersionsRemembered(t *testing.T) {
	r := newReplicas(t)
	for v := range ids.Version(10) {
		require.NoError(t, r.prepare(PrepareKind, v, 0))
	}
	for v := range ids.Version(10) {
		require.Equal(t, failure.Stale, failure.KindOf(r.prepare(PrepareKind, v, 0)))
	}
	require.Equal(t, failure.Stale, failure.KindOf(r.prepare(PrepareKind, 11, 0)))
}

// TestSnapshotWithoutSupersededVersions checks that after a restore from a snapshot of an earlier
// release, which lacks superseded versions, commands based on a version older than its newest have
// an unknown outcome.
func TestSnapshotWithoutSupersededVersions(t *testing.T) {
	m := NewMachine(MachineOptions{})
	encoded := &EncodedState{Active: VersionedText{Version: 7, Text: []byte(`{}`)}}
	require.NoError(t, m.Restore(coordination.MustMarshal(encoded)))
	r := &replicas{T: t, machines: []*Machine{m}}
	require.Equal(t, failure.OutcomeUnknown, failure.KindOf(r.prepare(PrepareKind, 5, 0)))
	require.NoError(t, r.prepare(PrepareKind, 7, 9))
	require.Equal(t, failure.OutcomeUnknown, failure.KindOf(r.prepare(PrepareKind, 5, 0)))
	require.Equal(t, failure.Stale, failure.KindOf(r.prepare(PrepareKind, 7, 0)))
	require.Equal(t, failure.Stale, failure.KindOf(r.apply(QueryKind, &OutcomeQuery{Base: 7})))
}
