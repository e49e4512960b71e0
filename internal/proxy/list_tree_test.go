// Distribution of the worker list to many nodes: by deltas, by push, and through a tree of nodes.

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

// newMembers returns n nodes in four zones.
func newMembers(n int) []coordination.Member {
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

// TestListTreeShape: in a large fleet each node has a bounded number of children, each path leads to the
// list holder in few steps, one node of each other zone has a parent in the holder's zone, and the outcomes
// that a node reports are counted at its own parent and nowhere else.
func TestListTreeShape(t *testing.T) {
	shape := treeShape{maxFlatNodes: 96, width: 12, direct: map[ids.NodeID]bool{"node-040": true, "node-041": true}}
	for _, size := range []int{97, 300, 651} {
		members := newMembers(size)
		owner := members[5]
		children := map[ids.NodeID]int{}
		parentOf := map[ids.NodeID]ids.NodeID{}
		crossing := 0
		for _, member := range members {
			if member.Node == owner.Node {
				continue
			}
			sources := shape.sourcesOf(member, owner, members)
			require.False(t, sources.flat())
			parent := sources.parents[0]
			children[parent.Node]++
			parentOf[member.Node] = parent.Node
			if parent.Zone != member.Zone {
				crossing++
			}
			require.LessOrEqual(t, len(sources.parents), 4)
			require.Equal(t, owner.Node, sources.parents[len(sources.parents)-1].Node)
		}
		require.LessOrEqual(t, crossing, 3+len(shape.direct))
		for node, count := range children {
			limit := shape.width
			if node == owner.Node {
				limit += 3 + len(shape.direct)
			}
			require.LessOrEqual(t, count, limit)
		}
		for _, member := range members {
			counts := shape.outcomeReporters(member, owner, members)
			for _, other := range members {
				require.Equal(t, parentOf[other.Node] == member.Node && other.Node != owner.Node, counts(other.Node))
			}
		}
	}
}

// TestListTreeForNonMember: a node that is not a member has a path to the holder, even if it is the only
// node of its zone.
func TestListTreeForNonMember(t *testing.T) {
	members := newMembers(120)
	shape := treeShape{maxFlatNodes: 96, width: 12}
	for _, zone := range []ids.Zone{"z1", "elsewhere"} {
		sources := shape.sourcesOf(coordination.Member{Node: "new", Zone: zone}, members[5], members)
		require.Equal(t, members[5].Node, sources.parents[len(sources.parents)-1].Node)
	}
}

// TestListDelta: whatever has changed since the version that a node has, the delta makes its list equal to
// the sender's. If the sender no longer retains that version, it sends the complete list.
func TestListDelta(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 3))
		sender, err := New(Options{Name: "sender", Host: newSimulatedHost()})
		require.NoError(t, err)
		receiver, err := New(Options{Name: "reader", Host: newSimulatedHost()})
		require.NoError(t, err)
		follower := &listFollower{node: receiver}
		workers := newWorkers(60)
		for round := range 60 {
			for range rng.IntN(4) {
				workers = withRandomChange(rng, workers, round)
			}
			sender.installList(workers, sender.now(), sender.now())
			if rng.IntN(3) > 0 {
				continue
			}
			request := &ListRequest{Version: receiver.endpoints.Load().version, Deltas: true}
			response := sender.listSince(request)
			require.Equal(t, request.Version != 0, response.Delta || response.Version == request.Version)
			follower.apply(response)
			require.Equal(t, sender.endpoints.Load().workers, receiver.endpoints.Load().workers)
			require.Equal(t, sender.endpoints.Load().version, receiver.endpoints.Load().version)
		}
		previous := receiver.endpoints.Load().version
		for round := range changesRetained + 1 {
			workers = withRandomChange(rng, workers, 100+round)
			sender.installList(workers, sender.now(), sender.now())
		}
		response := sender.listSince(&ListRequest{Version: previous, Deltas: true})
		require.False(t, response.Delta)
		require.Len(t, response.Rows, len(workers))
		require.False(
			t,
			sender.listSince(&ListRequest{Version: sender.endpoints.Load().changes[3].to}).Delta,
			"a node that doesn't support deltas gets none",
		)
	}
}

