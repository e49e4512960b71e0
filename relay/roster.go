// The list of workers, kept fresh: one node holds the duty of asking the platform, and the
// others wait at that node for changes. Whoever hears nothing fresh there asks the platform.

package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"keelstair.example/lore"
	"keelstair.example/seam"
	"keelstair.example/wire"
	"keelstair.example/word"
)

const (
	listWait = 900 * time.Millisecond  // at the holder, for a change
	listOld  = 1500 * time.Millisecond // then what the holder has is not fresh
	coldSlip = 300 * time.Millisecond  // by which a cold time may be off and is no change
)

type roster struct {
	all  []Worker
	at   word.Tick     // when it was asked for
	seq  uint64        // rises when something changed
	ring chan struct{} // closed by the next change
}

// rosters keeps the list fresh. While it cannot be had, the last one is kept.
func (n *Node) rosters(ctx context.Context) {
	var from word.NodeId
	var seq uint64
	for ctx.Err() == nil {
		wait := n.opt.Roster
		if m, _, ok := n.agent.Holder(lore.RosterKey); ok && m.Node != n.me.Node {
			if m.Node != from {
				from, seq = m.Node, 0
			}
			if n.follow(ctx, m.Addr, &seq) {
				seam.Sleep(ctx, 20*time.Millisecond)
				continue
			}
			from = ""
		}
		asked := n.now()
		if list, err := n.opt.Back.List(ctx); err == nil {
			n.take(list, asked)
		} else if ctx.Err() == nil {
			n.opt.Ring.Info().AnErr("cause", err).Msg("the list of workers cannot be had")
		}
		seam.Sleep(ctx, wait*4/5+rand.N(wait*2/5))
	}
}

// follow waits at the holder once; false if it has nothing fresh.
func (n *Node) follow(ctx context.Context, addr string, seq *uint64) bool {
	cx, stop := context.WithTimeout(ctx, listWait+300*time.Millisecond)
	defer stop()
	r, err := wire.Call[ListAsk, ListReply](cx, n.agent.Caller(), addr, "relay/list", &ListAsk{Seq: *seq, Wait: int64(listWait)})
	if err != nil || r.Age > int64(listOld) || r.Seq == 0 {
		return false
	}
	at := n.now().Add(-time.Duration(r.Age))
	if r.Seq == *seq {
		old := *n.roster.Load()
		old.all, old.at = cooled(old.all, at.Since(old.at)), at
		n.roster.Store(&old)
		return true
	}
	list := make([]Worker, len(r.Rows))
	for i, w := range r.Rows {
		list[i] = Worker{w.Id, w.Service, w.Addr, w.Zone, w.Part, w.Slots, w.Leaving, time.Duration(w.Cold)}
	}
	*seq = r.Seq
	n.take(list, at)
	return true
}

// serveList answers those who wait for a change.
func (n *Node) serveList(ctx context.Context, q *ListAsk) (*ListReply, error) {
	t := time.NewTimer(min(time.Duration(q.Wait), 5*time.Second))
	defer t.Stop()
	for {
		ros := n.roster.Load()
		if ros.seq == 0 || ros.seq != q.Seq {
			out := &ListReply{Seq: ros.seq, Age: int64(n.now().Since(ros.at))}
			for _, w := range ros.all {
				out.Rows = append(out.Rows, Row{w.Id, w.Service, w.Addr, w.Zone, w.Part, w.Slots, w.Leaving, int64(w.Cold)})
			}
			return out, nil
		}
		select {
		case <-ros.ring:
		case <-t.C:
			return &ListReply{Seq: ros.seq, Age: int64(n.now().Since(ros.at))}, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
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

func (n *Node) take(list []Worker, asked word.Tick) {
	old := n.roster.Load()
	next := &roster{all: list, at: asked, seq: old.seq, ring: old.ring}
	if next.seq == 0 || !same(cooled(old.all, asked.Since(old.at)), list) {
		next.seq, next.ring = old.seq+1, make(chan struct{})
		on := make(map[word.WorkerId]bool, len(list))
		for _, w := range list {
			on[w.Id] = true
		}
		n.states.Range(func(k, _ any) bool {
			if !on[k.(word.WorkerId)] {
				n.states.Delete(k)
			}
			return true
		})
	}
	n.roster.Store(next)
	if next.seq != old.seq && old.ring != nil {
		close(old.ring)
	}
}
