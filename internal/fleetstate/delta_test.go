// Deltas between texts.

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

// routesText is a plain text of so many zones and routes; mark sets one route apart.
func routesText(n, mark int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, `{"zones":["z%d"],"routes":[`, mark)
	for i := range n {
		attempts := 1
		if i == mark {
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

// TestDelta: whatever two texts are, a delta between them gives the second byte for byte;
// one that was spoilt, or is laid over another text, gives none.
func TestDelta(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	texts := [][]byte{
		nil, []byte("}"), []byte("{}"), []byte("}}}}"), routesText(3, 1), routesText(300, 7), routesText(300, 250),
		routesText(900, 0),
	}
	for range 60 {
		w := append([]byte(nil), texts[5+r.IntN(3)]...)
		for range 1 + r.IntN(4) {
			at := r.IntN(len(w))
			end := min(len(w), at+r.IntN(3000))
			switch r.IntN(3) {
			case 0:
				w = append(w[:at:at], w[end:]...)
			case 1:
				w = append(append(w[:at:at], w[at:end]...), w[at:]...)
			default:
				w[at] = byte(r.IntN(256))
			}
		}
		texts = append(texts, w)
	}
	for _, previous := range texts {
		for _, text := range texts[:20] {
			d := diff(previous, text)
			got, err := d.patch(previous)
			require.NoError(t, err)
			require.Equal(t, string(text), string(got))
			if string(previous) != string(text) && len(d.Hunks) > 1 {
				_, err = d.patch(append([]byte("x"), previous...))
				require.True(t, failure.Is(err, failure.InvalidArgument), "%v", err)
			}
		}
	}
	good := diff(texts[5], texts[6])
	for range 300 {
		body := coordination.MustMarshal(good)
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
		{Size: maxText + 1},
		{Size: 5, Hunks: []Hunk{{From: -1, Len: 2}}},
		{Size: 5, Hunks: []Hunk{{From: 1, Len: 1 << 62}}},
		{Size: 1, Hunks: []Hunk{{Text: []byte("long")}}},
	} {
		_, err := d.patch([]byte("abc"))
		require.True(t, failure.Is(err, failure.InvalidArgument), "%+v", d)
	}
}

// TestPrepareDelta: a small change of a large text goes as a delta of little more than the
// change; copies and nodes come to the whole text, from snapshots too, and snapshots are
// packed. One that does not fit is refused and changes nothing, and a text that differs
// much goes whole.
func TestPrepareDelta(t *testing.T) {
	one, two := routesText(1400, 3), routesText(1400, 900)
	c := &PrepareVersion{Base: 1, Text: compress(two)}
	c.UseDeltaIfSmaller(one, two)
	require.True(t, c.Delta)
	require.Less(t, len(c.Text), 1000)
	far := &PrepareVersion{Base: 1, Text: compress(two)}
	far.UseDeltaIfSmaller([]byte(`{}`), two)
	require.False(t, far.Delta)
	m, v := NewMachine(MachineOptions{}), NewView(logging.Discard())
	both := func(kind string, body []byte) error {
		_, err := m.Apply(1, kind, body)
		v.Observe(1, kind, body)
		return err
	}
	require.NoError(t, both(PrepareKind, coordination.MustMarshal(&PrepareVersion{Text: compress(one)})))
	wrong := &PrepareVersion{Base: 1, Text: compress(two)}
	wrong.UseDeltaIfSmaller(routesText(1400, 4), two)
	require.True(t, wrong.Delta)
	err := both(PrepareKind, coordination.MustMarshal(wrong))
	require.True(t, failure.Is(err, failure.InvalidArgument), "%v", err)
	require.True(t, failure.Is(both(PrepareKind, coordination.MustMarshal(&PrepareVersion{
		Base:  1,
		Delta: true,
		Text:  []byte("x"),
	})), failure.InvalidArgument))
	require.EqualValues(t, 1, m.newest())
	require.NoError(t, both(PrepareKind, coordination.MustMarshal(c)))
	require.NoError(t, both(CommitKind, coordination.MustMarshal(&CommitVersion{2})))
	require.EqualValues(t, 2, v.Current().Version)
	require.Equal(t, string(two), string(v.Current().Text))
	require.Len(t, v.Current().Configuration.Routes, 1401)
	require.Less(t, len(m.Snapshot(true)), len(two)/5)
	require.Equal(t, string(two), string(decompress(m.active.Text)))
	late := NewView(logging.Discard())
	require.NoError(t, late.Restore(v.Snapshot()))
	require.Equal(t, string(two), string(late.Current().Text))
	back := &PrepareVersion{Base: 2, Text: compress(one)}
	back.UseDeltaIfSmaller(two, one)
	for _, w := range []*View{v, late} {
		require.True(t, w.Observe(3, PrepareKind, coordination.MustMarshal(back)))
		w.Observe(4, CommitKind, coordination.MustMarshal(&CommitVersion{3}))
		require.Equal(t, string(one), string(w.Current().Text), "also over a packed one")
		require.EqualValues(t, ids.Version(3), w.Current().Version)
	}
}