// TestListVersionsAgree: nodes that listed the workers separately have the same version of the same list,
// in whatever order it arrived, so that each of them can apply the next delta.
func TestListVersionsAgree(t *testing.T) {
	first, err := New(Options{Name: "a", Host: newSimulatedHost()})
	require.NoError(t, err)
	second, err := New(Options{Name: "b", Host: newSimulatedHost()})
	require.NoError(t, err)
	workers := newWorkers(20)
	first.installList(workers, first.now(), first.now())
	workers = slices.Clone(workers)
	slices.Reverse(workers)
	second.installList(workers, second.now(), second.now())
	require.Equal(t, first.endpoints.Load().version, second.endpoints.Load().version)
	workers = append([]Worker(nil), workers...)
	workers[3].Leaving = true
	first.installList(workers, first.now(), first.now())
	response := first.listSince(&ListRequest{Version: second.endpoints.Load().version, Deltas: true})
	require.True(t, response.Delta)
	require.Len(t, response.Rows, 1)
	previous := first.endpoints.Load().version
	workers = append([]Worker(nil), workers...)
	workers[3].SlowStart = time.Second
	first.installList(workers, first.now(), first.now())
	require.NotEqual(t, previous, first.endpoints.Load().version, "a change of SlowStart alone is a new version")
}

// withRandomChange returns a copy of the list with a new worker, in which another worker may be removed or
// may change whether it is leaving.
func withRandomChange(rng *rand.Rand, workers []Worker, round int) []Worker {
	workers = append([]Worker(nil), workers...)
	i := rng.IntN(len(workers))
	switch rng.IntN(3) {
	case 0:
		workers[i].Leaving = !workers[i].Leaving
	case 1:
		workers = append(workers[:i], workers[i+1:]...)
	}
	added := workers[0]
	added.ID = ids.WorkerID(fmt.Sprintf("new-%d-%d", round, rng.IntN(1<<30)))
	return append(workers, added)
}

// TestListMessageSizes: with 3,000 workers, of which a third have prefills, a worker that starts to leave
// costs fewer than 400 bytes for each node that is notified, and all prefill loads together cost fewer than
// 12,000 bytes.
func TestListMessageSizes(t *testing.T) {
	skipUnderRaceDetector(t)
	node, err := New(Options{Name: "n", Host: newSimulatedHost()})
	require.NoError(t, err)
	workers := newWorkers(3000)
	node.installList(workers, node.now(), node.now())
	version := node.endpoints.Load().version
	workers = append([]Worker(nil), workers...)
	workers[7].Leaving = true
	node.installList(workers, node.now(), node.now())
	complete := len(coordination.MustMarshal(node.listSince(&ListRequest{Deltas: true})))
	delta := len(coordination.MustMarshal(node.listSince(&ListRequest{Version: version, Deltas: true})))
	var loads []PrefillLoad
	for i := range 1000 {
		loads = append(loads, PrefillLoad{workers[i].ID, 1000 + i, 1})
	}
	node.peerReports.Store(ids.NodeID("other"), peerReport{receivedAt: node.now(), prefills: loads})
	loadBytes := len(coordination.MustMarshal(&ListResponse{Prefills: node.prefillsWithout("none", true)}))
	t.Logf("complete list %d bytes, delta %d bytes, prefill loads %d bytes", complete, delta, loadBytes)
	require.Less(t, delta, 400)
	require.Less(t, loadBytes, 12_000)
}

// TestNodesLearnOfLeavingWorker: all nodes know that a worker is leaving shortly after the list holder does, in
// a flat fleet and down a tree of three levels.
func TestNodesLearnOfLeavingWorker(t *testing.T) {
	// In a flat fleet the nodes poll the holder every 200 to 300 ms; in a tree a response waits for a change.
	for maxFlatNodes, limit := range map[int]time.Duration{96: 350 * time.Millisecond, 1: 100 * time.Millisecond} {
		t.Run(fmt.Sprint(maxFlatNodes), func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				platform := newFakePlatform(prefillAndDecodeWorkers("svc", 6, 6)...)
				f := startFleet(t, 64, 12, platform, defaultConfiguration(), withListTree(maxFlatNodes))
				defer f.close()
				time.Sleep(6 * time.Second)
				slowest := time.Duration(0)
				for _, name := range []string{
					"svc-decode-0", "svc-decode-1", "svc-decode-2", "svc-prefill-0", "svc-prefill-1",
				} {
					holder := f.nodes[f.listHolder()]
					id := platform.worker(name).ID
					time.Sleep(370 * time.Millisecond)
					platform.withLock(func() { platform.worker(name).Leaving = true })
					require.True(t, f.waitUntil(2*time.Second, func() bool {
						worker := holder.endpoints.Load().find(id)
						return worker != nil && worker.Leaving
					}))
					from := time.Now()
					require.True(t, f.waitUntil(2*time.Second, func() bool { return f.allNodesKnowLeaving(platform, name) }))
					slowest = max(slowest, time.Since(from))
				}
				require.LessOrEqual(t, slowest, limit)
			})
		})
	}
}

