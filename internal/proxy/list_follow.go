// Fetching the worker list from another node. The list owner fetches it from the platform. In a large
// fleet the nodes of each zone form a tree below the owner, and a node's sources are its ancestors in
// the tree, nearest first (list_tree.go). If they have no fresh list, the first responsive node of a zone
// queries the platform as the zone's acting owner.

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

// listFollower gets the list from other nodes, its list sources, and remembers which of them failed.
type listFollower struct {
	node            *Node
	failedAt        map[ids.NodeID]ids.Tick // when a source last failed to answer
	source          ids.NodeID
	sourceSince     ids.Tick // when that source was chosen
	answered        bool     // the source answered the last request
	flat            bool     // small fleet without a tree: all nodes get the list from the owner
	receivedLoadSeq uint64   // sequence number of the last worker loads received from the source
	sentLoadSeq     uint64   // sequence number of the last worker loads sent to the source
}

// listResult is the result of a list request to a source.
type listResult int

const (
	listFresh listResult = iota
	listStale
	listNone // the source has no list yet
	listFailed
)

// follow gets the list from the nearest source with a fresh one and then waits until the next request
// is due. It also returns true, after a short wait, if a source is about to have a fresh list, and false
// if the platform may have to be queried instead.
func (f *listFollower) follow(ctx context.Context, s *listSources) bool {
	f.flat = s.flat()
	for i, ancestor := range s.ancestors {
		if f.hasFailed(ancestor.Node) && !s.flat() {
			continue
		}
		switch f.query(ctx, ancestor, s.maxFreshAge(i)) {
		case listFresh:
			return true
		case listNone:
			if f.node.now().Past(f.sourceSince, listMaxAge) {
				continue
			}
			host.Sleep(ctx, f.node.options.ShareInterval/2) // it is fetching its first list
			return true
		case listStale:
			if i+1 == len(s.ancestors) || f.node.now().Past(f.node.currentList.Load().requestedAt, listLostAge) {
				continue
			}
			host.Sleep(ctx, f.node.options.ShareInterval/2) // it is trying to get a fresh list itself
			return true
		case listFailed:
			f.probe(ctx, s)
		}
	}
	return false
}

// probe pings all sources concurrently, since many may fail together, and marks those that don't answer
// as failed.
func (f *listFollower) probe(ctx context.Context, s *listSources) {
	if s.flat() {
		return
	}
	callContext, stop := context.WithTimeout(ctx, listTimeout)
	defer stop()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var unreachable []ids.NodeID
	for _, m := range f.healthySources(s) {
		wg.Go(func() {
			if _, err := rpc.Call[Ack, Ack](
				callContext, f.node.agent.Caller(), m.Addr, pingMethod, &Ack{},
			); err != nil {
				mu.Lock()
				defer mu.Unlock()
				unreachable = append(unreachable, m.Node)
			}
		})
	}
	wg.Wait()
	for _, node := range unreachable {
		f.failedAt[node] = f.node.now()
	}
}

