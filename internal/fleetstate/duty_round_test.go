// These tests check duty rounds on the state machine, without a running fleet.

package fleetstate

import (
	"testing"

	"github.com/stretchr/testify/require"

	"keelstair.example/coordination"
	"keelstair.example/failure"
	"keelstair.example/ids"
)

// requestRound applies a DutyRound command and returns the action of the reply. The error is nil or
// ErrUnchanged if the round was granted.
func requestRound(t *testing.T, s *State, c DutyRound) (DutyAction, error) {
	t.Helper()
	out, err := s.Apply(DutyRoundKind, coordination.MustMarshal(&c))
	if err != nil && err != coordination.ErrUnchanged {
		return DutyAction{}, err
	}
	var reply DutyRoundReply
	_, readErr := reply.UnmarshalMsg(out)
	require.NoError(t, readErr)
	return reply.Action, err
}

// TestDutyContentFixedByFirstRound checks that the first round for an act fixes its content. A later
// holder gets that content instead of its own, and no content once the act is done.
func TestDutyContentFixedByFirstRound(t *testing.T) {
	s := newState(false, Retention{})
	first := DutyRound{Subject: "usage", Number: 7, Owner: "a", Fence: 3, Content: []byte("x")}
	action, err := requestRound(t, s, first)
	require.NoError(t, err)
	require.Equal(t, DutyAction{Number: 7, Content: []byte("x")}, action)
	_, err = requestRound(t, s, first)
	require.ErrorIs(t, err, coordination.ErrUnchanged)
	action, err = requestRound(t, s, DutyRound{Subject: "usage", Number: 7, Owner: "b", Fence: 4, Content: []byte("y")})
	require.NoError(t, err)
	require.Equal(t, "x", string(action.Content))
	action, err = requestRound(t, s, DutyRound{Subject: "usage", Number: 7, Owner: "b", Fence: 4, Done: true})
	require.NoError(t, err)
	require.Equal(t, DutyAction{Number: 7, Done: true}, action)
	action, err = requestRound(t, s, DutyRound{Subject: "usage", Number: 7, Owner: "b", Fence: 4, Content: []byte("z")})
	require.ErrorIs(t, err, coordination.ErrUnchanged)
	require.Equal(t, DutyAction{Number: 7, Done: true}, action)
}

// TestDutyRoundOfEarlierHolder checks that after a later holder has won a round, neither an earlier
// holder nor another holder with the same fencing token wins a round for the subject, and that a
// rejected round changes nothing.
func TestDutyRoundOfEarlierHolder(t *testing.T) {
	s := newState(false, Retention{})
	_, err := requestRound(t, s, DutyRound{Subject: "usage", Number: 1, Owner: "b", Fence: 4})
	require.NoError(t, err)
	before := coordination.MustMarshal(s.encode(false))
	for _, c := range []DutyRound{
		{Subject: "usage", Number: 2, Owner: "a", Fence: 3},
		{Subject: "usage", Number: 1, Owner: "a", Fence: 3, Done: true},
		{Subject: "usage", Number: 2, Owner: "a", Fence: 4},
	} {
		_, err = requestRound(t, s, c)
		require.True(t, failure.Is(err, failure.Stale), "%v", err)
		require.Equal(t, before, coordination.MustMarshal(s.encode(false)))
	}
	_, err = requestRound(t, s, DutyRound{Subject: "other", Number: 2, Owner: "a", Fence: 3})
	require.NoError(t, err, "subjects are independent")
}

// TestDutyActionsBounded checks that the oldest actions beyond maxDutyActions are dropped, and that later
// DutyRound requests for them are rejected.
func TestDutyActionsBounded(t *testing.T) {
	s := newState(false, Retention{})
	for i := range uint64(maxDutyActions + 3) {
		_, err := requestRound(t, s, DutyRound{Subject: "usage", Number: 100 + i, Owner: "a", Fence: 1})
		require.NoError(t, err)
	}
	require.Len(t, s.dutySubjects["usage"].Actions, maxDutyActions)
	_, err := requestRound(t, s, DutyRound{Subject: "usage", Number: 102, Owner: "a", Fence: 1})
	require.True(t, failure.Is(err, failure.Stale), "%v", err)
	action, err := requestRound(t, s, DutyRound{Subject: "usage", Owner: "a", Fence: 1, Content: []byte("next")})
	require.NoError(t, err)
	require.EqualValues(t, 100+maxDutyActions+3, action.Number)
}

// TestDutyRoundsInSnapshot checks that a replica that was restored from a complete snapshot has the
// same duty subjects and rejects a DutyRound with a lower fencing token than the recorded one.
// Watchers receive neither the DutyRound commands nor the subjects.
func TestDutyRoundsInSnapshot(t *testing.T) {
	m := NewMachine(MachineOptions{Metering: true})
	for _, subject := range []string{"b", "a"} {
		_, err := requestRound(t, m.State, DutyRound{Subject: subject, Number: 5, Owner: "n", Fence: 9, Content: []byte(subject)})
		require.NoError(t, err)
	}
	replica := NewMachine(MachineOptions{})
	require.NoError(t, replica.Restore(m.Snapshot(false)))
	require.Equal(t, m.dutySubjects, replica.dutySubjects)
	require.Equal(t, m.Snapshot(false), replica.Snapshot(false))
	_, err := requestRound(t, replica.State, DutyRound{Subject: "a", Number: 6, Owner: "m", Fence: 8})
	require.True(t, failure.Is(err, failure.Stale), "%v", err)
	watcher := NewMachine(MachineOptions{})
	require.NoError(t, watcher.Restore(m.Snapshot(true)))
	require.Empty(t, watcher.dutySubjects)
	require.False(t, m.Published(DutyRoundKind))
}

// TestMeteringKey checks that Keys lists MeteringKey only if metering is enabled.
func TestMeteringKey(t *testing.T) {
	text := []byte(`{"services":{"svc":{"concurrency":1}}}`)
	for _, metering := range []bool{false, true} {
		m := NewMachine(MachineOptions{Metering: metering})
		m.active = VersionedText{Version: 1, Text: compress(text)}
		require.Equal(t, metering, containsKey(m.Keys(), MeteringKey))
	}
}

func containsKey(keys []ids.Key, key ids.Key) bool {
	for _, k := range keys {
		if k == key {
			return true
		}
	}
	return false
}
