// Old idempotency records: what is forgotten of them is never that they were.

package fleetstate

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"keelstair.example/coordination"
	"keelstair.example/failure"
)

func claim(t testing.TB, s *State, key, digest string) (ClaimReply, error) {
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
	m := NewMachine(MachineOptions{Retention: Retention{Full: 4, ChunkRows: 8}})
	key := func(i int) string { return fmt.Sprintf("verdict/%d", i) }
	fate := []string{OutcomeDone, OutcomeNotRun, OutcomeMayHaveRun}
	copied := NewMachine(MachineOptions{Retention: Retention{Full: 4, ChunkRows: 8}})
	for i := range 100 {
		for _, x := range []*Machine{m, copied} {
			got, err := claim(t, x.State, key(i), fmt.Sprint("body", i))
			require.NoError(t, err)
			require.True(t, got.Fresh)
			require.NoError(t, applyCommand(t, x.State, ResolveKind, &Resolve{
				Key:     key(i),
				Owner:   "n1",
				Outcome: fate[i%3],
				Answer:  []byte("answer"),
			}))
		}
		if i == 50 {
			copied = NewMachine(MachineOptions{Retention: Retention{Full: 4, ChunkRows: 8}})
			copied.RestoreChunks(m.Chunks())
			require.NoError(t, copied.Restore(m.Snapshot(false)))
		}
	}
	require.Equal(t, m.Chunks(), copied.Chunks())
	require.Len(t, m.Chunks(), 12)
	require.Equal(t, m.Snapshot(false), copied.Snapshot(false))
	for i := range 100 {
		got, err := claim(t, copied.State, key(i), fmt.Sprint("body", i))
		require.ErrorIs(t, err, coordination.ErrUnchanged)
		require.False(t, got.Fresh)
		require.Equal(t, fate[i%3], got.Record.Outcome)
		require.Equal(t, fmt.Sprint("body", i), got.Record.Digest)
		require.Equal(t, i < 96, got.Record.Aged)
		got, err = claim(t, copied.State, key(i), "another body")
		require.ErrorIs(t, err, coordination.ErrUnchanged)
		require.NotEqual(t, "another body", got.Record.Digest, "the key stands for another request")
	}
	_, ok := copied.agedKeys.find("verdict/never", "x")
	require.False(t, ok)
}

// TestFullStore: a full store refuses fresh keys, and still knows the old ones.
func TestFullStore(t *testing.T) {
	s := newState(false, Retention{Full: 2, ChunkRows: 4})
	s.maxRecords = 10
	for i := range 10 {
		_, err := claim(t, s, fmt.Sprint(i), "b")
		require.NoError(t, err)
		require.NoError(t, applyCommand(t, s, ResolveKind, &Resolve{Key: fmt.Sprint(i), Owner: "n1", Outcome: OutcomeDone}))
	}
	_, err := claim(t, s, "new", "b")
	require.True(t, failure.Is(err, failure.Stale))
	require.ErrorContains(t, err, "full")
	got, err := claim(t, s, "0", "b")
	require.ErrorIs(t, err, coordination.ErrUnchanged)
	require.Equal(t, OutcomeDone, got.Record.Outcome)
}

// full makes a state of so many idempotency records.
func full(n int) *Machine {
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

// BenchmarkSnapshot makes and restores a snapshot over five million idempotency records; MB/s is
// of the snapshot alone, whose size is given too.
func BenchmarkSnapshot(b *testing.B) {
	m := full(5 * million)
	for b.Loop() {
		body := m.Snapshot(false)
		next := NewMachine(MachineOptions{})
		next.RestoreChunks(m.Chunks())
		if err := next.Restore(body); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(body))/1e6, "picture-MB")
		b.ReportMetric(float64(len(m.Chunks())*m.agedKeys.ChunkRows*rowSize)/1e6, "sheets-MB")
	}
}

// BenchmarkFresh looks for a key that was never claimed among five million.
func BenchmarkFresh(b *testing.B) {
	m := full(5 * million)
	for i := 0; b.Loop(); i++ {
		if _, ok := m.agedKeys.find(fmt.Sprintf("ruling/%d", i), ""); ok {
			b.Fatal("found")
		}
	}
}
