// The simulated network: byte streams that keep their order, take their time,
// wait out a cut as TCP would, and break when an end dies.

package simulated

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"syscall"
	"time"

	"github.com/gammazero/deque"

	"keelstair.example/host"
)

// segmentSize is what arrives together of one write.
const segmentSize = 8 << 10

var errReset = &net.OpError{Op: "read", Net: "simulated", Err: syscall.ECONNRESET}

func dialFault(err error) error { return &net.OpError{Op: "dial", Net: "simulated", Err: err} }

type address string

func (p address) Network() string { return "simulated" }
func (p address) String() string  { return string(p) }

type chunk struct {
	at   time.Time
	body []byte
}

// pipe is one direction of a connection.
type pipe struct {
	world       *World
	from, to    string
	chunks      deque.Deque[chunk]
	nextArrival time.Time
	err         error
	deadline    time.Time
	changed     chan struct{}
}

func (h *pipe) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}

func (h *pipe) fail(err error) {
	if h.err == nil || err == errReset {
		h.err = err
		if err == errReset {
			h.chunks.Clear()
		}
		h.notify()
	}
}

type connection struct {
	process *Process
	in, out *pipe
	local   address
	remote  address
}

func (p *Process) connect(q *Process, local, remote address) (*connection, *connection) {
	w := p.machine.world
	a := &pipe{world: w, from: p.machine.IP, to: q.machine.IP, changed: make(chan struct{})}
	b := &pipe{world: w, from: q.machine.IP, to: p.machine.IP, changed: make(chan struct{})}
	p.connections[b], q.connections[a] = a, b
	return &connection{p, b, a, local, remote}, &connection{q, a, b, remote, local}
}

func (c *connection) Read(b []byte) (int, error) {
	w := c.process.machine.world
	h := c.in
	for {
		if !c.process.awaitThaw() {
			return 0, errReset
		}
		w.mu.Lock()
		now := time.Now()
		blocked := w.link(h.from, h.to).Blocked
		if h.chunks.Len() > 0 && !blocked {
			if f := h.chunks.Front(); !f.at.After(now) {
				n := copy(b, f.body)
				if n == len(f.body) {
					h.chunks.PopFront()
				} else {
					h.chunks.Set(0, chunk{f.at, f.body[n:]})
				}
				w.mu.Unlock()
				return n, nil
			}
		}
		if h.err != nil && (h.chunks.Len() == 0 || h.err == errReset) {
			end := h.err
			w.mu.Unlock()
			return 0, end
		}
		if !h.deadline.IsZero() && !h.deadline.After(now) {
			w.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		}
		wait := time.Hour
		if h.chunks.Len() > 0 && !blocked {
			wait = h.chunks.Front().at.Sub(now)
		}
		if !h.deadline.IsZero() {
			wait = min(wait, h.deadline.Sub(now))
		}
		mine, all := h.changed, w.changed
		w.mu.Unlock()
		t := host.NewTimer(wait)
		select {
		case <-mine:
		case <-all:
		case <-t.C:
		}
		t.Stop()
	}
}

func (c *connection) Write(b []byte) (int, error) {
	if !c.process.awaitThaw() {
		return 0, errReset
	}
	w := c.process.machine.world
	w.mu.Lock()
	defer w.mu.Unlock()
	h := c.out
	if h.err != nil {
		return 0, &net.OpError{Op: "write", Net: "simulated", Err: syscall.EPIPE}
	}
	l := w.link(h.from, h.to)
	for sent := range slices.Chunk(b, segmentSize) {
		at := w.machines[h.from].link.send(time.Now(), len(sent)).Add(l.Delay)
		at = w.machines[h.to].link.receive(at, len(sent))
		if at.Before(h.nextArrival) {
			at = h.nextArrival
		}
		if l.BytesPerSecond > 0 {
			at = at.Add(time.Duration(len(sent)) * time.Second / time.Duration(l.BytesPerSecond))
		}
		h.nextArrival = at
		h.chunks.PushBack(chunk{at, append([]byte(nil), sent...)})
	}
	h.notify()
	return len(b), nil
}

