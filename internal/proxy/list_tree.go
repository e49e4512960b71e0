// From whom a node hears the list of workers. In a small fleet every node asks the holder of
// the list's duty. In a large one that node's link and processor would not do, so the nodes
// of a zone form a tree, the same on every node by rendezvous hashing: its root, or in its
// own zone the holder, is the only one to ask the holder, and each byte crosses zones once.
// A node whose parent does not answer asks that one's parent, up to the holder; where none
// has a fresh list, the first node of the zone that answers asks the platform in its stead.

package proxy

import (
	"cmp"
	"slices"
	"time"

	"keelstair.example/coordination"
	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
)

const (
	levelDelay       = 300 * time.Millisecond
	maxProbes        = 8               // nodes of the zone that are looked for at once
	sourceFailureTTL = 4 * time.Second // for which a source that did not answer is passed over
	// age of the list from which a node asks the platform though it stands in for nobody
	listLostAge = 2500 * time.Millisecond
)

// treeShape tells up to how many nodes all ask the holder, and how many children a node has
// in a larger fleet. The direct ones ask the holder there too, since they have the reports of
// the workers, which all want to hear.
type treeShape struct {
	maxFlatNodes, width int
	direct              map[ids.NodeID]bool
}

// listSources are those that a node may hear the list from.
type listSources struct {
	parents []coordination.Member // nearest first, the holder last
	// of this node, in the order in which they stand in for the holder; none if all ask it
	zone  []coordination.Member
	zones int
}

// sourcesOf gives a node's sources under a holder, or while there is none.
func (t treeShape) sourcesOf(me, owner coordination.Member, members []coordination.Member) listSources {
	if len(members) <= t.maxFlatNodes && owner.Node == "" {
		return listSources{}
	}
	if len(members) <= t.maxFlatNodes {
		return listSources{parents: []coordination.Member{owner}}
	}
	tree := zoneTree(me.Zone, owner, members)
	if memberIndex(tree, me.Node) < 0 { // it is not a member yet, or not any more
		tree = append(tree, me)
	}
	out := listSources{zone: tree, zones: len(zoneSet(members))}
	if tree[0].Node == owner.Node {
		out.zone = tree[1:]
	}
	for at := memberIndex(tree, me.Node); at > 0 && !t.direct[me.Node]; {
		at = (at - 1) / t.width
		out.parents = append(out.parents, tree[at])
	}
	if n := len(out.parents); owner.Node != "" && (n == 0 || out.parents[n-1].Node != owner.Node) {
		out.parents = append(out.parents, owner)
	}
	return out
}

// zoneTree lists the nodes of a zone so that the parent of each stands at one less than its
// place by the tree's width; the holder comes first in its own zone.
func zoneTree(zone ids.Zone, owner coordination.Member, members []coordination.Member) []coordination.Member {
	var rows []coordination.Member
	for _, m := range members {
		if m.Zone == zone && m.Node != owner.Node {
			rows = append(rows, m)
		}
	}
	sortByWeight(rows)
	if owner.Zone == zone {
		rows = append([]coordination.Member{owner}, rows...)
	}
	return rows
}

func zoneSet(members []coordination.Member) map[ids.Zone]bool {
	zones := map[ids.Zone]bool{}
	for _, m := range members {
		zones[m.Zone] = true
	}
	return zones
}

func memberIndex(tree []coordination.Member, node ids.NodeID) int {
	return slices.IndexFunc(tree, func(m coordination.Member) bool { return m.Node == node })
}

// outcomeReporters tells whose words of outcomes count at a node. Each node has one such place, so
// that no word counts twice while a node asks several.
func (t treeShape) outcomeReporters(me, owner coordination.Member, members []coordination.Member) func(ids.NodeID) bool {
	if len(members) <= t.maxFlatNodes {
		return func(ids.NodeID) bool { return me.Node == owner.Node }
	}
	children := map[ids.NodeID]bool{}
	tree := zoneTree(me.Zone, owner, members)
	if at := memberIndex(tree, me.Node); at >= 0 {
		first := at*t.width + 1
		for i := first; i < min(first+t.width, len(tree)); i++ {
			children[tree[i].Node] = !t.direct[tree[i].Node]
		}
	}
	if me.Node == owner.Node {
		for node := range t.direct {
			children[node] = true
		}
		for zone := range zoneSet(members) {
			if zone != me.Zone {
				children[zoneTree(zone, owner, members)[0].Node] = true
			}
		}
	}
	return func(node ids.NodeID) bool { return children[node] }
}

// sortByWeight puts members into the order of rendezvous hashing.
func sortByWeight(rows []coordination.Member) {
	weights := make(map[ids.NodeID]uint64, len(rows))
	for _, m := range rows {
		weights[m.Node] = ids.Mix(ids.Hash(string(m.Node)))
	}
	slices.SortFunc(rows, func(a, b coordination.Member) int {
		return cmp.Or(cmp.Compare(weights[b.Node], weights[a.Node]), cmp.Compare(a.Node, b.Node))
	})
}

// flat tells that all nodes ask the holder.
func (s *listSources) flat() bool { return len(s.zone) == 0 }

// freshFor is how old the list of the parent of a number may be, besides what the asking of
// the platform takes: each level below the holder adds to it.
func (s *listSources) freshFor(parent int) time.Duration {
	return listMaxAge + time.Duration(len(s.parents)-1-parent)*levelDelay
}

// actingOwner gives the first of the zone that has not failed of late.
func (s *listSources) actingOwner(failed func(ids.NodeID) bool) (coordination.Member, bool) {
	for _, m := range s.zone {
		if !failed(m.Node) {
			return m, true
		}
	}
	return coordination.Member{}, false
}

// treeShape is the shape of the fleet's tree as this node knows it.
func (n *Node) treeShape() treeShape {
	t := treeShape{n.options.FlatListNodes, n.options.TreeWidth, map[ids.NodeID]bool{}}
	for name := range n.snapshot().Configuration.Services {
		if m, _, ok := n.agent.KeyOwner(fleetstate.ServiceKey(name)); ok {
			t.direct[m.Node] = true
		}
	}
	return t
}
