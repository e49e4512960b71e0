// How the list reaches many nodes: by deltas, at once, and by a tree of nodes.

package proxy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/coordination"
	"keelstair.example/ids"
)

// manyMembers are nodes in four zones.
func manyMembers(n int) []coordination.Member {
	out := make([]coordination.Member, n)
	for i := range out {
		out[i] = coordination.Member{
			Node: ids.NodeID(fmt.Sprintf("node-%03d", i)),
			Addr: fmt.Sprint(i),
			Zone: ids.Zone(fmt.Sprint("z", i%4)),
		}
	}
	return out
}

// TestListTree: in a large fleet no node is asked by more than a few, each way leads to the
// holder in few steps, one node of each other zone crosses to the holder's, and each node's
// word of outcomes counts at its own parent and nowhere else.
func TestListTree(t *testing.T) {
	shape := treeShape{maxFlatNodes: 96, width: 12, direct: map[ids.NodeID]bool{"node-040": true, "node-041": true}}
	for _, size := range []int{97, 300, 651} {
		members := manyMembers(size)
		owner := members[5]
		asked := map[ids.NodeID]int{}
		parent := map[ids.NodeID]ids.NodeID{}
		crossing := 0
		for _, m := range members {
			if m.Node == owner.Node {
				continue
			}
			s := shape.sourcesOf(m, owner, members)
			require.False(t, s.flat())
			first := s.parents[0]
			asked[first.Node]++
			parent[m.Node] = first.Node
			if first.Zone != m.Zone {
				crossing++
			}
			require.LessOrEqual(t, len(s.parents), 4)
			require.Equal(t, owner.Node, s.parents[len(s.parents)-1].Node)
		}
		require.LessOrEqual(t, crossing, 3+len(shape.direct))
		for node, count := range asked {
			limit := shape.width
			if node == owner.Node {
				limit += 3 + len(shape.direct)
			}
			require.LessOrEqual(t, count, limit)
		}
		for _, m := range members {
			counts := shape.outcomeReporters(m, owner, members)
			for _, other := range members {
				require.Equal(t, parent[other.Node] == m.Node && other.Node != owner.Node, counts(other.Node))
			}
		}
	}
}

// TestListTreeStranger: a node that is no member, even the only one of its zone, has a way.
func TestListTreeStranger(t *testing.T) {
	members := manyMembers(120)
	shape := treeShape{maxFlatNodes: 96, width: 12}
	for _, zone := range []ids.Zone{"z1", "elsewhere"} {
		s := shape.sourcesOf(coordination.Member{Node: "new", Zone: zone}, members[5], members)
		require.Equal(t, members[5].Node, s.parents[len(s.parents)-1].Node)
	}
}

// TestListDelta: whatever changed since the version that a node has, the delta makes its list
// the same as the sender's; where that version is forgotten, the whole list comes.
func TestListDelta(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 3))
		sender, err := New(Options{Name: "sender", Host: newSimulatedHost()})
		require.NoError(t, err)
		reader, err := New(Options{Name: "reader", Host: newSimulatedHost()})
		require.NoError(t, err)
		f := &listFollower{node: reader}
		list := newWorkers(60)
		for round := range 60 {
			for range rng.IntN(4) {
				list = changeOne(rng, list, round)
			}
			sender.installList(list, sender.now(), sender.now())
			if rng.IntN(3) > 0 {
				continue
			}
			request := &ListRequest{Version: reader.endpoints.Load().version, Deltas: true}
			r := sender.listSince(request)
			require.Equal(t, request.Version != 0, r.Delta || r.Version == request.Version)
			f.apply(r)
			require.Equal(t, sender.endpoints.Load().workers, reader.endpoints.Load().workers)
			require.Equal(t, sender.endpoints.Load().version, reader.endpoints.Load().version)
		}
		previous := reader.endpoints.Load().version
		for round := range changesRetained + 1 {
			list = changeOne(rng, list, 100+round)
			sender.installList(list, sender.now(), sender.now())
		}
		r := sender.listSince(&ListRequest{Version: previous, Deltas: true})
		require.False(t, r.Delta)
		require.Len(t, r.Rows, len(list))
		require.False(
			t,
			sender.listSince(&ListRequest{Version: sender.endpoints.Load().changes[3].to}).Delta,
			"who does not know deltas gets none",
		)
	}
}