func (c *connection) Close() error {
	w := c.process.machine.world
	w.mu.Lock()
	defer w.mu.Unlock()
	c.out.fail(io.EOF)
	c.in.fail(net.ErrClosed)
	delete(c.process.connections, c.in)
	return nil
}

func (c *connection) LocalAddr() net.Addr  { return c.local }
func (c *connection) RemoteAddr() net.Addr { return c.remote }

func (c *connection) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

func (c *connection) SetReadDeadline(t time.Time) error {
	c.process.machine.world.mu.Lock()
	defer c.process.machine.world.mu.Unlock()
	c.in.deadline = t
	c.in.notify()
	return nil
}

func (c *connection) SetWriteDeadline(time.Time) error { return nil }

// listener is a listener.
type listener struct {
	proc     *Process
	addr     address
	backlog  chan *connection
	closed   chan struct{}
	shutDown bool
}

func (e *listener) shutdown() {
	if !e.shutDown {
		e.shutDown = true
		close(e.closed)
	}
}

func (p *Process) listen(addr string) (net.Listener, error) {
	w := p.machine.world
	w.mu.Lock()
	defer w.mu.Unlock()
	if p.dead {
		return nil, errReset
	}
	ip, _, err := net.SplitHostPort(addr)
	if err != nil || ip != p.machine.IP || p.machine.listeners[addr] != nil {
		return nil, &net.OpError{Op: "listen", Net: "simulated", Err: syscall.EADDRINUSE}
	}
	e := &listener{proc: p, addr: address(addr), backlog: make(chan *connection, 1024), closed: make(chan struct{})}
	p.machine.listeners[addr] = e
	return e, nil
}

func (e *listener) Accept() (net.Conn, error) {
	select {
	case c := <-e.backlog:
		return c, nil
	case <-e.closed:
		return nil, net.ErrClosed
	}
}

func (e *listener) Close() error {
	w := e.proc.machine.world
	w.mu.Lock()
	defer w.mu.Unlock()
	if e.proc.machine.listeners[string(e.addr)] == e {
		delete(e.proc.machine.listeners, string(e.addr))
	}
	e.shutdown()
	return nil
}

func (e *listener) Addr() net.Addr { return e.addr }

// dial takes a round exchange. A cut link or a machine without power says nothing
// until the caller's patience ends; a machine where nobody listens refuses.
func (p *Process) dial(ctx context.Context, addr string) (net.Conn, error) {
	ip, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, dialFault(err)
	}
	w := p.machine.world
	patience := host.NewTimer(time.Second)
	defer patience.Stop()
	if !p.awaitThaw() {
		return nil, dialFault(errors.New("this process is dead"))
	}
	w.mu.Lock()
	there, back := w.link(p.machine.IP, ip), w.link(ip, p.machine.IP)
	m := w.machines[ip]
	silent := there.Blocked || back.Blocked || m == nil || m.poweredOff
	w.mu.Unlock()
	if silent { // the opening packet is lost, and sent again too late
		select {
		case <-ctx.Done():
			return nil, dialFault(ctx.Err())
		case <-patience.C:
			return nil, dialFault(os.ErrDeadlineExceeded)
		}
	}
	t := host.NewTimer(there.Delay + back.Delay)
	select {
	case <-t.C:
	case <-ctx.Done():
		t.Stop()
		return nil, dialFault(ctx.Err())
	}
	w.mu.Lock()
	e := m.listeners[addr]
	if e == nil || p.dead {
		w.mu.Unlock()
		return nil, dialFault(syscall.ECONNREFUSED)
	}
	mine, theirs := p.connect(e.proc, address(p.machine.IP+":0"), address(addr))
	select {
	case e.backlog <- theirs:
	default:
		w.mu.Unlock()
		return nil, dialFault(syscall.ECONNREFUSED)
	}
	w.mu.Unlock()
	return mine, nil
}
