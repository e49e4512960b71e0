// Exchange of request outcomes between nodes, since each node alone sees only a few. With its request to
// the owner of the worker list, a node sends the outcomes of workers that failed here or at other
// nodes. The response has the sum over the other nodes. Each node's weight is bounded.

package proxy

import (
	"sort"
	"sync"
	"time"

	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
)

const (
	maxOutcomes   = 64                     // maximum number of workers that a node reports
	outcomesTTL   = time.Second            // after which peers' outcomes no longer make this node report its own
	outcomeSumTTL = 100 * time.Millisecond // after which the sum is computed again
	fromSource    = ids.NodeID("above")    // key in outcomeSums for the totals received from the list source
)

// localOutcomes lists this node's outcomes of the workers that failed here or at other nodes.
func (n *Node) localOutcomes() []Outcomes {
	if n.options.BaseEjection < 0 || n.options.PeerWeight < 0 {
		return nil
	}
	now := n.now()
	var out []Outcomes
	n.states.Range(func(k, v any) bool {
		st := v.(*workerState)
		st.mu.Lock()
		defer st.mu.Unlock()
		r := &st.outlier.local
		if r.total == 0 {
			return true
		}
		r.decay(now, outcomeTimeConstant)
		if r.total > 0.1 && (r.failed > 0.1 || st.outlier.peers.Nodes > 0 && !now.Past(
			st.outlier.peersAt, outcomesTTL,
		)) {
			out = append(out, Outcomes{
				ID:     k.(ids.WorkerID),
				Sent:   int(10*r.total + 0.5),
				Failed: int(10*r.failed + 0.5),
			})
		}
		return true
	})
	if len(out) > maxOutcomes {
		sort.Slice(out, func(i, j int) bool { return out[i].Failed > out[j].Failed })
		out = out[:maxOutcomes]
	}
	return out
}

// recordPeerOutcomes records the sum of the other nodes' outcomes.
func (n *Node) recordPeerOutcomes(rows []Outcomes) {
	if n.options.BaseEjection < 0 || n.options.PeerWeight < 0 {
		return
	}
	now := n.now()
	n.peerOutcomesAt.Store(int64(now))
	for _, r := range rows {
		st := n.state(r.ID)
		st.mu.Lock()
		st.outlier.peers, st.outlier.peersAt = r, now
		st.mu.Unlock()
		n.outcomesChanged.Store(true)
	}
}

// outcomeSums is the sum of the nodes' outcomes, and each node's contribution.
type outcomeSums struct {
	mu     sync.Mutex
	at     ids.Tick
	total  map[ids.WorkerID]Outcomes
	byNode map[ids.NodeID][]Outcomes
}

// outcomesWithout returns the sum without one node's contribution.
func (n *Node) outcomesWithout(excluded ids.NodeID) []Outcomes {
	t := &n.peerOutcomes
	t.mu.Lock()
	defer t.mu.Unlock()
	n.refreshOutcomeSums(t)
	return t.without(excluded)
}

// subtreeOutcomes returns the sum over the nodes below this one in the tree.
func (n *Node) subtreeOutcomes() []Outcomes {
	t := &n.peerOutcomes
	t.mu.Lock()
	defer t.mu.Unlock()
	n.refreshOutcomeSums(t)
	return t.without(n.self.Node, fromSource)
}

// refreshOutcomeSums recomputes the sums if they are older than outcomeSumTTL. The caller holds their
// lock.
func (n *Node) refreshOutcomeSums(t *outcomeSums) {
	now := n.now()
	if t.total != nil && !now.Past(t.at, outcomeSumTTL) {
		return
	}
	t.at, t.total, t.byNode = now, map[ids.WorkerID]Outcomes{}, map[ids.NodeID][]Outcomes{}
	t.add(n.self.Node, n.capWeights(n.localOutcomes()))
	t.add(fromSource, n.currentSourceTotals(now).outcomes)
	owner, _, _ := n.agent.KeyOwner(fleetstate.WorkerListKey)
	isReporter := n.treeShape().outcomeReporterFilter(n.self, owner, n.agent.Members())
	n.peerReports.Range(func(k, v any) bool {
		if o := v.(peerReport); isReporter(k.(ids.NodeID)) && !now.Past(o.receivedAt, 2*prefillLoadTTL) &&
			len(o.outcomes)+len(o.subtreeOutcomes) > 0 {
			t.add(k.(ids.NodeID), append(n.capWeights(o.outcomes), o.subtreeOutcomes...))
		}
		return true
	})
}

// without returns the sum without some nodes' contributions.
func (t *outcomeSums) without(excluded ...ids.NodeID) []Outcomes {
	subtract := map[ids.WorkerID]Outcomes{}
	for _, node := range excluded {
		for _, r := range t.byNode[node] {
			subtract[r.ID] = subtract[r.ID].plus(r)
		}
	}
	var out []Outcomes
	for id, r := range t.total {
		m := subtract[id]
		if r.Nodes > m.Nodes {
			out = append(out, Outcomes{id, r.Sent - m.Sent, r.Failed - m.Failed, r.Nodes - m.Nodes})
		}
	}
	return out
}

// add adds one node's outcomes.
func (t *outcomeSums) add(node ids.NodeID, rows []Outcomes) {
	t.byNode[node] = rows
	for _, r := range rows {
		t.total[r.ID] = t.total[r.ID].plus(r)
	}
}

// plus returns the sum of two nodes' outcomes of a worker.
func (o Outcomes) plus(r Outcomes) Outcomes {
	return Outcomes{r.ID, o.Sent + r.Sent, o.Failed + r.Failed, o.Nodes + r.Nodes}
}

// capWeights bounds a node's weight to PeerWeight requests for each worker. It drops all of the node's
// outcomes if it reports more workers of a group as failing than may be ejected, since then the fault
// is at the node.
func (n *Node) capWeights(rows []Outcomes) []Outcomes {
	if len(rows) == 0 {
		return nil
	}
	failing := map[ids.WorkerID]bool{}
	for _, r := range rows {
		failing[r.ID] = r.Failed > 3
	}
	total, failingCount := map[workerGroup]int{}, map[workerGroup]int{}
	for _, w := range n.currentList.Load().workers {
		k := workerGroup{w.Service, w.Role}
		total[k]++
		if failing[w.ID] {
			failingCount[k]++
		}
	}
	for k, count := range failingCount {
		if count > max(1, int(n.options.MaxEjectedShare*float64(total[k]))) {
			return nil
		}
	}
	out := make([]Outcomes, 0, len(rows))
	for _, r := range rows {
		sent := max(1, r.Sent)
		failed := min(sent, max(0, r.Failed))
		scale := min(1, 10*n.options.PeerWeight/float64(sent))
		o := Outcomes{ID: r.ID, Sent: int(scale * float64(sent)), Failed: int(scale * float64(failed))}
		if failing[r.ID] {
			o.Nodes = 1
		}
		out = append(out, o)
	}
	return out
}
