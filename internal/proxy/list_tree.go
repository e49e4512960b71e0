// Sources of the worker list for each node. In a small fleet every node requests the list from its
// owner, the node that fetches it from the platform. In a large fleet the owner's network link and
// processor would not suffice, so the nodes of a zone form a tree, which rendezvous hashing makes
// identical on every node. Only the root of a zone's tree requests the list from the owner, and in
// the owner's own zone the owner is the root, so each byte crosses zones once. A node whose parent
// doesn't answer tries the parent's parent, and so on up to the owner. If none of them has a fresh
// list, the first responsive node of the zone queries the platform as acting owner.

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
	levelDelay       = 300 * time.Millisecond // list age that each tree level adds
	maxProbes        = 8                      // nodes of the zone that are probed at once
	sourceFailureTTL = 4 * time.Second        // time for which a source that did not respond is skipped
	// listLostAge is the list age from which a node queries the platform without being acting owner.
	listLostAge = 2500 * time.Millisecond
)

// treeShape describes how the list is distributed. Up to maxFlatNodes nodes, all request it from the
// owner; in a larger fleet a node has at most fanOut children. There the directNodes also request it
// from the owner, since they hold the workers' load reports, which all nodes need.
type treeShape struct {
	maxFlatNodes, fanOut int
	directNodes          map[ids.NodeID]bool
}

// listSources are the nodes from which a node may get the list.
type listSources struct {
	ancestors []coordination.Member // nearest first, the owner last
	// zone has the nodes of this node's zone in the order in which they replace the owner: when no
	// source has a fresh list, the first one that has not failed recently queries the platform. It is
	// empty if all nodes get the list from the owner.
	zone  []coordination.Member
	zones int // number of zones
}

// sourcesOf returns the list sources of a node under an owner, which is empty while there is none.
func (t treeShape) sourcesOf(self, owner coordination.Member, members []coordination.Member) listSources {
	if len(members) <= t.maxFlatNodes && owner.Node == "" {
		return listSources{}
	}
	if len(members) <= t.maxFlatNodes {
		return listSources{ancestors: []coordination.Member{owner}}
	}
	tree := zoneTree(self.Zone, owner, members)
	if memberIndex(tree, self.Node) < 0 { // not a member yet, or no longer one
		tree = append(tree, self)
	}
	out := listSources{zone: tree, zones: len(zoneSet(members))}
	if tree[0].Node == owner.Node {
		out.zone = tree[1:]
	}
	for at := memberIndex(tree, self.Node); at > 0 && !t.directNodes[self.Node]; {
		at = (at - 1) / t.fanOut
		out.ancestors = append(out.ancestors, tree[at])
	}
	if n := len(out.ancestors); owner.Node != "" && (n == 0 || out.ancestors[n-1].Node != owner.Node) {
		out.ancestors = append(out.ancestors, owner)
	}
	return out
}

// zoneTree lists the nodes of a zone in tree order: the parent of the node at index i is at index
// (i-1)/fanOut. The owner comes first in its own zone.
func zoneTree(zone ids.Zone, owner coordination.Member, members []coordination.Member) []coordination.Member {
	var tree []coordination.Member
	for _, m := range members {
		if m.Zone == zone && m.Node != owner.Node {
			tree = append(tree, m)
		}
	}
	sortByWeight(tree)
	if owner.Zone == zone {
		tree = append([]coordination.Member{owner}, tree...)
	}
	return tree
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

// outcomeReporterFilter returns a predicate that selects the nodes whose outcome reports self adds up.
// The reports of each node are added up by one node only, so that none is counted twice while a node queries
// several sources.
func (t treeShape) outcomeReporterFilter(
	self, owner coordination.Member,
	members []coordination.Member,
) func(ids.NodeID) bool {
	if len(members) <= t.maxFlatNodes {
		return func(ids.NodeID) bool { return self.Node == owner.Node }
	}
	children := map[ids.NodeID]bool{}
	tree := zoneTree(self.Zone, owner, members)
	if at := memberIndex(tree, self.Node); at >= 0 {
		first := at*t.fanOut + 1
		for i := first; i < min(first+t.fanOut, len(tree)); i++ {
			children[tree[i].Node] = !t.directNodes[tree[i].Node]
		}
	}
	if self.Node == owner.Node {
		for node := range t.directNodes {
			children[node] = true
		}
		for zone := range zoneSet(members) {
			if zone != self.Zone {
				children[zoneTree(zone, owner, members)[0].Node] = true
			}
		}
	}
	return func(node ids.NodeID) bool { return children[node] }
}

// sortByWeight sorts members by their rendezvous hash, highest first.
func sortByWeight(members []coordination.Member) {
	weights := make(map[ids.NodeID]uint64, len(members))
	for _, m := range members {
		weights[m.Node] = ids.Mix(ids.Hash(string(m.Node)))
	}
	slices.SortFunc(members, func(a, b coordination.Member) int {
		return cmp.Or(cmp.Compare(weights[b.Node], weights[a.Node]), cmp.Compare(a.Node, b.Node))
	})
}

// flat reports whether the fleet has no list tree, so that all nodes get the list from the owner.
func (s *listSources) flat() bool { return len(s.zone) == 0 }

// maxFreshAge returns the age up to which the list of the ancestor with the given index counts as fresh,
// not including the platform's latency. Each level below the owner adds levelDelay.
func (s *listSources) maxFreshAge(ancestor int) time.Duration {
	return listMaxAge + time.Duration(len(s.ancestors)-1-ancestor)*levelDelay
}

// actingOwner returns the first node of the zone that has not failed recently.
func (s *listSources) actingOwner(failed func(ids.NodeID) bool) (coordination.Member, bool) {
	for _, m := range s.zone {
		if !failed(m.Node) {
			return m, true
		}
	}
	return coordination.Member{}, false
}

// treeShape returns the shape of the fleet's list tree as this node knows it. The owners of services
// are its directNodes.
func (n *Node) treeShape() treeShape {
	t := treeShape{n.options.MaxFlatListNodes, n.options.ListTreeFanOut, map[ids.NodeID]bool{}}
	for name := range n.snapshot().Configuration.Services {
		if m, _, ok := n.agent.KeyOwner(fleetstate.ServiceKey(name)); ok {
			t.directNodes[m.Node] = true
		}
	}
	return t
}
