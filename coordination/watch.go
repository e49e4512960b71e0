// The part of an agent that follows the change feed and submits commands.

package coordination

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"keelstair.example/failure"
	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/rpc"
)

const (
	fetchIdleTimeout = 700 * time.Millisecond // a fetch that receives no byte for this long is abandoned
	fetchTimeout     = 30 * time.Second       // for a whole fetch
)

// followFeed watches the primary, and polls random members while the core does not confirm this node.
func (a *Agent) followFeed(ctx context.Context) {
	for ctx.Err() == nil {
		if a.watchPrimary(ctx) == nil {
			continue
		}
		if a.SinceConfirmed() > time.Second {
			if ms := a.Members(); len(ms) > 0 {
				m := ms[rand.N(len(ms))]
				if m.Node != a.options.Self.Node {
					a.fetch(ctx, m.Addr, 0)
				}
			}
		}
		host.Sleep(ctx, 50*time.Millisecond+rand.N(100*time.Millisecond))
	}
}

// watchPrimary fetches the change feed from the primary and stops when a newer record arrives: a deposed
// primary that is partitioned only from the other cores would otherwise keep this node waiting.
func (a *Agent) watchPrimary(ctx context.Context) error {
	callContext, stop := context.WithCancel(ctx)
	defer stop()
	newer := a.directory.RecordChanged()
	go func() {
		select {
		case <-newer:
			stop()
		case <-callContext.Done():
		}
	}()
	return a.fetch(callContext, a.directory.Addr(a.directory.Record().Primary), 2*time.Second)
}

// Fetch fetches the change feed from a peer without waiting for new entries.
func (a *Agent) Fetch(ctx context.Context, addr string) error { return a.fetch(ctx, addr, 0) }

// fetch sends one watch request and applies the response.
func (a *Agent) fetch(ctx context.Context, addr string, wait time.Duration) error {
	ctx, stop := context.WithTimeout(ctx, fetchTimeout)
	defer stop()
	request := &WatchRequest{From: a.Seq(), Wait: int64(wait)}
	r, err := rpc.CallUntilSilent[WatchRequest, WatchResponse](
		ctx, a.caller, addr, WatchMethod, request, wait+fetchIdleTimeout, fetchIdleTimeout,
	)
	if err != nil {
		return err
	}
	return a.applyResponse(request, r)
}

// applyResponse applies a watch response to the view: entries that follow the view, or a snapshot that is
// ahead of it. A response of an older epoch than the last one is rejected.
func (a *Agent) applyResponse(request *WatchRequest, r *WatchResponse) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.Epoch < a.feedEpoch {
		return failure.New(
			failure.Stale,
			"take news",
			"",
			"the response is of epoch %d, but one of epoch %d was received",
			r.Epoch,
			a.feedEpoch,
		)
	}
	previous := a.view.Load()
	var next *replicatedState
	var urgent bool
	var err error
	switch {
	case r.Snapshot != nil:
		next, err = a.applySnapshot(previous, r.Snapshot)
		urgent = true
	case len(r.Entries) > 0 && previous.seq == request.From:
		next, urgent, err = a.applyEntries(previous, r.Entries)
	}
	if err != nil || next == nil {
		return err
	}
	a.feedEpoch = r.Epoch
	a.publish(next)
	if urgent {
		a.RenewNow()
	}
	return nil
}

// applySnapshot replaces the view by a snapshot. It returns nil if the snapshot is not ahead of the view.
func (a *Agent) applySnapshot(previous *clusterView, encoded []byte) (*replicatedState, error) {
	var snapshot Snapshot
	if _, err := snapshot.UnmarshalMsg(encoded); err != nil {
		return nil, failure.As(err, failure.InvalidArgument, "read snapshot", "news")
	}
	if snapshot.Seq <= previous.seq {
		return nil, nil
	}
	if err := a.options.Watcher.Restore(snapshot.State); err != nil {
		return nil, failure.Wrap(err, "restore view", "news")
	}
	next := newReplicatedState(nil)
	next.seq, next.fence = snapshot.Seq, snapshot.Fence
	for _, m := range snapshot.Members {
		next.members[m.Node] = m
	}
	for _, g := range snapshot.Grants {
		next.grants[g.Key] = g
	}
	a.feed.reset(snapshot.Seq)
	return next, nil
}

// applyEntries applies entries to a copy of the view. It reports urgent if the core should learn at once that
// this node has seen one of them.
func (a *Agent) applyEntries(previous *clusterView, entries []Entry) (next *replicatedState, urgent bool, err error) {
	next = newReplicatedState(nil)
	next.seq, next.fence = previous.seq, previous.fence
	for _, m := range previous.members {
		next.members[m.Node] = m
	}
	maps.Copy(next.grants, previous.grants)
	observe := func() { urgent, err = a.observeEntries(next, entries) }
	if batcher, ok := a.options.Watcher.(Batcher); ok {
		batcher.Batch(observe)
	} else {
		observe()
	}
	if err != nil {
		return nil, false, err
	}
	a.feed.push(entries)
	return next, urgent, nil
}

// observeEntries applies the core's own commands to next and passes published entries to the watcher.
func (a *Agent) observeEntries(next *replicatedState, entries []Entry) (urgent bool, err error) {
	for _, e := range entries {
		if e.Seq != next.seq+1 {
			return false, failure.New(
				failure.InvalidArgument, "fold news", "news", "entry %d follows %d", e.Seq, next.seq,
			)
		}
		next.seq = e.Seq
		c, err := parseCommand(e.Kind, e.Body)
		if err != nil {
			return false, err
		}
		if c != nil {
			c.apply(next)
		} else if e.Published && a.options.Watcher.Observe(e.Seq, e.Kind, e.Body) {
			urgent = true
		}
	}
	return urgent, nil
}

// publish makes a state the current view and forgets revoked grants that it no longer contains.
func (a *Agent) publish(next *replicatedState) {
	s := &clusterView{seq: next.seq, fence: next.fence, grants: next.grants, members: next.memberList()}
	a.view.Store(s)
	a.directory.SetMembers(s.seq, s.members)
	a.revokedGrants.Range(func(k, g any) bool {
		if s.grants[k.(ids.Key)] != g.(Grant) {
			a.revokedGrants.Delete(k)
		}
		return true
	})
}

// Submit submits a command to the core and retries until the context ends. All attempts carry the same
// operation id, so the command is applied at most once. An error of kind Unknown means that it may have
// been applied.
func (a *Agent) Submit(ctx context.Context, op ids.OpID, kind string, body []byte) (*SubmitResponse, error) {
	return SubmitWithin(ctx, a.caller, a.directory, submitAttemptTimeout, &SubmitRequest{Op: op, Kind: kind, Body: body})
}
