// Program sets that come over the core's log: swapped under load, refused, raced, and kept
// through losses.

package proxy

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/coordination"
	"keelstair.example/failure"
	"keelstair.example/ids"
	"keelstair.example/internal/api"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/routing"
)

// sorted is a program that prefers workers by a key.
func sorted(key string) string {
	return fmt.Sprintf("def order(ask, workers):\n    return [w.id for w in sorted(workers, key = lambda w: %s)]\n", key)
}

// first prefers the worker with a number.
func first(number int) string {
	return sorted(fmt.Sprintf("(0 if '-%d.' in w.id else 1, w.id)", number))
}

// setOf writes a program set.
func setOf(list ...routing.Source) string {
	p := map[string]fleetstate.Program{}
	for _, s := range list {
		p[s.Name] = fleetstate.Program{Source: s.Text, Share: s.Share, Shadow: s.Shadow, ChangesRoles: s.ChangesRoles}
	}
	b, _ := json.Marshal(map[string]any{"programs": p})
	return string(b)
}

// operator speaks to the core by way of a node.
func (f *fleet) operator(b *testNode) *Operator {
	return &Operator{Caller: b.agent.Caller(), Directory: b.Directory(), Zones: []string{"a", "b"}}
}

func (f *fleet) apply(op string, base uint64, text string) (*api.ApplyResponse, error) {
	ctx, stop := context.WithTimeout(context.Background(), 8*time.Second)
	defer stop()
	return f.operator(f.up()[0]).Apply(ctx, &api.ApplyRequest{Op: op, Base: base, Name: "set.cue", Source: text})
}

func (f *fleet) shown() *api.Shown {
	ctx, stop := context.WithTimeout(context.Background(), 8*time.Second)
	defer stop()
	got, err := f.operator(f.up()[0]).Shown(ctx)
	require.NoError(f.t, err)
	return got
}

// dealt tells whether every node has a set in force.
func (f *fleet) dealt(v ids.Version) bool {
	for _, b := range f.up() {
		if s := b.view.Current().Programs; s == nil || s.Version != v {
			return false
		}
	}
	return true
}

// firstEmits gives the number of the worker that each request was first offered to.
func firstEmits(rows []row) map[string]int {
	out := map[string]int{}
	for _, k := range rows {
		if _, ok := out[k.Req]; !ok && k.Kind == "emit" {
			n := 0
			fmt.Sscanf(strings.TrimPrefix(string(k.Worker), "svc-decode-"), "%d.", &n)
			out[k.Req] = n
		}
	}
	return out
}

