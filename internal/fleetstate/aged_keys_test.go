// These tests check the compact storage of old idempotency records.

package fleetstate

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"keelstair.example/coordination"
	"keelstair.example/failure"
)

func applyClaim(t testing.TB, s *State, key, digest string) (ClaimReply, error) {
	out, err := s.Apply(ClaimKind, coordination.MustMarshal(&Claim{Key: key, Owner: "n1", Digest: digest}))
	var got ClaimReply
	if out != nil {
		_, e := got.UnmarshalMsg(out)
		require.NoError(t, e)
	}
	return got, err
}

// TestAgedKeys checks that a key that was claimed once cannot be claimed again on a replica that was
// restored from a snapshot, regardless of the number of keys claimed since, and that the record of the
// key keeps its outcome. The replica has the same chunks and snapshot as the one that it was copied
// from.
func TestAgedKeys(t *testing.T) {
	m := NewMachine(MachineOptions{Retention: Retention{FullRecords: 4, ChunkEntries: 8}})
	key := func(i int) string { return fmt.Sprintf("verdict/%d", i) }
	outcomes := []string{OutcomeDone, OutcomeNotRun, OutcomeMayHaveRun}
	copied := NewMachine(MachineOptions{Retention: Retention{FullRecords: 4, ChunkEntries: 8}})
	for i := range 100 {
		for _, machine := range []*Machine{m, copied} {
			got, err := applyClaim(t, machine.State, key(i), fmt.Sprint("body", i))
			require.NoError(t, err)
			require.True(t, got.Fresh)
			require.NoError(t, applyCommand(t, machine.State, ResolveKind, &Resolve{
				Key:     key(i),
				Owner:   "n1",
				Outcome: outcomes[i%3],
				Answer:  []byte("answer"),
			}))
		}
		if i == 50 {
			copied = NewMachine(MachineOptions{Retention: Retention{FullRecords: 4, ChunkEntries: 8}})
			copied.RestoreChunks(m.Chunks())
			require.NoError(t, copied.Restore(m.Snapshot(false)))
		}
	}
	require.Equal(t, m.Chunks(), copied.Chunks())
	require.Len(t, m.Chunks(), 12)
	require.Equal(t, m.Snapshot(false), copied.Snapshot(false))
	for i := range 100 {
		got, err := applyClaim(t, copied.State, key(i), fmt.Sprint("body", i))
		require.ErrorIs(t, err, coordination.ErrUnchanged)
		require.False(t, got.Fresh)
		require.Equal(t, outcomes[i%3], got.Record.Outcome)
		require.Equal(t, fmt.Sprint("body", i), got.Record.Digest)
		require.Equal(t, i < 96, got.Record.AnswerExpired)
		got, err = applyClaim(t, copied.State, key(i), "another body")
		require.ErrorIs(t, err, coordination.ErrUnchanged)
		require.NotEqual(t, "another body", got.Record.Digest, "the key belongs to another request")
	}
	_, ok := copied.agedKeys.lookup("verdict/never", "x")
	require.False(t, ok)
}

// TestFullStoreRejectsNewKeys checks that a state with the maximum number of idempotency records
// rejects new keys and still finds the old ones.
func TestFullStoreRejectsNewKeys(t *testing.T) {
	s := newState(false, Retention{FullRecords: 2, ChunkEntries: 4})
	s.maxRecords = 10
	for i := range 10 {
		_, err := applyClaim(t, s, fmt.Sprint(i), "b")
		require.NoError(t, err)
		require.NoError(t, applyCommand(t, s, ResolveKind, &Resolve{Key: fmt.Sprint(i), Owner: "n1", Outcome: OutcomeDone}))
	}
	_, err := applyClaim(t, s, "new", "b")
	require.True(t, failure.Is(err, failure.Stale))
	require.ErrorContains(t, err, "full")
	got, err := applyClaim(t, s, "0", "b")
	require.ErrorIs(t, err, coordination.ErrUnchanged)
	require.Equal(t, OutcomeDone, got.Record.Outcome)
}

// machineWithRecords returns a machine with n resolved idempotency records.
func machineWithRecords(n int) *Machine {
	m := NewMachine(MachineOptions{})
	for i := range n {
		d := IdempotencyRecord{
			Key:     fmt.Sprintf("verdict/call-%08d", i),
			Owner:   "router-1-0123456789abcdef",
			Digest:  "0123456789abcdef01234567",
			Outcome: OutcomeDone,
			Answer:  make([]byte, 60),
		}
		m.records[d.Key] = d
		m.resolvedKeys = append(m.resolvedKeys, d.Key)
		m.ageRecords()
	}
	return m
}

const million = 1_000_000

// BenchmarkSnapshot encodes and restores a snapshot of five million idempotency records. It reports
// the size of the snapshot as picture-MB and that of the sealed chunks as sheets-MB.
func BenchmarkSnapshot(b *testing.B) {
	m := machineWithRecords(5 * million)
	for b.Loop() {
		body := m.Snapshot(false)
		next := NewMachine(MachineOptions{})
		next.RestoreChunks(m.Chunks())
		if err := next.Restore(body); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(body))/1e6, "picture-MB")
		b.ReportMetric(float64(len(m.Chunks())*m.agedKeys.ChunkEntries*entrySize)/1e6, "sheets-MB")
	}
}

// BenchmarkAgedKeyMiss looks up a key that was never claimed among five million claimed ones.
func BenchmarkAgedKeyMiss(b *testing.B) {
	m := machineWithRecords(5 * million)
	for i := 0; b.Loop(); i++ {
		if _, ok := m.agedKeys.lookup(fmt.Sprintf("ruling/%d", i), ""); ok {
			b.Fatal("found")
		}
	}
}