// withListTree sets a tree of width 2, used in fleets of more than maxFlatNodes nodes.
func withListTree(maxFlatNodes int) func(*Options) {
	return func(o *Options) { o.FlatListNodes, o.TreeWidth = maxFlatNodes, 2 }
}

// TestOneNodeListsWorkersInTree: in a tree, too, only the holder lists the workers at the platform.
func TestOneNodeListsWorkersInTree(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 3)...)
		f := startFleet(t, 65, 12, platform, defaultConfiguration(), withListTree(1))
		defer f.close()
		time.Sleep(8 * time.Second)
		from := platform.elapsed()
		time.Sleep(10 * time.Second)
		require.Len(t, platform.listCallersSince(from), 1, "%v", platform.listCallersSince(from))
	})
}

// holderChildInOtherZone returns the index of a running node outside the holder's zone whose parent is the holder,
// or -1.
func (f *fleet) holderChildInOtherZone() int {
	owner := f.nodes[f.listHolder()]
	members := owner.agent.Members()
	for i, node := range f.nodes {
		if node.running && node.self.Zone != owner.self.Zone &&
			node.treeShape().sourcesOf(node.self, owner.self, members).parents[0].Node == owner.self.Node {
			return i
		}
	}
	return -1
}

// TestListTreeAfterNodeLosses: the list holder, the first node of the other zone, or both at once are
// killed or frozen, and workers leave at that moment and afterwards. All nodes learn of it in time, and few
// nodes list the workers at the platform meanwhile.
func TestListTreeAfterNodeLosses(t *testing.T) {
	skipUnderRaceDetector(t)
	for _, lost := range []string{"holder", "first node", "both"} {
		for _, fault := range []string{"killed", "frozen"} {
			t.Run(lost+" "+fault, func(t *testing.T) {
				forEachSeed(t, 3, func(t *testing.T, seed uint64) { testListTreeLosses(t, seed, lost, fault) })
			})
		}
	}
}

// testListTreeLosses runs TestListTreeAfterNodeLosses for one seed and one kind of loss.
func testListTreeLosses(t *testing.T, seed uint64, lost, fault string) {
	platform := newFakePlatform(prefillAndDecodeWorkers("svc", 6, 6)...)
	f := startFleet(t, seed, 14, platform, defaultConfiguration(), withListTree(1))
	defer f.close()
	time.Sleep(8 * time.Second)
	var lostNodes []int
	if lost != "first node" {
		lostNodes = append(lostNodes, f.listHolder())
	}
	if lost != "holder" {
		lostNodes = append(lostNodes, f.holderChildInOtherZone())
	}
	require.NotContains(t, lostNodes, -1)
	from := platform.elapsed()
	for _, i := range lostNodes {
		node := f.nodes[i]
		if fault == "killed" {
			f.killNode(i)
			continue
		}
		f.setFrozen(i, true)
		f.withLock(func() { node.running = false })
		defer func() {
			f.withLock(func() { node.running = true })
			f.setFrozen(i, false)
		}()
	}
	for i, name := range []string{"svc-decode-0", "svc-prefill-0", "svc-decode-2", "svc-prefill-3"} {
		platform.withLock(func() { platform.worker(name).Leaving = true })
		require.True(t, f.waitUntil(3*time.Second, func() bool { return f.allNodesKnowLeaving(platform, name) }), "change %d", i)
		time.Sleep(300 * time.Millisecond)
	}
	listCalls := platform.listCallersSince(from)
	for _, i := range lostNodes { // ignore list calls that a process sent while it was being killed or frozen
		delete(listCalls, nodeIP(i))
	}
	limit := 4
	if lost == "first node" { // its children get the list from the holder
		limit = 1
	}
	require.LessOrEqual(t, len(listCalls), limit, "%v", listCalls)
	require.True(t, f.waitUntil(4*time.Second, func() bool { return f.listHolder() >= 0 }), "the list has a holder again")
}