// TestSwapUnderLoad: two programs by shares of 30 and 70, swapped in mid-load for two
// others, with streams that run across: no request is refused, no stream breaks, the
// shares hold before and after, every node has the new set within two seconds, and the
// start's programs rule until the core has a set.
func TestSwapUnderLoad(t *testing.T) {
	bubble(t, func(t *testing.T) {
		y := newCluster(both("svc", 3, 4)...)
		f := build(t, 81, 3, y, plain(), func(o *Options) {
			o.Programs = []routing.Source{{Name: "start", Share: 100, Text: first(3)}}
		})
		defer f.close()
		a := f.ask(f.nodes[0], f.req("before", "/once/x", 400, 3))
		require.NoError(t, a.err)
		require.Equal(t, 3, firstEmits(y.directory())["before"])
		_, err := f.apply("one", 0, setOf(routing.Source{Name: "low", Share: 30, Text: first(0)}, routing.Source{Name: "high", Share: 70, Text: first(2)}))
		require.NoError(t, err)
		require.True(t, f.until(2*time.Second, func() bool { return f.dealt(1) }))
		var swapped, had time.Duration
		f.wg.Go(func() {
			time.Sleep(8 * time.Second)
			swapped = y.now()
			got, err := f.apply("two", 1, setOf(routing.Source{Name: "mid", Share: 60, Text: first(1)}, routing.Source{Name: "low", Share: 40, Text: first(0)}))
			require.NoError(t, err)
			require.Equal(t, &api.ApplyResponse{Version: 2, Active: true}, got)
			f.until(5*time.Second, func() bool { return f.dealt(2) })
			had = y.now()
		})
		all := f.load(60, 16*time.Second, func(i int) *Request {
			if i%30 == 0 {
				return f.req(fmt.Sprint("s", i), "/stream/x", 400, 150)
			}
			return f.req(fmt.Sprint("r", i), paths[i%2], 400, 4)
		})
		require.Less(t, had-swapped, 2*time.Second)
		require.Empty(t, onceOnly(y.directory(), all))
		require.Empty(t, answers(all))
		across, at := 0, firstEmits(y.directory())
		var previous, new [4]float64
		for _, a := range all {
			require.NoError(t, a.err, a.ID)
			switch {
			case a.at < swapped:
				previous[at[a.ID]]++
			case a.at > had:
				new[at[a.ID]]++
			}
			if a.stream && a.at < swapped && a.end > had {
				across++
			}
		}
		require.Greater(t, across, 3, "streams ran across")
		require.InDelta(t, 0.3, previous[0]/(previous[0]+previous[2]), 0.08, "%v", previous)
		require.Zero(t, previous[1]+previous[3])
		require.InDelta(t, 0.6, new[1]/(new[0]+new[1]), 0.08, "%v", new)
		require.Zero(t, new[2]+new[3])
	})
}

// TestKeepsProgramSet: a stream that is taken up elsewhere after a swap goes by the programs that
// it began with.
func TestKeepsProgramSet(t *testing.T) {
	bubble(t, func(t *testing.T) {
		y := newCluster(both("svc", 2, 4)...)
		f := build(t, 82, 2, y, plain(), func(o *Options) { o.RetryAllowance = 10 })
		defer f.close()
		_, err := f.apply("one", 0, setOf(routing.Source{Name: "up", Share: 100, Text: sorted("w.id")}))
		require.NoError(t, err)
		require.True(t, f.until(2*time.Second, func() bool { return f.dealt(1) }))
		long := make(chan *asked, 1)
		f.wg.Go(func() { long <- f.ask(f.nodes[0], f.req("long", "/sresume/x", 400, 150)) })
		time.Sleep(500 * time.Millisecond)
		_, err = f.apply("two", 1, setOf(routing.Source{Name: "last", Share: 100, Text: first(3)}))
		require.NoError(t, err)
		require.True(t, f.until(2*time.Second, func() bool { return f.dealt(2) }))
		y.restart("svc-decode-0")
		a := <-long
		require.NoError(t, a.err)
		require.Empty(t, answers([]*asked{a}))
		var at []ids.WorkerID
		for _, k := range y.directory() {
			if k.Kind == "emit" {
				at = append(at, k.Worker)
			}
		}
		require.Equal(t, []ids.WorkerID{"svc-decode-0.1", "svc-decode-1.1"}, at)
	})
}

