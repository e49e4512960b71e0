// The simulated network: byte streams that keep their order, take their time,
// wait out a cut as TCP would, and break when an end dies.

package simulated

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/gammazero/deque"
)

var errReset = &net.OpError{Op: "read", Net: "simulated", Err: syscall.ECONNRESET}

func dialFault(err error) error { return &net.OpError{Op: "dial", Net: "simulated", Err: err} }

type place string

func (p place) Network() string { return "simulated" }
func (p place) String() string  { return string(p) }

type chunk struct {
	at   time.Time
	body []byte
}

// half is one direction of a connection.
type half struct {
	w        *World
	from, to string
	row      deque.Deque[chunk]
	next     time.Time
	end      error
	due      time.Time
	ring     chan struct{}
}

func (h *half) shake() {
	close(h.ring)
	h.ring = make(chan struct{})
}

func (h *half) fail(err error) {
	if h.end == nil || err == errReset {
		h.end = err
		if err == errReset {
			h.row.Clear()
		}
		h.shake()
	}
}

type session struct {
	p       *Proc
	in, out *half
	near    place
	far     place
}

func (p *Proc) pair(q *Proc, near, far place) (*session, *session) {
	w := p.at.world
	a := &half{w: w, from: p.at.IP, to: q.at.IP, ring: make(chan struct{})}
	b := &half{w: w, from: q.at.IP, to: p.at.IP, ring: make(chan struct{})}
	p.cons[b], q.cons[a] = a, b
	return &session{p, b, a, near, far}, &session{q, a, b, far, near}
}

func (c *session) Read(b []byte) (int, error) {
	w := c.p.at.world
	h := c.in
	for {
		if !c.p.gate() {
			return 0, errReset
		}
		w.mu.Lock()
		now := time.Now()
		cut := w.link(h.from, h.to).Cut
		if h.row.Len() > 0 && !cut {
			if f := h.row.Front(); !f.at.After(now) {
				n := copy(b, f.body)
				if n == len(f.body) {
					h.row.PopFront()
				} else {
					h.row.Set(0, chunk{f.at, f.body[n:]})
				}
				w.mu.Unlock()
				return n, nil
			}
		}
		if h.end != nil && (h.row.Len() == 0 || h.end == errReset) {
			end := h.end
			w.mu.Unlock()
			return 0, end
		}
		if !h.due.IsZero() && !h.due.After(now) {
			w.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		}
		wait := time.Hour
		if h.row.Len() > 0 && !cut {
			wait = h.row.Front().at.Sub(now)
		}
		if !h.due.IsZero() {
			wait = min(wait, h.due.Sub(now))
		}
		mine, all := h.ring, w.ring
		w.mu.Unlock()
		t := time.NewTimer(wait)
		select {
		case <-mine:
		case <-all:
		case <-t.C:
		}
		t.Stop()
	}
}

func (c *session) Write(b []byte) (int, error) {
	if !c.p.gate() {
		return 0, errReset
	}
	w := c.p.at.world
	w.mu.Lock()
	defer w.mu.Unlock()
	h := c.out
	if h.end != nil {
		return 0, &net.OpError{Op: "write", Net: "simulated", Err: syscall.EPIPE}
	}
	l := w.link(h.from, h.to)
	at := time.Now().Add(l.Delay)
	if at.Before(h.next) {
		at = h.next
	}
	if l.Speed > 0 {
		at = at.Add(time.Duration(len(b)) * time.Second / time.Duration(l.Speed))
	}
	h.next = at
	h.row.PushBack(chunk{at, append([]byte(nil), b...)})
	h.shake()
	return len(b), nil
}

func (c *session) Close() error {
	w := c.p.at.world
	w.mu.Lock()
	defer w.mu.Unlock()
	c.out.fail(io.EOF)
	c.in.fail(net.ErrClosed)
	delete(c.p.cons, c.in)
	return nil
}

func (c *session) LocalAddr() net.Addr  { return c.near }
func (c *session) RemoteAddr() net.Addr { return c.far }

func (c *session) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

func (c *session) SetReadDeadline(t time.Time) error {
	c.p.at.world.mu.Lock()
	defer c.p.at.world.mu.Unlock()
	c.in.due = t
	c.in.shake()
	return nil
}

func (c *session) SetWriteDeadline(time.Time) error { return nil }

// ear is a listener.
type ear struct {
	proc   *Proc
	addr   place
	calls  chan *session
	closed chan struct{}
	over   bool
}

func (e *ear) shut() {
	if !e.over {
		e.over = true
		close(e.closed)
	}
}

func (p *Proc) listen(addr string) (net.Listener, error) {
	w := p.at.world
	w.mu.Lock()
	defer w.mu.Unlock()
	if p.dead {
		return nil, errReset
	}
	host, _, err := net.SplitHostPort(addr)
	if err != nil || host != p.at.IP || p.at.ears[addr] != nil {
		return nil, &net.OpError{Op: "listen", Net: "simulated", Err: syscall.EADDRINUSE}
	}
	e := &ear{proc: p, addr: place(addr), calls: make(chan *session, 1024), closed: make(chan struct{})}
	p.at.ears[addr] = e
	return e, nil
}

func (e *ear) Accept() (net.Conn, error) {
	select {
	case c := <-e.calls:
		return c, nil
	case <-e.closed:
		return nil, net.ErrClosed
	}
}

func (e *ear) Close() error {
	w := e.proc.at.world
	w.mu.Lock()
	defer w.mu.Unlock()
	if e.proc.at.ears[string(e.addr)] == e {
		delete(e.proc.at.ears, string(e.addr))
	}
	e.shut()
	return nil
}

func (e *ear) Addr() net.Addr { return e.addr }

// dial takes a round trip. A cut link or a machine without power says nothing
// until the caller's patience ends; a machine where nobody listens refuses.
func (p *Proc) dial(ctx context.Context, addr string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, dialFault(err)
	}
	w := p.at.world
	patience := time.NewTimer(time.Second)
	defer patience.Stop()
	if !p.gate() {
		return nil, dialFault(errors.New("this process is dead"))
	}
	w.mu.Lock()
	there, back := w.link(p.at.IP, host), w.link(host, p.at.IP)
	m := w.machines[host]
	silent := there.Cut || back.Cut || m == nil || m.dark
	w.mu.Unlock()
	if silent { // the opening packet is lost, and sent again too late
		select {
		case <-ctx.Done():
			return nil, dialFault(ctx.Err())
		case <-patience.C:
			return nil, dialFault(os.ErrDeadlineExceeded)
		}
	}
	t := time.NewTimer(there.Delay + back.Delay)
	select {
	case <-t.C:
	case <-ctx.Done():
		t.Stop()
		return nil, dialFault(ctx.Err())
	}
	w.mu.Lock()
	e := m.ears[addr]
	if e == nil || p.dead {
		w.mu.Unlock()
		return nil, dialFault(syscall.ECONNREFUSED)
	}
	mine, theirs := p.pair(e.proc, place(p.at.IP+":0"), place(addr))
	select {
	case e.calls <- theirs:
	default:
		w.mu.Unlock()
		return nil, dialFault(syscall.ECONNREFUSED)
	}
	w.mu.Unlock()
	return mine, nil
}