// TestListTreeAfterLossOfMostNodes: three of five nodes, the list holder among them, and the core are
// killed or frozen at once while a worker starts to leave. The remaining nodes learn of it in time,
// although there is no holder until the core is back.
func TestListTreeAfterLossOfMostNodes(t *testing.T) {
	skipUnderRaceDetector(t)
	for _, fault := range []string{"killed", "frozen"} {
		t.Run(fault, func(t *testing.T) {
			forEachSeed(t, 3, func(t *testing.T, seed uint64) {
				platform := newFakePlatform(prefillAndDecodeWorkers("svc", 6, 6)...)
				f := startFleet(t, seed, 30, platform, defaultConfiguration(), withListTree(1))
				defer f.close()
				time.Sleep(8 * time.Second)
				owner := f.listHolder()
				for _, ip := range coreIPs {
					if fault == "killed" {
						f.powerOffCore(ip)
					} else {
						f.world.Machine(ip).Freeze(true)
					}
				}
				for i, node := range f.nodes {
					switch {
					case i != owner && i%5 > 2:
					case fault == "killed":
						f.killNode(i)
					default:
						f.setFrozen(i, true)
						f.withLock(func() { node.running = false })
						defer func() {
							f.withLock(func() { node.running = true })
							f.setFrozen(i, false)
						}()
					}
				}
				platform.withLock(func() { platform.worker("svc-decode-0").Leaving = true })
				require.True(t, f.waitUntil(4*time.Second, func() bool { return f.allNodesKnowLeaving(platform, "svc-decode-0") }))
			})
		})
	}
}

// TestSimultaneousStartLimitsListCalls: nodes that start at the same time do not all list the workers at
// the platform before they know who holds the list.
func TestSimultaneousStartLimitsListCalls(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 3)...)
		f := startFleet(t, 68, 12, platform, defaultConfiguration(), withListTree(1))
		defer f.close()
		require.LessOrEqual(t, len(platform.listCallersSince(0)), 3, "%v", platform.listCallersSince(0))
	})
}

// TestTreeSumsPrefillLoads: the tree passes the running prefills of each node to all others, and each is
// counted once.
func TestTreeSumsPrefillLoads(t *testing.T) {
	skipUnderRaceDetector(t)
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 3)...)
		f := startFleet(t, 66, 12, platform, defaultConfiguration(), withListTree(1))
		defer f.close()
		time.Sleep(8 * time.Second)
		id := platform.worker("svc-prefill-0").ID
		for i, node := range f.nodes {
			st := node.state(id)
			st.beginRequest(100+i, nil, node.now())
		}
		time.Sleep(2 * time.Second)
		for i, node := range f.nodes {
			st := node.state(id)
			st.mu.Lock()
			tokens, count := st.queuedPrefills(node.now())
			st.mu.Unlock()
			require.Equal(t, 12*100+66, tokens, "node %d", i)
			require.Equal(t, 12, count)
		}
	})
}

// TestTreeSumsCallOutcomes: if every third node sees a worker fail, all nodes learn from the tree how many
// nodes saw it. A failure that only one node saw counts as the report of one node.
func TestTreeSumsCallOutcomes(t *testing.T) {
	skipUnderRaceDetector(t)
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 6)...)
		f := startFleet(t, 67, 12, platform, defaultConfiguration(), func(o *Options) {
			withListTree(1)(o)
			o.BaseEjection = time.Hour // the end of an ejection would clear the recorded outcomes
		})
		defer f.close()
		time.Sleep(8 * time.Second)
		seenByFour, seenByOneNode := platform.worker("svc-decode-1").ID, platform.worker("svc-decode-2").ID
		stop := time.Now().Add(2 * time.Second)
		for time.Now().Before(stop) {
			for i, node := range f.nodes {
				if i%3 == 0 {
					node.recordFailure(seenByFour)
				}
				if i == 1 {
					node.recordFailure(seenByOneNode)
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		for i, node := range f.nodes {
			reportingPeers := func(id ids.WorkerID) int {
				st := node.state(id)
				st.mu.Lock()
				defer st.mu.Unlock()
				return st.outlier.peers.Nodes
			}
			ownReports := 0
			if i%3 == 0 {
				ownReports = 1
			}
			require.Equal(t, 4-ownReports, reportingPeers(seenByFour), "node %d", i)
			if i != 1 {
				require.Equal(t, 1, reportingPeers(seenByOneNode), "node %d", i)
			}
		}
	})
}

// recordFailure records one failed call to a worker on the node.
func (n *testNode) recordFailure(id ids.WorkerID) {
	st := n.state(id)
	st.mu.Lock()
	defer st.mu.Unlock()
	st.outlier.local.decay(n.now(), outcomeTimeConstant)
	st.outlier.local.total++
	st.outlier.local.failed++
}