// TestBadSets: a set with a fault is refused with its place and reason, and one over a
// stale base with the newest version; nothing changes, and nothing is staged.
func TestBadSets(t *testing.T) {
	ok := routing.Source{Name: "ok", Share: 100, Text: sorted("w.id")}
	var many []routing.Source
	for i := range 17 {
		many = append(many, routing.Source{Name: fmt.Sprint("p", i), Shadow: true, Text: ok.Text})
	}
	bad := map[string]string{
		"x.star:3:1":               setOf(routing.Source{Name: "x", Share: 100, Text: "def order(ask, workers):\n    return [w.id for\n"}),
		"must define":              setOf(routing.Source{Name: "x", Share: 100, Text: "a = 1\n"}),
		"has no turn":              setOf(routing.Source{Name: "x", Share: 100, ChangesRoles: true, Text: ok.Text}),
		"too many steps":           setOf(routing.Source{Name: "x", Share: 100, Text: "a = [i for i in range(1000000000)]\n"}),
		"add up to 90":             setOf(routing.Source{Name: "x", Share: 90, Text: ok.Text}),
		"over 16":                  setOf(append(many, ok)...),
		"bytes of source, over":    setOf(routing.Source{Name: "x", Share: 100, Text: ok.Text + "#" + strings.Repeat("x", 64<<10)}),
		"set.cue:2:":               "{\n programs: a: {source: 5, share: 100}\n}",
		"set.cue:3:":               "{\n programs: {}\n nonsense: 1\n}",
		"set.cue:1:":               "{",
		"limits.steps":             `{"programs":{},"limits":{"steps":9000000}}`,
		"only steps and dwellMs":   `{"programs":{},"limits":{"queue":3}}`,
		"only programs, limits":    `{"switch":false}`,
		"the fleet's own document": `{"zones":["a"]}`,
	}
	bubble(t, func(t *testing.T) {
		y := newCluster(both("svc", 2, 2)...)
		f := build(t, 83, 1, y, plain(), nil)
		defer f.close()
		_, err := f.apply("one", 0, setOf(ok))
		require.NoError(t, err)
		was := f.shown()
		require.EqualValues(t, 1, was.Version)
		for reason, text := range bad {
			_, err := f.apply("op "+reason, 1, text)
			require.ErrorContains(t, err, reason)
			require.True(t, failure.Is(err, failure.InvalidArgument), "%v", err)
		}
		_, err = f.apply("stale", 0, setOf(ok))
		require.ErrorContains(t, err, "the current one is 1")
		require.True(t, failure.Is(err, failure.Stale))
		_, err = f.apply("ahead", 2, setOf(ok))
		require.True(t, failure.Is(err, failure.Stale))
		require.Equal(t, was, f.shown())
		got, err := f.apply("one", 0, setOf(ok))
		require.NoError(t, err, "the same operation again has its one outcome")
		require.EqualValues(t, 1, got.Version)
	})
}

// TestPartialSet: a part is laid over the newest set, a dry run changes nothing, and the
// empty set leaves all to the built-in order, also where the node began with programs.
func TestPartialSet(t *testing.T) {
	bubble(t, func(t *testing.T) {
		y := newCluster(both("svc", 2, 2)...)
		f := build(t, 84, 1, y, plain(), func(o *Options) { o.Programs = []routing.Source{{Name: "start", Share: 100, Text: first(1)}} })
		defer f.close()
		o := f.operator(f.nodes[0])
		apply := func(op string, base uint64, dry bool, text string) (*api.ApplyResponse, error) {
			ctx, stop := context.WithTimeout(context.Background(), 8*time.Second)
			defer stop()
			return o.Apply(ctx, &api.ApplyRequest{Op: op, Base: base, Partial: true, Dry: dry, Source: text})
		}
		got, err := apply("one", 0, false, setOf(routing.Source{Name: "a", Share: 100, Text: sorted("w.id")}))
		require.NoError(t, err)
		require.EqualValues(t, 1, got.Version)
		half := `{"programs":{"a":{"share":50},"b":{"source":"def match(ask, worker):\n    return True\n","share":50}}}`
		got, err = apply("dry", 1, true, half)
		require.NoError(t, err)
		require.Contains(t, string(got.Policy), "def match")
		require.EqualValues(t, 1, f.shown().Newest)
		_, err = apply("stale", 0, false, half)
		require.ErrorContains(t, err, "the newest is 1")
		_, err = apply("two", 1, false, half)
		require.NoError(t, err)
		got, err = apply("two", 1, false, half)
		require.NoError(t, err, "again")
		require.EqualValues(t, 2, got.Version)
		require.True(t, f.until(2*time.Second, func() bool { return f.dealt(2) }))
		require.Equal(t, []string{"a", "b"}, f.nodes[0].view.Current().Programs.Configuration.Names())
		_, err = f.apply("none", 2, `{"programs":{}}`)
		require.NoError(t, err)
		require.True(t, f.until(2*time.Second, func() bool { return f.dealt(3) }))
		require.False(t, f.nodes[0].deal(f.nodes[0].snapshot()).Set.HasPrograms())
	})
}

