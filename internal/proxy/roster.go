// The list of workers, kept fresh: one node holds the duty of asking the platform, and the
// others hear from it, and tell it which readings they have under way, so that each knows the
// sum. Where nothing fresh is heard, some node asks the platform in the holder's stead.

package proxy

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
)

const (
	listWait   = 500 * time.Millisecond  // for the holder's answer
	listOld    = 1500 * time.Millisecond // then what the holder has is not fresh
	readSpan   = 500 * time.Millisecond  // how long another node's word of its readings counts
	tookMost   = 1500 * time.Millisecond // by which a slow platform may make a list older
	startPause = 50 * time.Millisecond   // until a holder is known
	holdMost   = time.Second             // that an answer waits for a change
	readsMost  = 256                     // workers whose readings are told at once
)

// rosters keeps the list fresh. While it cannot be had, the last one is kept.
func (n *Node) rosters(ctx context.Context) {
	f := &follower{n: n, failed: map[ids.NodeID]ids.Tick{}}
	for ctx.Err() == nil {
		wait := n.opt.Roster
		holder, _, ok := n.agent.KeyOwner(fleetstate.WorkerListKey)
		switch {
		case ok && holder.Node == n.me.Node:
			n.above.Store(nil)
		case !ok && n.sight().Version == 0: // nothing can be served yet, and many nodes may start together
			host.Sleep(ctx, startPause)
			continue
		default:
			sources := n.tree().sourcesOf(n.me, holder, n.agent.Members())
			if f.follow(ctx, &sources) || !f.mayAsk(ctx, &sources) {
				continue
			}
			wait = f.pause(&sources)
		}
		n.askPlatform(ctx)
		n.restAsHolder(ctx, wait*4/5+rand.N(wait*2/5))
	}
}

