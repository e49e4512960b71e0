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

// listFollower is what a node keeps of those that it hears the list from.
type listFollower struct {
	node        *Node
	failed      map[ids.NodeID]ids.Tick // when a source last gave no answer
	from        ids.NodeID
	since       ids.Tick // from when on that is so
	known       bool     // it answered the last time
	flat        bool     // all nodes ask the holder
	loadSeq     uint64   // by the numbers of that source: up to where it told how workers stand
	reportedSeq uint64   // by this node's own: up to where that source was told
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
func (f *listFollower) follow(ctx context.Context, s *listSources) bool {
	f.flat = s.flat()
	for i, parent := range s.parents {
		if f.hasFailed(parent.Node) && !s.flat() {
			continue
		}
		switch f.ask(ctx, parent, s.freshFor(i)) {
		case listFresh:
			return true
		case listNone:
			if f.node.now().Past(f.since, listMaxAge) {
				continue
			}
			host.Sleep(ctx, f.node.options.ShareInterval/2) // its first one is under way
			return true
		case listStale:
			if i+1 == len(s.parents) || f.node.now().Past(f.node.endpoints.Load().requestedAt, listLostAge) {
				continue
			}
			host.Sleep(ctx, f.node.options.ShareInterval/2) // it is looking for a fresh list itself
			return true
		case listFailed:
			f.probe(ctx, s)
		}
	}
	return false
}

// probe finds out at once which of the sources answer, since many may be lost together.
func (f *listFollower) probe(ctx context.Context, s *listSources) {
	if s.flat() {
		return
	}
	callContext, stop := context.WithTimeout(ctx, listTimeout)
	defer stop()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var silent []ids.NodeID
	for _, m := range f.healthySources(s) {
		wg.Go(func() {
			if _, err := rpc.Call[Ack, Ack](
				callContext, f.node.agent.Caller(), m.Addr, pingMethod, &Ack{},
			); err != nil {
				mu.Lock()
				defer mu.Unlock()
				silent = append(silent, m.Node)
			}
		})
	}
	wg.Wait()
	for _, node := range silent {
		f.failed[node] = f.node.now()
	}
}

// healthySources lists the parents and the first ones of the zone that are not known to have failed.
func (f *listFollower) healthySources(s *listSources) []coordination.Member {
	var out []coordination.Member
	for _, m := range s.parents {
		if !f.hasFailed(m.Node) {
			out = append(out, m)
		}
	}
	limit := len(out) + maxProbes
	for _, m := range s.zone {
		if m.Node == f.node.self.Node || len(out) == limit {
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
func (f *listFollower) mayAsk(ctx context.Context, s *listSources) bool {
	if s.flat() || f.actsForOwner(s) {
		return true
	}
	first, _ := s.actingOwner(f.hasFailed)
	switch f.ask(ctx, first, listMaxAge) {
	case listFresh:
		return false
	case listFailed:
		f.probe(ctx, s)
		return false
	}
	if !f.node.now().Past(
		f.node.endpoints.Load().requestedAt, listLostAge,
	) || !f.node.now().Past(f.since, listLostAge) {
		host.Sleep(ctx, f.node.options.ShareInterval/2)
		return false
	}
	f.node.waitAsOwner(ctx, rand.N(f.retryDelay(s)))
	return true
}

// actsForOwner tells whether this node asks the platform in the holder's stead.
func (f *listFollower) actsForOwner(s *listSources) bool {
	first, ok := s.actingOwner(f.hasFailed)
	return !ok || first.Node == f.node.self.Node
}

// retryDelay is the time between two askings of the platform by one that is not the holder.
func (f *listFollower) retryDelay(s *listSources) time.Duration {
	share := f.node.nodeShare()
	if !s.flat() && f.actsForOwner(s) {
		share = 1 / float64(max(1, s.zones))
	}
	return listInterval(f.node.options.ListInterval, f.node.options.ListRate, share)
}

// hasFailed tells whether a source gave no answer of late.
func (f *listFollower) hasFailed(node ids.NodeID) bool {
	at, ok := f.failed[node]
	if ok && f.node.now().Past(at, sourceFailureTTL) {
		delete(f.failed, node)
		return false
	}
	return ok
}

// ask asks one source, whose list may be so old, and waits until the next asking is due.
func (f *listFollower) ask(ctx context.Context, m coordination.Member, freshFor time.Duration) listAnswer {
	n := f.node
	if m.Node != f.from {
		f.from, f.since, f.known, f.loadSeq, f.reportedSeq = m.Node, n.now(), false, 0, 0
	}
	began := n.now()
	duration := n.options.ShareInterval*4/5 + rand.N(n.options.ShareInterval*2/5)
	maxWait := duration
	// A source that may be gone shows it sooner by an answer at once. In a small fleet changes
	// are few, and readings that come at once are worth more than changes that do.
	if !f.known || f.flat {
		maxWait = 0
	}
	r, err := f.call(ctx, m.Addr, maxWait)
	f.known = err == nil && (r.Node == m.Node || r.Node == "")
	if !f.known {
		f.failed[m.Node] = n.now()
		return listFailed
	}
	delete(f.failed, m.Node)
	if r.Version == 0 {
		return listNone
	}
	if !n.now().Add(-time.Duration(r.Age)).Before(n.endpoints.Load().requestedAt) {
		f.apply(r)
	}
	if r.Age > int64(freshFor+min(2*time.Duration(r.Latency), maxListLatency)) {
		return listStale
	}
	if !r.Early {
		host.Sleep(ctx, duration-n.now().Since(began))
	}
	return listFresh
}

// call sends what this node and those below it have to tell.
func (f *listFollower) call(ctx context.Context, addr string, maxWait time.Duration) (*ListResponse, error) {
	n := f.node
	callContext, stop := context.WithTimeout(ctx, listTimeout+maxWait)
	defer stop()
	list := n.endpoints.Load()
	request := &ListRequest{
		Node:            n.self.Node,
		Version:         list.version,
		Prefills:        n.prefillsWithout("", false),
		Outcomes:        n.localOutcomes(),
		SubtreeOutcomes: n.subtreeOutcomes(),
		LoadSeq:         f.loadSeq,
		Deltas:          true,
		MaxWait:         int64(maxWait),
	}
	var reports uint64
	reports, request.Loads = n.loads.since(f.reportedSeq, list.workers, n.now(), n.ownsService)
	r, err := rpc.Call[ListRequest, ListResponse](callContext, n.agent.Caller(), addr, listMethod, request)
	if err == nil && r.Version == request.Version {
		f.reportedSeq = reports
	}
	return r, err
}

// apply puts an answer into force.
func (f *listFollower) apply(r *ListResponse) {
	n := f.node
	now := n.now()
	at := now.Add(-time.Duration(r.Age))
	n.listLatency.Store(r.Latency)
	list := n.endpoints.Load().workers
	if previous := n.endpoints.Load(); r.Version == previous.version {
		fresh := *previous
		fresh.requestedAt = at
		n.endpoints.Store(&fresh)
	} else {
		list = workersOf(r.Rows)
		if r.Delta {
			list = applyDelta(reduceSlowStart(previous.workers, now.Since(previous.receivedAt)), list, r.Removed)
		}
		n.adopt(list, r.Version, at, now)
	}
	f.loadSeq = r.LoadSeq
	if r.Early {
		return
	}
	n.parentSums.Store(&parentSums{now, r.Prefills, r.Outcomes})
	if f.flat { // the answer has the sums of all; the tally of this node may be older
		n.recordPeerPrefills(r.Prefills)
		n.recordPeerOutcomes(r.Outcomes)
	} else {
		n.recordPeerPrefills(n.prefillsWithout(n.self.Node, true))
		n.recordPeerOutcomes(n.outcomesWithout(n.self.Node))
	}
	n.recordPeerLoads(r.Loads, list)
}

// workersOf makes workers of rows, in their order, by which reports name them.
func workersOf(rows []WorkerRow) []Worker {
	list := make([]Worker, len(rows))
	for i, w := range rows {
		list[i] = Worker{w.ID, w.Service, w.Addr, w.Zone, w.Role, w.Concurrency, w.Leaving, time.Duration(w.SlowStart)}
	}
	return list
}