// TestHostileSet: endless programs and those that name strangers, put in force while load
// runs, fall back and are counted; every request is served.
func TestHostileSet(t *testing.T) {
	bubble(t, func(t *testing.T) {
		y := newCluster(both("svc", 3, 4)...)
		f := build(t, 85, 2, y, plain(), nil)
		defer f.close()
		f.wg.Go(func() {
			time.Sleep(2 * time.Second)
			_, err := f.apply("hostile", 0, setOf(programs...))
			require.NoError(t, err)
		})
		all := f.load(40, 6*time.Second, func(i int) *Request { return f.req(fmt.Sprint("r", i), paths[i%4], 400, 4) })
		for _, a := range all {
			require.NoError(t, a.err)
		}
		require.Empty(t, answers(all))
		f.nodes[0].Scores().Each(func(name string, s *routing.Score) {
			if name == "endless" || name == "stranger" {
				require.Equal(t, s.Picks.Load(), s.Fallbacks.Load(), name)
				require.NotZero(t, s.Picks.Load(), name)
			} else {
				require.Zero(t, s.Fallbacks.Load(), name)
			}
		})
	})
}

// TestSwapSurvives: the leading core loses its power at some moment of a swap: the set that
// was acknowledged is in force at all nodes, once; it is there after all cores lost their
// power, at a node that joins late, and at one that was killed and rejoins.
func TestSwapSurvives(t *testing.T) {
	eachSeed(t, 6, func(t *testing.T, seed uint64) {
		y := newCluster(both("svc", 2, 2)...)
		f := build(t, seed, 2, y, plain(), nil)
		defer f.close()
		_, err := f.apply("one", 0, setOf(routing.Source{Name: "one", Share: 100, Text: first(0)}))
		require.NoError(t, err)
		f.wg.Go(func() {
			time.Sleep(time.Duration(seed*seed*3) * time.Millisecond)
			f.offCore(f.leader())
		})
		set := setOf(routing.Source{Name: "two", Share: 100, Text: first(1)})
		require.True(t, f.until(30*time.Second, func() bool {
			got, err := f.apply("two", 1, set)
			return err == nil && got.Version == 2
		}))
		require.True(t, f.until(2*time.Second, func() bool { return f.dealt(2) }))
		for _, ip := range coreIps {
			f.offCore(ip)
		}
		f.kill(1)
		time.Sleep(time.Second)
		for _, ip := range coreIps {
			f.core(ip)
		}
		f.node(2)
		f.node(1)
		require.True(t, f.until(20*time.Second, func() bool { return f.dealt(2) }))
		sh := f.shown()
		require.EqualValues(t, 2, sh.Newest)
		require.Contains(t, string(sh.Policy), `"two"`)
		for _, b := range f.up() {
			require.Equal(t, "two", b.deal(b.snapshot()).Set.ProgramFor("x"))
		}
	})
}

// TestSwapRaces: sets and configurations change at once: both lines hold. Of two sets made
// over the same one, one wins, and the other learns of it.
func TestSwapRaces(t *testing.T) {
	eachSeed(t, 4, func(t *testing.T, seed uint64) {
		y := newCluster(both("svc", 2, 2)...)
		f := build(t, seed, 3, y, plain(), nil)
		defer f.close()
		var wg sync.WaitGroup
		wg.Go(func() {
			for v := ids.Version(1); v < 9; v++ {
				require.NoError(t, f.put(ids.OpID(fmt.Sprint("doc", v)), v, v+1, plain()))
			}
		})
		wg.Go(func() {
			for v := range uint64(8) {
				_, err := f.apply(fmt.Sprint("set", v), v, setOf(routing.Source{Name: fmt.Sprint("p", v), Share: 100, Text: first(int(v % 2))}))
				require.NoError(t, err)
			}
		})
		all := f.load(20, 3*time.Second, func(i int) *Request { return f.req(fmt.Sprint("r", i), paths[i%4], 400, 3) })
		wg.Wait()
		for _, a := range all {
			require.NoError(t, a.err)
		}
		require.True(t, f.until(2*time.Second, func() bool { return f.dealt(8) && f.inForce(9) }))
		won := make([]error, 2)
		for i := range won {
			wg.Go(func() {
				_, won[i] = f.apply(fmt.Sprint("rival", i), 8, setOf(routing.Source{Name: fmt.Sprint("rival", i), Share: 100, Text: first(0)}))
			})
		}
		wg.Wait()
		require.NotEqual(t, won[0] == nil, won[1] == nil, "%v", won)
		for _, err := range won {
			require.True(t, err == nil || failure.Is(err, failure.Stale), "%v", err)
		}
		require.EqualValues(t, 9, f.shown().Newest)
	})
}

