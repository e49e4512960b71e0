// Maintenance of the worker list. One node owns the duty of fetching the list from the platform.
// The other nodes get it from the owner and report their running prefills to it, so that every
// node knows the totals. If no fresh list is available, another node queries the platform in the
// owner's place.

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
	listTimeout        = 500 * time.Millisecond  // time limit for the response of a list source
	listMaxAge         = 1500 * time.Millisecond // age from which the owner's list is not fresh
	prefillLoadTTL     = 500 * time.Millisecond  // validity of another node's report of its prefills
	maxListLatency     = 1500 * time.Millisecond // extra list age allowed for a slow platform
	startRetryInterval = 50 * time.Millisecond   // interval between attempts until a list owner is known
	maxListWait        = time.Second             // maximum time for which a response waits for a change
	maxPrefillLoads    = 256                     // workers whose prefills one message reports
)

// maintainWorkerList keeps the worker list fresh. The last list stays in use while no new one can
// be fetched.
func (n *Node) maintainWorkerList(ctx context.Context) {
	f := &listFollower{node: n, failedAt: map[ids.NodeID]ids.Tick{}}
	for ctx.Err() == nil {
		wait := n.options.ListInterval
		owner, _, ok := n.agent.KeyOwner(fleetstate.WorkerListKey)
		switch {
		case ok && owner.Node == n.self.Node:
			n.sourceTotals.Store(nil)
		case !ok && n.snapshot().Version == 0: // nothing can be served yet, and many nodes may be starting at once
			host.Sleep(ctx, startRetryInterval)
			continue
		default:
			sources := n.treeShape().sourcesOf(n.self, owner, n.agent.Members())
			if f.follow(ctx, &sources) || !f.queryActingOwner(ctx, &sources) {
				continue
			}
			wait = f.retryDelay(&sources)
		}
		n.fetchList(ctx)
		n.waitUpdatingTotals(ctx, wait*4/5+rand.N(wait*2/5))
	}
}

// fetchList fetches the list from the platform and installs it.
func (n *Node) fetchList(ctx context.Context) {
	requestedAt := n.now()
	list, err := n.options.Backend.List(ctx)
	switch {
	case err == nil:
		n.listLatency.Store(int64(n.now().Since(requestedAt)))
		n.installList(list, requestedAt, n.now())
	case ctx.Err() == nil:
		n.options.Ring.Info().AnErr("cause", err).Msg("could not fetch the worker list from the platform")
	}
}

// listInterval returns the time between two list requests of one node. All nodes together stay
// within two thirds of the rate, although each sends its requests independently.
func listInterval(minimum time.Duration, rate, share float64) time.Duration {
	if rate <= 0 {
		return minimum
	}
	return max(minimum, time.Duration(1.5/share/rate*float64(time.Second)))
}

// waitUpdatingTotals waits and meanwhile updates the totals of running prefills and of outcomes.
func (n *Node) waitUpdatingTotals(ctx context.Context, wait time.Duration) {
	for end := n.now().Add(wait); n.now().Before(end) && host.Sleep(ctx, min(n.options.ShareInterval, wait)); {
		n.recordPeerPrefills(n.prefillsWithout(n.self.Node, true))
		n.recordPeerOutcomes(n.outcomesWithout(n.self.Node))
	}
}

// localPrefills lists the prefills that this node has running.
func (n *Node) localPrefills() []PrefillLoad {
	var out []PrefillLoad
	n.states.Range(func(k, v any) bool {
		st := v.(*workerState)
		st.mu.Lock()
		defer st.mu.Unlock()
		if st.prefills > 0 {
			out = append(out, PrefillLoad{k.(ids.WorkerID), st.prefillTokens, st.prefills})
		}
		return true
	})
	return out
}

// recordPeerPrefills records the prefills that the other nodes have running, as far as the list
// owner knows them.
func (n *Node) recordPeerPrefills(rows []PrefillLoad) {
	now := n.now()
	for _, r := range rows {
		st := n.state(r.ID)
		st.mu.Lock()
		st.peerPrefills, st.peerPrefillsAt = r, now
		st.mu.Unlock()
	}
}

// peerReport is the last report of a node about its running prefills and those of its subtree,
// and about the outcomes of attempts.
type peerReport struct {
	receivedAt      ids.Tick
	prefills        []PrefillLoad
	outcomes        []Outcomes // of the node itself
	subtreeOutcomes []Outcomes // of its subtree, already weighted
}

// sourceTotals holds the last totals that this node's list source sent. They cover all nodes outside
// this node's subtree.
type sourceTotals struct {
	receivedAt ids.Tick
	prefills   []PrefillLoad
	outcomes   []Outcomes
}

// currentSourceTotals returns the totals last received from the list source, or empty totals if there are none
// or they have expired.
func (n *Node) currentSourceTotals(now ids.Tick) *sourceTotals {
	if sums := n.sourceTotals.Load(); sums != nil && !now.Past(sums.receivedAt, 2*prefillLoadTTL) {
		return sums
	}
	return &sourceTotals{}
}

