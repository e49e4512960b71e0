// Hedged prefills: what a reading worker has under way is known late and in part, so a short
// prompt may wait behind a long one though all is well. One that takes far longer than such
// prompts do is read at a second worker besides, where it can still be in time there; the first
// handle to come is used, and the other read is called off. Each hedge counts as an attempt of its
// route and is taken from the retry budget, of which a part stays for retries proper.

package proxy

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"keelstair.example/failure"
	"keelstair.example/host"
)

const (
	hedgeDelayFactor   = 1.2 // times what such a prompt usually takes, before it is hedged
	hedgeWorkFactor    = 1.5 // times what the first worker has to read, at most at the second, unless that is short
	hedgeBudgetShare   = 0.8 // of the retry budget may be used by hedges
	overheadSamples    = 33  // reads of which the median overhead is taken
	minOverheadSamples = 8   // with fewer nothing is hedged
)

var errHedgeLost = errors.New("another worker has read the prompt first")

// prefillOverhead is how much longer reads of a service take than their tokens, of late.
type prefillOverhead struct {
	mu      sync.Mutex
	samples [overheadSamples]time.Duration
	count   int
}

func (o *prefillOverhead) observe(overhead time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.samples[o.count%overheadSamples] = max(0, overhead)
	o.count++
}

// median gives the usual overhead; false while too few reads were seen.
func (o *prefillOverhead) median() (time.Duration, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.count < minOverheadSamples {
		return 0, false
	}
	seen := slices.Clone(o.samples[:min(o.count, overheadSamples)])
	slices.Sort(seen)
	return seen[len(seen)/2], true
}

// hedgeDelay gives how long a read may take before it is hedged; false if it is not to be.
func (t *exchange) hedgeDelay(first *pick) (time.Duration, bool) {
	usual, ok := t.node.serviceTimesFor(t.service.Name).overhead.median()
	if !ok || t.node.options.HedgeFactor < 0 || t.route.MaxAttempts < 2 || t.attemptsMade > 0 {
		return 0, false
	}
	return time.Duration(t.node.options.HedgeFactor * float64(usual+first.prefillTime)), true
}

// hedgeCandidate books and pays a second worker, if one can be in time.
func (t *exchange) hedgeCandidate(first *pick) *pick {
	if t.authenticate(t.node.snapshot()) != nil {
		return nil
	}
	usual, _ := t.node.serviceTimesFor(t.service.Name).overhead.median()
	left := t.route.LatencyTarget() - t.node.now().Since(t.request.At)
	tried := maps.Clone(t.tried)
	tried[first.worker.ID] = true
	for _, c := range t.node.prefillCandidates(t.programs, t.node.snapshot(), t.service, t.request, tried) {
		limit := max(shortPrompt, hedgeWorkFactor*float64(first.uncachedTokens))
		if usual+c.expectedLatency > left || float64(c.uncachedTokens) > limit {
			continue
		}
		if !t.reserveWorker(&c, max(1, c.uncachedTokens)) {
			continue
		}
		if t.node.spendHedge() {
			return &c
		}
		c.state.endRequest(max(1, c.uncachedTokens))
		c.release(false, t.node.now())
		return nil
	}
	return nil
}

// prefillHedged has a prompt read by one worker, and by a second one if the first takes long; false
// if no connection to the first came up.
func (t *exchange) prefillHedged(ctx context.Context, first *pick) (*Source, bool, error) {
	delay, ok := t.hedgeDelay(first)
	if !ok {
		return t.settlePrefill(ctx, t.prefillOn(ctx, first))
	}
	reads := make(chan prefillOutcome, 2)
	begin := func(c *pick) context.CancelCauseFunc {
		readContext, cancel := context.WithCancelCause(ctx)
		go func() { reads <- t.prefillOn(readContext, c) }()
		return cancel
	}
	cancelFirst := begin(first)
	defer cancelFirst(nil)
	timer := host.NewTimer(delay)
	defer timer.Stop()
	select {
	case read := <-reads:
		return t.settlePrefill(ctx, read)
	case <-timer.C:
	}
	second := t.hedgeCandidate(first)
	if second == nil {
		return t.settlePrefill(ctx, <-reads)
	}
	t.node.counts.Hedges.Add(1)
	t.attemptsMade++
	t.retryPaid = true
	cancelSecond := begin(second)
	defer cancelSecond(nil)
	read := <-reads
	if read.err != nil {
		t.recordFailedPrefill(ctx, read)
		return t.settlePrefill(ctx, <-reads)
	}
	if read.pick == second {
		// The first read is called off before its own silence raises an alarm.
		t.node.suspect(*first.worker)
	}
	cancelFirst(errHedgeLost)
	cancelSecond(errHedgeLost)
	go func() { t.discardPrefill(<-reads) }()
	return t.settlePrefill(ctx, read)
}

// discardPrefill gives back what a read that is not needed any more had booked, and its memory.
func (t *exchange) discardPrefill(read prefillOutcome) {
	now := t.node.now()
	if read.err == nil {
		read.pick.state.recordSuccess(read.memory.Load, now)
		t.freeSource(&Source{Worker: *read.pick.worker, Handle: read.memory.Handle})
	}
	read.pick.release(read.err == nil || failure.Is(read.err, failure.OutcomeUnknown), now)
}