// askPlatform has the list from the platform itself.
func (n *Node) askPlatform(ctx context.Context) {
	asked := n.now()
	list, err := n.opt.Back.List(ctx)
	switch {
	case err == nil:
		n.listTook.Store(int64(n.now().Since(asked)))
		n.take(list, asked, n.now())
	case ctx.Err() == nil:
		n.opt.Ring.Info().AnErr("cause", err).Msg("the list of workers cannot be had")
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
	for end := n.now().Add(wait); n.now().Before(end) && host.Sleep(ctx, min(n.opt.Share, wait)); {
		n.others(n.sum(n.me.Node, true))
		n.hearsay(n.rest(n.me.Node))
	}
}

// myReads lists the readings that this node has under way.
func (n *Node) myReads() []Reads {
	var out []Reads
	n.states.Range(func(k, v any) bool {
		st := v.(*state)
		st.mu.Lock()
		defer st.mu.Unlock()
		if st.readers > 0 {
			out = append(out, Reads{k.(ids.WorkerID), st.reads, st.readers})
		}
		return true
	})
	return out
}

// others notes what the other nodes have under way, as far as the holder knows.
func (n *Node) others(row []Reads) {
	now := n.now()
	for _, r := range row {
		st := n.state(r.ID)
		st.mu.Lock()
		st.other, st.otherAt = r, now
		st.mu.Unlock()
	}
}

// told is what a node said last of its readings, and of those below it.
type told struct {
	at       ids.Tick
	reads    []Reads
	outcomes []Outcomes // its own
	below    []Outcomes // weighed
}

// above is what this node heard last, from whom it has the list, of all nodes that are not
// below itself.
type above struct {
	at       ids.Tick
	reads    []Reads
	outcomes []Outcomes
}

// heardAbove gives that while it counts.
func (n *Node) heardAbove(now ids.Tick) *above {
	if a := n.above.Load(); a != nil && !now.Past(a.at, 2*readSpan) {
		return a
	}
	return &above{}
}

// serveList answers the other nodes with the list and with what all have under way. Where
// they have the list as it is, it waits for a change as long as they allow.
func (n *Node) serveList(ctx context.Context, q *ListAsk) (*ListReply, error) {
	now := n.now()
	n.told.Store(q.Node, told{now, q.Reads, q.Ends, q.Below})
	changed := n.listChanged.next()
	ros := n.roster.Load()
	if ros.version == q.Version {
		n.heard(q.Stands, ros.all)
		if now.Since(ros.at) < listOld && waitFor(ctx, changed, time.Duration(q.Hold)) {
			out := n.listSince(q)
			out.Early, out.Stood = true, q.Stood
			return out, nil
		}
	} else {
		q.Stood = 0
	}
	out := n.listSince(q)
	now = n.now()
	out.Reads, out.Ends = n.sum(q.Node, true), n.rest(q.Node)
	out.Stood, out.Stands = n.board.since(q.Stood, n.roster.Load().all, now, every)
	return out, nil
}

// waitFor waits for a span at most; true if what it waits for came.
func waitFor(ctx context.Context, changed <-chan struct{}, span time.Duration) bool {
	if span <= 0 {
		return false
	}
	end := time.NewTimer(min(span, holdMost))
	defer end.Stop()
	select {
	case <-changed:
		return true
	case <-end.C:
	case <-ctx.Done():
	}
	return false
}

// listSince answers with what changed after the version that a node has, or with all.
func (n *Node) listSince(q *ListAsk) *ListReply {
	now := n.now()
	ros := n.roster.Load()
	out := &ListReply{Node: n.me.Node, Version: ros.version, Age: int64(now.Since(ros.at)), Took: n.listTook.Load()}
	if ros.version == q.Version {
		return out
	}
	changed, ok := ros.changedSince(q.Version)
	out.Delta = ok && q.Deltas
	for _, w := range ros.all {
		if out.Delta && !changed[w.ID] {
			continue
		}
		delete(changed, w.ID)
		cold := max(0, w.Cold-now.Since(ros.got))
		out.Rows = append(out.Rows, Row{w.ID, w.Service, w.Addr, w.Zone, w.Part, w.Slots, w.Leaving, int64(cold)})
	}
	if out.Delta {
		for id := range changed {
			out.Gone = append(out.Gone, id)
		}
	}
	return out
}

// sum adds up what all nodes but one have under way; without those above, it is what this
// node and those below it have.
func (n *Node) sum(but ids.NodeID, withAbove bool) []Reads {
	now := n.now()
	at := map[ids.WorkerID]int{}
	var out []Reads
	add := func(row []Reads) {
		for _, r := range row {
			i, ok := at[r.ID]
			if !ok {
				i, at[r.ID] = len(out), len(out)
				out = append(out, Reads{ID: r.ID})
			}
			out[i].Tokens, out[i].Count = out[i].Tokens+r.Tokens, out[i].Count+r.Count
		}
	}
	if but != n.me.Node {
		add(n.myReads())
	}
	if withAbove {
		add(n.heardAbove(now).reads)
	}
	n.told.Range(func(k, v any) bool {
		switch t := v.(told); {
		case now.Past(t.at, 4*readSpan):
			n.told.Delete(k)
		case k.(ids.NodeID) != but && !now.Past(t.at, 2*readSpan):
			add(t.reads)
		}
		return true
	})
	return mostReads(out)
}

// mostReads keeps the workers that have the most to read, since the others hardly matter to who
// chooses one.
func mostReads(row []Reads) []Reads {
	if len(row) > readsMost {
		slices.SortFunc(row, func(a, b Reads) int { return b.Tokens - a.Tokens })
		row = row[:readsMost]
	}
	return row
}

// take puts a list into force that the platform gave.
func (n *Node) take(list []Worker, asked, got ids.Tick) { n.adopt(list, 0, asked, got) }

// adopt puts a list into force, of a version if another node gave it one.
func (n *Node) adopt(list []Worker, version uint64, asked, got ids.Tick) {
	old := n.roster.Load()
	next := old.next(list, version, asked, got)
	if next.seq != old.seq {
		on := make(map[ids.WorkerID]bool, len(list))
		for _, w := range list {
			on[w.ID] = true
		}
		n.states.Range(func(k, _ any) bool {
			if !on[k.(ids.WorkerID)] {
				n.states.Delete(k)
			}
			return true
		})
		n.board.prune(on)
	}
	n.roster.Store(next)
	if next.version != old.version {
		n.listChanged.ring()
	}
}
