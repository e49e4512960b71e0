// Free memory of workers: derived from late reports and from what was booked and ended here
// since, told to all nodes, and used in the order of workers.

package proxy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/coordination"
	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/routing"
)

func ms(n int) ids.Tick { return ids.Tick(time.Duration(n) * time.Millisecond) }

// TestLedger: what a report cannot show yet is added, what it still shows though it ended
// here is taken off as far as no other request shares it, and where both may be, the worker
// looks fuller.
func TestLedger(t *testing.T) {
	full := reportedLoad{Used: 300, Capacity: 1000}
	at := 10_000
	lag := int(reportLag / time.Millisecond)
	for _, c := range []struct {
		name         string
		began, ended int // 0: it goes on
		want         int
	}{
		{"begun long before and running: it is shown", at - lag - 100, 0, 700},
		{"begun just before the report: it may not be shown", at - lag + 100, 0, 600},
		{"begun after the report", at + 100, 0, 600},
		{"shown, and ended since", at - lag - 100, at + 50, 740},
		{"ended before the report was asked for: it may be shown no more", at - lag - 100, at - 100, 700},
		{"begun and ended where the report may show either", at - lag + 100, at - 50, 700},
		{"begun and ended after the report", at + 50, at + 100, 700},
	} {
		for _, late := range []bool{false, true} { // the report is heard of before or after the end
			var l memoryAccount
			if !late {
				l.report(full, ms(at))
			}
			h := l.reserve(100, 40, ms(c.began))
			if c.ended > 0 {
				l.release(h, true, ms(c.ended))
			}
			if late {
				l.report(full, ms(at))
			}
			free, ok := l.free(ms(at + 200))
			require.True(t, ok, c.name)
			require.Equal(t, c.want, free, c.name)
		}
	}

	var l memoryAccount
	_, ok := l.free(ms(at))
	require.False(t, ok, "no report yet")
	l.report(full, ms(at))
	l.release(l.reserve(100, 40, ms(at)), false, ms(at+10))
	free, ok := l.free(ms(at + 20))
	require.True(t, ok)
	require.Equal(t, 700, free, "turned away: it never was there")
	l.report(reportedLoad{Used: 900, Capacity: 1000}, ms(at-1000))
	free, _ = l.free(ms(at + 20))
	require.Equal(t, 700, free, "an older report that comes late")
	_, ok = l.free(ms(at).Add(reportMaxAge + 1))
	require.False(t, ok, "the report is stale")
	l.report(reportedLoad{}, ms(at+1000))
	_, ok = l.free(ms(at + 1000))
	require.False(t, ok, "the worker told nothing")
	for i := range 10_000 {
		l.release(l.reserve(1, 1, ms(at+10*i)), true, ms(at+10*i+5))
	}
	require.Less(t, len(l.reservations), 600, "what ended is forgotten without reports too")
}

// TestLedgerNewLife: a new life of a worker begins with nothing known of it, and what the
// earlier one reported or ran is not counted.
func TestLedgerNewLife(t *testing.T) {
	n, err := New(Options{Name: "n", Zone: "a", Host: quietHost()})
	require.NoError(t, err)
	now := n.now()
	previous := []Worker{{ID: "w.1", Service: "s", Zone: "a", Role: ids.Decode, Concurrency: 8}}
	n.installList(previous, now, now)
	n.publishLoads("s", now, map[ids.WorkerID]reportedLoad{"w.1": {Used: 999, Capacity: 1000, Running: 5}}, true)
	r := &Request{ID: "r", Prompt: 800, MaxTokens: 16}
	picks := n.decodeCandidates(n.startupPrograms.Set, n.view.Current(), service("s"), r, nil, nil)
	require.Equal(t, 1, picks[0].freeBlocks)
	require.Greater(t, picks[0].cost, n.options.NoCapacityCost)
	picks[0].reserve(r, r.MaxTokens, now)
	n.installList([]Worker{{ID: "w.2", Service: "s", Zone: "a", Role: ids.Decode, Concurrency: 8}}, now, now)
	picks = n.decodeCandidates(n.startupPrograms.Set, n.view.Current(), service("s"), r, nil, nil)
	require.Zero(t, picks[0].capacityBlocks, "nothing is known of the new life")
	require.Less(t, picks[0].cost, n.options.NoCapacityCost)
	_, all := n.loads.since(0, previous, now, everyService)
	require.Empty(t, all[0].Rows, "the earlier life is told no more")
}

