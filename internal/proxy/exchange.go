// The way of one request: read at one worker, moved, emitted at another, passed on. The
// node that took a try keeps its promise alone, since every try has an id of its own:
// what was offered and not turned away may have run, and never ends in a refusal.

package proxy

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"keelstair.example/failure"
	"keelstair.example/ids"
	"keelstair.example/internal/exchangemetrics"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/handoff"
	"keelstair.example/internal/routing"
)

// Event is one step of one request.
type Event struct {
	Request string
	Step    handoff.Step
	Worker  ids.WorkerID
	At      ids.Tick
	Reason  string
}

type exchange struct {
	node     *Node
	request  *Request
	route    *fleetstate.Route
	service  *fleetstate.Service
	programs *routing.ProgramSet // it keeps to the one it began with
	sink     Sink
	tenant   *fleetstate.Tenant   // whose key it bears; nil without one
	keys     *fleetstate.KeyIndex // by which the tenant was found
	outgoing *Request             // as workers get it
	deadline ids.Tick
	prefixes []uint64
	tried    map[ids.WorkerID]bool

	prefilledAt   *pick  // the worker whose memory of the prompt is yet to be fetched
	unpaidPrefill bool   // a prefill that failed is yet to be counted
	prepaid       bool   // the next sending is paid for, by a hedge
	attemptsMade  int    // counted: decodes, and prefills rejected or repeated
	mayHaveRun    bool   // it may have run
	memoryGone    bool   // a worker has turned it away, since it could not fetch its memory
	headSent      bool   // the caller has the head of an answer
	begunCounted  bool   // it is counted as begun
	lastEventID   string // id of the last event that the caller has
	timing        exchangeTiming
}

func (t *exchange) trace(stage handoff.Step, w ids.WorkerID, reason string) {
	if t.node.options.Trace != nil {
		t.node.options.Trace(Event{t.request.ID, stage, w, t.node.now(), reason})
	}
}

func (t *exchange) remaining() time.Duration { return t.deadline.Since(t.node.now()) }

// Serve brings a request to its end. A nil error means that the sink has the whole
// answer; a *RejectedError, that it was not run; an *AbortedError, that it may have been.
func (n *Node) Serve(ctx context.Context, r *Request, sink Sink) error {
	n.counts.Requests.Add(1)
	n.inflight.Add(1)
	defer n.inflight.Add(-1)
	behind := n.behind()
	s := n.snapshot()
	switch {
	case s.Version == 0:
		return n.reject(http.StatusServiceUnavailable, time.Second, "no configuration is in force")
	case behind:
		n.counts.RejectedStale.Add(1)
		return n.reject(http.StatusServiceUnavailable, staleRetryAfter, "the configuration may be out of date")
	}
	route := s.Table.Find(r.Host, r.Path)
	if route == nil {
		return n.rejectUnknown("no route")
	}
	service, ok := s.Configuration.Services[route.SelectService(r.ID)]
	if !ok {
		return n.rejectUnknown("no service")
	}
	wait := route.Deadline()
	if r.Timeout > 0 {
		wait = min(wait, r.Timeout)
	}
	t := &exchange{
		node:        n,
		request:     r,
		route:       route,
		service:     &service,
		programs:    n.deal(s).Set,
		sink:        sink,
		deadline:    r.At.Add(wait),
		tried:       map[ids.WorkerID]bool{},
		lastEventID: r.LastEventID,
	}
	err := t.serve(ctx, s, wait)
	t.count(err)
	return err
}

// serve has the request authenticated and admitted, and runs it.
func (t *exchange) serve(ctx context.Context, s *fleetstate.Snapshot, wait time.Duration) error {
	if err := t.authenticate(s); err != nil {
		t.node.counts.Unauthenticated.Add(1)
		return err
	}
	t.prefixes, _ = prefixHashes(t.request)
	t.node.budget.CountRequest(t.node.now())
	if err := t.admit(s); err != nil {
		return err
	}
	callContext, stop := context.WithTimeout(ctx, wait)
	defer stop()
	return t.run(callContext)
}

