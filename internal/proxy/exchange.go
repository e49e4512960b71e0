// The exchange of one request: prefill on one worker, transfer of its memory, decode on another, and
// relay of the answer. The node that accepted an attempt is alone responsible for its outcome, since
// every attempt has its own id: a request that was sent to a worker and not rejected there may have
// run, so it never ends in a RejectedError.

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

// exchange is the state of one request while it is served.
type exchange struct {
	node     *Node
	request  *Request
	route    *fleetstate.Route
	service  *fleetstate.Service
	programs *routing.ProgramSet // fixed when the exchange begins
	sink     Sink
	tenant   *fleetstate.Tenant   // owner of the request's key; nil without one
	keys     *fleetstate.KeyIndex // index that the tenant was found in
	outgoing *Request             // the request as sent to workers
	deadline ids.Tick
	prefixes []uint64
	tried    map[ids.WorkerID]bool

	otherWeights []ids.WorkerID // workers that were tried and have other weights than expected

	prefilledAt            *candidate    // the worker whose prompt memory has not been fetched yet
	failedPrefillUncounted bool          // a failed prefill has not been charged to the retry budget yet
	retryPaid              bool          // the next attempt was already charged, by a hedge
	attemptsMade           int           // decodes, and prefills that were rejected or repeated
	mayHaveRun             bool          // a worker may have run the request
	sourceLost             bool          // a worker rejected the request because it could not fetch the prompt's memory
	headSent               bool          // the caller has the response head
	usageCounted           bool          // the request is counted for usage metering
	lastEventID            string        // id of the last event sent to the caller
	modelVersion           string        // version of the weights that the events sent to the caller come from
	lastHasNoID            atomic.Bool   // an event without an id was sent after the one with lastEventID
	partSent               atomic.Bool   // a part was sent that no other answer can continue: of an event, or of a body without events
	uncheckedEnd           *uncheckedEnd // an end that another worker is asked about; nil without one
	timing                 exchangeTiming
}

func (t *exchange) trace(step handoff.Step, w ids.WorkerID, reason string) {
	if t.node.options.Trace != nil {
		t.node.options.Trace(Event{t.request.ID, step, w, t.node.now(), reason})
	}
}

func (t *exchange) remaining() time.Duration { return t.deadline.Since(t.node.now()) }

// Serve serves a request to its end. A nil error means that the sink has the whole answer, a
// *RejectedError that the request was not run, an *AbortedError that it may have been run.
func (n *Node) Serve(ctx context.Context, r *Request, sink Sink) error {
	n.counts.Requests.Add(1)
	n.inflight.add(r)
	defer n.inflight.remove(r)
	behind := n.versionStale()
	s := n.snapshot()
	switch {
	case s.Version == 0:
		return n.reject(http.StatusServiceUnavailable, time.Second, "no configuration is in force")
	case behind:
		n.counts.RejectedStale.Add(1)
		return n.reject(http.StatusServiceUnavailable, staleRetryAfter, "the configuration may be out of date")
	}
	route := s.RouteTable.Find(r.Host, r.Path)
	if route == nil {
		return n.rejectUnknown("no route")
	}
	service, ok := s.Configuration.Services[route.SelectService(r.ID)]
	if !ok {
		return n.rejectUnknown("no service")
	}
	timeout := r.timeoutOn(route)
	t := &exchange{
		node:        n,
		request:     r,
		route:       route,
		service:     &service,
		programs:    n.programsFor(s).Set,
		sink:        sink,
		deadline:    r.At.Add(timeout),
		tried:       map[ids.WorkerID]bool{},
		lastEventID: r.LastEventID,
	}
	err := t.serve(ctx, s, timeout)
	t.recordEnd(err)
	return err
}

// timeoutOn returns the time that a request may take on a route.
func (r *Request) timeoutOn(route *fleetstate.Route) time.Duration {
	if r.Timeout > 0 {
		return min(route.Deadline(), r.Timeout)
	}
	return route.Deadline()
}