// TestBoard: a node hears each change once, small ones and a round that it has not at all,
// and of a worker that told nothing that it did.
func TestBoard(t *testing.T) {
	list := []Worker{{ID: "v"}, {ID: "w"}, {ID: "x"}}
	rows := func(v, w int) map[ids.WorkerID]reportedLoad {
		return map[ids.WorkerID]reportedLoad{"v": {Used: v, Capacity: 1000}, "w": {Used: w, Capacity: 1000}}
	}
	var b loadBoard
	require.NotNil(t, b.record("s", ms(1000), rows(100, 200), true))
	seq, got := b.since(0, list, ms(1300), everyService)
	require.Equal(t, []ServiceLoads{{"s", 300, []WorkerLoad{{0, 100, 1000, 0, 0}, {1, 200, 1000, 0, 0}}}}, got)
	_, got = b.since(seq, list, ms(1400), everyService)
	require.Empty(t, got, "nothing new")
	require.Nil(t, b.record("s", ms(1050), rows(1, 1), true), "the same round, heard of again")
	require.NotNil(t, b.record("s", ms(2000), rows(105, 300), true))
	seq, got = b.since(seq, list, ms(2000), everyService)
	require.Equal(t, []ServiceLoads{{
		"s", 0, []WorkerLoad{{1, 300, 1000, 0, 0}},
	}}, got, "only what changed, and that all were asked")
	require.NotNil(t, b.record("s", ms(3000), map[ids.WorkerID]reportedLoad{"w": {Used: 300, Capacity: 1000}}, true))
	seq, got = b.since(seq, list, ms(3000), everyService)
	require.Equal(t, []ServiceLoads{{"s", 0, []WorkerLoad{{0, 0, 0, 0, 0}}}}, got, "v told nothing")
	require.NotNil(t, b.record("s", ms(4000), map[ids.WorkerID]reportedLoad{"v": {Used: 9, Capacity: 1000}}, false))
	_, got = b.since(seq, list, ms(4000), everyService)
	require.Equal(t, []ServiceLoads{{"s", 0, []WorkerLoad{{0, 9, 1000, 0, 0}}}}, got, "w is as it was")
	_, got = b.since(0, list, ms(4000).Add(reportMaxAge+1), everyService)
	require.Empty(t, got, "an old round is not handed on")
}

// TestRoomToldToAll: every node knows the room of every worker within two seconds of a
// change, whichever nodes hold the duties, and while no reports come none counts on one.
func TestRoomToldToAll(t *testing.T) {
	eachSeed(t, 4, func(t *testing.T, seed uint64) {
		all := both("svc", 3, 3)
		for i, s := range all {
			s.memory, s.used = 160_000, 16_000*i
		}
		y := newCluster(all...)
		f := build(t, seed, 4, y, plain(), turning)
		defer f.close()
		knows := func(b *testNode, id ids.WorkerID, want int) bool {
			st := b.state(id)
			st.mu.Lock()
			defer st.mu.Unlock()
			free, ok := st.memory.free(b.now())
			return ok && free == want
		}
		settled := func(used func(i int) int) func() bool {
			return func() bool {
				for _, b := range f.up() {
					for i, s := range all {
						if !knows(b, s.ID, 10_000-used(i)) {
							return false
						}
					}
				}
				return true
			}
		}
		require.True(t, f.until(12*time.Second, settled(func(i int) int { return 1000 * i })))
		y.at(func() {
			for _, s := range all {
				s.used = 80_000
			}
		})
		require.True(t, f.until(2*time.Second, settled(func(int) int { return 5000 })), "a change reaches all")
		apart := f.holder() >= 0 && f.holder() != f.listHolder()
		t.Log("the duties have different holders:", apart)
		f.kill(f.holder())
		y.at(func() {
			for _, s := range all {
				s.used = 32_000
			}
		})
		require.True(t, f.until(20*time.Second, settled(func(int) int { return 2000 })), "another holder asks")
		y.at(func() {
			for _, s := range all {
				s.dark = true
			}
		})
		require.True(t, f.until(6*time.Second, func() bool {
			for _, b := range f.up() {
				for _, s := range all {
					st := b.state(s.ID)
					st.mu.Lock()
					_, ok := st.memory.free(b.now())
					st.mu.Unlock()
					if ok {
						return false
					}
				}
			}
			return true
		}), "without reports nothing is known")
	})
}