// TestSetNotCompiled: a set that a node cannot compile, though the core has it, leaves the
// one before it in force there, and the next one that compiles is taken.
func TestSetNotCompiled(t *testing.T) {
	bubble(t, func(t *testing.T) {
		y := newCluster(both("svc", 2, 2)...)
		f := build(t, 86, 1, y, plain(), nil)
		defer f.close()
		_, err := f.apply("one", 0, setOf(routing.Source{Name: "one", Share: 100, Text: first(0)}))
		require.NoError(t, err)
		require.True(t, f.until(2*time.Second, func() bool { return f.dealt(1) }))
		f.submit(fleetstate.PrepareProgramsKind, &fleetstate.PrepareVersion{Base: 1, Text: []byte(setOf(routing.Source{Name: "x", Share: 100, Text: "def"}))})
		time.Sleep(2 * time.Second)
		require.True(t, f.dealt(1))
		require.NoError(t, f.ask(f.nodes[0], f.req("r", "/once/x", 400, 2)).err)
		_, err = f.apply("three", 2, setOf(routing.Source{Name: "three", Share: 100, Text: first(0)}))
		require.NoError(t, err)
		require.True(t, f.until(2*time.Second, func() bool { return f.dealt(3) }))
	})
}

// flap names the first worker that may turn, whatever the press; drain only one that reads.
const (
	flap = `def turn(pool):
    for w in pool.workers:
        if w.may:
            return (w.id, "decode" if w.part == "prefill" else "prefill")
    return None
`
	drain = `def turn(pool):
    for w in pool.workers:
        if w.may and w.part == "prefill":
            return (w.id, "decode")
    return None
`
)

// TestRoleChangeByProgram: a program in charge that wishes for a turn whenever one may be had is
// held to the guards: a third keeps each part, orders to a worker are its dwell apart, and
// nothing is sent to a worker that turns.
func TestRoleChangeByProgram(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		some int
	}{"flap": {flap, 5}, "drain": {drain, 0}} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				y := newCluster(both("svc", 5, 4)...)
				f := build(t, 87, 2, y, plain(), turning)
				defer f.close()
				was := parts(y)
				_, err := f.apply(name, 0, setOf(routing.Source{Name: name, ChangesRoles: true, Text: c.text}))
				require.NoError(t, err)
				all := f.load(20, 40*time.Second, func(i int) *Request { return f.req(fmt.Sprint("r", i), paths[i%4], 400, 4) })
				rows := y.directory()
				require.Greater(t, len(orders(rows)), c.some)
				last, ends := map[ids.WorkerID]time.Duration{}, time.Duration(-time.Hour)
				for _, k := range orders(rows) {
					if at, ok := last[k.Worker]; ok {
						require.Greater(t, k.At-at, 4*time.Second, "dwell of %s", k.Worker)
					}
					require.Greater(t, k.At-ends, roleChangeInterval, "between a service's turns")
					last[k.Worker], ends = k.At, k.At
				}
				require.Empty(t, thirds(rows, was))
				require.Empty(t, leftAlone(rows, 100*time.Millisecond))
				require.Empty(t, untouched(rows, time.Second))
				require.Empty(t, onceOnly(rows, all))
				for _, a := range all {
					require.NoError(t, a.err)
				}
			})
		})
	}
}