// serve authenticates, admits and runs the request.
func (t *exchange) serve(ctx context.Context, s *fleetstate.Snapshot, timeout time.Duration) error {
	if err := t.authenticate(s); err != nil {
		t.node.counts.Unauthenticated.Add(1)
		return err
	}
	if err := t.checkShutdown(); err != nil {
		return err
	}
	t.prefixes, _ = prefixHashes(t.request)
	t.node.budget.CountRequest(t.node.now())
	if err := t.admit(s); err != nil {
		return err
	}
	callContext, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	return t.run(callContext)
}

const (
	// caughtUpMaxAge is the maximum age of the core's last confirmation of this node, with the change
	// feed up to it applied, for a "does not exist" from this node to be final. It is shorter than
	// the smallest ApplyMax, the bound within which a version must be in force (2 s).
	caughtUpMaxAge = 1500 * time.Millisecond
	// staleRetryAfter is the retry delay given to callers by a node that may be behind.
	staleRetryAfter = 500 * time.Millisecond
)

// rejectUnknown rejects a request for something that the version in force here does not have. A node
// that may be behind cannot know whether a newer version has it, so it sets a retry delay instead.
func (n *Node) rejectUnknown(reason string) error {
	n.counts.Rejected.Add(1)
	return n.unknownResource(http.StatusNotFound, reason)
}

// unknownResource returns the error for a request that the version in force here does not allow.
func (n *Node) unknownResource(code int, reason string) *RejectedError {
	if !n.agent.CaughtUp(caughtUpMaxAge) {
		return &RejectedError{
			Code:       http.StatusServiceUnavailable,
			RetryAfter: staleRetryAfter,
			Reason:     reason + ", and this node may be behind",
		}
	}
	return &RejectedError{Code: code, Reason: reason}
}

// recordEnd counts and traces an exchange by its outcome.
func (t *exchange) recordEnd(err error) {
	n := t.node
	switch err.(type) {
	case nil:
		n.counts.Completed.Add(1)
		t.trace(handoff.Ended, "", "")
		n.answerTimesOf(t.route.Name).observe(n.now().Since(t.request.At))
		n.metrics.Observe(t.service.Name, t.request.Prompt, t.timing.durations(t.request.At, n.now()), t.targets())
	case *RejectedError:
		n.counts.Rejected.Add(1)
		t.trace(handoff.Dropped, "", err.Error())
		n.metrics.CountExchange(t.service.Name, t.request.Prompt, exchangemetrics.Rejected)
	default:
		n.counts.Aborted.Add(1)
		t.trace(handoff.Dropped, "", err.Error())
		n.metrics.CountExchange(t.service.Name, t.request.Prompt, exchangemetrics.Aborted)
	}
}

func (n *Node) reject(code int, after time.Duration, reason string) error {
	n.counts.Rejected.Add(1)
	return &RejectedError{Code: code, RetryAfter: after, Reason: reason}
}

// run makes attempts until the answer is complete, the attempts are used up or the deadline passes.
func (t *exchange) run(ctx context.Context) error {
	attemptContext, stop := context.WithCancel(ctx)
	defer stop()
	return t.settleEnd(ctx, t.runAttempts(attemptContext))
}

// runAttempts makes the attempts of run.
func (t *exchange) runAttempts(ctx context.Context) error {
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
			t.releasePrefillReservation()
			if err = t.relay(ctx, w, reply); err == nil {
				return nil
			}
		}
		if rejected, ok := err.(*RejectedError); ok {
			t.releaseSource(source)
			return t.endRejected(rejected)
		}
		reason = err
		if errors.Is(err, errUncheckedEnd) {
			ctx = t.limitEndCheck(ctx)
		}
		switch failure.KindOf(err) {
		case failure.OutcomeUnknown:
			t.mayHaveRun = true
			if !t.canContinue() || errors.Is(err, errCallerDisconnected) {
				t.releaseSource(source)
				return t.giveUp(err, http.StatusBadGateway)
			}
			// A worker that never answered may not have fetched the memory, so the next one is offered
			// it as well: prefilling the prompt itself would delay everything that it decodes.
			if source != nil && t.node.isDown(source.Worker.ID) {
				t.releaseSource(source)
				source = nil
			}
		case failure.DataLost:
			source = nil
			t.sourceLost = true
			t.releasePrefillReservation()
		case failure.NotExecuted:
			source = t.sourceUnlessMismatched(source, maxSourceMismatches)
		case failure.Unavailable:
			if source == nil || len(t.otherWeights) == 0 {
				t.releaseSource(source)
				return t.giveUp(err, http.StatusGatewayTimeout)
			}
			source = t.sourceUnlessMismatched(source, 1)
		}
		t.node.counts.Retries.Add(1)
	}
}