// TestListVersionsAgree: nodes that asked the platform apart have the same version of the same
// list, in whatever order it came, so that what follows is a delta for each.
func TestListVersionsAgree(t *testing.T) {
	a, err := New(Options{Name: "a", Host: newSimulatedHost()})
	require.NoError(t, err)
	b, err := New(Options{Name: "b", Host: newSimulatedHost()})
	require.NoError(t, err)
	list := newWorkers(20)
	a.installList(list, a.now(), a.now())
	list = slices.Clone(list)
	slices.Reverse(list)
	b.installList(list, b.now(), b.now())
	require.Equal(t, a.endpoints.Load().version, b.endpoints.Load().version)
	list = append([]Worker(nil), list...)
	list[3].Leaving = true
	a.installList(list, a.now(), a.now())
	r := a.listSince(&ListRequest{Version: b.endpoints.Load().version, Deltas: true})
	require.True(t, r.Delta)
	require.Len(t, r.Rows, 1)
	previous := a.endpoints.Load().version
	list = append([]Worker(nil), list...)
	list[3].SlowStart = time.Second
	a.installList(list, a.now(), a.now())
	require.NotEqual(t, previous, a.endpoints.Load().version, "a cold time alone is news too")
}

// changeOne makes a worker leave, go or come.
func changeOne(rng *rand.Rand, list []Worker, round int) []Worker {
	list = append([]Worker(nil), list...)
	i := rng.IntN(len(list))
	switch rng.IntN(3) {
	case 0:
		list[i].Leaving = !list[i].Leaving
	case 1:
		list = append(list[:i], list[i+1:]...)
	}
	w := list[0]
	w.ID = ids.WorkerID(fmt.Sprintf("new-%d-%d", round, rng.IntN(1<<30)))
	return append(list, w)
}

// TestListBytes: at 3,000 workers and readings at a third of them, a worker that leaves costs
// each node that hears of it a few hundred bytes, and all readings a few thousand.
func TestListBytes(t *testing.T) {
	skipUnderRaceDetector(t)
	n, err := New(Options{Name: "n", Host: newSimulatedHost()})
	require.NoError(t, err)
	list := newWorkers(3000)
	n.installList(list, n.now(), n.now())
	version := n.endpoints.Load().version
	list = append([]Worker(nil), list...)
	list[7].Leaving = true
	n.installList(list, n.now(), n.now())
	complete := len(coordination.MustMarshal(n.listSince(&ListRequest{Deltas: true})))
	delta := len(coordination.MustMarshal(n.listSince(&ListRequest{Version: version, Deltas: true})))
	var rows []PrefillLoad
	for i := range 1000 {
		rows = append(rows, PrefillLoad{list[i].ID, 1000 + i, 1})
	}
	n.peerReports.Store(ids.NodeID("other"), peerReport{receivedAt: n.now(), prefills: rows})
	reads := len(coordination.MustMarshal(&ListResponse{Prefills: n.prefillsWithout("none", true)}))
	t.Logf("whole %d, delta %d, readings %d bytes", complete, delta, reads)
	require.Less(t, delta, 400)
	require.Less(t, reads, 12_000)
}

// TestLeavingPushed: that a worker leaves is known to all nodes a moment after the holder of
// the list knows, in a flat fleet and down a tree of three levels.
func TestLeavingPushed(t *testing.T) {
	// Where all ask the holder they ask every 200 to 300 ms; in a tree an answer waits for the change.
	for flat, limit := range map[int]time.Duration{96: 350 * time.Millisecond, 1: 100 * time.Millisecond} {
		t.Run(fmt.Sprint(flat), func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				y := newFakePlatform(prefillAndDecodeWorkers("svc", 6, 6)...)
				f := startFleet(t, 64, 12, y, defaultConfiguration(), treed(flat))
				defer f.close()
				time.Sleep(6 * time.Second)
				late := time.Duration(0)
				for _, name := range []string{
					"svc-decode-0", "svc-decode-1", "svc-decode-2", "svc-prefill-0", "svc-prefill-1",
				} {
					h := f.nodes[f.lister()]
					id := y.worker(name).ID
					time.Sleep(370 * time.Millisecond)
					y.withLock(func() { y.worker(name).Leaving = true })
					require.True(t, f.waitUntil(2*time.Second, func() bool {
						w := h.endpoints.Load().find(id)
						return w != nil && w.Leaving
					}))
					from := time.Now()
					require.True(t, f.waitUntil(2*time.Second, func() bool { return f.heard(y, name) }))
					late = max(late, time.Since(from))
				}
				require.LessOrEqual(t, late, limit)
			})
		})
	}
}

