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
	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/handoff"
	"keelstair.example/internal/routing"
)

// Event is one step of one request.
type Event struct {
	Request string
	Stage   handoff.Stage
	Worker  ids.WorkerID
	At      ids.Tick
	Why     string
}

type trip struct {
	n     *Node
	r     *Request
	route *fleetstate.Route
	svc   *fleetstate.Service
	deck  *routing.ProgramSet // it keeps to the one it began with
	sink  Sink
	end   ids.Tick
	marks []uint64
	tried map[ids.WorkerID]bool

	kept  *choice // the worker whose memory of the prompt is yet to be fetched
	extra bool    // a reading that failed is yet to be counted
	sends int     // counted: emits, and readings turned away or repeated
	ran   bool    // it may have run
	begun bool    // the caller has the head of an answer
	last  string  // id of the last event that the caller has
}

func (t *trip) tell(stage handoff.Stage, w ids.WorkerID, why string) {
	if t.n.opt.Trace != nil {
		t.n.opt.Trace(Event{t.r.ID, stage, w, t.n.now(), why})
	}
}

func (t *trip) left() time.Duration { return t.end.Since(t.n.now()) }

// Carry brings a request to its end. A nil error means that the sink has the whole
// answer; a *Refusal, that it was not run; a *Broken, that it may have been.
func (n *Node) Carry(ctx context.Context, r *Request, sink Sink) error {
	n.counts.Asked.Add(1)
	n.inflight.Add(1)
	defer n.inflight.Add(-1)
	s := n.sight()
	if s.Version == 0 {
		return n.refuse(http.StatusServiceUnavailable, time.Second, "no configuration is in force")
	}
	route := s.Table.Find(r.Host, r.Path)
	if route == nil {
		return n.refuse(http.StatusNotFound, 0, "no route")
	}
	svc, ok := s.Configuration.Services[route.Pick(r.ID)]
	if !ok {
		return n.refuse(http.StatusNotFound, 0, "no service")
	}
	wait := route.Deadline()
	if r.Wait > 0 {
		wait = min(wait, r.Wait)
	}
	t := &trip{n: n, r: r, route: route, svc: &svc, deck: n.deal(s).Set, sink: sink, end: r.At.Add(wait), tried: map[ids.WorkerID]bool{}, last: r.From}
	t.marks, _ = marks(r)
	n.budget.ask(n.now())
	cx, stop := context.WithTimeout(ctx, wait)
	defer stop()
	err := t.admit(s)
	if err == nil {
		err = t.run(cx)
	}
	switch err.(type) {
	case nil:
		n.counts.Done.Add(1)
		t.tell(handoff.Ended, "", "")
	case *Refusal:
		n.counts.Refused.Add(1)
		t.tell(handoff.Dropped, "", err.Error())
	default:
		n.counts.Broken.Add(1)
		t.tell(handoff.Dropped, "", err.Error())
	}
	return err
}

func (n *Node) refuse(code int, after time.Duration, why string) error {
	n.counts.Refused.Add(1)
	return &Refusal{Code: code, After: after, Why: why}
}

// run tries until the answer is whole, the tries are used up or the time is over.
func (t *trip) run(ctx context.Context) error {
	var src *Source
	var why error
	if t.route.Disaggregated && t.last == "" {
		src, why = t.read(ctx)
	}
	for {
		if ctx.Err() != nil || t.ran && !t.route.MayRetry() {
			t.drop(src)
			return t.giveUp(why, http.StatusGatewayTimeout)
		}
		w, reply, err := t.emit(ctx, src)
		if err == nil {
			src = nil
			t.fetched()
			if err = t.pass(ctx, w, reply); err == nil {
				return nil
			}
		}
		why = err
		switch failure.KindOf(err) {
		case failure.OutcomeUnknown:
			// Whoever is silent has perhaps not fetched the memory.
			t.ran = true
			t.drop(src)
			src = nil
			if !t.route.MayRetry() || t.begun && !t.route.Resumable || errors.Is(err, errCaller) {
				return t.giveUp(err, http.StatusBadGateway)
			}
		case failure.DataLost:
			src = nil
			t.fetched()
		case failure.Unavailable:
			t.drop(src)
			return t.giveUp(err, http.StatusGatewayTimeout)
		}
		t.n.counts.Again.Add(1)
	}
}

