// Old idempotency records: what is forgotten of them is never that they were.

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

// TestAgedKeys: a key that was claimed once is never fresh again, however many came
// after it, on the copy that wrote it and on one made from a snapshot; both seal
// the same leaves.
func TestAgedKeys(t *testing.T) {
	m := NewMachine(MachineOptions{Retention: Retention{FullRecords: 4, ChunkEntries: 8}})
	key := func(i int) string { return fmt.Sprintf("verdict/%d", i) }
	fate := []string{Done, NotRun, MayHaveRun}
	copied := NewMachine(MachineOptions{Retention: Retention{FullRecords: 4, ChunkEntries: 8}})
	for i := range 100 {
		for _, x := range []*Machine{m, copied} {
			got, err := applyClaim(t, x.State, key(i), fmt.Sprint("body", i))
			require.NoError(t, err)
			require.True(t, got.Fresh)
			require.NoError(t, do(t, x.State, ResolveKind, &Resolve{
				Key:     key(i),
				Owner:   "n1",
				Outcome: fate[i%3],
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
		require.Equal(t, fate[i%3], got.Record.Outcome)
		require.Equal(t, fmt.Sprint("body", i), got.Record.Digest)
		require.Equal(t, i < 96, got.Record.Aged)
		got, err = applyClaim(t, copied.State, key(i), "another body")
		require.ErrorIs(t, err, coordination.ErrUnchanged)
		require.NotEqual(t, "another body", got.Record.Digest, "the key stands for another request")
	}
	_, ok := copied.aged.lookup("verdict/never", "x")
	require.False(t, ok)
}

// TestFullStoreRejectsNewKeys: a full store refuses fresh keys, and still knows the old ones.
func TestFullStoreRejectsNewKeys(t *testing.T) {
	s := newState(false, Retention{FullRecords: 2, ChunkEntries: 4})
	s.maxRecords = 10
	for i := range 10 {
		_, err := applyClaim(t, s, fmt.Sprint(i), "b")
		require.NoError(t, err)
		require.NoError(t, do(t, s, ResolveKind, &Resolve{Key: fmt.Sprint(i), Owner: "n1", Outcome: Done}))
	}
	_, err := applyClaim(t, s, "new", "b")
	require.True(t, failure.Is(err, failure.Stale))
	require.ErrorContains(t, err, "full")
	got, err := applyClaim(t, s, "0", "b")
	require.ErrorIs(t, err, coordination.ErrUnchanged)
	require.Equal(t, Done, got.Record.Outcome)
}

// machineWithRecords makes a state of so many idempotency records.
func machineWithRecords(n int) *Machine {
	m := NewMachine(MachineOptions{})
	for i := range n {
		d := IdempotencyRecord{
			Key:     fmt.Sprintf("verdict/call-%08d", i),
			Owner:   "router-1-0123456789abcdef",
			Digest:  "0123456789abcdef01234567",
			Outcome: Done,
			Answer:  make([]byte, 60),
		}
		m.records[d.Key] = d
		m.resolvedOrder = append(m.resolvedOrder, d.Key)
		m.ageRecords()
	}
	return m
}

const million = 1_000_000

// BenchmarkSnapshot makes and restores a snapshot over five million idempotency records; MB/s is
// of the snapshot alone, whose size is given too.
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
		b.ReportMetric(float64(len(m.Chunks())*m.aged.ChunkEntries*entrySize)/1e6, "sheets-MB")
	}
}

// BenchmarkAgedKeyMiss looks for a key that was never claimed among five million.
func BenchmarkAgedKeyMiss(b *testing.B) {
	m := machineWithRecords(5 * million)
	for i := 0; b.Loop(); i++ {
		if _, ok := m.aged.lookup(fmt.Sprintf("ruling/%d", i), ""); ok {
			b.Fatal("found")
		}
	}
}
