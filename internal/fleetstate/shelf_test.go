// Old deeds: what is forgotten of them is never that they were.

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

// TestOldKeys: a key that was claimed once is never fresh again, however many came
// after it, on the copy that wrote it and on one made from a picture; both seal
// the same leaves.
func TestOldKeys(t *testing.T) {
	m := NewMachine(MachineOptions{Depth: Depth{Full: 4, Leaf: 8}})
	key := func(i int) string { return fmt.Sprintf("verdict/%d", i) }
	fate := []string{Done, NotRun, Unsure}
	copied := NewMachine(MachineOptions{Depth: Depth{Full: 4, Leaf: 8}})
	for i := range 100 {
		for _, x := range []*Machine{m, copied} {
			got, err := claim(t, x.State, key(i), fmt.Sprint("body", i))
			require.NoError(t, err)
			require.True(t, got.Fresh)
			require.NoError(t, do(t, x.State, SettleKind, &Settle{Key: key(i), Owner: "n1", Fate: fate[i%3], Out: []byte("answer")}))
		}
		if i == 50 {
			copied = NewMachine(MachineOptions{Depth: Depth{Full: 4, Leaf: 8}})
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
		require.Equal(t, fate[i%3], got.Deed.Fate)
		require.Equal(t, fmt.Sprint("body", i), got.Deed.Digest)
		require.Equal(t, i < 96, got.Deed.Aged)
		got, err = claim(t, copied.State, key(i), "another body")
		require.ErrorIs(t, err, coordination.ErrUnchanged)
		require.NotEqual(t, "another body", got.Deed.Digest, "the key stands for another request")
	}
	_, ok := copied.shelf.find("verdict/never", "x")
	require.False(t, ok)
}

// TestFullStore: a full store refuses fresh keys, and still knows the old ones.
func TestFullStore(t *testing.T) {
	s := newState(false, Depth{Full: 2, Leaf: 4})
	s.most = 10
	for i := range 10 {
		_, err := claim(t, s, fmt.Sprint(i), "b")
		require.NoError(t, err)
		require.NoError(t, do(t, s, SettleKind, &Settle{Key: fmt.Sprint(i), Owner: "n1", Fate: Done}))
	}
	_, err := claim(t, s, "new", "b")
	require.True(t, failure.Is(err, failure.Stale))
	require.ErrorContains(t, err, "full")
	got, err := claim(t, s, "0", "b")
	require.ErrorIs(t, err, coordination.ErrUnchanged)
	require.Equal(t, Done, got.Deed.Fate)
}

// full makes a state of so many deeds.
func full(n int) *Machine {
	m := NewMachine(MachineOptions{})
	for i := range n {
		d := Deed{Key: fmt.Sprintf("verdict/call-%08d", i), Owner: "router-1-0123456789abcdef", Digest: "0123456789abcdef01234567", Fate: Done, Out: make([]byte, 60)}
		m.deeds[d.Key] = d
		m.order = append(m.order, d.Key)
		m.age()
	}
	return m
}

const million = 1_000_000

// BenchmarkPicture makes and restores a picture over five million deeds; MB/s is
// of the picture alone, whose size is given too.
func BenchmarkPicture(b *testing.B) {
	m := full(5 * million)
	for b.Loop() {
		body := m.Snapshot(false)
		next := NewMachine(MachineOptions{})
		next.RestoreChunks(m.Chunks())
		if err := next.Restore(body); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(body))/1e6, "picture-MB")
		b.ReportMetric(float64(len(m.Chunks())*m.shelf.Leaf*rowSize)/1e6, "sheets-MB")
	}
}

// BenchmarkFresh looks for a key that was never claimed among five million.
func BenchmarkFresh(b *testing.B) {
	m := full(5 * million)
	for i := 0; b.Loop(); i++ {
		if _, ok := m.shelf.find(fmt.Sprintf("ruling/%d", i), ""); ok {
			b.Fatal("found")
		}
	}
}
