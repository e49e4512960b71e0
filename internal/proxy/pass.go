// Passing the answer on: whole events as they come, each once. Where the stream may go on
// elsewhere, what the first worker did not finish is asked of another one, from the last
// event that the caller has.

package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"keelstair.example/failure"
	"keelstair.example/internal/handoff"
)

var errSilent = errors.New("the worker says nothing")

// guarded is an answer's body under watch: after a silence the worker is asked for its
// report, and where the request may go elsewhere, a longer silence ends it.
type guarded struct {
	io.ReadCloser
	t      *trip
	c      *choice
	stop   context.CancelCauseFunc
	flight *flight
	ask    *time.Timer
	give   *time.Timer
	mute   *time.Timer // until the first byte, where it cannot go elsewhere
}

func (g *guarded) Read(p []byte) (int, error) {
	k, err := g.ReadCloser.Read(p)
	if k > 0 && err == nil {
		g.c.st.alive.Store(int64(g.t.n.now()))
		if g.mute != nil {
			g.mute.Stop()
		}
		g.ask.Reset(hush + time.Duration(g.t.route.TokenIntervalMs)*time.Millisecond)
		if g.give != nil {
			g.give.Reset(max(600*time.Millisecond, 3*time.Duration(g.t.route.TokenIntervalMs)*time.Millisecond))
		}
	}
	return k, err
}

func (g *guarded) done() {
	g.ask.Stop()
	if g.mute != nil {
		g.mute.Stop()
	}
	if g.give != nil {
		g.give.Stop()
	}
	if g.flight != nil {
		g.c.st.leave(g.flight)
	}
	g.stop(nil)
}

func (g *guarded) Close() error {
	err := g.ReadCloser.Close()
	g.done()
	return err
}

// pass copies an answer to the caller. Unknown means that it broke off.
func (t *trip) pass(ctx context.Context, c *choice, reply *Reply) error {
	defer reply.Body.Close()
	defer func() {
		c.st.end(0)
		c.release(true, t.n.now())
	}()
	c.st.well(reply.Load, t.n.now())
	t.ran = true
	if reply.Status/100 == 2 && !reply.Whole {
		t.n.outcome(c, false)
		return failure.New(failure.OutcomeUnknown, "pass", c.w.Addr, "a success without the worker's stamp")
	}
	if promisesNotRun(reply.Status) {
		t.n.outcome(c, false)
		return failure.New(failure.OutcomeUnknown, "pass", c.w.Addr, "status %d without word that it was not run", reply.Status)
	}
	if t.begun && (reply.Status != http.StatusOK || !reply.Events) {
		return failure.New(failure.OutcomeUnknown, "resume", c.w.Addr, "status %d", reply.Status)
	}
	if reply.Status/100 == 5 {
		t.n.outcome(c, false)
	}
	if reply.Status/100 == 5 && t.route.MayRetry() && t.sends < t.route.MaxAttempts {
		c.st.fault(t.n.now())
		return failure.New(failure.OutcomeUnknown, "pass", c.w.Addr, "status %d", reply.Status)
	}
	t.tell(handoff.Resumed, c.w.ID, "")
	var err error
	if reply.Events {
		err = t.events(c, reply)
	} else {
		err = t.plain(reply)
	}
	if err != nil && ctx.Err() == nil && !errors.Is(err, errCaller) {
		c.st.fault(t.n.now())
		t.n.outcome(c, false)
		t.n.suspect(*c.w, true)
	}
	if err == nil {
		t.n.outcome(c, true)
	}
	return err
}

// promisesNotRun tells of the statuses by which a caller knows that its request has not run.
// A worker that did not run one says so by other means, which the adapter reads.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

var errCaller = errors.New("the caller went away")

func (t *trip) head(reply *Reply, length int64) error {
	if t.begun {
		return nil
	}
	t.begun = true
	return t.sink.Head(reply.Status, reply.Header, length)
}

func (t *trip) write(p []byte) error {
	if err := t.sink.Write(p); err != nil {
		return failure.As(errors.Join(errCaller, err), failure.OutcomeUnknown, "pass", "caller")
	}
	return nil
}

// plain copies an answer without events. Its head goes out with its first bytes, so that
// one which breaks off before them can still be asked of another.
func (t *trip) plain(reply *Reply) error {
	buf := make([]byte, 16<<10)
	for {
		k, err := reply.Body.Read(buf)
		if err != nil && err != io.EOF {
			return failure.As(err, failure.OutcomeUnknown, "pass", "worker")
		}
		if k > 0 || err == io.EOF {
			if err := t.head(reply, reply.Length); err != nil {
				return failure.As(errors.Join(errCaller, err), failure.OutcomeUnknown, "pass", "caller")
			}
		}
		if k > 0 {
			if err := t.write(buf[:k]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
	}
}

// events copies whole events.
func (t *trip) events(c *choice, reply *Reply) error {
	var held []byte
	buf := make([]byte, 8<<10)
	resumed := t.begun
	for {
		k, err := reply.Body.Read(buf)
		held = append(held, buf[:k]...)
		if at := whole(held); at > 0 {
			if err := t.forward(c, reply, held[:at], resumed); err != nil {
				return err
			}
			held = append(held[:0], held[at:]...)
		}
		if err == io.EOF {
			return t.finish(reply, held)
		}
		if err != nil {
			return failure.As(err, failure.OutcomeUnknown, "pass", c.w.Addr)
		}
	}
}

// forward passes whole events on and notes the last one's id. A worker that takes a stream
// up must not go back behind the last event that the caller has.
func (t *trip) forward(c *choice, reply *Reply, events []byte, resumed bool) error {
	first, last := eventIds(events)
	if resumed && !follows(first, t.last) {
		return failure.New(failure.OutcomeUnknown, "resume", c.w.Addr, "event %s comes after %s", first, t.last)
	}
	if err := t.head(reply, -1); err != nil {
		return failure.As(errors.Join(errCaller, err), failure.OutcomeUnknown, "pass", "caller")
	}
	if err := t.write(events); err != nil {
		return err
	}
	if last != "" {
		t.last = last
	}
	return nil
}

// finish ends a stream that its worker has ended; what stands behind the last whole event is
// passed on as it is.
func (t *trip) finish(reply *Reply, rest []byte) error {
	if err := t.head(reply, -1); err != nil {
		return failure.As(errors.Join(errCaller, err), failure.OutcomeUnknown, "pass", "caller")
	}
	if len(rest) > 0 {
		return t.write(rest)
	}
	return nil
}

// whole is the length of the whole events that bytes begin with.
func whole(p []byte) int {
	at := 0
	for _, end := range []string{"\n\n", "\r\n\r\n"} {
		if i := bytes.LastIndex(p, []byte(end)); i >= 0 {
			at = max(at, i+len(end))
		}
	}
	return at
}

// eventIds gives the ids of the first and the last event that have one.
func eventIds(events []byte) (first, last string) {
	for line := range bytes.Lines(events) {
		id, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		last = string(bytes.TrimSpace(id))
		if first == "" {
			first = last
		}
	}
	return first, last
}

// follows tells whether an event may come after another; ids that are no numbers tell nothing.
func follows(id, before string) bool {
	n, err := strconv.ParseInt(id, 10, 64)
	last, errLast := strconv.ParseInt(before, 10, 64)
	return err != nil || errLast != nil || n > last
}
