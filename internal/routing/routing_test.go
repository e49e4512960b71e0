// Programs that ship, programs that are hostile, shares and shadows.

package routing

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"keelstair.example/failure"
	"keelstair.example/ids"
)

func testCandidates(n int) []Candidate {
	var out []Candidate
	for i := range n {
		out = append(out, Candidate{
			ID:            ids.WorkerID(fmt.Sprintf("w%d", i)),
			Free:          100 + i,
			Capacity:      200,
			Outstanding:   n - i,
			MaxConcurrent: 16,
			Affinity:      Affinity(7, ids.WorkerID(fmt.Sprintf("w%d", i))),
		})
	}
	return out
}

// TestShippedOrder: the shipped programs compile and order by what they say.
func TestShippedOrder(t *testing.T) {
	for name, first := range map[string]ids.WorkerID{"free": "w5", "short": "w5"} {
		p, err := Compile(name, ShippedProgram(name), 20000)
		require.NoError(t, err)
		got, err := p.Order(&PickRequest{Role: ids.Decode}, testCandidates(6))
		require.NoError(t, err)
		require.Len(t, got, 6)
		require.Equal(t, first, got[0], name)
	}
	p, err := Compile("prefix", ShippedProgram("prefix"), 20000)
	require.NoError(t, err)
	level := testCandidates(6)
	best := level[0]
	for i := range level {
		level[i].Outstanding = 1
		if level[i].Affinity > best.Affinity {
			best = level[i]
		}
	}
	got, err := p.Order(&PickRequest{Role: ids.Prefill}, level)
	require.NoError(t, err)
	require.Equal(t, best.ID, got[0])
}

// TestInvalidOrderFallsBack: a program that never ends, fails, names a stranger, names one
// twice or gives nonsense falls back to the built-in order, and is counted.
func TestInvalidOrderFallsBack(t *testing.T) {
	plain, _ := BuiltIn{}.Order(&PickRequest{Role: ids.Decode}, testCandidates(4))
	for name, body := range map[string]string{
		"endless":  "    x = 0\n    for i in range(1000000000):\n        x += i\n    return [w.id for w in workers]",
		"failing":  "    return [w.id for w in workers][99]",
		"stranger": "    return ['nobody']",
		"twice":    "    return ['w1', 'w1']",
		"nonsense": "    return 5",
		"numbers":  "    return [1, 2]",
		"flood":    "    return ['w1'] * 100000",
		"mutating": "    workers.clear()\n    seen.append(1)\n    return []",
	} {
		scores := &Scores{}
		set, err := NewProgramSet([]Source{{
			Name:  name,
			Text:  "seen = []\ndef order(ask, workers):\n" + body,
			Share: 100,
		}}, 20000, scores)
		require.NoError(t, err, name)
		require.Equal(t, plain, set.Order(&PickRequest{Role: ids.Decode, Request: "r"}, testCandidates(4)), name)
		require.EqualValues(t, 1, scores.Of(name).Fallbacks.Load(), name)
	}
}

// TestOmittedCandidatesComeLast: whom a program leaves out comes last, so it cannot starve a call.
func TestOmittedCandidatesComeLast(t *testing.T) {
	set, err := NewProgramSet([]Source{{
		Name:  "one",
		Text:  "def order(ask, workers):\n    return ['w2']",
		Share: 100,
	}}, 20000, &Scores{})
	require.NoError(t, err)
	got := set.Order(&PickRequest{Role: ids.Decode, Request: "r"}, testCandidates(4))
	require.Len(t, got, 4)
	require.Equal(t, ids.WorkerID("w2"), got[0])
}

// TestTrafficShares: traffic falls to programs by their shares, a shadow only counts.
func TestTrafficShares(t *testing.T) {
	scores := &Scores{}
	set, err := NewProgramSet([]Source{
		{Name: "a", Text: ShippedProgram("free"), Share: 30},
		{Name: "b", Text: ShippedProgram("short"), Share: 70},
		{Name: "c", Text: ShippedProgram("prefix"), Shadow: true},
	}, 20000, scores)
	require.NoError(t, err)
	for i := range 2000 {
		set.Order(&PickRequest{Role: ids.Decode, Request: fmt.Sprint("r", i)}, testCandidates(3))
	}
	a, b, c := scores.Of("a").Picks.Load(), scores.Of("b").Picks.Load(), scores.Of("c").Picks.Load()
	require.EqualValues(t, 2000, a+b)
	require.InDelta(t, 600, a, 90)
	require.EqualValues(t, 2000, c)
}

// TestCompileErrors: a program that does not compile is refused with its place.
func TestCompileErrors(t *testing.T) {
	for text, says := range map[string]string{
		"def order(a, b):\n    retrun b":                 "bad.star:2",
		"x = 1":                                          "must define match",
		"def order(a):\n    return a":                    "bad.star:1: it should be order(ask, workers)",
		"order = 3":                                      "bad.star:1",
		"\n\ndef turn(a, b):\n    return None":           "bad.star:3: it should be turn(pool)",
		"def match(a):\n    return True":                 "match(ask, worker)",
		"load('x', 'y')\ndef order(a, b):\n    return b": "bad.star:1",
		"while True:\n    pass":                          "bad.star:1",
	} {
		_, err := NewProgramSet([]Source{{Name: "bad", Text: text}}, 20000, &Scores{})
		require.True(t, failure.Is(err, failure.InvalidArgument), text)
		require.ErrorContains(t, err, says)
	}
}

func BenchmarkBuiltInOrder(b *testing.B) {
	list := testCandidates(12)
	for b.Loop() {
		BuiltIn{}.Order(&PickRequest{Role: ids.Prefill}, list)
	}
}

func BenchmarkStarlarkOrder(b *testing.B) {
	p, _ := Compile("prefix", ShippedProgram("prefix"), 20000)
	list := testCandidates(12)
	for b.Loop() {
		p.Order(&PickRequest{Role: ids.Prefill}, list)
	}
}
