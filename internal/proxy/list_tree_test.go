// Tests of the distribution of the worker list to many nodes: as deltas, by polling the holder of the list's
// lease, and by long polls along a tree of nodes, whose root is the holder. The holder is the node that
// requests the list from the platform.

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
// list holder in few steps, and few nodes have a parent in another zone: at most one for each zone other
// than the holder's, plus the direct nodes, which request the list from the holder wherever they are. The
// outcomes of calls to workers that a node reports are counted at its own parent and nowhere else.
func TestListTreeShape(t *testing.T) {
	shape := treeShape{maxFlatNodes: 96, fanOut: 12, directNodes: map[ids.NodeID]bool{"node-040": true, "node-041": true}}
	for _, size := range []int{97, 300, 651} {
		members := newMembers(size)
		holder := members[5]
		children := map[ids.NodeID]int{}
		parentOf := map[ids.NodeID]ids.NodeID{}
		crossZoneLinks := 0
		for _, member := range members {
			if member.Node == holder.Node {
				continue
			}
			sources := shape.sourcesOf(member, holder, members)
			require.False(t, sources.flat())
			parent := sources.ancestors[0]
			children[parent.Node]++
			parentOf[member.Node] = parent.Node
			if parent.Zone != member.Zone {
				crossZoneLinks++
			}
			require.LessOrEqual(t, len(sources.ancestors), 4)
			require.Equal(t, holder.Node, sources.ancestors[len(sources.ancestors)-1].Node)
		}
		require.LessOrEqual(t, crossZoneLinks, 3+len(shape.directNodes))
		for node, count := range children {
			limit := shape.fanOut
			if node == holder.Node {
				limit += 3 + len(shape.directNodes)
			}
			require.LessOrEqual(t, count, limit)
		}
		for _, member := range members {
			countsReportsOf := shape.outcomeReporterFilter(member, holder, members)
			for _, other := range members {
				require.Equal(t, parentOf[other.Node] == member.Node && other.Node != holder.Node, countsReportsOf(other.Node))
			}
		}
	}
}

// TestListTreeForNonMember: a node that is not a member has a path to the holder, even if it is the only
// node of its zone.
func TestListTreeForNonMember(t *testing.T) {
	members := newMembers(120)
	shape := treeShape{maxFlatNodes: 96, fanOut: 12}
	for _, zone := range []ids.Zone{"z1", "elsewhere"} {
		sources := shape.sourcesOf(coordination.Member{Node: "new", Zone: zone}, members[5], members)
		require.Equal(t, members[5].Node, sources.ancestors[len(sources.ancestors)-1].Node)
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
			request := &ListRequest{Version: receiver.currentList.Load().version, Deltas: true}
			response := sender.listSince(request)
			require.Equal(t, request.Version != 0, response.Delta || response.Version == request.Version)
			follower.apply(response)
			require.Equal(t, sender.currentList.Load().workers, receiver.currentList.Load().workers)
			require.Equal(t, sender.currentList.Load().version, receiver.currentList.Load().version)
		}
		previous := receiver.currentList.Load().version
		for round := range changesRetained + 1 {
			workers = withRandomChange(rng, workers, 100+round)
			sender.installList(workers, sender.now(), sender.now())
		}
		response := sender.listSince(&ListRequest{Version: previous, Deltas: true})
		require.False(t, response.Delta)
		require.Len(t, response.Rows, len(workers))
		require.False(
			t,
			sender.listSince(&ListRequest{Version: sender.currentList.Load().changes[3].to}).Delta,
			"a node that doesn't support deltas gets none",
		)
	}
}

// TestListVersionsAgree: nodes that separately got the same list from the platform give it the same version,
// whatever the order of its workers, so that each of them can apply the next delta. A change of SlowStart
// alone leads to a new version.
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
	require.Equal(t, first.currentList.Load().version, second.currentList.Load().version)
	workers = append([]Worker(nil), workers...)
	workers[3].Leaving = true
	first.installList(workers, first.now(), first.now())
	response := first.listSince(&ListRequest{Version: second.currentList.Load().version, Deltas: true})
	require.True(t, response.Delta)
	require.Len(t, response.Rows, 1)
	previous := first.currentList.Load().version
	workers = append([]Worker(nil), workers...)
	workers[3].SlowStart = time.Second
	first.installList(workers, first.now(), first.now())
	require.NotEqual(t, previous, first.currentList.Load().version, "a change of SlowStart alone leads to a new version")
}

// withRandomChange returns a copy of the list with one worker added and, at random, another one removed or
// its Leaving flag toggled.
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

