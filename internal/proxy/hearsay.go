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
	rowsMost  = 64 // that a node tells
	askSpan   = time.Second
	tallySpan = 100 * time.Millisecond
	fromAbove = ids.NodeID("above") // in whose name a tally has what came from above
)

// myOutcomes lists what this node saw of workers that failed here, or that others name.
func (n *Node) myOutcomes() []Outcomes {
	if n.opt.Eject < 0 || n.opt.Say < 0 {
		return nil
	}
	now := n.now()
	var out []Outcomes
	n.states.Range(func(k, v any) bool {
		st := v.(*state)
		st.mu.Lock()
		defer st.mu.Unlock()
		r := &st.verdict.mine
		if r.sent == 0 {
			return true
		}
		r.fade(now, recall)
		if r.sent > 0.1 && (r.failed > 0.1 || st.verdict.heard.Nodes > 0 && !now.Past(st.verdict.heardAt, askSpan)) {
			out = append(out, Outcomes{ID: k.(ids.WorkerID), Sent: int(10*r.sent + 0.5), Failed: int(10*r.failed + 0.5)})
		}
		return true
	})
	if len(out) > rowsMost {
		sort.Slice(out, func(i, j int) bool { return out[i].Failed > out[j].Failed })
		out = out[:rowsMost]
	}
	return out
}

// hearsay notes what the others saw.
func (n *Node) hearsay(row []Outcomes) {
	if n.opt.Eject < 0 || n.opt.Say < 0 {
		return
	}
	now := n.now()
	n.toldAt.Store(int64(now))
	for _, r := range row {
		st := n.state(r.ID)
		st.mu.Lock()
		st.verdict.heard, st.verdict.heardAt = r, now
		st.mu.Unlock()
		n.stir.Store(true)
	}
}

// tally is the sum of what nodes told, and each one's part of it.
type tally struct {
	mu    sync.Mutex
	at    ids.Tick
	total map[ids.WorkerID]Outcomes
	by    map[ids.NodeID][]Outcomes
}

// rest is the sum without one node's part.
func (n *Node) rest(but ids.NodeID) []Outcomes {
	t := &n.tally
	t.mu.Lock()
	defer t.mu.Unlock()
	n.count(t)
	return t.without(but)
}

// below is the sum of what the nodes below this one told.
func (n *Node) below() []Outcomes {
	t := &n.tally
	t.mu.Lock()
	defer t.mu.Unlock()
	n.count(t)
	return t.without(n.me.Node, fromAbove)
}

// count adds up anew what was told, if that is due. The tally is locked.
func (n *Node) count(t *tally) {
	now := n.now()
	if t.total != nil && !now.Past(t.at, tallySpan) {
		return
	}
	t.at, t.total, t.by = now, map[ids.WorkerID]Outcomes{}, map[ids.NodeID][]Outcomes{}
	t.add(n.me.Node, n.weighed(n.myOutcomes()))
	t.add(fromAbove, n.heardAbove(now).outcomes)
	holder, _, _ := n.agent.KeyOwner(fleetstate.WorkerListKey)
	counts := n.tree().tellersTo(n.me, holder, n.agent.Members())
	n.told.Range(func(k, v any) bool {
		if o := v.(told); counts(k.(ids.NodeID)) && !now.Past(o.at, 2*readSpan) && len(o.outcomes)+len(o.below) > 0 {
			t.add(k.(ids.NodeID), append(n.weighed(o.outcomes), o.below...))
		}
		return true
	})
}

// without is the sum without some nodes' parts.
func (t *tally) without(but ...ids.NodeID) []Outcomes {
	own := map[ids.WorkerID]Outcomes{}
	for _, node := range but {
		for _, r := range t.by[node] {
			own[r.ID] = own[r.ID].and(r)
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

func (t *tally) add(node ids.NodeID, row []Outcomes) {
	t.by[node] = row
	for _, r := range row {
		t.total[r.ID] = t.total[r.ID].and(r)
	}
}

func (o Outcomes) and(r Outcomes) Outcomes {
	return Outcomes{r.ID, o.Sent + r.Sent, o.Failed + r.Failed, o.Nodes + r.Nodes}
}

// weighed bounds a node's say: of each worker to so many sendings, and to nothing if it
// accuses more of a part than may be out, since then it is the node that is ill.
func (n *Node) weighed(row []Outcomes) []Outcomes {
	if len(row) == 0 {
		return nil
	}
	accuses := map[ids.WorkerID]bool{}
	for _, r := range row {
		accuses[r.ID] = r.Failed > 3
	}
	all, bad := map[group]int{}, map[group]int{}
	for _, w := range n.roster.Load().all {
		k := group{w.Service, w.Part}
		all[k]++
		if accuses[w.ID] {
			bad[k]++
		}
	}
	for k, b := range bad {
		if b > max(1, int(n.opt.Out*float64(all[k]))) {
			return nil
		}
	}
	out := make([]Outcomes, 0, len(row))
	for _, r := range row {
		sent := max(1, r.Sent)
		failed := min(sent, max(0, r.Failed))
		f := min(1, 10*n.opt.Say/float64(sent))
		o := Outcomes{ID: r.ID, Sent: int(f * float64(sent)), Failed: int(f * float64(failed))}
		if accuses[r.ID] {
			o.Nodes = 1
		}
		out = append(out, o)
	}
	return out
}
