// The list of workers, kept fresh: one node holds the duty of asking the platform, and the
// others hear from it, and tell it which readings they have under way, so that each knows the
// sum. Whoever hears nothing fresh there asks the platform.

package proxy

import (
	"context"
	"math/rand/v2"
	"time"

	"keelstair.example/fleetstate"
	"keelstair.example/ids"
	"keelstair.example/rpc"
	"keelstair.example/seam"
)

const (
	listWait = 500 * time.Millisecond  // for the holder's answer
	listOld  = 1500 * time.Millisecond // then what the holder has is not fresh
	readSpan = 500 * time.Millisecond  // how long another node's word of its readings counts
	coldSlip = 300 * time.Millisecond  // by which a cold time may be off and is no change
)

type roster struct {
	all []Worker
	at  ids.Tick // when it was asked for
	got ids.Tick // when the answer came, from which cold times count
	seq uint64   // rises when something changed
}

// find gives the line of a life, if it is listed.
func (r *roster) find(id ids.WorkerId) *Worker {
	for i := range r.all {
		if r.all[i].Id == id {
			return &r.all[i]
		}
	}
	return nil
}

// rosters keeps the list fresh. While it cannot be had, the last one is kept.
func (n *Node) rosters(ctx context.Context) {
	var from ids.NodeId
	var have known
	for ctx.Err() == nil {
		wait := listPause(n.opt.Roster, n.opt.Rate, n.share())
		m, _, ok := n.agent.Holder(fleetstate.RosterKey)
		if ok && m.Node == n.me.Node {
			wait = n.opt.Roster
		} else if ok {
			if m.Node != from {
				from, have = m.Node, known{}
			}
			if n.follow(ctx, m.Addr, &have) {
				seam.Sleep(ctx, n.opt.Share*4/5+rand.N(n.opt.Share*2/5))
				continue
			}
			from = ""
		}
		asked := n.now()
		if list, err := n.opt.Back.List(ctx); err == nil {
			n.take(list, asked, n.now())
		} else if ctx.Err() == nil {
			n.opt.Ring.Info().AnErr("cause", err).Msg("the list of workers cannot be had")
		}
		n.restAsHolder(ctx, wait*4/5+rand.N(wait*2/5))
	}
}

// listPause is the time between two askings of a node, so that all together stay within
// two thirds of the rate though each asks by itself.
func listPause(least time.Duration, rate, share float64) time.Duration {
	if rate <= 0 {
		return least
	}
	return max(least, time.Duration(1.5/share/rate*float64(time.Second)))
}

// restAsHolder waits, and meanwhile keeps the sum of the readings fresh.
func (n *Node) restAsHolder(ctx context.Context, wait time.Duration) {
	for end := n.now().Add(wait); n.now().Before(end) && seam.Sleep(ctx, min(n.opt.Share, wait)); {
		n.others(n.sum(n.me.Node))
		n.hearsay(n.rest(n.me.Node))
	}
}

// known is what this node has of one holder, by the holder's numbers, and up to which of
// its own numbers it has told that holder how workers stand.
type known struct{ seq, stood, told uint64 }

// follow asks the holder once; false if it has nothing fresh.
func (n *Node) follow(ctx context.Context, addr string, have *known) bool {
	cx, stop := context.WithTimeout(ctx, listWait)
	defer stop()
	q := &ListAsk{Node: n.me.Node, Seq: have.seq, Reads: n.myReads(), Ends: n.myOutcomes(), Stood: have.stood}
	var told uint64
	told, q.Stands = n.board.since(have.told, n.roster.Load().all, n.now(), n.mine)
	r, err := rpc.Call[ListAsk, ListReply](cx, n.agent.Caller(), addr, "relay/list", q)
	if err != nil || r.Age > int64(listOld) || r.Seq == 0 {
		return false
	}
	at := n.now().Add(-time.Duration(r.Age))
	n.others(r.Reads)
	n.hearsay(r.Ends)
	have.stood = r.Stood
	if r.Seq == have.seq {
		have.told = told
		old := *n.roster.Load()
		old.at = at
		n.roster.Store(&old)
		n.heard(r.Stands, old.all)
		return true
	}
	list := make([]Worker, len(r.Rows))
	for i, w := range r.Rows {
		list[i] = Worker{w.Id, w.Service, w.Addr, w.Zone, w.Part, w.Slots, w.Leaving, time.Duration(w.Cold)}
	}
	have.seq = r.Seq
	n.take(list, at, n.now())
	n.heard(r.Stands, list)
	return true
}

