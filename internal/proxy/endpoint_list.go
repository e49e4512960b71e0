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
	listTimeout     = 500 * time.Millisecond  // for the holder's answer
	listMaxAge      = 1500 * time.Millisecond // then what the holder has is not fresh
	prefillLoadTTL  = 500 * time.Millisecond  // how long another node's word of its readings counts
	maxListLatency  = 1500 * time.Millisecond // by which a slow platform may make a list older
	startRetry      = 50 * time.Millisecond   // until a holder is known
	maxListWait     = time.Second             // that an answer waits for a change
	maxPrefillLoads = 256                     // workers whose readings are told at once
)

// maintainEndpoints keeps the list fresh. While it cannot be had, the last one is kept.
func (n *Node) maintainEndpoints(ctx context.Context) {
	f := &listFollower{node: n, failed: map[ids.NodeID]ids.Tick{}}
	for ctx.Err() == nil {
		wait := n.options.ListInterval
		owner, _, ok := n.agent.KeyOwner(fleetstate.WorkerListKey)
		switch {
		case ok && owner.Node == n.self.Node:
			n.parentSums.Store(nil)
		case !ok && n.snapshot().Version == 0: // nothing can be served yet, and many nodes may start together
			host.Sleep(ctx, startRetry)
			continue
		default:
			sources := n.treeShape().sourcesOf(n.self, owner, n.agent.Members())
			if f.follow(ctx, &sources) || !f.mayAsk(ctx, &sources) {
				continue
			}
			wait = f.retryDelay(&sources)
		}
		n.askPlatform(ctx)
		n.waitAsOwner(ctx, wait*4/5+rand.N(wait*2/5))
	}
}

// askPlatform has the list from the platform itself.
func (n *Node) askPlatform(ctx context.Context) {
	asked := n.now()
	list, err := n.options.Backend.List(ctx)
	switch {
	case err == nil:
		n.listLatency.Store(int64(n.now().Since(asked)))
		n.installList(list, asked, n.now())
	case ctx.Err() == nil:
		n.options.Ring.Info().AnErr("cause", err).Msg("endpoint list not fetched")
	}
}

// listInterval is the time between two askings of a node, so that all together stay within
// two thirds of the rate though each asks by itself.
func listInterval(minimum time.Duration, rate, share float64) time.Duration {
	if rate <= 0 {
		return minimum
	}
	return max(minimum, time.Duration(1.5/share/rate*float64(time.Second)))
}

// waitAsOwner waits, and meanwhile keeps the sum of the readings fresh.
func (n *Node) waitAsOwner(ctx context.Context, wait time.Duration) {
	for end := n.now().Add(wait); n.now().Before(end) && host.Sleep(ctx, min(n.options.ShareInterval, wait)); {
		n.recordPeerPrefills(n.prefillsWithout(n.self.Node, true))
		n.recordPeerOutcomes(n.outcomesWithout(n.self.Node))
	}
}

// localPrefills lists the readings that this node has under way.
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

// recordPeerPrefills notes what the other nodes have under way, as far as the holder knows.
func (n *Node) recordPeerPrefills(rows []PrefillLoad) {
	now := n.now()
	for _, r := range rows {
		st := n.state(r.ID)
		st.mu.Lock()
		st.peerPrefills, st.peerPrefillsAt = r, now
		st.mu.Unlock()
	}
}

// peerReport is what a node said last of its readings, and of those below it.
type peerReport struct {
	at              ids.Tick
	prefills        []PrefillLoad
	outcomes        []Outcomes // its own
	subtreeOutcomes []Outcomes // weighed
}

// parentSums is what this node heard last, from whom it has the list, of all nodes that are not
// below itself.
type parentSums struct {
	at       ids.Tick
	prefills []PrefillLoad
	outcomes []Outcomes
}