// TestListMessageSizes: with 3,000 workers, of which a third have prefills, the delta for a worker that starts
// to leave takes fewer than 400 bytes per node, and all prefill loads together take fewer than 12,000 bytes.
func TestListMessageSizes(t *testing.T) {
	skipUnderRaceDetector(t)
	node, err := New(Options{Name: "n", Host: newSimulatedHost()})
	require.NoError(t, err)
	workers := newWorkers(3000)
	node.installList(workers, node.now(), node.now())
	version := node.currentList.Load().version
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

// TestNodesLearnOfLeavingWorker: all nodes know that a worker is leaving shortly after the list holder does,
// in a flat fleet (every node polls the holder) and in a tree of three levels.
func TestNodesLearnOfLeavingWorker(t *testing.T) {
	// In a flat fleet the nodes poll the holder every 200 to 300 ms; in a tree they long-poll their parents.
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
						worker := holder.currentList.Load().find(id)
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

// withListTree sets a tree with a fan-out of 2, used in fleets of more than maxFlatNodes nodes.
func withListTree(maxFlatNodes int) func(*Options) {
	return func(o *Options) { o.MaxFlatListNodes, o.ListTreeFanOut = maxFlatNodes, 2 }
}

// TestOneNodeListsWorkersInTree: in a tree, too, only one node requests the worker list from the platform.
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
	holder := f.nodes[f.listHolder()]
	members := holder.agent.Members()
	for i, node := range f.nodes {
		if node.running && node.self.Zone != holder.self.Zone &&
			node.treeShape().sourcesOf(node.self, holder.self, members).ancestors[0].Node == holder.self.Node {
			return i
		}
	}
	return -1
}

// TestListTreeAfterNodeLosses: the list holder, its child in the other of the two zones, or both at once are
// killed or frozen, and workers leave at that moment and afterwards. All nodes learn of the departed
// workers within the time limit, and few nodes request the worker list from the platform meanwhile.
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
		f.withLock(func() { node.running = false }) // the fleet's helpers then ignore the frozen node
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
	for _, i := range lostNodes { // ignore list calls of a process that was being killed or frozen
		delete(listCalls, nodeIP(i))
	}
	limit := 4
	if lost == "first node" { // its children get the list from the holder
		limit = 1
	}
	require.LessOrEqual(t, len(listCalls), limit, "%v", listCalls)
	require.True(t, f.waitUntil(4*time.Second, func() bool { return f.listHolder() >= 0 }), "the list has a holder again")
}

// TestListTreeAfterLossOfMostNodes: three fifths of the nodes, the list holder and the coordination service
// (the core) are killed or frozen at once while a worker starts to leave. The remaining nodes learn of it in
// time, although there is no holder while the core is down.
func TestListTreeAfterLossOfMostNodes(t *testing.T) {
	skipUnderRaceDetector(t)
	for _, fault := range []string{"killed", "frozen"} {
		t.Run(fault, func(t *testing.T) {
			forEachSeed(t, 3, func(t *testing.T, seed uint64) {
				platform := newFakePlatform(prefillAndDecodeWorkers("svc", 6, 6)...)
				f := startFleet(t, seed, 30, platform, defaultConfiguration(), withListTree(1))
				defer f.close()
				time.Sleep(8 * time.Second)
				holderIndex := f.listHolder()
				for _, ip := range coreIPs {
					if fault == "killed" {
						f.powerOffCore(ip)
					} else {
						f.world.Machine(ip).Freeze(true)
					}
				}
				for i, node := range f.nodes {
					switch {
					case i != holderIndex && i%5 > 2:
					case fault == "killed":
						f.killNode(i)
					default:
						f.setFrozen(i, true)
						f.withLock(func() { node.running = false }) // the fleet's helpers then ignore the frozen node
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

// TestSimultaneousStartLimitsListCalls: of twelve nodes that start at the same time, at most three request the
// worker list from the platform before they know which node is the holder.
func TestSimultaneousStartLimitsListCalls(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 3)...)
		f := startFleet(t, 68, 12, platform, defaultConfiguration(), withListTree(1))
		defer f.close()
		require.LessOrEqual(t, len(platform.listCallersSince(0)), 3, "%v", platform.listCallersSince(0))
	})
}

// TestTreeSumsPrefillLoads: the tree passes the prefill load of each node to all others, and each is counted
// once.
func TestTreeSumsPrefillLoads(t *testing.T) {
	skipUnderRaceDetector(t)
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 3)...)
		f := startFleet(t, 66, 12, platform, defaultConfiguration(), withListTree(1))
		defer f.close()
		time.Sleep(8 * time.Second)
		id := platform.worker("svc-prefill-0").ID
		for i, node := range f.nodes {
			state := node.state(id)
			state.beginRequest(100+i, nil, node.now())
		}
		time.Sleep(2 * time.Second)
		for i, node := range f.nodes {
			state := node.state(id)
			state.mu.Lock()
			tokens, count := state.queuedPrefills(node.now())
			state.mu.Unlock()
			require.Equal(t, 12*100+66, tokens, "node %d", i)
			require.Equal(t, 12, count)
		}
	})
}

// TestTreeSumsCallOutcomes: if every third node sees a worker fail, all nodes learn from the tree how many
// nodes saw it. A failure that one node saw is counted for one node at all others, however often the tree
// passes it on.
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
		failedAtFourNodes, failedAtOneNode := platform.worker("svc-decode-1").ID, platform.worker("svc-decode-2").ID
		failuresEnd := time.Now().Add(2 * time.Second)
		for time.Now().Before(failuresEnd) {
			for i, node := range f.nodes {
				if i%3 == 0 {
					node.recordFailure(failedAtFourNodes)
				}
				if i == 1 {
					node.recordFailure(failedAtOneNode)
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		for i, node := range f.nodes {
			reportingPeers := func(id ids.WorkerID) int {
				state := node.state(id)
				state.mu.Lock()
				defer state.mu.Unlock()
				return state.outlier.peers.Nodes
			}
			ownReports := 0
			if i%3 == 0 {
				ownReports = 1
			}
			require.Equal(t, 4-ownReports, reportingPeers(failedAtFourNodes), "node %d", i)
			if i != 1 {
				require.Equal(t, 1, reportingPeers(failedAtOneNode), "node %d", i)
			}
		}
	})
}

// recordFailure records on the node that one call to the worker failed.
func (n *testNode) recordFailure(id ids.WorkerID) {
	state := n.state(id)
	state.mu.Lock()
	defer state.mu.Unlock()
	state.outlier.local.decay(n.now(), outcomeTimeConstant)
	state.outlier.local.total++
	state.outlier.local.failed++
}