// treed has a tree of width 2 from so many nodes on.
func treed(flat int) func(*Options) {
	return func(o *Options) { o.FlatListNodes, o.TreeWidth = flat, 2 }
}

// TestTreeOneAsker: in a tree too the holder alone asks the platform.
func TestTreeOneAsker(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		y := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 3)...)
		f := startFleet(t, 65, 12, y, defaultConfiguration(), treed(1))
		defer f.close()
		time.Sleep(8 * time.Second)
		from := y.elapsed()
		time.Sleep(10 * time.Second)
		require.Len(t, y.lists(from), 1, "%v", y.lists(from))
	})
}

// top gives the node that stands first in the tree of the zone that the holder is not in.
func (f *fleet) top() int {
	owner := f.nodes[f.lister()]
	members := owner.agent.Members()
	for i, b := range f.nodes {
		if b.running && b.self.Zone != owner.self.Zone &&
			b.treeShape().sourcesOf(b.self, owner.self, members).parents[0].Node == owner.self.Node {
			return i
		}
	}
	return -1
}

// TestTreeLosses: the holder of the list, the first node of the other zone, or both at once
// are killed or frozen, and at that moment and after it workers leave: all nodes hear of it
// in time, nothing reaches a worker that leaves later than it may, and few nodes ask the
// platform meanwhile.
func TestTreeLosses(t *testing.T) {
	skipUnderRaceDetector(t)
	for _, lost := range []string{"holder", "top", "both"} {
		for _, how := range []string{"killed", "frozen"} {
			t.Run(lost+" "+how, func(t *testing.T) {
				forEachSeed(t, 3, func(t *testing.T, seed uint64) { loseInTree(t, seed, lost, how) })
			})
		}
	}
}

func loseInTree(t *testing.T, seed uint64, lost, how string) {
	y := newFakePlatform(prefillAndDecodeWorkers("svc", 6, 6)...)
	f := startFleet(t, seed, 14, y, defaultConfiguration(), treed(1))
	defer f.close()
	time.Sleep(8 * time.Second)
	var out []int
	if lost != "top" {
		out = append(out, f.lister())
	}
	if lost != "holder" {
		out = append(out, f.top())
	}
	require.NotContains(t, out, -1)
	from := y.elapsed()
	for _, i := range out {
		b := f.nodes[i]
		if how == "killed" {
			f.killNode(i)
			continue
		}
		f.setFrozen(i, true)
		f.withLock(func() { b.running = false })
		defer func() {
			f.withLock(func() { b.running = true })
			f.setFrozen(i, false)
		}()
	}
	for i, name := range []string{"svc-decode-0", "svc-prefill-0", "svc-decode-2", "svc-prefill-3"} {
		y.withLock(func() { y.worker(name).Leaving = true })
		require.True(t, f.waitUntil(3*time.Second, func() bool { return f.heard(y, name) }), "change %d", i)
		time.Sleep(300 * time.Millisecond)
	}
	asked := y.lists(from)
	for _, i := range out { // what a process does as it is killed is not meant
		delete(asked, nodeIP(i))
	}
	limit := 4
	if lost == "top" { // its children hear from the holder
		limit = 1
	}
	require.LessOrEqual(t, len(asked), limit, "%v", asked)
	require.True(t, f.waitUntil(4*time.Second, func() bool { return f.lister() >= 0 }), "there is a holder again")
}