func (t *trip) drop(src *Source) {
	if src != nil {
		t.free(src)
		t.fetched()
	}
}

// fetched notes that a reading worker keeps nothing for this try any more.
func (t *trip) fetched() {
	if t.kept != nil {
		t.kept.release(true, t.n.now())
		t.kept = nil
	}
}

// free gives memory back that nobody will fetch.
func (t *trip) free(src *Source) {
	go func() {
		cx, stop := context.WithTimeout(context.Background(), time.Second)
		defer stop()
		t.n.opt.Back.Free(cx, src.Worker, src.Handle)
	}()
}

// giveUp answers at once: a refusal with when to come back where nothing ran.
func (t *trip) giveUp(err error, code int) error {
	why := "given up"
	if err != nil {
		why = err.Error()
	}
	if t.ran || t.begun {
		return &Broken{Code: code, Begun: t.begun, Why: why}
	}
	return &Refusal{Code: http.StatusServiceUnavailable, After: t.after(), Why: why}
}

func (t *trip) after() time.Duration {
	return min(max(150*time.Millisecond, t.route.LatencyTarget()/4), max(50*time.Millisecond, t.left()/4))
}

// pay counts one more sending, and takes it from the shared budget unless it is the first.
func (t *trip) pay() bool {
	if t.sends >= max(1, t.route.MaxAttempts) || (t.sends > 0 || t.extra) && !t.n.spend() {
		return false
	}
	t.extra = false
	t.sends++
	return true
}

func (n *Node) spend() bool {
	return n.budget.spend(n.now(), 0.9*n.opt.Ratio, 0.8*float64(n.opt.Allow)*n.share())
}

// send books a worker for one sending; false if it may get nothing new by now, or is cold
// and was sent enough.
func (t *trip) send(c *choice, reads int) bool {
	gap, ok := t.n.open(c.w.ID, t.svc)
	if !ok || gap > 0 && !t.n.warm.book(c.w.ID, gap, t.n.now()) {
		return false
	}
	var ms []uint64
	if reads > 0 {
		ms = t.marks
	}
	c.st.begin(reads, ms, t.n.now())
	c.ended = new(atomic.Bool)
	more := t.r.Most
	if reads > 0 {
		more = 0
	}
	c.take(t.r, more, t.n.now())
	return true
}

// read has the prompt read. No source and no error means that the emitting worker is to
// read by itself.
func (t *trip) read(ctx context.Context) (*Source, error) {
	for again := true; again; {
		again = false
		picked := t.n.now()
		for _, c := range t.n.readers(t.deck, t.n.sight(), t.svc, t.r, t.tried) {
			if !t.send(&c, max(1, c.need)) {
				continue
			}
			src, dialled, err := t.readAt(ctx, &c)
			if dialled {
				return src, err
			}
			t.tried[c.w.ID] = true
			if ctx.Err() != nil {
				return nil, err
			}
			if again = t.n.now().Past(picked, pickOld); again {
				break
			}
		}
	}
	return nil, nil
}

// readAt has one worker read the prompt; false if no connection to it came up.
func (t *trip) readAt(ctx context.Context, c *choice) (*Source, bool, error) {
	t.tell(handoff.Granted, c.w.ID, "")
	span := min(t.n.opt.Silence+time.Duration(c.cost*2)*time.Millisecond, t.left())
	cx, stop := context.WithTimeout(ctx, span)
	cx, take := context.WithCancelCause(cx)
	f := &flight{take}
	c.st.board(f)
	quiet := time.AfterFunc(hush+time.Duration(c.cost)*time.Millisecond, func() { t.n.suspect(*c.w, true) })
	memo, err := t.n.opt.Back.Read(cx, *c.w, t.r, span, rank(t.route.Urgency, c.need))
	quiet.Stop()
	c.st.leave(f)
	take(nil)
	stop()
	c.st.end(max(1, c.need))
	now := t.n.now()
	if err == nil {
		c.st.well(memo.Load, now)
		t.n.outcome(c, true)
		t.kept = c
		t.tell(handoff.Prefilled, c.w.ID, "")
		return &Source{Worker: *c.w, Handle: memo.Handle}, true, nil
	}
	c.release(failure.Is(err, failure.OutcomeUnknown), now)
	t.blame(ctx, c, err, now)
	t.tell(handoff.Dropped, c.w.ID, err.Error())
	if failure.Is(err, failure.NotExecuted) && failure.Step(err) == dialStep {
		return nil, false, err
	}
	t.ran = t.ran || failure.Is(err, failure.InvalidArgument)
	// It may not have been taken up, and then counts like any other sending.
	t.extra = true
	if failure.Is(err, failure.NotExecuted) || failure.Is(err, failure.Stale) {
		t.sends++
	}
	return nil, true, err
}