// currentParentSums gives that while it counts.
func (n *Node) currentParentSums(now ids.Tick) *parentSums {
	if a := n.parentSums.Load(); a != nil && !now.Past(a.at, 2*prefillLoadTTL) {
		return a
	}
	return &parentSums{}
}

// serveList answers the other nodes with the list and with what all have under way. Where
// they have the list as it is, it waits for a change as long as they allow.
func (n *Node) serveList(ctx context.Context, request *ListRequest) (*ListResponse, error) {
	now := n.now()
	n.peerReports.Store(request.Node, peerReport{now, request.Prefills, request.Outcomes, request.SubtreeOutcomes})
	changed := n.listChanged.next()
	list := n.endpoints.Load()
	if list.version == request.Version {
		n.recordPeerLoads(request.Loads, list.workers)
		if now.Since(list.requestedAt) < listMaxAge && waitFor(ctx, changed, time.Duration(request.MaxWait)) {
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
	out.LoadSeq, out.Loads = n.loads.since(request.LoadSeq, n.endpoints.Load().workers, now, everyService)
	return out, nil
}

// waitFor waits for a span at most; true if what it waits for came.
func waitFor(ctx context.Context, changed <-chan struct{}, duration time.Duration) bool {
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

// listSince answers with what changed after the version that a node has, or with all.
func (n *Node) listSince(request *ListRequest) *ListResponse {
	now := n.now()
	list := n.endpoints.Load()
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
		cold := max(0, w.SlowStart-now.Since(list.receivedAt))
		out.Rows = append(out.Rows, WorkerRow{
			w.ID, w.Service, w.Addr, w.Zone, w.Role, w.Concurrency, w.Leaving, int64(cold),
		})
	}
	if out.Delta {
		for id := range changed {
			out.Removed = append(out.Removed, id)
		}
	}
	return out
}

// prefillsWithout adds up what all nodes but one have under way; without those above, it is what this
// node and those below it have.
func (n *Node) prefillsWithout(but ids.NodeID, withAbove bool) []PrefillLoad {
	now := n.now()
	at := map[ids.WorkerID]int{}
	var out []PrefillLoad
	add := func(rows []PrefillLoad) {
		for _, r := range rows {
			i, ok := at[r.ID]
			if !ok {
				i, at[r.ID] = len(out), len(out)
				out = append(out, PrefillLoad{ID: r.ID})
			}
			out[i].Tokens, out[i].Count = out[i].Tokens+r.Tokens, out[i].Count+r.Count
		}
	}
	if but != n.self.Node {
		add(n.localPrefills())
	}
	if withAbove {
		add(n.currentParentSums(now).prefills)
	}
	n.peerReports.Range(func(k, v any) bool {
		switch t := v.(peerReport); {
		case now.Past(t.at, 4*prefillLoadTTL):
			n.peerReports.Delete(k)
		case k.(ids.NodeID) != but && !now.Past(t.at, 2*prefillLoadTTL):
			add(t.prefills)
		}
		return true
	})
	return largestPrefills(out)
}

// largestPrefills keeps the workers that have the most to read, since the others hardly matter to who
// chooses one.
func largestPrefills(rows []PrefillLoad) []PrefillLoad {
	if len(rows) > maxPrefillLoads {
		slices.SortFunc(rows, func(a, b PrefillLoad) int { return b.Tokens - a.Tokens })
		rows = rows[:maxPrefillLoads]
	}
	return rows
}

// installList puts a list into force that the platform gave.
func (n *Node) installList(list []Worker, asked, got ids.Tick) { n.adopt(list, 0, asked, got) }

// adopt puts a list into force, of a version if another node gave it one.
func (n *Node) adopt(list []Worker, version uint64, asked, got ids.Tick) {
	previous := n.endpoints.Load()
	next := previous.next(list, version, asked, got)
	if next.seq != previous.seq {
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
		n.loads.prune(on)
	}
	n.endpoints.Store(next)
	if next.version != previous.version {
		n.listChanged.notify()
	}
}
