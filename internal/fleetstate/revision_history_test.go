// What is remembered of orders, and how late and repeated ones are told from new ones.

package fleetstate

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/tinylib/msgp/msgp"

	"keelstair.example/coordination"
	"keelstair.example/failure"
	"keelstair.example/ids"
)

// replicas are copies of one machine that take the same commands.
type replicas struct {
	*testing.T
	seq      ids.Seq
	machines []*Machine
}

func newReplicas(t *testing.T) *replicas {
	return &replicas{T: t, machines: []*Machine{NewMachine(MachineOptions{})}}
}

// apply applies a command to every replica; all must agree on its outcome.
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

// addFromSnapshot adds a replica that is restored from the first one's image.
func (r *replicas) addFromSnapshot() {
	m := NewMachine(MachineOptions{})
	require.NoError(r, m.Restore(r.machines[0].Snapshot(false)))
	r.machines = append(r.machines, m)
}

func (r *replicas) zoneRevision(z ids.Zone) (revision uint64, out bool) {
	return r.machines[0].encode(true).ZoneRevision(z)
}

// TestCompareAndSetEvacuated: an evacuation over a revision of its zone is applied if the zone has
// not changed since, is nothing to do if the zone already is as asked, and is stale
// otherwise; a replica from a snapshot decides alike. Other zones do not matter.
func TestCompareAndSetEvacuated(t *testing.T) {
	r := newReplicas(t)
	over := func(base uint64, out bool) error {
		return r.apply(EvacuateKind, &Evacuate{Zone: "z", Evacuated: out, Compare: true, BaseRevision: base})
	}
	require.NoError(t, over(0, true))
	require.Equal(t, coordination.ErrUnchanged, over(0, true), "as asked already")
	r.addFromSnapshot()
	require.NoError(t, over(1, false))
	require.True(t, failure.Is(over(0, true), failure.Stale), "a copy of the first that was held up")
	require.True(t, failure.Is(over(1, true), failure.Stale))
	r.addFromSnapshot()
	require.True(t, failure.Is(over(0, true), failure.Stale))
	require.NoError(t, r.apply(EvacuateKind, &Evacuate{Zone: "y", Evacuated: true, Compare: true}))
	revision, out := r.zoneRevision("z")
	require.EqualValues(t, 2, revision)
	require.False(t, out)
	require.NoError(t, over(2, true))
}

// TestEvacuateOfEarlierReleases: a log entry without a base is applied as it was when it was
// written, and counts; an image without revisions is read.
func TestEvacuateOfEarlierReleases(t *testing.T) {
	previous := msgp.AppendMapHeader(nil, 2)
	previous = msgp.AppendString(msgp.AppendString(previous, "Zone"), "z")
	previous = msgp.AppendBool(msgp.AppendString(previous, "Out"), true)
	m := NewMachine(MachineOptions{})
	_, err := m.Apply(1, EvacuateKind, previous)
	require.NoError(t, err)
	revision, out := m.encode(true).ZoneRevision("z")
	require.EqualValues(t, 1, revision)
	require.True(t, out)

	encoded := m.encode(false)
	encoded.RevisionHistory = RevisionHistory{}
	require.NoError(t, m.Restore(coordination.MustMarshal(encoded)))
	revision, out = m.encode(true).ZoneRevision("z")
	require.Zero(t, revision)
	require.True(t, out)
}

// TestUnchangedCommandLogged: an order that is known by its operation's id alone is written even
// if it changes nothing, so that the core remembers the id.
func TestUnchangedCommandLogged(t *testing.T) {
	r := newReplicas(t)
	for range 2 {
		require.NoError(t, r.apply(EvacuateKind, &Evacuate{Zone: "z", Evacuated: true}))
		require.NoError(t, r.apply(DrainKind, &Drain{Worker: "w", Drained: true}))
	}
	revision, _ := r.zoneRevision("z")
	require.EqualValues(t, 1, revision, "nothing changed the second time")
}

// prepare stages a document of the configuration's line or of the program sets'.
func (r *replicas) prepare(kind string, base, next ids.Version) error {
	return r.apply(kind, &PrepareVersion{Base: base, Next: next, Text: []byte(`{}`)})
}

// TestSupersededBaseVersion: an order made over a version that is superseded is stale while the
// versions since then are remembered, and of unknown outcome before that, on both lines, asked
// for as an outcome too, also at a replica from a snapshot. One over a number that never
// was a version is stale if it lies within what is remembered.
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
			ask := &OutcomeQuery{Base: base, Programs: kind == PrepareProgramsKind}
			require.Equal(t, want, failure.KindOf(r.prepare(kind, base, 0)), "base %d", base)
			require.Equal(t, want, failure.KindOf(r.apply(QueryKind, ask)), "base %d", base)
		}
		ask := &OutcomeQuery{Base: newest, Programs: kind == PrepareProgramsKind}
		require.Equal(t, failure.NotExecuted, failure.KindOf(r.apply(QueryKind, ask)), "it is still to be done")
		require.NoError(t, r.prepare(kind, newest, 0))
	}
}

// TestShortHistory: while all versions there ever were are remembered, nothing is of unknown
// outcome.
func TestShortHistory(t *testing.T) {
	r := newReplicas(t)
	for v := range ids.Version(10) {
		require.NoError(t, r.prepare(PrepareKind, v, 0))
	}
	for v := range ids.Version(10) {
		require.Equal(t, failure.Stale, failure.KindOf(r.prepare(PrepareKind, v, 0)))
	}
	require.Equal(t, failure.Stale, failure.KindOf(r.prepare(PrepareKind, 11, 0)))
}

// TestSnapshotWithoutSupersededVersions: an image without superseded versions tells nothing of what
// was made over older ones than its newest.
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