// dialStep names the step of breakdowns where no connection came up.
const dialStep = "dial"

// Undialled makes the breakdown of a request that never left.
func Undialled(err error, near string) error {
	return failure.As(err, failure.NotExecuted, dialStep, near)
}

func (t *trip) blame(ctx context.Context, c *choice, err error, now ids.Tick) {
	switch {
	case failure.Is(err, failure.DataLost):
	case failure.Is(err, failure.Stale):
		t.tried[c.w.ID] = true
		c.st.gone()
	case failure.Is(err, failure.NotExecuted) && failure.Step(err) != dialStep:
		c.st.full(now)
	case ctx.Err() == nil:
		c.st.fault(now)
		if failure.Step(err) != dialStep {
			t.n.outcome(c, false)
		}
		t.n.suspect(*c.w, true)
	}
}

// emit offers the request to a worker. Away means that there is none or no try left.
func (t *trip) emit(ctx context.Context, src *Source) (*choice, *Reply, error) {
	for round := 0; ; round++ {
		picked, again := t.n.now(), false
		var from *Worker
		if src != nil {
			from = &src.Worker
		}
		for _, c := range t.n.emitters(t.deck, t.n.sight(), t.svc, t.r, from, t.tried) {
			if t.sends >= max(1, t.route.MaxAttempts) {
				break
			}
			if !t.send(&c, 0) {
				continue
			}
			if !t.pay() {
				c.st.end(0)
				c.release(false, t.n.now())
				break
			}
			if src == nil {
				t.n.counts.Direct.Add(1)
			}
			reply, err := t.offer(ctx, &c, src)
			if err == nil {
				return &c, reply, nil
			}
			c.st.end(0)
			c.release(failure.Is(err, failure.OutcomeUnknown), t.n.now())
			t.blame(ctx, &c, err, t.n.now())
			t.tell(handoff.Dropped, c.w.ID, err.Error())
			if failure.Is(err, failure.NotExecuted) && failure.Step(err) == dialStep {
				t.sends--
				t.tried[c.w.ID] = true
				if again = t.n.now().Past(picked, pickOld); again {
					break
				}
				continue
			}
			return nil, nil, err
		}
		if again && ctx.Err() == nil {
			round--
			continue
		}
		if t.sends >= max(1, t.route.MaxAttempts) {
			return nil, nil, failure.New(failure.Unavailable, "emit", t.svc.Name, "no try is left")
		}
		if round > 2 || !host.Sleep(ctx, 30*time.Millisecond) {
			return nil, nil, failure.New(failure.Unavailable, "emit", t.svc.Name, "no worker may take it")
		}
	}
}

// offer sends to one worker. A silent one is left for another only where the request may
// run again.
func (t *trip) offer(ctx context.Context, c *choice, src *Source) (*Reply, error) {
	cx, stop := context.WithCancelCause(ctx)
	g := &guarded{t: t, c: c, stop: stop}
	if t.again() {
		g.flight = &flight{stop}
		c.st.board(g.flight)
		g.give = time.AfterFunc(t.patience(), func() { stop(errSilent) })
	} else {
		g.mute = time.AfterFunc(t.patience(), func() { t.n.outcome(c, false) })
	}
	g.ask = time.AfterFunc(hush, func() { t.n.suspect(*c.w, true) })
	reply, err := t.n.opt.Back.Emit(cx, *c.w, t.r, src, t.last, t.left(), t.route.Urgency)
	if err != nil {
		g.done()
		return nil, err
	}
	g.ReadCloser, reply.Body = reply.Body, g
	return reply, nil
}

// again tells whether this try may run once more.
func (t *trip) again() bool { return t.route.MayRetry() && t.sends < max(1, t.route.MaxAttempts) }

// patience is how long an emitting worker may say nothing before a request that may run
// again goes elsewhere.
func (t *trip) patience() time.Duration {
	return max(t.n.opt.Silence, 2*t.route.LatencyTarget())
}