// serveList answers a node's request with the list and with the totals of all nodes. If the
// requester already has the current list, serveList waits for a change for up to request.MaxWait.
func (n *Node) serveList(ctx context.Context, request *ListRequest) (*ListResponse, error) {
	now := n.now()
	n.peerReports.Store(request.Node, peerReport{now, request.Prefills, request.Outcomes, request.SubtreeOutcomes})
	changed := n.listChanged.next()
	list := n.currentList.Load()
	if list.version == request.Version {
		n.recordPeerLoads(request.Loads, list.workers)
		if now.Since(list.requestedAt) < listMaxAge && waitForChange(ctx, changed, time.Duration(request.MaxWait)) {
			out := n.listSince(request)
			out.Early, out.LoadSeq = true, request.LoadSeq
			return out, nil
		}
	} else {
		request.LoadSeq = 0
	}
	out := n.listSince(request)
	now = n.now()
	out.Prefills, out.Outcomes = n.prefillsWithout(request.Node, true), n.outcomesWithout(request.Node)
	out.LoadSeq, out.Loads = n.loads.since(request.LoadSeq, n.currentList.Load().workers, now, everyService)
	return out, nil
}

// waitForChange waits until changed is closed, but no longer than the shorter of duration and
// maxListWait, and only until ctx ends. It reports whether changed was closed.
func waitForChange(ctx context.Context, changed <-chan struct{}, duration time.Duration) bool {
	if duration <= 0 {
		return false
	}
	end := host.NewTimer(min(duration, maxListWait))
	defer end.Stop()
	select {
	case <-changed:
		return true
	case <-end.C:
	case <-ctx.Done():
	}
	return false
}

// listSince builds a response with the rows that changed after the version that the requester has,
// or with all rows if that version is too old.
func (n *Node) listSince(request *ListRequest) *ListResponse {
	now := n.now()
	list := n.currentList.Load()
	out := &ListResponse{
		Node:    n.self.Node,
		Version: list.version,
		Age:     int64(now.Since(list.requestedAt)),
		Latency: n.listLatency.Load(),
	}
	if list.version == request.Version {
		return out
	}
	changed, ok := list.changedSince(request.Version)
	out.Delta = ok && request.Deltas
	for _, w := range list.workers {
		if out.Delta && !changed[w.ID] {
			continue
		}
		delete(changed, w.ID)
		slowStart := max(0, w.SlowStart-now.Since(list.receivedAt))
		out.Rows = append(out.Rows, WorkerRow{
			w.ID, w.Service, w.Addr, w.Zone, w.Role, w.Concurrency, w.Leaving, int64(slowStart),
		})
	}
	if out.Delta {
		for id := range changed {
			out.Removed = append(out.Removed, id)
		}
	}
	return out
}

// prefillsWithout adds up the running prefills of all nodes but one. Without the totals of the list
// source (includeSource is false), the sum covers this node and its subtree.
func (n *Node) prefillsWithout(excluded ids.NodeID, includeSource bool) []PrefillLoad {
	now := n.now()
	indexes := map[ids.WorkerID]int{}
	var out []PrefillLoad
	add := func(rows []PrefillLoad) {
		for _, r := range rows {
			i, ok := indexes[r.ID]
			if !ok {
				i, indexes[r.ID] = len(out), len(out)
				out = append(out, PrefillLoad{ID: r.ID})
			}
			out[i].Tokens, out[i].Count = out[i].Tokens+r.Tokens, out[i].Count+r.Count
		}
	}
	if excluded != n.self.Node {
		add(n.localPrefills())
	}
	if includeSource {
		add(n.currentSourceTotals(now).prefills)
	}
	n.peerReports.Range(func(k, v any) bool {
		switch report := v.(peerReport); {
		case now.Past(report.receivedAt, 4*prefillLoadTTL):
			n.peerReports.Delete(k)
		case k.(ids.NodeID) != excluded && !now.Past(report.receivedAt, 2*prefillLoadTTL):
			add(report.prefills)
		}
		return true
	})
	return largestPrefills(out)
}

// largestPrefills keeps the maxPrefillLoads workers with the most prompt tokens to prefill. The
// others hardly affect the choice of a worker.
func largestPrefills(rows []PrefillLoad) []PrefillLoad {
	if len(rows) > maxPrefillLoads {
		slices.SortFunc(rows, func(a, b PrefillLoad) int { return b.Tokens - a.Tokens })
		rows = rows[:maxPrefillLoads]
	}
	return rows
}

// installList installs a list that this node fetched from the platform.
func (n *Node) installList(list []Worker, requestedAt, receivedAt ids.Tick) {
	n.installListVersion(list, 0, requestedAt, receivedAt)
}

// installListVersion installs a list. Version is the version that another node assigned to it, or 0
// if this node fetched the list itself. The state of workers that are no longer listed is deleted.
func (n *Node) installListVersion(list []Worker, version uint64, requestedAt, receivedAt ids.Tick) {
	previous := n.currentList.Load()
	next := previous.next(list, version, requestedAt, receivedAt)
	if next.seq != previous.seq {
		listed := make(map[ids.WorkerID]bool, len(list))
		for _, w := range list {
			listed[w.ID] = true
		}
		n.states.Range(func(k, _ any) bool {
			if !listed[k.(ids.WorkerID)] {
				n.states.Delete(k)
			}
			return true
		})
		n.loads.prune(listed)
	}
	n.currentList.Store(next)
	if next.version != previous.version {
		n.listChanged.notify()
	}
}
