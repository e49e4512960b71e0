// Package connguard limits how long a client's connection may be idle between requests, and how
// long the header of a request may take to arrive. Unlike the timeouts of http.Server, the limits
// can change while the server runs and then apply to open connections as well, and a client whose
// header takes too long receives status 408.
//
// A connection is closed only while it has no request being served. A 408 guarantees that the
// request was not and will not be executed, so the handler is not called for a connection that
// has received one.
package connguard

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Limits are the time limits for a client's connection. Zero means no limit.
type Limits struct {
	Header time.Duration // from the first byte of a request until its header is complete
	Idle   time.Duration // without a byte, from a connection's start or the end of a response
}

// The limits that apply if the configuration does not set them.
const (
	DefaultHeader = 10 * time.Second
	DefaultIdle   = 20 * time.Second
)

// FromMilliseconds returns the limits for values in milliseconds. A value of 0 or less selects the default.
func FromMilliseconds(header, idle int) Limits {
	limits := Limits{Header: DefaultHeader, Idle: DefaultIdle}
	if header > 0 {
		limits.Header = time.Duration(header) * time.Millisecond
	}
	if idle > 0 {
		limits.Idle = time.Duration(idle) * time.Millisecond
	}
	return limits
}

// timeoutResponse is sent to a client whose header was not complete in time.
const timeoutResponse = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// writeTimeout limits how long sending timeoutResponse may take if the client does not read.
const writeTimeout = time.Second

// Guard enforces the limits for the connections of one server.
type Guard struct {
	mu     sync.Mutex
	limits Limits
	open   map[*conn]bool
}

// New returns a guard with the given initial limits.
func New(limits Limits) *Guard { return &Guard{limits: limits, open: map[*conn]bool{}} }

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

// Listener wraps a listener so that the limits apply to its connections.
func (g *Guard) Listener(l net.Listener) net.Listener { return &listener{l, g} }

// Handler wraps a handler. It aborts requests whose connection has timed out instead of calling the
// handler.
func (g *Guard) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok && c.timedOut() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func (g *Guard) currentLimits() Limits {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limits
}

// track adds an open connection, or removes a closed one.
func (g *Guard) track(c *conn, open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if open {
		g.open[c] = true
	} else {
		delete(g.open, c)
	}
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
	l.guard.track(c, true)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arm()
	return c, nil
}

// phase is the state of a connection.
type phase int

const (
	idle          phase = iota // no byte of the next request has arrived
	readingHeader              // the first byte of a request has arrived, but its header is not complete
	serving                    // the header of a request is complete, but the response is not
	expired                    // the guard closed the connection because a limit was exceeded
	closed
)

// conn is a client's connection.
type conn struct {
	net.Conn
	guard *Guard

	mu    sync.Mutex
	phase phase
	used  bool      // a byte has arrived
	since time.Time // when the phase began
	timer *time.Timer
}

// Read reads from the connection and starts the header phase at the first byte of a request.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		c.used = true
		if c.phase == idle {
			c.enter(readingHeader)
		}
		c.mu.Unlock()
	}
	return n, err
}

// closeIfUnused closes the connection unless a byte has arrived on it.
func (c *conn) closeIfUnused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.used {
		c.phase = expired
		c.Conn.Close()
	}
}

// serverState updates the phase when the server reports a new connection state. An expired connection stays
// expired until it is closed.
func (c *conn) serverState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == expired && state != http.StateClosed {
		return
	}
	switch state {
	case http.StateActive:
		c.enter(serving)
	case http.StateIdle:
		c.enter(idle)
	case http.StateClosed, http.StateHijacked:
		c.enter(closed)
		c.guard.track(c, false)
	}
}

func (c *conn) timedOut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == expired
}

// enter starts a phase and its timer. The caller holds mu.
func (c *conn) enter(next phase) {
	c.phase, c.since = next, time.Now()
	c.arm()
}

// limit returns how long the current phase may last, or 0 for no limit. The caller holds mu.
func (c *conn) limit() time.Duration {
	switch c.phase {
	case idle:
		return c.guard.currentLimits().Idle
	case readingHeader:
		return c.guard.currentLimits().Header
	}
	return 0
}

// arm sets the timer to the time limit of the current phase, if it has one. The caller holds mu.
func (c *conn) arm() {
	if c.timer != nil {
		c.timer.Stop()
	}
	limit := c.limit()
	if limit <= 0 {
		return
	}
	left := max(1, limit-time.Since(c.since))
	if c.timer == nil {
		c.timer = time.AfterFunc(left, c.expire)
		return
	}
	c.timer.Reset(left)
}

// expire closes the connection if its current phase has exceeded its limit.
func (c *conn) expire() {
	c.mu.Lock()
	limit := c.limit()
	if limit <= 0 || time.Since(c.since) < limit {
		c.mu.Unlock()
		return // the phase or the limit changed after the timer fired
	}
	headerTimedOut := c.phase == readingHeader
	c.phase = expired
	c.mu.Unlock()
	if headerTimedOut {
		c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		c.Conn.Write([]byte(timeoutResponse))
	}
	c.Conn.Close()
}
