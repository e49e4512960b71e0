// Hedged prefills: a prefill worker's queue is known late and incompletely, so a short prompt may wait
// behind a long one although no worker has failed. A prefill that takes far longer than usual for its
// tokens is also sent to a second worker, if it can still meet the latency target there. The first
// handle to arrive is used, and the other prefill is canceled. Each hedge counts as an attempt of its
// route and is charged to the retry budget, of which a share is kept for ordinary retries.

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
	hedgeDelayFactor   = 1.2 // multiple of the usual prefill time after which a prefill is hedged
	hedgeWorkFactor    = 1.5 // maximum uncached tokens at the second worker relative to the first, above shortPrompt
	hedgeBudgetShare   = 0.8 // share of the retry budget that hedges may use
	overheadSamples    = 33  // prefills over which the median overhead is taken
	minOverheadSamples = 8   // with fewer samples nothing is hedged
)

var errHedgeLost = errors.New("another worker finished the prefill first")

// prefillOverhead holds by how much recent prefills of a service exceeded the estimate for their
// tokens.
type prefillOverhead struct {
	mu      sync.Mutex
	samples [overheadSamples]time.Duration
	count   int
}

// observe records the overhead of one prefill.
func (o *prefillOverhead) observe(overhead time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.samples[o.count%overheadSamples] = max(0, overhead)
	o.count++
}

// median returns the median overhead; false while there are too few samples.
func (o *prefillOverhead) median() (time.Duration, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.count < minOverheadSamples {
		return 0, false
	}
	sorted := slices.Clone(o.samples[:min(o.count, overheadSamples)])
	slices.Sort(sorted)
	return sorted[len(sorted)/2], true
}

// hedgeDelay returns how long a prefill may take before it is hedged; false if it must not be hedged.
func (t *exchange) hedgeDelay(first *candidate) (time.Duration, bool) {
	usualOverhead, ok := t.node.serviceTimesFor(t.service.Name).overhead.median()
	if !ok || t.node.options.HedgeFactor < 0 || t.route.MaxAttempts < 2 || t.attemptsMade > 0 {
		return 0, false
	}
	return time.Duration(t.node.options.HedgeFactor * float64(usualOverhead+first.prefillTime)), true
}

// hedgeCandidate reserves a second worker that can meet the latency target and charges the hedge; nil if
// there is none.
func (t *exchange) hedgeCandidate(first *candidate) *candidate {
	if t.authenticate(t.node.snapshot()) != nil {
		return nil
	}
	usualOverhead, _ := t.node.serviceTimesFor(t.service.Name).overhead.median()
	timeLeft := t.route.LatencyTarget() - t.node.now().Since(t.request.At)
	tried := maps.Clone(t.tried)
	tried[first.worker.ID] = true
	for _, c := range t.node.prefillCandidates(t.programs, t.node.snapshot(), t.service, t.request, tried) {
		limit := max(shortPrompt, hedgeWorkFactor*float64(first.uncachedTokens))
		if usualOverhead+c.expectedLatency > timeLeft || float64(c.uncachedTokens) > limit {
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

// prefillHedged prefills the prompt on one worker, and on a second one too if the first is slow. It
// returns false if no connection to the first was established.
func (t *exchange) prefillHedged(ctx context.Context, first *candidate) (*Source, bool, error) {
	delay, ok := t.hedgeDelay(first)
	if !ok {
		return t.settlePrefill(ctx, t.prefillOn(ctx, first))
	}
	outcomes := make(chan prefillOutcome, 2)
	begin := func(c *candidate) context.CancelCauseFunc {
		prefillContext, cancel := context.WithCancelCause(ctx)
		go func() { outcomes <- t.prefillOn(prefillContext, c) }()
		return cancel
	}
	cancelFirst := begin(first)
	defer cancelFirst(nil)
	timer := host.NewTimer(delay)
	defer timer.Stop()
	select {
	case outcome := <-outcomes:
		return t.settlePrefill(ctx, outcome)
	case <-timer.C:
	}
	second := t.hedgeCandidate(first)
	if second == nil {
		return t.settlePrefill(ctx, <-outcomes)
	}
	t.node.counts.Hedges.Add(1)
	t.attemptsMade++
	t.retryPaid = true
	cancelSecond := begin(second)
	defer cancelSecond(nil)
	outcome := <-outcomes
	if outcome.err != nil {
		t.recordFailedPrefill(ctx, outcome)
		return t.settlePrefill(ctx, <-outcomes)
	}
	if outcome.candidate == second {
		// The first prefill is canceled before its own silence timer would report the worker.
		t.node.suspect(*first.worker)
	}
	cancelFirst(errHedgeLost)
	cancelSecond(errHedgeLost)
	go func() { t.discardPrefill(<-outcomes) }()
	return t.settlePrefill(ctx, outcome)
}

// discardPrefill releases the reservation of a prefill that is not needed any more, and its memory.
func (t *exchange) discardPrefill(outcome prefillOutcome) {
	now := t.node.now()
	if outcome.err == nil {
		outcome.candidate.state.recordAnswer(outcome.memory.Load, now)
		t.freeSource(&Source{Worker: *outcome.candidate.worker, Handle: outcome.memory.Handle})
	}
	outcome.candidate.release(outcome.err == nil || failure.Is(outcome.err, failure.OutcomeUnknown), now)
}
