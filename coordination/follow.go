// How an agent follows the news and submits commands.

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

// follow asks the core, and while that is away, neighbours.
func (a *Agent) follow(ctx context.Context) {
	for ctx.Err() == nil {
		if a.wait(ctx) == nil {
			continue
		}
		if a.Fresh() > time.Second {
			if ms := a.Members(); len(ms) > 0 {
				m := ms[rand.N(len(ms))]
				if m.Node != a.opt.Me.Node {
					a.fetch(ctx, m.Addr, 0)
				}
			}
		}
		host.Sleep(ctx, 50*time.Millisecond+rand.N(100*time.Millisecond))
	}
}

// wait asks the primary for news, and leaves it when another one is heard of: a deposed
// one that is cut off from the others alone would keep it waiting.
func (a *Agent) wait(ctx context.Context) error {
	cx, stop := context.WithCancel(ctx)
	defer stop()
	grown := a.directory.Grown()
	go func() {
		select {
		case <-grown:
			stop()
		case <-cx.Done():
		}
	}()
	return a.fetch(cx, a.directory.Addr(a.directory.Record().Primary), 2*time.Second)
}

// Fetch takes the news that a neighbour has.
func (a *Agent) Fetch(ctx context.Context, addr string) error { return a.fetch(ctx, addr, 0) }

func (a *Agent) fetch(ctx context.Context, addr string, wait time.Duration) error {
	ctx, stop := context.WithTimeout(ctx, wait+700*time.Millisecond)
	defer stop()
	q := &NewsAsk{From: a.Seq(), Wait: int64(wait)}
	r, err := rpc.Call[NewsAsk, NewsReply](ctx, a.call, addr, "crux/news", q)
	if err != nil {
		return err
	}
	return a.take(q, r)
}

// take folds news into the view: entries that follow on, or a snapshot that is ahead of it.
func (a *Agent) take(q *NewsAsk, r *NewsReply) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.Epoch < a.newsEpoch {
		return failure.New(failure.Stale, "take news", "", "it is of epoch %d, epoch %d was heard", r.Epoch, a.newsEpoch)
	}
	old := a.sight.Load()
	var next *replicatedState
	var loud bool
	var err error
	switch {
	case r.Snapshot != nil:
		next, err = a.takeSnapshot(old, r.Snapshot)
		loud = true
	case len(r.Entries) > 0 && old.seq == q.From:
		next, loud, err = a.takeEntries(old, r.Entries)
	}
	if err != nil || next == nil {
		return err
	}
	a.newsEpoch = r.Epoch
	a.show(next)
	if loud {
		a.Poke()
	}
	return nil
}

// takePicture restores the view, unless it is as far already.
func (a *Agent) takeSnapshot(old *sight, snapshot []byte) (*replicatedState, error) {
	var img Image
	if _, err := img.UnmarshalMsg(snapshot); err != nil {
		return nil, failure.As(err, failure.Bad, "read picture", "news")
	}
	if img.Seq <= old.seq {
		return nil, nil
	}
	if err := a.opt.View.Restore(img.App); err != nil {
		return nil, failure.Wrap(err, "restore view", "news")
	}
	next := newReplicatedState(nil)
	next.seq, next.fence = img.Seq, img.Fence
	for _, m := range img.Members {
		next.members[m.Node] = m
	}
	for _, g := range img.Grants {
		next.grants[g.Key] = g
	}
	a.feed.start(img.Seq)
	return next, nil
}

// takeEntries folds entries one by one; loud tells that the core should hear of one at once.
func (a *Agent) takeEntries(old *sight, entries []Entry) (next *replicatedState, loud bool, err error) {
	next = newReplicatedState(nil)
	next.seq, next.fence = old.seq, old.fence
	for _, m := range old.members {
		next.members[m.Node] = m
	}
	maps.Copy(next.grants, old.grants)
	for _, e := range entries {
		if e.Seq != next.seq+1 {
			return nil, false, failure.New(failure.Bad, "fold news", "news", "entry %d follows %d", e.Seq, next.seq)
		}
		next.seq = e.Seq
		c, err := parse(e.Kind, e.Body)
		if err != nil {
			return nil, false, err
		}
		if c != nil {
			c.apply(next)
		} else if e.Open && a.opt.View.Fold(e.Seq, e.Kind, e.Body) {
			loud = true
		}
	}
	a.feed.push(entries)
	return next, loud, nil
}

// show puts a state in place of the one before, and forgets given back keys that passed on.
func (a *Agent) show(next *replicatedState) {
	s := &sight{seq: next.seq, fence: next.fence, grants: next.grants, members: next.list()}
	a.sight.Store(s)
	a.directory.SetMembers(s.seq, s.members)
	a.given.Range(func(k, g any) bool {
		if s.grants[k.(ids.Key)] != g.(Grant) {
			a.given.Delete(k)
		}
		return true
	})
}

// Submit asks the core for a command until the context ends. The same op is
// asked with throughout, so whichever asking is taken, the outcome is one. An
// error of kind Unknown means that it may have been done.
func (a *Agent) Submit(ctx context.Context, op ids.OpID, kind string, body []byte) (*SubmitReply, error) {
	return SubmitWithin(ctx, a.call, a.directory, submitAttempt, &SubmitAsk{Op: op, Kind: kind, Body: body})
}