// listHolder gives the number of the node that holds the list's duty, or -1.
func (f *fleet) listHolder() int {
	for i, b := range f.nodes {
		if _, ok := b.agent.OwnsKey(fleetstate.WorkerListKey); ok && b.up {
			return i
		}
	}
	return -1
}

// TestApartHolders: where one node holds the service's duty and another the list's, the
// first one tells the second, and all hear of it there.
func TestApartHolders(t *testing.T) {
	for seed := uint64(1); seed <= 12; seed++ {
		apart := false
		bubble(t, func(t *testing.T) {
			all := both("svc", 2, 2)
			for _, s := range all {
				s.memory, s.used = 160_000, 80_000
			}
			f := build(t, seed, 4, newCluster(all...), plain(), turning)
			defer f.close()
			time.Sleep(8 * time.Second)
			if apart = f.holder() >= 0 && f.listHolder() >= 0 && f.holder() != f.listHolder(); !apart {
				return
			}
			for _, b := range f.up() {
				for _, s := range all {
					st := b.state(s.ID)
					st.mu.Lock()
					free, ok := st.memory.free(b.now())
					st.mu.Unlock()
					require.True(t, ok)
					require.Equal(t, 5000, free)
				}
			}
		})
		if apart {
			return
		}
	}
	t.Fatal("no seed has the duties at two nodes")
}

// TestProgramsSeeRoom: routing programs see what is free in blocks.
func TestProgramsSeeRoom(t *testing.T) {
	text := "def order(ask, workers):\n    return [w.id for w in sorted(workers, key = lambda w: -w.free)]\n"
	n, err := New(Options{
		Name:     "n",
		Zone:     "a",
		Host:     quietHost(),
		Programs: []routing.Source{{Name: "roomy", Share: 100, Text: text}},
	})
	require.NoError(t, err)
	now := n.now()
	var list []Worker
	rows := map[ids.WorkerID]reportedLoad{}
	for i := range 4 {
		list = append(list, Worker{ID: wid(i), Service: "s", Zone: "a", Role: ids.Decode, Concurrency: 8})
		rows[wid(i)] = reportedLoad{Used: 1000 - 100*i, Capacity: 4000}
	}
	n.installList(list, now, now)
	n.publishLoads("s", now, rows, true)
	picks := n.decodeCandidates(n.startupPrograms.Set, n.view.Current(), service("s"), &Request{
		ID:        "r",
		Prompt:    800,
		MaxTokens: 16,
	}, nil, nil)
	for i, c := range picks {
		require.Equal(t, wid(3-i), c.worker.ID)
		require.Equal(t, 4000-1000+100*(3-i), c.freeBlocks)
	}
}

