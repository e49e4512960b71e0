// Package connguard limits what the connections of a server may hold, so that clients that do not behave cannot take
// what others need.
//
// Limits bound the time of one connection: how long it may be idle between requests, how long the header of a request
// may take to arrive, and how long a client may leave an answer unread. Unlike the timeouts of http.Server, they can
// change while the server runs and then apply to open connections as well, and a client whose header takes too long
// receives status 408.
//
// Capacity bounds all connections together: their number, and the memory of headers. When it is exceeded, connections
// are closed for others, and first those that have been in their phase for the longest: a client that sends a whole
// request is served, however many clients do not. What a connection may hold is bounded as well, by a small receive
// buffer, so that a number of connections bounds the bytes that have arrived without being read; so are the connections
// that have not been accepted.
//
// Invariants:
//   - Except for a client that does not read its answer, a connection is closed only while no complete request is being
//     served on it. A 408 guarantees that the request was not and will not be executed, so the handler is not called
//     for a connection that has received one.
//   - Connections that are kept for a further request, up to half of the capacity, do not give way to those whose first
//     request is incomplete. Only while requests are served on all connections, so that others are refused, each closes
//     at the end of its request.
//   - The mutex of a connection is locked before that of the guard, and never two of connections.
package connguard

import (
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"keelstair.example/host"
)

// Limits are the time limits for a client's connection. Zero means no limit.
type Limits struct {
	Header time.Duration // from the first byte of a request until its header is complete
	Idle   time.Duration // without a byte, from a connection's start or the end of a response
	Write  time.Duration // of one write, while the client does not read
}

// The limits that apply if the configuration does not set them.
const (
	DefaultHeader = 10 * time.Second
	DefaultIdle   = 20 * time.Second
)

// FromMilliseconds returns the limits for values in milliseconds. A value of 0 or less selects the default.
func FromMilliseconds(header, idle int) Limits {
	limits := Limits{Header: DefaultHeader, Idle: DefaultIdle, Write: DefaultIdle}
	if header > 0 {
		limits.Header = time.Duration(header) * time.Millisecond
	}
	if idle > 0 {
		limits.Idle = time.Duration(idle) * time.Millisecond
		limits.Write = limits.Idle
	}
	return limits
}

// timeoutResponse is sent to a client whose header was not complete in time.
const timeoutResponse = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// writeTimeout limits how long sending timeoutResponse may take if the client does not read.
const writeTimeout = time.Second

// Guard enforces the limits and the capacity for the connections of one server.
type Guard struct {
	began           time.Time
	capacity        Capacity
	closedForOthers atomic.Int64

	mu          sync.Mutex
	limits      Limits
	open        map[*conn]bool
	unfinished  queue     // connections whose first or next request is incomplete, or whose answer is complete
	kept        queue     // connections that are idle after an answer
	headerBytes int64     // memory of headers, without the allotments
	refusedAt   time.Time // when a connection was last closed because requests are served on all others
}

// New returns a guard with the given initial limits.
func New(limits Limits, capacity Capacity) *Guard {
	return &Guard{began: time.Now(), limits: limits, capacity: capacity, open: map[*conn]bool{}}
}

// ClosedForOthers returns how many connections were closed because of the capacity.
func (g *Guard) ClosedForOthers() int64 { return g.closedForOthers.Load() }

// SetLimits changes the limits. They also apply to open connections, and the time that a connection has
// already spent in its current phase counts towards them.
func (g *Guard) SetLimits(limits Limits) {
	g.mu.Lock()
	if g.limits == limits {
		g.mu.Unlock()
		return
	}
	g.limits = limits
	g.mu.Unlock()
	for _, c := range g.openConns() {
		c.mu.Lock()
		c.arm()
		c.mu.Unlock()
	}
}

// CloseUnused closes the connections on which no byte has arrived yet. A server that shuts down would wait for
// them, but not serve a request that arrives on them.
func (g *Guard) CloseUnused() {
	for _, c := range g.openConns() {
		c.closeIfUnused()
	}
}

func (g *Guard) openConns() []*conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Collect(maps.Keys(g.open))
}

// Install makes a server report the states of its connections to the guard. The server must use a
// listener from Listener and a handler from Handler, and set no header or idle timeout itself.
func (g *Guard) Install(server *http.Server) {
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if c, ok := c.(*conn); ok {
			c.serverState(state)
		}
	}
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
}

// Listener wraps a listener so that the limits apply to its connections. It is an rpc.ServerListener; another server is
// passed to Install.
func (g *Guard) Listener(l net.Listener) net.Listener {
	if g.capacity != (Capacity{}) {
		host.SetReceiveBuffer(l, receiveBuffer) // a host without such buffers has none to bound
	}
	if g.capacity.Queued > 0 {
		host.SetAcceptQueue(l, g.capacity.Queued)
	}
	return &listener{l, g}
}

// Handler wraps a handler. It aborts requests whose connection has timed out instead of calling the
// handler.
func (g *Guard) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if c.timedOut() {
			panic(http.ErrAbortHandler)
		}
		if r.Body != nil && r.Body != http.NoBody {
			c.move(receiving)
			r = r.WithContext(r.Context()) // the server looks at the body of its own request
			r.Body = &trackedBody{r.Body, c}
		}
		defer c.move(finishing)
		next.ServeHTTP(w, r)
	})
}

// trackedBody is the body of a request. When it has been read, the request is complete.
type trackedBody struct {
	io.ReadCloser
	conn *conn
}

func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.conn.move(serving)
	}
	return n, err
}

func (g *Guard) currentLimits() Limits {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limits
}

// track adds an open connection.
func (g *Guard) track(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open[c] = true
}

// forget removes a connection. c.mu must be held.
func (g *Guard) forget(c *conn) {
	g.releaseHeader(c)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unplace(c)
	delete(g.open, c)
}

type connKey struct{}

type listener struct {
	net.Listener
	guard *Guard
}

func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, guard: l.guard, since: time.Now()}
	l.guard.track(c)
	c.mu.Lock()
	c.enter(idle)
	c.mu.Unlock()
	l.guard.keepWithinCapacity()
	return c, nil
}
