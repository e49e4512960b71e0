// Tests of the shipped programs, of invalid programs, of shares and of shadow programs.

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

// TestShippedOrder checks that the shipped programs compile and order workers as their comments describe.
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
	equallyLoaded := testCandidates(6)
	best := equallyLoaded[0]
	for i := range equallyLoaded {
		equallyLoaded[i].Outstanding = 1
		if equallyLoaded[i].Affinity > best.Affinity {
			best = equallyLoaded[i]
		}
	}
	got, err := p.Order(&PickRequest{Role: ids.Prefill}, equallyLoaded)
	require.NoError(t, err)
	require.Equal(t, best.ID, got[0])
}

// TestInvalidOrderFallsBack checks that the built-in order is used, and the fallback counted, if a
// program does not terminate, fails, names a worker that is not a candidate, names one twice, or
// returns something else than a list of ids.
func TestInvalidOrderFallsBack(t *testing.T) {
	builtIn, _ := BuiltIn{}.Order(&PickRequest{Role: ids.Decode}, testCandidates(4))
	for name, body := range map[string]string{
		"endless":           "    x = 0\n    for i in range(1000000000):\n        x += i\n    return [w.id for w in workers]",
		"failing":           "    return [w.id for w in workers][99]",
		"not a candidate":   "    return ['nobody']",
		"duplicate":         "    return ['w1', 'w1']",
		"wrong type":        "    return 5",
		"not ids":           "    return [1, 2]",
		"too many ids":      "    return ['w1'] * 100000",
		"changes its input": "    workers.clear()\n    seen.append(1)\n    return []",
	} {
		scores := &Scores{}
		set, err := NewProgramSet([]Source{{
			Name:  name,
			Text:  "seen = []\ndef order(ask, workers):\n" + body,
			Share: 100,
		}}, 20000, scores)
		require.NoError(t, err, name)
		require.Equal(t, builtIn, set.Order(&PickRequest{Role: ids.Decode, Request: "r"}, testCandidates(4)), name)
		require.EqualValues(t, 1, scores.Of(name).Fallbacks.Load(), name)
	}
}

// TestOmittedCandidatesComeLast checks that candidates that a program omits come last, so that a
// program cannot leave a request without workers.
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

// TestTrafficShares checks that requests are split among programs by their shares, and that a shadow
// program runs for every request but only counts.
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
	a, b, c := scores.Of("a").Runs.Load(), scores.Of("b").Runs.Load(), scores.Of("c").Runs.Load()
	require.EqualValues(t, 2000, a+b)
	require.InDelta(t, 600, a, 90)
	require.EqualValues(t, 2000, c)
}

// TestCompileErrors checks that a program that does not compile is rejected with the place of the
// error.
func TestCompileErrors(t *testing.T) {
	for text, message := range map[string]string{
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
		require.ErrorContains(t, err, message)
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
