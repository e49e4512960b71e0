// Package conntimeout bounds how long a client's connection may rest between requests, and how
// long the header of a request may take to arrive. Unlike the time-outs of http.Server, the
// limits may change while the server runs, and then hold for connections that are open; and a
// client whose header takes too long is told so by status 408.
//
// A connection is closed only while no request of it is being served. A 408 promises that the
// request was not and will not be run, so a handler whose connection has got one is not called.
package conntimeout

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Limits are how long a client may take. Zero is no limit.
type Limits struct {
	Header time.Duration // from the first byte of a request until its header is complete
	Idle   time.Duration // without a byte, from a connection's start or the end of a response
}

// The limits where a configuration sets none.
const (
	DefaultHeader = 10 * time.Second
	DefaultIdle   = 20 * time.Second
)

// FromMilliseconds gives limits as configurations have them; those that are not above 0 are
// the defaults.
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

// timeoutResponse is what a client gets whose header is late.
const timeoutResponse = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// writeTimeout bounds the sending of that response to a client that does not read.
const writeTimeout = time.Second

// Guard holds the connections of one server to the limits.
type Guard struct {
	mu     sync.Mutex
	limits Limits
	open   map[*conn]bool
}

// New gives a guard with its first limits.
func New(limits Limits) *Guard { return &Guard{limits: limits, open: map[*conn]bool{}} }

// SetLimits changes the limits, also of connections that are open: time that went by counts.
func (g *Guard) SetLimits(limits Limits) {
	g.mu.Lock()
	if g.limits == limits {
		g.mu.Unlock()
		return
	}
	g.limits = limits
	all := make([]*conn, 0, len(g.open))
	for c := range g.open {
		all = append(all, c)
	}
	g.mu.Unlock()
	for _, c := range all {
		c.mu.Lock()
		c.arm()
		c.mu.Unlock()
	}
}

// Install has a server tell the guard of its connections' states. The server must serve a
// listener and a handler of the guard's, and have no time-outs of its own for either span.
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

// Listener has the connections of a listener guarded.
func (g *Guard) Listener(l net.Listener) net.Listener { return &listener{l, g} }

// Handler calls a handler for requests whose connection was not timed out.
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

// phase is what a connection is doing.
type phase int

const (
	idle          phase = iota // no byte of the next request has come
	readingHeader              // some have
	serving                    // its header is complete, and its response is not
	expired                    // it was closed for taking too long
	closed
)

// conn is a client's connection.
type conn struct {
	net.Conn
	guard *Guard

	mu    sync.Mutex
	phase phase
	since time.Time // when the phase began
	timer *time.Timer
}

// Read notes the first byte of a request.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		if c.phase == idle {
			c.enter(readingHeader)
		}
		c.mu.Unlock()
	}
	return n, err
}

// serverState follows what the server says of the connection.
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

// enter begins a phase. The caller holds mu.
func (c *conn) enter(next phase) {
	c.phase, c.since = next, time.Now()
	c.arm()
}

// limit is how long the present phase may last; 0 is for ever. The caller holds mu.
func (c *conn) limit() time.Duration {
	switch c.phase {
	case idle:
		return c.guard.currentLimits().Idle
	case readingHeader:
		return c.guard.currentLimits().Header
	}
	return 0
}

// arm sets the timer to the end of the present phase, if it has one. The caller holds mu.
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

// expire closes the connection if its phase has lasted too long.
func (c *conn) expire() {
	c.mu.Lock()
	limit := c.limit()
	if limit <= 0 || time.Since(c.since) < limit {
		c.mu.Unlock()
		return // the phase has changed since the timer went off
	}
	late := c.phase == readingHeader
	c.phase = expired
	c.mu.Unlock()
	if late {
		c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		c.Conn.Write([]byte(timeoutResponse))
	}
	c.Conn.Close()
}
