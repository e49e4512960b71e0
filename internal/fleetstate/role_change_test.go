// These tests check role changes, requested version numbers and the keys of services, without a running
// fleet.

package fleetstate

import (
	"testing"

	"github.com/stretchr/testify/require"

	"keelstair.example/coordination"
	"keelstair.example/failure"
	"keelstair.example/ids"
	"keelstair.example/logging"
)

// TestRoleChange checks that a role change is kept until it is done. Repeating it, or ending one that
// doesn't exist, returns ErrUnchanged, which is not an error for the caller. A change to another role
// replaces the earlier one.
func TestRoleChange(t *testing.T) {
	s := newState(false, Retention{})
	require.ErrorIs(t, applyCommand(t, s, RoleChangeKind, &RoleChange{Worker: "w", Done: true}), coordination.ErrUnchanged)
	require.NoError(t, applyCommand(t, s, RoleChangeKind, &RoleChange{Worker: "w", To: ids.Decode}))
	require.ErrorIs(t, applyCommand(t, s, RoleChangeKind, &RoleChange{Worker: "w", To: ids.Decode}), coordination.ErrUnchanged)
	require.NoError(t, applyCommand(t, s, RoleChangeKind, &RoleChange{Worker: "w", To: ids.Prefill}))
	require.NoError(t, applyCommand(t, s, RoleChangeKind, &RoleChange{Worker: "v", To: ids.Decode}))
	require.Equal(t, map[ids.WorkerID]ids.Role{"w": ids.Prefill, "v": ids.Decode}, s.roleChanges)
	require.NoError(t, applyCommand(t, s, RoleChangeKind, &RoleChange{Worker: "w", Done: true}))
	require.Equal(t, map[ids.WorkerID]ids.Role{"v": ids.Decode}, s.roleChanges)
	require.Equal(t, ids.Key("service/x"), ServiceKey("x"))
}

// TestRoleChangeInSnapshot checks that a replica that was restored from a complete snapshot or from one
// for watchers has the same role changes, and that snapshots of equal states have equal bytes.
func TestRoleChangeInSnapshot(t *testing.T) {
	m := NewMachine(MachineOptions{})
	for _, w := range []ids.WorkerID{"c", "a", "b"} {
		require.NoError(t, applyCommand(t, m.State, RoleChangeKind, &RoleChange{Worker: w, To: ids.Prefill}))
	}
	for _, forWatchers := range []bool{false, true} {
		replica := NewMachine(MachineOptions{})
		require.NoError(t, replica.Restore(m.Snapshot(forWatchers)))
		require.Equal(t, m.roleChanges, replica.roleChanges)
		require.Equal(t, m.Snapshot(forWatchers), replica.Snapshot(forWatchers))
		require.NoError(t, applyCommand(t, replica.State, RoleChangeKind, &RoleChange{Worker: "a", Done: true}))
		require.Len(t, m.roleChanges, 3, "the replica shares no state with the original")
	}
}

// TestRoleChangeInView checks that a view contains a role change as soon as the log entry is applied or
// a snapshot with it is restored, reports the entry as urgent, and drops the change once it is done.
// Values that Current returned earlier don't change.
func TestRoleChangeInView(t *testing.T) {
	v := NewView(logging.Discard())
	require.True(t, v.Observe(1, RoleChangeKind, coordination.MustMarshal(&RoleChange{Worker: "w", To: ids.Decode})))
	first := v.Current()
	require.Equal(t, map[ids.WorkerID]ids.Role{"w": ids.Decode}, first.RoleChanges)
	other := NewView(logging.Discard())
	require.NoError(t, other.Restore(v.Snapshot()))
	require.Equal(t, first.RoleChanges, other.Current().RoleChanges)
	require.True(t, v.Observe(2, RoleChangeKind, coordination.MustMarshal(&RoleChange{Worker: "w", Done: true})))
	require.Empty(t, v.Current().RoleChanges)
	require.Len(t, first.RoleChanges, 1)
	require.NoError(t, other.Restore(v.Snapshot()))
	require.Empty(t, other.Current().RoleChanges)
}

// TestRequestedVersionNumber checks that a version gets its requested number if that is above the
// newest active or prepared version. A command with another number or another base version is
// rejected and changes nothing.
func TestRequestedVersionNumber(t *testing.T) {
	s := newState(false, Retention{})
	prepare := func(base, next ids.Version) (ids.Version, error) {
		out, err := s.Apply(PrepareKind, coordination.MustMarshal(&PrepareVersion{
			Base: base,
			Next: next,
			Text: []byte(`{}`),
		}))
		var reply VersionReply
		if err == nil {
			_, err = reply.UnmarshalMsg(out)
			require.NoError(t, err)
		}
		return reply.Version, err
	}
	v, err := prepare(0, 5)
	require.NoError(t, err)
	require.EqualValues(t, 5, v)
	_, err = prepare(0, 9)
	require.True(t, failure.Is(err, failure.Stale))
	for _, low := range []ids.Version{1, 4, 5} {
		_, err = prepare(5, low)
		require.True(t, failure.Is(err, failure.InvalidArgument), low)
	}
	v, err = prepare(5, 6)
	require.NoError(t, err)
	require.EqualValues(t, 6, v)
	v, err = prepare(6, 1000)
	require.NoError(t, err)
	require.EqualValues(t, 1000, v)
	v, err = prepare(1000, 0)
	require.NoError(t, err)
	require.EqualValues(t, 1001, v)
	require.NoError(t, applyCommand(t, s, CommitKind, &CommitVersion{1000}))
	require.EqualValues(t, 1000, s.active.Version)
	require.Len(t, s.prepared, 1)
	require.Error(t, applyCommand(t, s, CommitKind, &CommitVersion{6}), "an older version can't be committed any more")
}

// TestServiceKeys checks that each service of the active configuration has a duty, and that there is
// one more duty for listing the workers. Without services there is no duty for listing them.
func TestServiceKeys(t *testing.T) {
	m := NewMachine(MachineOptions{})
	require.NotContains(t, m.Keys(), WorkerListKey)
	_, err := m.Apply(
		1,
		PrepareKind,
		coordination.MustMarshal(&PrepareVersion{Text: []byte(`{"services":{"s":{"name":"s"},"t":{"name":"t"}}}`)}),
	)
	require.NoError(t, err)
	_, err = m.Apply(2, CommitKind, coordination.MustMarshal(&CommitVersion{1}))
	require.NoError(t, err)
	require.Equal(t, []ids.Key{
		RetryBudgetKey, WorkerListKey, ServiceKey("s"), ServiceKey("t"), ClaimResolutionKey,
	}, m.Keys())
}
