// Hearing the list of workers from another node.

package proxy

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"keelstair.example/coordination"
	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/rpc"
)

// follower is what a node keeps of those that it hears the list from.
type follower struct {
	n      *Node
	failed map[ids.NodeID]ids.Tick // when a source last gave no answer
	from   ids.NodeID
	since  ids.Tick // from when on that is so
	known  bool     // it answered the last time
	flat   bool     // all nodes ask the holder
	stood  uint64   // by the numbers of that source: up to where it told how workers stand
	told   uint64   // by this node's own: up to where that source was told
}

// listAnswer is what came of asking a source.
type listAnswer int

const (
	listFresh listAnswer = iota
	listStale
	listNone // it has had none yet
	listFailed
)

// follow has the list from the nearest source with a fresh one, and then waits until the next
// asking is due. False if none has one.
func (f *follower) follow(ctx context.Context, s *listSources) bool {
	f.flat = s.flat()
	for i, parent := range s.parents {
		if f.hasFailed(parent.Node) && !s.flat() {
			continue
		}
		switch f.ask(ctx, parent, s.freshFor(i)) {
		case listFresh:
			return true
		case listNone:
			if f.n.now().Past(f.since, listOld) {
				continue
			}
			host.Sleep(ctx, f.n.opt.Share/2) // its first one is under way
			return true
		case listStale:
			if i+1 == len(s.parents) || f.n.now().Past(f.n.roster.Load().at, listLost) {
				continue
			}
			host.Sleep(ctx, f.n.opt.Share/2) // it is looking for a fresh list itself
			return true
		case listFailed:
			f.probe(ctx, s)
		}
	}
	return false
}

// probe finds out at once which of the sources answer, since many may be lost together.
func (f *follower) probe(ctx context.Context, s *listSources) {
	if s.flat() {
		return
	}
	cx, stop := context.WithTimeout(ctx, listWait)
	defer stop()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var silent []ids.NodeID
	for _, m := range f.unfailed(s) {
		wg.Go(func() {
			if _, err := rpc.Call[Heard, Heard](cx, f.n.agent.Caller(), m.Addr, "relay/alive", &Heard{}); err != nil {
				mu.Lock()
				defer mu.Unlock()
				silent = append(silent, m.Node)
			}
		})
	}
	wg.Wait()
	for _, node := range silent {
		f.failed[node] = f.n.now()
	}
}

// unfailed lists the parents and the first ones of the zone that are not known to have failed.
func (f *follower) unfailed(s *listSources) []coordination.Member {
	var out []coordination.Member
	for _, m := range s.parents {
		if !f.hasFailed(m.Node) {
			out = append(out, m)
		}
	}
	most := len(out) + probeMost
	for _, m := range s.zone {
		if m.Node == f.n.me.Node || len(out) == most {
			break
		}
		if !f.hasFailed(m.Node) {
			out = append(out, m)
		}
	}
	return out
}

// mayAsk tells, where no source has a fresh list, whether this node asks the platform: if it
// is the first of its zone that answers, or if its list is very old. Otherwise the first one
// is asked.
func (f *follower) mayAsk(ctx context.Context, s *listSources) bool {
	if s.flat() || f.standsIn(s) {
		return true
	}
	first, _ := s.standIn(f.hasFailed)
	switch f.ask(ctx, first, listOld) {
	case listFresh:
		return false
	case listFailed:
		f.probe(ctx, s)
		return false
	}
	if !f.n.now().Past(f.n.roster.Load().at, listLost) || !f.n.now().Past(f.since, listLost) {
		host.Sleep(ctx, f.n.opt.Share/2)
		return false
	}
	f.n.restAsHolder(ctx, rand.N(f.pause(s)))
	return true
}

// standsIn tells whether this node asks the platform in the holder's stead.
func (f *follower) standsIn(s *listSources) bool {
	first, ok := s.standIn(f.hasFailed)
	return !ok || first.Node == f.n.me.Node
}

