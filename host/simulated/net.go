// The simulated network: byte streams that preserve order, delay their data, and wait until a
// blocked link is unblocked, as TCP would. When a process at either end is killed, the peer's end is
// closed, or reset if the process had unread data; PowerOff does neither.

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

// segmentSize is the number of bytes of a write that arrive together.
const segmentSize = 8 << 10

var errReset = &net.OpError{Op: "read", Net: "simulated", Err: syscall.ECONNRESET}

func dialError(err error) error { return &net.OpError{Op: "dial", Net: "simulated", Err: err} }

type address string

func (a address) Network() string { return "simulated" }
func (a address) String() string  { return string(a) }

// chunk is a segment of a write in transit, or what remains of it after a partial read.
type chunk struct {
	arrivesAt time.Time
	data      []byte
}

// pipe is one direction of a connection.
type pipe struct {
	world            *World
	sender, receiver string
	chunks           deque.Deque[chunk]
	nextArrival      time.Time
	err              error
	deadline         time.Time
	changed          chan struct{}
}

func (p *pipe) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// fail makes reads of the pipe return err after the data in transit. A reset, or a close by the
// reader, discards that data and replaces an earlier error, but a close does not replace a reset.
// The caller holds the world's mu.
func (p *pipe) fail(err error) {
	discards := err == errReset || err == net.ErrClosed && p.err != errReset
	if p.err == nil || discards {
		p.err = err
		if discards {
			p.chunks.Clear()
		}
		p.notify()
	}
}

// connection is one end of a connection.
type connection struct {
	process *Process
	in, out *pipe
	local   address
	remote  address
}

// connect returns the two ends of a new connection from p to peer.
func (p *Process) connect(peer *Process, local, remote address) (*connection, *connection) {
	w := p.machine.world
	outbound := &pipe{world: w, sender: p.machine.IP, receiver: peer.machine.IP, changed: make(chan struct{})}
	inbound := &pipe{world: w, sender: peer.machine.IP, receiver: p.machine.IP, changed: make(chan struct{})}
	p.connections[inbound], peer.connections[outbound] = outbound, inbound
	return &connection{p, inbound, outbound, local, remote}, &connection{peer, outbound, inbound, remote, local}
}

func (c *connection) Read(b []byte) (int, error) {
	w := c.process.machine.world
	inbound := c.in
	for {
		if !c.process.waitWhileFrozen() {
			return 0, errReset
		}
		w.mu.Lock()
		now := time.Now()
		blocked := w.link(inbound.sender, inbound.receiver).Blocked
		if inbound.chunks.Len() > 0 && !blocked {
			if front := inbound.chunks.Front(); !front.arrivesAt.After(now) {
				n := copy(b, front.data)
				if n == len(front.data) {
					inbound.chunks.PopFront()
				} else {
					inbound.chunks.Set(0, chunk{front.arrivesAt, front.data[n:]})
				}
				w.mu.Unlock()
				return n, nil
			}
		}
		if inbound.err != nil && (inbound.chunks.Len() == 0 || inbound.err == errReset) {
			readErr := inbound.err
			w.mu.Unlock()
			return 0, readErr
		}
		if !inbound.deadline.IsZero() && !inbound.deadline.After(now) {
			w.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		}
		wait := time.Hour
		if inbound.chunks.Len() > 0 && !blocked {
			wait = inbound.chunks.Front().arrivesAt.Sub(now)
		}
		if !inbound.deadline.IsZero() {
			wait = min(wait, inbound.deadline.Sub(now))
		}
		pipeChanged, worldChanged := inbound.changed, w.changed
		w.mu.Unlock()
		t := host.NewTimer(wait)
		select {
		case <-pipeChanged:
		case <-worldChanged:
		case <-t.C:
		}
		t.Stop()
	}
}

func (c *connection) Write(b []byte) (int, error) {
	if !c.process.waitWhileFrozen() {
		return 0, errReset
	}
	w := c.process.machine.world
	w.mu.Lock()
	defer w.mu.Unlock()
	outbound := c.out
	if outbound.err != nil {
		return 0, &net.OpError{Op: "write", Net: "simulated", Err: syscall.EPIPE}
	}
	l := w.link(outbound.sender, outbound.receiver)
	for segment := range slices.Chunk(b, segmentSize) {
		arrivesAt := w.machines[outbound.sender].netInterface.reserveSend(time.Now(), len(segment)).Add(l.Delay)
		arrivesAt = w.machines[outbound.receiver].netInterface.reserveReceive(arrivesAt, len(segment))
		if arrivesAt.Before(outbound.nextArrival) {
			arrivesAt = outbound.nextArrival
		}
		if l.BytesPerSecond > 0 {
			arrivesAt = arrivesAt.Add(time.Duration(len(segment)) * time.Second / time.Duration(l.BytesPerSecond))
		}
		outbound.nextArrival = arrivesAt
		outbound.chunks.PushBack(chunk{arrivesAt, append([]byte(nil), segment...)})
	}
	outbound.notify()
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

// SetWriteDeadline has no effect, because writes do not wait for the network.
func (c *connection) SetWriteDeadline(time.Time) error { return nil }

// listener accepts the connections that other processes open to one address.
type listener struct {
	process  *Process
	addr     address
	backlog  chan *connection
	closed   chan struct{}
	shutDown bool
}

func (l *listener) shutdown() {
	if !l.shutDown {
		l.shutDown = true
		close(l.closed)
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
	l := &listener{process: p, addr: address(addr), backlog: make(chan *connection, 1024), closed: make(chan struct{})}
	p.machine.listeners[addr] = l
	return l, nil
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	w := l.process.machine.world
	w.mu.Lock()
	defer w.mu.Unlock()
	if l.process.machine.listeners[string(l.addr)] == l {
		delete(l.process.machine.listeners, string(l.addr))
	}
	l.shutdown()
	return nil
}

func (l *listener) Addr() net.Addr { return l.addr }

// dial opens a connection in one round trip. It times out if either link direction is
// blocked or the machine is powered off or does not exist, and is refused if no process
// listens on addr.
func (p *Process) dial(ctx context.Context, addr string) (net.Conn, error) {
	ip, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, dialError(err)
	}
	w := p.machine.world
	timeout := host.NewTimer(time.Second)
	defer timeout.Stop()
	if !p.waitWhileFrozen() {
		return nil, dialError(errors.New("the dialing process is dead"))
	}
	w.mu.Lock()
	outbound, inbound := w.link(p.machine.IP, ip), w.link(ip, p.machine.IP)
	target := w.machines[ip]
	unreachable := outbound.Blocked || inbound.Blocked || target == nil || target.poweredOff
	w.mu.Unlock()
	if unreachable { // the SYN packet is lost, and retransmitted only after the timeout
		select {
		case <-ctx.Done():
			return nil, dialError(ctx.Err())
		case <-timeout.C:
			return nil, dialError(os.ErrDeadlineExceeded)
		}
	}
	t := host.NewTimer(outbound.Delay + inbound.Delay)
	select {
	case <-t.C:
	case <-ctx.Done():
		t.Stop()
		return nil, dialError(ctx.Err())
	}
	w.mu.Lock()
	l := target.listeners[addr]
	if l == nil || p.dead {
		w.mu.Unlock()
		return nil, dialError(syscall.ECONNREFUSED)
	}
	conn, peerConn := p.connect(l.process, address(p.machine.IP+":0"), address(addr))
	select {
	case l.backlog <- peerConn:
	default:
		w.mu.Unlock()
		return nil, dialError(syscall.ECONNREFUSED)
	}
	w.mu.Unlock()
	return conn, nil
}