// healthySources lists the ancestors, and the first maxProbes nodes of the zone ahead of this one, that
// are not known to have failed.
func (f *listFollower) healthySources(s *listSources) []coordination.Member {
	var out []coordination.Member
	for _, m := range s.ancestors {
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

// queryActingOwner requests the list from the acting owner of the zone when no source has a fresh list.
// It returns true if this node must query the platform itself: in a small fleet, as acting owner, and,
// after a random wait, if its own list is older than listLostAge and it has used its current source for
// longer than that.
func (f *listFollower) queryActingOwner(ctx context.Context, s *listSources) bool {
	if s.flat() || f.isActingOwner(s) {
		return true
	}
	actingOwner, _ := s.actingOwner(f.hasFailed)
	switch f.query(ctx, actingOwner, listMaxAge) {
	case listFresh:
		return false
	case listFailed:
		f.probe(ctx, s)
		return false
	}
	if !f.node.now().Past(
		f.node.currentList.Load().requestedAt, listLostAge,
	) || !f.node.now().Past(f.sourceSince, listLostAge) {
		host.Sleep(ctx, f.node.options.ShareInterval/2)
		return false
	}
	f.node.waitUpdatingTotals(ctx, rand.N(f.retryDelay(s)))
	return true
}

// isActingOwner reports whether this node queries the platform in place of the list owner.
func (f *listFollower) isActingOwner(s *listSources) bool {
	actingOwner, ok := s.actingOwner(f.hasFailed)
	return !ok || actingOwner.Node == f.node.self.Node
}

// retryDelay is the time between two platform queries of a node that is not the list owner.
func (f *listFollower) retryDelay(s *listSources) time.Duration {
	share := f.node.nodeShare()
	if !s.flat() && f.isActingOwner(s) {
		share = 1 / float64(max(1, s.zones))
	}
	return listInterval(f.node.options.ListInterval, f.node.options.ListRate, share)
}

// hasFailed reports whether a source failed to answer within the last sourceFailureTTL.
func (f *listFollower) hasFailed(node ids.NodeID) bool {
	at, ok := f.failedAt[node]
	if ok && f.node.now().Past(at, sourceFailureTTL) {
		delete(f.failedAt, node)
		return false
	}
	return ok
}

// query requests the list from one source and, if the list is fresh and the response not an early one,
// waits until the next request is due. A list that is older than maxAge, plus an allowance for a slow
// platform, counts as stale.
func (f *listFollower) query(ctx context.Context, m coordination.Member, maxAge time.Duration) listResult {
	n := f.node
	if m.Node != f.source {
		f.source, f.sourceSince, f.answered, f.receivedLoadSeq, f.sentLoadSeq = m.Node, n.now(), false, 0, 0
	}
	startedAt := n.now()
	interval := n.options.ShareInterval*4/5 + rand.N(n.options.ShareInterval*2/5)
	maxWait := interval
	// A source that may be down is detected sooner if the answer is due at once. In a small fleet
	// changes are rare, and fresh prefill loads are worth more than immediate list changes.
	if !f.answered || f.flat {
		maxWait = 0
	}
	r, err := f.call(ctx, m.Addr, maxWait)
	f.answered = err == nil && (r.Node == m.Node || r.Node == "")
	if !f.answered {
		f.failedAt[m.Node] = n.now()
		return listFailed
	}
	delete(f.failedAt, m.Node)
	if r.Version == 0 {
		return listNone
	}
	if !n.now().Add(-time.Duration(r.Age)).Before(n.currentList.Load().requestedAt) {
		f.apply(r)
	}
	if r.Age > int64(maxAge+min(2*time.Duration(r.Latency), maxListLatency)) {
		return listStale
	}
	if !r.Early { // an early response came before the end of the interval, because the list changed
		host.Sleep(ctx, interval-n.now().Since(startedAt))
	}
	return listFresh
}

// call sends a list request with the prefills, outcomes and worker loads of this node and its subtree.
func (f *listFollower) call(ctx context.Context, addr string, maxWait time.Duration) (*ListResponse, error) {
	n := f.node
	callContext, stop := context.WithTimeout(ctx, listTimeout+maxWait)
	defer stop()
	list := n.currentList.Load()
	request := &ListRequest{
		Node:            n.self.Node,
		Version:         list.version,
		Prefills:        n.prefillsWithout("", false), // of this node and its subtree
		Outcomes:        n.localOutcomes(),
		SubtreeOutcomes: n.subtreeOutcomes(),
		LoadSeq:         f.receivedLoadSeq,
		Deltas:          true,
		MaxWait:         int64(maxWait),
	}
	var loadSeq uint64
	loadSeq, request.Loads = n.loads.since(f.sentLoadSeq, list.workers, n.now(), n.ownsService)
	r, err := rpc.Call[ListRequest, ListResponse](callContext, n.agent.Caller(), addr, listMethod, request)
	if err == nil && r.Version == request.Version {
		f.sentLoadSeq = loadSeq
	}
	return r, err
}

// apply installs the list and the totals of a response.
func (f *listFollower) apply(r *ListResponse) {
	n := f.node
	now := n.now()
	requestedAt := now.Add(-time.Duration(r.Age))
	n.listLatency.Store(r.Latency)
	list := n.currentList.Load().workers
	if previous := n.currentList.Load(); r.Version == previous.version {
		updated := *previous
		updated.requestedAt = requestedAt
		n.currentList.Store(&updated)
	} else {
		list = workersFromRows(r.Rows)
		if r.Delta {
			list = applyDelta(reduceSlowStart(previous.workers, now.Since(previous.receivedAt)), list, r.Removed)
		}
		n.installListVersion(list, r.Version, requestedAt, now)
	}
	f.receivedLoadSeq = r.LoadSeq
	if r.Early { // it has no totals
		return
	}
	n.sourceTotals.Store(&sourceTotals{now, r.Prefills, r.Outcomes})
	if f.flat { // the response has the totals of all nodes; those of this node may be older
		n.recordPeerPrefills(r.Prefills)
		n.recordPeerOutcomes(r.Outcomes)
	} else {
		n.recordPeerPrefills(n.prefillsWithout(n.self.Node, true))
		n.recordPeerOutcomes(n.outcomesWithout(n.self.Node))
	}
	n.recordPeerLoads(r.Loads, list)
}

// workersFromRows converts rows to workers. It keeps their order, since load reports refer to workers
// by index.
func workersFromRows(rows []WorkerRow) []Worker {
	list := make([]Worker, len(rows))
	for i, w := range rows {
		list[i] = Worker{w.ID, w.Service, w.Addr, w.Zone, w.Role, w.Concurrency, w.Leaving, time.Duration(w.SlowStart)}
	}
	return list
}