const (
	// currentSpan is how lately the core must have confirmed this node, with the change feed up to
	// that confirmation applied, for its word that something does not exist to be final. It is
	// shorter than the least bound by which a version must be in force (2 s).
	currentSpan = 1500 * time.Millisecond
	// staleRetryAfter is when a caller is to ask again a node that may be behind.
	staleRetryAfter = 500 * time.Millisecond
)

// rejectUnknown ends a request for what the version in force here does not have. A node that
// may be behind cannot tell whether a newer version has it: it says when to come back.
func (n *Node) rejectUnknown(reason string) error {
	n.counts.Rejected.Add(1)
	return n.unknown(http.StatusNotFound, reason)
}

// unknown is how a request ends that the version in force here does not allow.
func (n *Node) unknown(code int, reason string) *RejectedError {
	if !n.agent.CaughtUp(currentSpan) {
		return &RejectedError{
			Code:       http.StatusServiceUnavailable,
			RetryAfter: staleRetryAfter,
			Reason:     reason + ", and this node may be behind",
		}
	}
	return &RejectedError{Code: code, Reason: reason}
}

// count counts an exchange by how it ended.
func (t *exchange) count(err error) {
	n := t.node
	switch err.(type) {
	case nil:
		n.counts.Completed.Add(1)
		t.trace(handoff.Ended, "", "")
		n.metrics.Observe(t.service.Name, t.request.Prompt, t.timing.times(t.request.At, n.now()), t.targets())
	case *RejectedError:
		n.counts.Rejected.Add(1)
		t.trace(handoff.Dropped, "", err.Error())
		n.metrics.End(t.service.Name, t.request.Prompt, exchangemetrics.Rejected)
	default:
		n.counts.Aborted.Add(1)
		t.trace(handoff.Dropped, "", err.Error())
		n.metrics.End(t.service.Name, t.request.Prompt, exchangemetrics.Aborted)
	}
}

func (n *Node) reject(code int, after time.Duration, reason string) error {
	n.counts.Rejected.Add(1)
	return &RejectedError{Code: code, RetryAfter: after, Reason: reason}
}

// run tries until the answer is whole, the tries are used up or the time is over.
func (t *exchange) run(ctx context.Context) error {
	var source *Source
	var reason error
	if t.route.Disaggregated && t.lastEventID == "" {
		source, reason = t.prefill(ctx)
	}
	for {
		if ctx.Err() != nil || t.mayHaveRun && !t.route.MayRetry() {
			t.releaseSource(source)
			return t.giveUp(reason, http.StatusGatewayTimeout)
		}
		w, reply, err := t.decode(ctx, source)
		answered := err == nil
		if answered {
			source = nil
			t.fetched()
			if err = t.relay(ctx, w, reply); err == nil {
				return nil
			}
		}
		if rejected, ok := err.(*RejectedError); ok {
			t.releaseSource(source)
			return t.endRejected(rejected)
		}
		reason = err
		switch failure.KindOf(err) {
		case failure.OutcomeUnknown:
			t.mayHaveRun = true
			if !t.route.MayRetry() || t.headSent && !t.route.Resumable || errors.Is(err, errCallerGone) {
				t.releaseSource(source)
				return t.giveUp(err, http.StatusBadGateway)
			}
			// A worker that never answered has perhaps not fetched the memory, so the next one is
			// offered it too: reading the prompt by itself, it would hold up all that it decodes.
			if source != nil && t.node.isDown(source.Worker.ID) {
				t.releaseSource(source)
				source = nil
			}
		case failure.DataLost:
			source = nil
			t.memoryGone = true
			t.fetched()
		case failure.Unavailable:
			t.releaseSource(source)
			return t.giveUp(err, http.StatusGatewayTimeout)
		}
		t.node.counts.Retries.Add(1)
	}
}

func (t *exchange) releaseSource(source *Source) {
	if source != nil {
		t.free(source)
		t.fetched()
	}
}

// fetched notes that a reading worker keeps nothing for this try any more.
func (t *exchange) fetched() {
	if t.prefilledAt != nil {
		t.prefilledAt.release(true, t.node.now())
		t.prefilledAt = nil
	}
}

