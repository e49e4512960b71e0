// Outcomes told between nodes, since each alone sees few: by the message to the holder of
// the list go rows of the workers that failed here, and of those that others saw fail; back
// comes the sum of the others. Each node's say is bounded.

package proxy

import (
	"sort"
	"sync"
	"time"

	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
)

const (
	maxOutcomes   = 64 // that a node tells
	outcomesTTL   = time.Second
	outcomeSumTTL = 100 * time.Millisecond
	fromParent    = ids.NodeID("above") // in whose name a tally has what came from above
)

// localOutcomes lists what this node saw of workers that failed here, or that others name.
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
		if r.sent == 0 {
			return true
		}
		r.decay(now, outcomeTimeConstant)
		if r.sent > 0.1 && (r.failed > 0.1 || st.outlier.peers.Nodes > 0 && !now.Past(
			st.outlier.peersAt, outcomesTTL,
		)) {
			out = append(out, Outcomes{
				ID:     k.(ids.WorkerID),
				Sent:   int(10*r.sent + 0.5),
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

// recordPeerOutcomes notes what the others saw.
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

// outcomeSums is the sum of what nodes told, and each one's part of it.
type outcomeSums struct {
	mu     sync.Mutex
	at     ids.Tick
	total  map[ids.WorkerID]Outcomes
	byNode map[ids.NodeID][]Outcomes
}

// outcomesWithout is the sum without one node's part.
func (n *Node) outcomesWithout(but ids.NodeID) []Outcomes {
	t := &n.peerOutcomes
	t.mu.Lock()
	defer t.mu.Unlock()
	n.refreshOutcomeSums(t)
	return t.without(but)
}

// subtreeOutcomes is the sum of what the nodes below this one told.
func (n *Node) subtreeOutcomes() []Outcomes {
	t := &n.peerOutcomes
	t.mu.Lock()
	defer t.mu.Unlock()
	n.refreshOutcomeSums(t)
	return t.without(n.self.Node, fromParent)
}

// refreshOutcomeSums adds up anew what was told, if that is due. The tally is locked.
func (n *Node) refreshOutcomeSums(t *outcomeSums) {
	now := n.now()
	if t.total != nil && !now.Past(t.at, outcomeSumTTL) {
		return
	}
	t.at, t.total, t.byNode = now, map[ids.WorkerID]Outcomes{}, map[ids.NodeID][]Outcomes{}
	t.add(n.self.Node, n.capWeights(n.localOutcomes()))
	t.add(fromParent, n.currentParentSums(now).outcomes)
	owner, _, _ := n.agent.KeyOwner(fleetstate.WorkerListKey)
	counts := n.treeShape().tellersTo(n.self, owner, n.agent.Members())
	n.peerReports.Range(func(k, v any) bool {
		if o := v.(peerReport); counts(k.(ids.NodeID)) && !now.Past(o.at, 2*prefillLoadTTL) &&
			len(o.outcomes)+len(o.subtreeOutcomes) > 0 {
			t.add(k.(ids.NodeID), append(n.capWeights(o.outcomes), o.subtreeOutcomes...))
		}
		return true
	})
}

// without is the sum without some nodes' parts.
func (t *outcomeSums) without(but ...ids.NodeID) []Outcomes {
	own := map[ids.WorkerID]Outcomes{}
	for _, node := range but {
		for _, r := range t.byNode[node] {
			own[r.ID] = own[r.ID].plus(r)
		}
	}
	var out []Outcomes
	for id, r := range t.total {
		m := own[id]
		if r.Nodes > m.Nodes {
			out = append(out, Outcomes{id, r.Sent - m.Sent, r.Failed - m.Failed, r.Nodes - m.Nodes})
		}
	}
	return out
}

func (t *outcomeSums) add(node ids.NodeID, rows []Outcomes) {
	t.byNode[node] = rows
	for _, r := range rows {
		t.total[r.ID] = t.total[r.ID].plus(r)
	}
}

func (o Outcomes) plus(r Outcomes) Outcomes {
	return Outcomes{r.ID, o.Sent + r.Sent, o.Failed + r.Failed, o.Nodes + r.Nodes}
}

// capWeights bounds a node's say: of each worker to so many sendings, and to nothing if it
// accuses more of a part than may be out, since then it is the node that is ill.
func (n *Node) capWeights(rows []Outcomes) []Outcomes {
	if len(rows) == 0 {
		return nil
	}
	accuses := map[ids.WorkerID]bool{}
	for _, r := range rows {
		accuses[r.ID] = r.Failed > 3
	}
	all, bad := map[workerGroup]int{}, map[workerGroup]int{}
	for _, w := range n.endpoints.Load().workers {
		k := workerGroup{w.Service, w.Role}
		all[k]++
		if accuses[w.ID] {
			bad[k]++
		}
	}
	for k, b := range bad {
		if b > max(1, int(n.options.MaxEjectedShare*float64(all[k]))) {
			return nil
		}
	}
	out := make([]Outcomes, 0, len(rows))
	for _, r := range rows {
		sent := max(1, r.Sent)
		failed := min(sent, max(0, r.Failed))
		f := min(1, 10*n.options.PeerWeight/float64(sent))
		o := Outcomes{ID: r.ID, Sent: int(f * float64(sent)), Failed: int(f * float64(failed))}
		if accuses[r.ID] {
			o.Nodes = 1
		}
		out = append(out, o)
	}
	return out
}
