// Tests of the functions match and turn of routing programs, and of their limits.

package routing

import (
	"testing"

	"github.com/stretchr/testify/require"

	"keelstair.example/ids"
)

func mustNewProgramSet(t *testing.T, scores *Scores, list ...Source) *ProgramSet {
	set, err := NewProgramSet(list, 20000, scores)
	require.NoError(t, err)
	return set
}

// TestMatchRestrictsCandidates checks that a request only gets workers that its program matches, even
// if the program defines no order. If match fails, the fallback is counted and all workers are used.
func TestMatchRestrictsCandidates(t *testing.T) {
	list := testCandidates(6)
	for i := range list {
		list[i].Adapters = []string{"legal"}[:i%2]
	}
	q := &PickRequest{Role: ids.Decode, Request: "r", Kind: "ruling"}
	text := "def match(ask, worker):\n    return ask.kind != 'ruling' or 'legal' in worker.adapters\n"
	set := mustNewProgramSet(t, &Scores{}, Source{Name: "legal", Text: text, Share: 100})
	require.Equal(t, []ids.WorkerID{"w5", "w3", "w1"}, set.Order(q, list), "the matched workers in the built-in order")
	require.Len(t, set.Order(&PickRequest{Role: ids.Decode, Request: "r", Kind: "rider"}, list), 6)
	none := mustNewProgramSet(t, &Scores{}, Source{Name: "none", Text: "def match(ask, worker):\n    return False\n", Share: 100})
	require.Empty(t, none.Order(q, list), "the program matches no worker")
	for name, body := range map[string]string{
		"endless":    "[i for i in range(1 << 40)]",
		"failing":    "worker.nothing",
		"wrong type": "3",
	} {
		scores := &Scores{}
		set := mustNewProgramSet(t, scores, Source{Name: name, Text: "def match(ask, worker):\n    return " + body, Share: 100})
		require.Len(t, set.Order(q, list), 6, name)
		require.EqualValues(t, 1, scores.Of(name).Fallbacks.Load(), name)
	}
	conflicting := mustNewProgramSet(t, &Scores{}, Source{
		Name:  "x",
		Share: 100,
		Text:  text + "def order(ask, workers):\n    return ['w0']\n",
	})
	require.Len(t, conflicting.Order(q, list), 6, "an order that names a worker that was not matched falls back")
}

func poolUnderPrefillPressure() *Pool {
	p := &Pool{Model: "m", Pressure: map[ids.Role]float64{ids.Prefill: 0.9, ids.Decode: 0.1}}
	for i, id := range []ids.WorkerID{"p1", "p2", "d1", "d2", "d3"} {
		w := RoleCandidate{
			ID:            id,
			Role:          ids.Prefill,
			HomeRole:      ids.Prefill,
			Outstanding:   10 - i,
			MaxConcurrent: 16,
			Allowed:       id != "d3",
		}
		if i >= 2 {
			w.Role, w.HomeRole = ids.Decode, ids.Decode
		}
		p.Workers = append(p.Workers, w)
	}
	return p
}

// TestRoleChangePrograms checks that the program with ChangesRoles decides, that other programs are
// only counted, and that a failure or a proposal that is not allowed falls back to the built-in
// proposal.
func TestRoleChangePrograms(t *testing.T) {
	builtIn := RoleChange{"d2", ids.Prefill}
	for name, test := range map[string]struct {
		body      string
		change    RoleChange
		ok        bool
		fallbacks int64
	}{
		"proposal":     {"('d1', 'prefill') if pool.prefill > 0.8 else None", RoleChange{"d1", ids.Prefill}, true, 0},
		"no proposal":  {"None", RoleChange{}, false, 0},
		"not allowed":  {"('d3', 'prefill')", builtIn, true, 1},
		"not a worker": {"('d9', 'prefill')", builtIn, true, 1},
		"same role":    {"('p1', 'prefill')", builtIn, true, 1},
		"unknown role": {"('d1', 'both')", builtIn, true, 1},
		"endless":      {"[i for i in range(1 << 40)]", builtIn, true, 1},
		"failing":      {"pool.workers[99]", builtIn, true, 1},
		"wrong type":   {"'d1'", builtIn, true, 1},
	} {
		scores := &Scores{}
		text := "def turn(pool):\n    return " + test.body
		set := mustNewProgramSet(t, scores, Source{
			Name:         name,
			Text:         text,
			ChangesRoles: true,
		}, Source{Name: "rival", Text: "def turn(pool):\n    return ('d2', 'prefill')"})
		change, ok := set.ProposeRoleChange(poolUnderPrefillPressure())
		require.Equal(t, test.ok, ok, name)
		require.Equal(t, test.change, change, name)
		require.EqualValues(t, test.fallbacks, scores.Of(name).Fallbacks.Load(), name)
		require.EqualValues(t, 1, scores.Of("rival").RoleChangeProposals.Load(), name)
		require.Equal(t, test.ok, scores.Of("rival").Agreed.Load() == 1, name)
	}
	_, err := NewProgramSet([]Source{{Name: "x", Text: ShippedProgram("free"), ChangesRoles: true}}, 20000, &Scores{})
	require.ErrorContains(t, err, "has no turn(pool)")
}