// free gives memory back that nobody will fetch.
func (t *exchange) free(source *Source) {
	go func() {
		callContext, stop := context.WithTimeout(context.Background(), time.Second)
		defer stop()
		t.node.options.Backend.Free(callContext, source.Worker, source.Handle)
	}()
}

// giveUp answers at once: a refusal with when to come back where nothing ran.
func (t *exchange) giveUp(err error, code int) error {
	reason := "given up"
	if err != nil {
		reason = err.Error()
	}
	if t.mayHaveRun || t.headSent {
		return &AbortedError{Code: code, HeadSent: t.headSent, Reason: reason}
	}
	return &RejectedError{Code: http.StatusServiceUnavailable, RetryAfter: t.after(), Reason: reason}
}

func (t *exchange) after() time.Duration {
	return min(max(150*time.Millisecond, t.route.LatencyTarget()/4), max(50*time.Millisecond, t.remaining()/4))
}

// payRetry counts one more sending, and takes it from the shared budget unless it is the first.
func (t *exchange) payRetry() bool {
	if t.attemptsMade >= t.maxAttempts() ||
		!t.prepaid && (t.attemptsMade > 0 || t.unpaidPrefill) && !t.node.spendRetry() {
		return false
	}
	t.unpaidPrefill, t.prepaid = false, false
	t.attemptsMade++
	return true
}

// maxAttempts is how many times this request may be sent. One that was turned away because its memory
// could not be fetched has run nowhere, so a worker may be sent it once more.
func (t *exchange) maxAttempts() int {
	limit := max(1, t.route.MaxAttempts)
	if t.memoryGone {
		limit++
	}
	return limit
}

// Parts of the retry budget that this node uses: what crosses on the way, and nodes that are not
// known, leave a margin.
const (
	retryRatioShare     = 0.9
	retryAllowanceShare = 0.8
)

func (n *Node) spendRetry() bool { return n.spendOfBudget(1) }

// spendHedge takes one repeat while no more than a part of the budget is used.
func (n *Node) spendHedge() bool { return n.spendOfBudget(hedgeBudgetShare) }

func (n *Node) spendOfBudget(part float64) bool {
	ratio := part * retryRatioShare * n.options.RetryRatio
	allowance := part * retryAllowanceShare * float64(n.options.RetryAllowance) * n.share()
	if n.uncounted() {
		allowance = 0
	}
	return n.budget.Spend(n.now(), ratio, allowance)
}

// send books a worker for one sending; false if it may get nothing new by now, or is cold
// and was sent enough.
func (t *exchange) send(c *pick, reads int) bool {
	gap, ok := t.node.slowStartDelay(c.worker.ID, t.service)
	if !ok || gap > 0 && !t.node.slowStart.reserve(c.worker.ID, gap, t.node.now()) {
		return false
	}
	var ms []uint64
	if reads > 0 {
		ms = t.prefixes
	}
	c.state.begin(reads, ms, t.node.now())
	c.ended = new(atomic.Bool)
	c.request, c.urgency = t.outgoing, t.urgency()
	more := t.request.MaxTokens
	if reads > 0 {
		more = 0
	}
	c.reserve(t.request, more, t.node.now())
	return true
}

// dialStep names the step of breakdowns where no connection came up.
const dialStep = "dial"

// NotDialled makes the breakdown of a request that never left.
func NotDialled(err error, near string) error {
	return failure.As(err, failure.NotExecuted, dialStep, near)
}

func (t *exchange) blame(ctx context.Context, c *pick, err error, now ids.Tick) {
	switch {
	case failure.Is(err, failure.DataLost):
	case failure.Is(err, failure.Stale):
		t.tried[c.worker.ID] = true
		c.state.markReplaced()
	case failure.Is(err, failure.NotExecuted) && failure.Step(err) != dialStep:
		c.state.recordFull(now)
	case ctx.Err() == nil:
		c.state.recordFailure(now)
		if failure.Step(err) != dialStep {
			t.node.recordOutcome(c, false)
		}
		t.node.suspect(*c.worker)
	}
}