// pause is the time between two askings of the platform by one that is not the holder.
func (f *follower) pause(s *listSources) time.Duration {
	share := f.n.share()
	if !s.flat() && f.standsIn(s) {
		share = 1 / float64(max(1, s.zones))
	}
	return listPause(f.n.opt.Roster, f.n.opt.Rate, share)
}

// hasFailed tells whether a source gave no answer of late.
func (f *follower) hasFailed(node ids.NodeID) bool {
	at, ok := f.failed[node]
	if ok && f.n.now().Past(at, failedSpan) {
		delete(f.failed, node)
		return false
	}
	return ok
}

// ask asks one source, whose list may be so old, and waits until the next asking is due.
func (f *follower) ask(ctx context.Context, m coordination.Member, freshFor time.Duration) listAnswer {
	n := f.n
	if m.Node != f.from {
		f.from, f.since, f.known, f.stood, f.told = m.Node, n.now(), false, 0, 0
	}
	began := n.now()
	span := n.opt.Share*4/5 + rand.N(n.opt.Share*2/5)
	hold := span
	// A source that may be gone shows it sooner by an answer at once. In a small fleet changes
	// are few, and readings that come at once are worth more than changes that do.
	if !f.known || f.flat {
		hold = 0
	}
	r, err := f.call(ctx, m.Addr, hold)
	f.known = err == nil && (r.Node == m.Node || r.Node == "")
	if !f.known {
		f.failed[m.Node] = n.now()
		return listFailed
	}
	delete(f.failed, m.Node)
	if r.Version == 0 {
		return listNone
	}
	if !n.now().Add(-time.Duration(r.Age)).Before(n.roster.Load().at) {
		f.apply(r)
	}
	if r.Age > int64(freshFor+min(2*time.Duration(r.Took), tookMost)) {
		return listStale
	}
	if !r.Early {
		host.Sleep(ctx, span-n.now().Since(began))
	}
	return listFresh
}

// call sends what this node and those below it have to tell.
func (f *follower) call(ctx context.Context, addr string, hold time.Duration) (*ListReply, error) {
	n := f.n
	cx, stop := context.WithTimeout(ctx, listWait+hold)
	defer stop()
	ros := n.roster.Load()
	q := &ListAsk{Node: n.me.Node, Version: ros.version, Reads: n.sum("", false), Ends: n.myOutcomes(), Below: n.below(), Stood: f.stood, Deltas: true, Hold: int64(hold)}
	var told uint64
	told, q.Stands = n.board.since(f.told, ros.all, n.now(), n.mine)
	r, err := rpc.Call[ListAsk, ListReply](cx, n.agent.Caller(), addr, "relay/list", q)
	if err == nil && r.Version == q.Version {
		f.told = told
	}
	return r, err
}

// apply puts an answer into force.
func (f *follower) apply(r *ListReply) {
	n := f.n
	now := n.now()
	at := now.Add(-time.Duration(r.Age))
	n.listTook.Store(r.Took)
	list := n.roster.Load().all
	if old := n.roster.Load(); r.Version == old.version {
		fresh := *old
		fresh.at = at
		n.roster.Store(&fresh)
	} else {
		list = listed(r.Rows)
		if r.Delta {
			list = patched(cooled(old.all, now.Since(old.got)), list, r.Gone)
		}
		n.adopt(list, r.Version, at, now)
	}
	f.stood = r.Stood
	if r.Early {
		return
	}
	n.above.Store(&above{now, r.Reads, r.Ends})
	if f.flat { // the answer has the sums of all; the tally of this node may be older
		n.others(r.Reads)
		n.hearsay(r.Ends)
	} else {
		n.others(n.sum(n.me.Node, true))
		n.hearsay(n.rest(n.me.Node))
	}
	n.heard(r.Stands, list)
}

// listed makes workers of rows, in their order, by which reports name them.
func listed(rows []Row) []Worker {
	list := make([]Worker, len(rows))
	for i, w := range rows {
		list[i] = Worker{w.ID, w.Service, w.Addr, w.Zone, w.Part, w.Slots, w.Leaving, time.Duration(w.Cold)}
	}
	return list
}