// TestTurnProgramSays: a program in charge that wishes for none has none turned though a
// part is pressed; one that fails, or names a worker that may not turn, leaves it to the
// built-in choice; one that is not in charge is only counted.
func TestTurnProgramSays(t *testing.T) {
	for name, c := range map[string]struct {
		p     routing.Source
		turns bool
	}{
		"none":     {routing.Source{ChangesRoles: true, Text: "def turn(pool):\n    return None\n"}, false},
		"fails":    {routing.Source{ChangesRoles: true, Text: "def turn(pool):\n    return pool.nothing\n"}, true},
		"endless":  {routing.Source{ChangesRoles: true, Text: "def turn(pool):\n    n = 0\n    for i in range(1000000000):\n        n += i\n    return None\n"}, true},
		"stranger": {routing.Source{ChangesRoles: true, Text: "def turn(pool):\n    return ('x', 'prefill')\n"}, true},
		"same":     {routing.Source{ChangesRoles: true, Text: "def turn(pool):\n    return (pool.workers[0].id, pool.workers[0].part)\n"}, true},
		"counted":  {routing.Source{Shadow: true, Text: "def turn(pool):\n    return None\n"}, true},
		"press":    {routing.Source{ChangesRoles: true, Text: "def turn(pool):\n    ids = [w.id for w in pool.workers if w.may and w.part == 'decode']\n    if pool.prefill > 0.35 and ids:\n        return ids[0], 'prefill'\n    return None\n"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				y := newCluster(both("svc", 4, 5)...)
				f := build(t, 88, 2, y, plain(), turning)
				defer f.close()
				c.p.Name = name
				_, err := f.apply("op", 0, setOf(c.p))
				require.NoError(t, err)
				time.Sleep(2 * time.Second)
				y.pressed(ids.Prefill, 6)
				time.Sleep(10 * time.Second)
				require.Equal(t, c.turns, len(orders(y.directory())) > 0)
				for _, k := range orders(y.directory()) {
					require.Equal(t, ids.Prefill, k.To)
				}
				h := f.nodes[max(0, f.holder())]
				score := h.Scores().Of(name)
				require.NotZero(t, score.RoleChangeCalls.Load())
				require.Equal(t, name == "fails" || name == "endless" || name == "stranger" || name == "same", score.Fallbacks.Load() > 0)
			})
		})
	}
}

// TestOperatorsOther: the other calls of the operators' interface: zones that are known are
// evacuated, and nothing else.
func TestOperatorsOther(t *testing.T) {
	bubble(t, func(t *testing.T) {
		y := newCluster(both("svc", 2, 2)...)
		f := build(t, 89, 1, y, plain(), nil)
		defer f.close()
		o := f.operator(f.nodes[0])
		ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
		defer stop()
		_, err := o.Evacuate(ctx, "b", &api.MarkRequest{Op: coordination.NewID(), Out: true})
		require.NoError(t, err)
		require.Equal(t, []string{"b"}, f.shown().Zones)
		require.True(t, f.until(2*time.Second, func() bool { return f.nodes[0].view.Current().Zones["b"] }))
		_, err = o.Evacuate(ctx, "b", &api.MarkRequest{Op: coordination.NewID()})
		require.NoError(t, err)
		require.Equal(t, []string{}, f.shown().Zones)
		_, err = o.Evacuate(ctx, "z", &api.MarkRequest{Op: coordination.NewID(), Out: true})
		require.ErrorContains(t, err, `no zone "z"`)
		_, err = o.Drain(ctx, "svc-decode-0.1", &api.MarkRequest{Op: coordination.NewID(), Out: true})
		require.ErrorContains(t, err, "list of workers")
		require.NotNil(t, o.Status())
	})
}