// TestTreeManyLost: three of five nodes, the holder among them, and the core are lost at once,
// silently or not, as workers leave: those that are left hear of it in time, though there is
// no holder until the core is back.
func TestTreeManyLost(t *testing.T) {
	skipUnderRaceDetector(t)
	for _, how := range []string{"killed", "frozen"} {
		t.Run(how, func(t *testing.T) {
			forEachSeed(t, 3, func(t *testing.T, seed uint64) {
				y := newFakePlatform(prefillAndDecodeWorkers("svc", 6, 6)...)
				f := startFleet(t, seed, 30, y, defaultConfiguration(), treed(1))
				defer f.close()
				time.Sleep(8 * time.Second)
				owner := f.lister()
				for _, ip := range coreIPs {
					if how == "killed" {
						f.powerOffCore(ip)
					} else {
						f.world.Machine(ip).Freeze(true)
					}
				}
				for i, b := range f.nodes {
					switch {
					case i != owner && i%5 > 2:
					case how == "killed":
						f.killNode(i)
					default:
						f.setFrozen(i, true)
						f.withLock(func() { b.running = false })
						defer func() {
							f.withLock(func() { b.running = true })
							f.setFrozen(i, false)
						}()
					}
				}
				y.withLock(func() { y.worker("svc-decode-0").Leaving = true })
				require.True(t, f.waitUntil(4*time.Second, func() bool { return f.heard(y, "svc-decode-0") }))
			})
		})
	}
}

// TestStartTogether: nodes that all start at once do not all ask the platform before they
// know who holds the list.
func TestStartTogether(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		y := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 3)...)
		f := startFleet(t, 68, 12, y, defaultConfiguration(), treed(1))
		defer f.close()
		require.LessOrEqual(t, len(y.lists(0)), 3, "%v", y.lists(0))
	})
}

// TestTreeSums: what one node has under way, and what it saw fail, is known to all others
// through the tree, and counted once.
func TestTreeSums(t *testing.T) {
	skipUnderRaceDetector(t)
	runInBubble(t, func(t *testing.T) {
		y := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 3)...)
		f := startFleet(t, 66, 12, y, defaultConfiguration(), treed(1))
		defer f.close()
		time.Sleep(8 * time.Second)
		id := y.worker("svc-prefill-0").ID
		for i, b := range f.nodes {
			st := b.state(id)
			st.beginRequest(100+i, nil, b.now())
		}
		time.Sleep(2 * time.Second)
		for i, b := range f.nodes {
			st := b.state(id)
			st.mu.Lock()
			tokens, count := st.queuedPrefills(b.now())
			st.mu.Unlock()
			require.Equal(t, 12*100+66, tokens, "node %d", i)
			require.Equal(t, 12, count)
		}
	})
}

// TestTreeSumsOutcomes: a worker that every third node saw fail is known to all as failing, and
// what one node alone saw counts as one node's word.
func TestTreeSumsOutcomes(t *testing.T) {
	skipUnderRaceDetector(t)
	runInBubble(t, func(t *testing.T) {
		y := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 6)...)
		f := startFleet(t, 67, 12, y, defaultConfiguration(), func(o *Options) {
			treed(1)(o)
			o.BaseEjection = time.Hour // an ejection's end would forget what was seen
		})
		defer f.close()
		time.Sleep(8 * time.Second)
		unhealthy, alone := y.worker("svc-decode-1").ID, y.worker("svc-decode-2").ID
		stop := time.Now().Add(2 * time.Second)
		for time.Now().Before(stop) {
			for i, b := range f.nodes {
				if i%3 == 0 {
					b.sawFail(unhealthy)
				}
				if i == 1 {
					b.sawFail(alone)
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		for i, b := range f.nodes {
			heard := func(id ids.WorkerID) int {
				st := b.state(id)
				st.mu.Lock()
				defer st.mu.Unlock()
				return st.outlier.peers.Nodes
			}
			own := 0
			if i%3 == 0 {
				own = 1
			}
			require.Equal(t, 4-own, heard(unhealthy), "node %d", i)
			if i != 1 {
				require.Equal(t, 1, heard(alone), "node %d", i)
			}
		}
	})
}

// sawFail has a node note one sending that failed.
func (n *testNode) sawFail(id ids.WorkerID) {
	st := n.state(id)
	st.mu.Lock()
	defer st.mu.Unlock()
	st.outlier.local.decay(n.now(), outcomeTimeConstant)
	st.outlier.local.sent++
	st.outlier.local.failed++
}