// maxSourceMismatches is the number of workers of other weights after which the memory is given up, and a worker reads the
// prompt itself.
const maxSourceMismatches = 2

// sourceUnlessMismatched returns the source, or nil if as many workers have other weights than it. The source is freed then,
// and these workers may be tried again. The request has run nowhere, so it may be sent once more.
func (t *exchange) sourceUnlessMismatched(source *Source, limit int) *Source {
	if source == nil || len(t.otherWeights) == 0 {
		return source
	}
	t.sourceLost = true
	if len(t.otherWeights) < limit {
		return source
	}
	t.releaseSource(source)
	for _, id := range t.otherWeights {
		delete(t.tried, id)
	}
	return nil
}

func (t *exchange) releaseSource(source *Source) {
	if source != nil {
		t.freeSource(source)
		t.releasePrefillReservation()
	}
}

// releasePrefillReservation ends the reservation on the prefill worker. It is called when that worker
// no longer holds KV cache for this exchange, or is about to free it.
func (t *exchange) releasePrefillReservation() {
	if t.prefilledAt != nil {
		t.prefilledAt.release(true, t.node.now())
		t.prefilledAt = nil
	}
}

// freeSource frees memory on the prefill worker that no worker will fetch.
func (t *exchange) freeSource(source *Source) {
	go func() {
		callContext, stop := context.WithTimeout(context.Background(), time.Second)
		defer stop()
		t.node.options.Backend.Free(callContext, source.Worker, source.Handle)
	}()
}

// giveUp ends the exchange at once: with a RejectedError and a retry delay if nothing ran, else with
// an AbortedError.
func (t *exchange) giveUp(err error, code int) error {
	reason := "given up"
	if err != nil {
		reason = err.Error()
	}
	if t.mayHaveRun || t.headSent {
		return &AbortedError{Code: code, HeadSent: t.headSent, Reason: reason}
	}
	return &RejectedError{Code: http.StatusServiceUnavailable, RetryAfter: t.retryDelay(), Reason: reason}
}

func (t *exchange) retryDelay() time.Duration {
	return min(max(150*time.Millisecond, t.route.LatencyTarget()/4), max(50*time.Millisecond, t.remaining()/4))
}

// reserveWorker reserves a worker for one attempt: a prefill of that many tokens, or a decode if
// prefillTokens is 0. It returns false if the worker may not get new requests any more, or is cold
// and its slow-start rate is used up.
func (t *exchange) reserveWorker(c *candidate, prefillTokens int) bool {
	interval, ok := t.node.slowStartDelay(c.worker.ID, t.service)
	if !ok || interval > 0 && !t.node.slowStart.reserve(c.worker.ID, interval, t.node.now()) {
		return false
	}
	var hashes []uint64
	if prefillTokens > 0 {
		hashes = t.prefixes
	}
	c.state.beginRequest(prefillTokens, hashes, t.node.now())
	c.outcomeRecorded = new(atomic.Bool)
	c.request, c.urgency = t.outgoing, t.urgency()
	maxGrowth := t.request.MaxTokens
	if prefillTokens > 0 {
		maxGrowth = 0
	}
	c.reserve(t.request, maxGrowth, t.node.now())
	return true
}

// dialStep is the step named in an error if no connection was established.
const dialStep = "dial"

// VersionStep is the step named in an error if a worker's weights have another version than expected.
const VersionStep = "match version"

// NotDialled returns the failure of a request that was never sent because no connection was
// established.
func NotDialled(err error, near string) error {
	return failure.As(err, failure.NotExecuted, dialStep, near)
}

// recordWorkerError records a failed attempt in the worker's state, by the kind of failure.
func (t *exchange) recordWorkerError(ctx context.Context, c *candidate, err error, now ids.Tick) {
	switch {
	case failure.Is(err, failure.DataLost):
	case failure.Step(err) == VersionStep:
		t.tried[c.worker.ID] = true
		t.otherWeights = append(t.otherWeights, c.worker.ID)
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