// tight runs emitters whose memory, unlike their places, is short, and counts arrivals that
// were turned away and callers that were answered.
func tight(t *testing.T, seed uint64, rate, noRoom float64) (away, done, all int, late time.Duration) {
	ws := both("svc", 4, 6)
	for i, s := range ws {
		if s.memory = 400_000; s.Role == ids.Decode {
			s.memory = 40_000 + 10_000*(i%3)
		}
	}
	y := newCluster(ws...)
	y.lag, y.queue, y.step = 300*time.Millisecond, 2, 50*time.Millisecond
	f := build(t, seed, 6, y, plain(), func(o *Options) {
		o.RoleChangeInterval, o.RetryAllowance, o.NoCapacityCost, o.IdlePrefillShare = 500*time.Millisecond, 60, noRoom, -1
	})
	defer f.close()
	time.Sleep(5 * time.Second)
	rng := rand.New(rand.NewPCG(seed, 11))
	ends := f.load(rate, 12*time.Second, func(i int) *Request {
		prompt, limit := 900, 10
		if rng.IntN(4) == 0 {
			prompt, limit = 9000, 24
		}
		return f.req(fmt.Sprint("r", i), paths[i%4], prompt, limit)
	})
	rows := y.directory()
	require.Empty(t, onceOnly(rows, ends))
	require.Empty(t, ended(ends, 8500*time.Millisecond))
	require.Empty(t, answers(ends))
	require.Empty(t, extras(rows, ends, 0.2, 60, window))
	for _, k := range rows {
		if k.Kind == "emit" && !k.Took {
			away++
		}
	}
	for _, a := range ends {
		if a.err == nil {
			done++
			late += a.sink.when[0]
		}
	}
	return away, done, len(ends), late / time.Duration(max(1, done))
}

// TestTight: emitters whose memory is short turn fewer requests away, and more are answered,
// where nodes know their room than where they do not.
func TestTight(t *testing.T) {
	seeds := uint64(2)
	if raced {
		seeds = 1
	}
	var away, done [2]int
	for _, rate := range []float64{85, 110} {
		for seed := uint64(1); seed <= seeds; seed++ {
			for k, noRoom := range []float64{-1, 0} {
				bubble(t, func(t *testing.T) {
					a, d, all, late := tight(t, seed, rate, noRoom)
					t.Logf(
						"%.0f a second, seed %d, reckoned with room %t: %d turned away, %d of %d answered, first bytes after %s",
						rate,
						seed,
						k == 1,
						a,
						d,
						all,
						late,
					)
					away[k], done[k] = away[k]+a, done[k]+d
				})
			}
		}
	}
	require.Less(t, away[1], away[0])
	require.Greater(t, done[1], done[0])
}

// TestStandBytes: what the workers' standing adds to the answers that nodes fetch anyway
// stays within a few bytes a second for each node and worker, while all is busy and changes.
func TestStandBytes(t *testing.T) {
	for _, c := range []struct{ nodes, workers, places int }{{10, 12, 64}, {72, 140, 24}} {
		for _, load := range []string{"no", "usual", "full"} {
			list := make([]Worker, c.workers)
			for i := range list {
				list[i].ID = wid(i)
			}
			rng := rand.New(rand.NewPCG(1, 2))
			var b loadBoard
			var seq uint64
			added, rounds := 0, 20
			for s := range rounds {
				rows := map[ids.WorkerID]reportedLoad{}
				for i := range list {
					at := reportedLoad{Capacity: 18_000}
					switch load {
					case "usual":
						at.Running = rng.IntN(4)
					case "full":
						at.Running = c.places/2 + rng.IntN(c.places/2)
						at.Waiting = rng.IntN(3)
					}
					at.Used = at.Running * (400 + rng.IntN(100))
					rows[list[i].ID] = at
				}
				now := ms(1000 * (s + 1))
				b.record("minutes-llm", now, rows, true)
				for k := range 4 { // askings a second
					plain := &ListResponse{Version: 7, Age: 1 << 29}
					full := &ListResponse{Version: 7, Age: 1 << 29}
					ask := &ListRequest{Node: "n", Version: 7, LoadSeq: seq}
					full.LoadSeq, full.Loads = b.since(
						seq, list, now.Add(time.Duration(250*k)*time.Millisecond), everyService,
					)
					seq = full.LoadSeq
					added += len(coordination.MustMarshal(full)) - len(coordination.MustMarshal(plain)) +
						len(coordination.MustMarshal(ask)) - len(coordination.MustMarshal(&ListRequest{
						Node:    "n",
						Version: 7,
					}))
				}
			}
			node := added / rounds
			t.Logf(
				"%d nodes, %d workers, %s load: %d bytes a second for each node, %d for all",
				c.nodes,
				c.workers,
				load,
				node,
				node*(c.nodes-1),
			)
			require.Less(t, node, 120+13*c.workers)
			if load != "full" {
				require.Less(t, node, 120+6*c.workers)
			}
		}
	}
}