// myReads lists the readings that this node has under way.
func (n *Node) myReads() []Reads {
	var out []Reads
	n.states.Range(func(k, v any) bool {
		st := v.(*state)
		st.mu.Lock()
		defer st.mu.Unlock()
		if st.readers > 0 {
			out = append(out, Reads{k.(ids.WorkerId), st.reads, st.readers})
		}
		return true
	})
	return out
}

// others notes what the other nodes have under way, as far as the holder knows.
func (n *Node) others(row []Reads) {
	now := n.now()
	for _, r := range row {
		st := n.state(r.Id)
		st.mu.Lock()
		st.other, st.otherAt = r, now
		st.mu.Unlock()
	}
}

// told is what a node said last of its readings.
type told struct {
	at       ids.Tick
	reads    []Reads
	outcomes []Outcomes
}

// serveList answers the other nodes with the list and with what all have under way.
func (n *Node) serveList(_ context.Context, q *ListAsk) (*ListReply, error) {
	now := n.now()
	n.told.Store(q.Node, told{now, q.Reads, q.Ends})
	ros := n.roster.Load()
	out := &ListReply{Seq: ros.seq, Age: int64(now.Since(ros.at)), Reads: n.sum(q.Node), Ends: n.rest(q.Node)}
	if ros.seq == q.Seq {
		n.heard(q.Stands, ros.all)
	} else {
		q.Stood = 0
	}
	out.Stood, out.Stands = n.board.since(q.Stood, ros.all, now, every)
	if ros.seq != q.Seq {
		for _, w := range ros.all {
			cold := max(0, w.Cold-now.Since(ros.got))
			out.Rows = append(out.Rows, Row{w.Id, w.Service, w.Addr, w.Zone, w.Part, w.Slots, w.Leaving, int64(cold)})
		}
	}
	return out, nil
}

// sum adds up what all nodes but one have under way.
func (n *Node) sum(but ids.NodeId) []Reads {
	now := n.now()
	at := map[ids.WorkerId]int{}
	var out []Reads
	add := func(row []Reads) {
		for _, r := range row {
			i, ok := at[r.Id]
			if !ok {
				i, at[r.Id] = len(out), len(out)
				out = append(out, Reads{Id: r.Id})
			}
			out[i].Tokens, out[i].Count = out[i].Tokens+r.Tokens, out[i].Count+r.Count
		}
	}
	if but != n.me.Node {
		add(n.myReads())
	}
	n.told.Range(func(k, v any) bool {
		switch t := v.(told); {
		case now.Past(t.at, 4*readSpan):
			n.told.Delete(k)
		case k.(ids.NodeId) != but && !now.Past(t.at, 2*readSpan):
			add(t.reads)
		}
		return true
	})
	return out
}

// cooled is a list as it is some time later.
func cooled(list []Worker, by time.Duration) []Worker {
	out := append([]Worker(nil), list...)
	for i := range out {
		out[i].Cold = max(0, out[i].Cold-by)
	}
	return out
}

// same tells whether two lists say the same but for cold times that ran on.
func same(a, b []Worker) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		x, y := a[i], b[i]
		slip := x.Cold - y.Cold
		x.Cold, y.Cold = 0, 0
		if x != y || slip > coldSlip || slip < -coldSlip {
			return false
		}
	}
	return true
}

func (n *Node) take(list []Worker, asked, got ids.Tick) {
	old := n.roster.Load()
	next := &roster{all: list, at: asked, got: got, seq: old.seq}
	if next.seq == 0 || !same(cooled(old.all, got.Since(old.got)), list) {
		next.seq = old.seq + 1
		on := make(map[ids.WorkerId]bool, len(list))
		for _, w := range list {
			on[w.Id] = true
		}
		n.states.Range(func(k, _ any) bool {
			if !on[k.(ids.WorkerId)] {
				n.states.Delete(k)
			}
			return true
		})
		n.board.prune(on)
	}
	n.roster.Store(next)
}
