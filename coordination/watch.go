// How an agent follows the change feed and submits commands.

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
	fetchSilence = 700 * time.Millisecond // without a byte of the change feed: its sender is left
	maxFetch     = 30 * time.Second
)

// follow asks the core, and while that is away, peers.
func (a *Agent) follow(ctx context.Context) {
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

// watchPrimary asks the primary for the change feed, and leaves it when another one is heard of: a deposed
// one that is cut off from the others alone would keep it waiting.
func (a *Agent) watchPrimary(ctx context.Context) error {
	callContext, stop := context.WithCancel(ctx)
	defer stop()
	grown := a.directory.RecordChanged()
	go func() {
		select {
		case <-grown:
			stop()
		case <-callContext.Done():
		}
	}()
	return a.fetch(callContext, a.directory.Addr(a.directory.Record().Primary), 2*time.Second)
}

// Fetch takes the change feed that a peer has.
func (a *Agent) Fetch(ctx context.Context, addr string) error { return a.fetch(ctx, addr, 0) }

func (a *Agent) fetch(ctx context.Context, addr string, wait time.Duration) error {
	ctx, stop := context.WithTimeout(ctx, maxFetch)
	defer stop()
	request := &WatchRequest{From: a.Seq(), Wait: int64(wait)}
	r, err := rpc.CallUntilSilent[WatchRequest, WatchResponse](
		ctx, a.caller, addr, WatchMethod, request, wait+fetchSilence, fetchSilence,
	)
	if err != nil {
		return err
	}
	return a.accept(request, r)
}

// accept folds the change feed into the view: entries that follow on, or a snapshot that is ahead of it.
func (a *Agent) accept(request *WatchRequest, r *WatchResponse) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.Epoch < a.feedEpoch {
		return failure.New(
			failure.Stale, "take news", "", "it is of epoch %d, epoch %d was heard", r.Epoch, a.feedEpoch,
		)
	}
	previous := a.view.Load()
	var next *replicatedState
	var loud bool
	var err error
	switch {
	case r.Snapshot != nil:
		next, err = a.acceptSnapshot(previous, r.Snapshot)
		loud = true
	case len(r.Entries) > 0 && previous.seq == request.From:
		next, loud, err = a.acceptEntries(previous, r.Entries)
	}
	if err != nil || next == nil {
		return err
	}
	a.feedEpoch = r.Epoch
	a.publish(next)
	if loud {
		a.RenewNow()
	}
	return nil
}

// acceptSnapshot restores the view, unless it is as far already.
func (a *Agent) acceptSnapshot(previous *clusterView, encoded []byte) (*replicatedState, error) {
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

// acceptEntries folds entries one by one; loud tells that the core should hear of one at once.
func (a *Agent) acceptEntries(previous *clusterView, entries []Entry) (next *replicatedState, loud bool, err error) {
	next = newReplicatedState(nil)
	next.seq, next.fence = previous.seq, previous.fence
	for _, m := range previous.members {
		next.members[m.Node] = m
	}
	maps.Copy(next.grants, previous.grants)
	observe := func() { loud, err = a.observe(next, entries) }
	if batcher, ok := a.options.Watcher.(Batcher); ok {
		batcher.Batch(observe)
	} else {
		observe()
	}
	if err != nil {
		return nil, false, err
	}
	a.feed.push(entries)
	return next, loud, nil
}

// observe applies the core's own entries to next and shows the watcher the others.
func (a *Agent) observe(next *replicatedState, entries []Entry) (loud bool, err error) {
	for _, e := range entries {
		if e.Seq != next.seq+1 {
			return false, failure.New(
				failure.InvalidArgument, "fold news", "news", "entry %d follows %d", e.Seq, next.seq,
			)
		}
		next.seq = e.Seq
		c, err := parse(e.Kind, e.Body)
		if err != nil {
			return false, err
		}
		if c != nil {
			c.apply(next)
		} else if e.Published && a.options.Watcher.Observe(e.Seq, e.Kind, e.Body) {
			loud = true
		}
	}
	return loud, nil
}

// publish puts a state in place of the one before, and forgets given back keys that passed on.
func (a *Agent) publish(next *replicatedState) {
	s := &clusterView{seq: next.seq, fence: next.fence, grants: next.grants, members: next.memberList()}
	a.view.Store(s)
	a.directory.SetMembers(s.seq, s.members)
	a.revoked.Range(func(k, g any) bool {
		if s.grants[k.(ids.Key)] != g.(Grant) {
			a.revoked.Delete(k)
		}
		return true
	})
}

// Submit asks the core for a command until the context ends. The same op is
// asked with throughout, so whichever asking is taken, the outcome is one. An
// error of kind Unknown means that it may have been done.
func (a *Agent) Submit(ctx context.Context, op ids.OpID, kind string, body []byte) (*SubmitResponse, error) {
	return SubmitWithin(ctx, a.caller, a.directory, submitAttempt, &SubmitRequest{Op: op, Kind: kind, Body: body})
}
