// The matching and the turning part of programs, and what they cannot do.

package routing

import (
	"testing"

	"github.com/stretchr/testify/require"

	"keelstair.example/ids"
)

func mustNewProgramSet(t *testing.T, scores *Scores, list ...Source) *ProgramSet {
	d, err := NewProgramSet(list, 20000, scores)
	require.NoError(t, err)
	return d
}

// TestMatchRestrictsCandidates: a program keeps a request to the workers that it matches, even if it has
// no order of its own; one whose matching fails is counted, and all are matched.
func TestMatchRestrictsCandidates(t *testing.T) {
	list := testCandidates(6)
	for i := range list {
		list[i].Adapters = []string{"legal"}[:i%2]
	}
	q := &PickRequest{Role: ids.Decode, Request: "r", Kind: "ruling"}
	text := "def match(ask, worker):\n    return ask.kind != 'ruling' or 'legal' in worker.adapters\n"
	d := mustNewProgramSet(t, &Scores{}, Source{Name: "legal", Text: text, Share: 100})
	require.Equal(t, []ids.WorkerID{"w5", "w3", "w1"}, d.Order(q, list), "in the built-in order")
	require.Len(t, d.Order(&PickRequest{Role: ids.Decode, Request: "r", Kind: "rider"}, list), 6)
	none := mustNewProgramSet(t, &Scores{}, Source{Name: "none", Text: "def match(ask, worker):\n    return False\n", Share: 100})
	require.Empty(t, none.Order(q, list), "matched by nobody")
	for name, body := range map[string]string{
		"endless":  "[i for i in range(1 << 40)]",
		"failing":  "worker.nothing",
		"nonsense": "3",
	} {
		scores := &Scores{}
		d := mustNewProgramSet(t, scores, Source{Name: name, Text: "def match(ask, worker):\n    return " + body, Share: 100})
		require.Len(t, d.Order(q, list), 6, name)
		require.EqualValues(t, 1, scores.Of(name).Fallbacks.Load(), name)
	}
	out := mustNewProgramSet(t, &Scores{}, Source{
		Name:  "x",
		Share: 100,
		Text:  text + "def order(ask, workers):\n    return ['w0']\n",
	})
	require.Len(t, out.Order(q, list), 6, "an order that names who was not matched falls back")
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

// TestRoleChangePrograms: the program in charge decides, one that is not only is counted,
// and whatever it wishes for that may not be falls back to the built-in wish.
func TestRoleChangePrograms(t *testing.T) {
	plain := RoleChange{"d2", ids.Prefill}
	for name, k := range map[string]struct {
		body  string
		wish  RoleChange
		ok    bool
		falls int64
	}{
		"own":      {"('d1', 'prefill') if pool.prefill > 0.8 else None", RoleChange{"d1", ids.Prefill}, true, 0},
		"calm":     {"None", RoleChange{}, false, 0},
		"may not":  {"('d3', 'prefill')", plain, true, 1},
		"stranger": {"('d9', 'prefill')", plain, true, 1},
		"same":     {"('p1', 'prefill')", plain, true, 1},
		"no part":  {"('d1', 'both')", plain, true, 1},
		"endless":  {"[i for i in range(1 << 40)]", plain, true, 1},
		"failing":  {"pool.workers[99]", plain, true, 1},
		"nonsense": {"'d1'", plain, true, 1},
	} {
		scores := &Scores{}
		text := "def turn(pool):\n    return " + k.body
		d := mustNewProgramSet(t, scores, Source{
			Name:         name,
			Text:         text,
			ChangesRoles: true,
		}, Source{Name: "rival", Text: "def turn(pool):\n    return ('d2', 'prefill')"})
		w, ok := d.ProposeRoleChange(poolUnderPrefillPressure())
		require.Equal(t, k.ok, ok, name)
		require.Equal(t, k.wish, w, name)
		require.EqualValues(t, k.falls, scores.Of(name).Fallbacks.Load(), name)
		require.EqualValues(t, 1, scores.Of("rival").RoleChangeProposals.Load(), name)
		require.Equal(t, k.ok, scores.Of("rival").Agreed.Load() == 1, name)
	}
	_, err := NewProgramSet([]Source{{Name: "x", Text: ShippedProgram("free"), ChangesRoles: true}}, 20000, &Scores{})
	require.ErrorContains(t, err, "has no turn(pool)")
}
