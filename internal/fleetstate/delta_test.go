package fleetstate

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"keelstair.example/coordination"
	"keelstair.example/failure"
	"keelstair.example/ids"
	"keelstair.example/logging"
)

// routesText returns the JSON of a configuration with n+1 routes. The route with the index changed has
// 7 attempts instead of 1, and the zone's name contains the index.
func routesText(n, changed int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, `{"zones":["z%d"],"routes":[`, changed)
	for i := range n {
		attempts := 1
		if i == changed {
			attempts = 7
		}
		fmt.Fprintf(
			&b,
			`{"name":"r%d","host":"h%d.example","prefix":"/","service":"s","tries":%d,"deadlineMs":%d},`,
			i,
			i*7919,
			attempts,
			900+i%13,
		)
	}
	return []byte(b.String() + `{"name":"last","prefix":"/"}]}`)
}

// TestDeltaRoundTrip checks that the delta between two texts reproduces the second one byte for byte. A
// delta that is applied to another text, or that has an invalid size or hunk, is rejected. A corrupt
// encoding of a delta is rejected or still produces the correct text.
func TestDeltaRoundTrip(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	texts := [][]byte{
		nil, []byte("}"), []byte("{}"), []byte("}}}}"), routesText(3, 1), routesText(300, 7), routesText(300, 250),
		routesText(900, 0),
	}
	for range 60 {
		mutated := append([]byte(nil), texts[5+r.IntN(3)]...)
		for range 1 + r.IntN(4) {
			start := r.IntN(len(mutated))
			end := min(len(mutated), start+r.IntN(3000))
			switch r.IntN(3) {
			case 0:
				mutated = append(mutated[:start:start], mutated[end:]...)
			case 1:
				mutated = append(append(mutated[:start:start], mutated[start:end]...), mutated[start:]...)
			default:
				mutated[start] = byte(r.IntN(256))
			}
		}
		texts = append(texts, mutated)
	}
	for _, previous := range texts {
		for _, text := range texts[:20] {
			d := computeDelta(previous, text)
			got, err := d.patch(previous)
			require.NoError(t, err)
			require.Equal(t, string(text), string(got))
			if string(previous) != string(text) && len(d.Hunks) > 1 {
				_, err = d.patch(append([]byte("x"), previous...))
				require.True(t, failure.Is(err, failure.InvalidArgument), "%v", err)
			}
		}
	}
	valid := computeDelta(texts[5], texts[6])
	for range 300 {
		body := coordination.MustMarshal(valid)
		body[r.IntN(len(body))] ^= byte(1 + r.IntN(255))
		var d Delta
		if _, err := d.UnmarshalMsg(body); err != nil {
			continue
		}
		if got, err := d.patch(texts[5]); err == nil {
			require.Equal(t, string(texts[6]), string(got))
		}
	}
	for _, d := range []Delta{
		{Size: -1},
		{Size: maxDeltaResultBytes + 1},
		{Size: 5, Hunks: []Hunk{{From: -1, Len: 2}}},
		{Size: 5, Hunks: []Hunk{{From: 1, Len: 1 << 62}}},
		{Size: 1, Hunks: []Hunk{{Text: []byte("long")}}},
	} {
		_, err := d.patch([]byte("abc"))
		require.True(t, failure.Is(err, failure.InvalidArgument), "%+v", d)
	}
}

// TestPrepareDelta checks that a small change of a large text is sent as a delta that is little
// larger than the change, and that replicas and nodes reconstruct the complete text, also after a
// restore from a snapshot, which is compressed. A delta that does not apply is rejected and changes
// nothing. A text that differs too much from the previous one is sent in full.
func TestPrepareDelta(t *testing.T) {
	one, two := routesText(1400, 3), routesText(1400, 900)
	c := &PrepareVersion{Base: 1, Text: compress(two)}
	c.UseDeltaIfSmaller(one, two)
	require.True(t, c.Delta)
	require.Less(t, len(c.Text), 1000)
	unrelated := &PrepareVersion{Base: 1, Text: compress(two)}
	unrelated.UseDeltaIfSmaller([]byte(`{}`), two)
	require.False(t, unrelated.Delta)
	m, v := NewMachine(MachineOptions{}), NewView(logging.Discard())
	applyToBoth := func(kind string, body []byte) error {
		_, err := m.Apply(1, kind, body)
		v.Observe(1, kind, body)
		return err
	}
	require.NoError(t, applyToBoth(PrepareKind, coordination.MustMarshal(&PrepareVersion{Text: compress(one)})))
	wrong := &PrepareVersion{Base: 1, Text: compress(two)}
	wrong.UseDeltaIfSmaller(routesText(1400, 4), two)
	require.True(t, wrong.Delta)
	err := applyToBoth(PrepareKind, coordination.MustMarshal(wrong))
	require.True(t, failure.Is(err, failure.InvalidArgument), "%v", err)
	require.True(t, failure.Is(applyToBoth(PrepareKind, coordination.MustMarshal(&PrepareVersion{
		Base:  1,
		Delta: true,
		Text:  []byte("x"),
	})), failure.InvalidArgument))
	require.EqualValues(t, 1, m.newest())
	require.NoError(t, applyToBoth(PrepareKind, coordination.MustMarshal(c)))
	require.NoError(t, applyToBoth(CommitKind, coordination.MustMarshal(&CommitVersion{2})))
	require.EqualValues(t, 2, v.Current().Version)
	require.Equal(t, string(two), string(v.Current().Text))
	require.Len(t, v.Current().Configuration.Routes, 1401)
	require.Less(t, len(m.Snapshot(true)), len(two)/5)
	require.Equal(t, string(two), string(decompress(m.active.Text)))
	restored := NewView(logging.Discard())
	require.NoError(t, restored.Restore(v.Snapshot()))
	require.Equal(t, string(two), string(restored.Current().Text))
	revert := &PrepareVersion{Base: 2, Text: compress(one)}
	revert.UseDeltaIfSmaller(two, one)
	for _, view := range []*View{v, restored} {
		require.True(t, view.Observe(3, PrepareKind, coordination.MustMarshal(revert)))
		view.Observe(4, CommitKind, coordination.MustMarshal(&CommitVersion{3}))
		require.Equal(t, string(one), string(view.Current().Text), "the delta also applies to a compressed text")
		require.EqualValues(t, ids.Version(3), view.Current().Version)
	}
}
