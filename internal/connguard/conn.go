package connguard

import (
	"bytes"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// phase is the state of a connection.
type phase int

const (
	idle          phase = iota // no byte of the next request has arrived
	readingHeader              // the first byte of a request has arrived, but its header is not complete
	receiving                  // the header of a request is complete, but its body has not been read
	serving                    // the request is complete, but the response is not
	finishing                  // the handler has returned, and the server may still send the end of the response
	expired                    // the guard closed the connection because a limit was exceeded
	closed
)

// Configure prepares a server, whose handler has been set, for the connections of the listener.
func (l *listener) Configure(server *http.Server) {
	l.guard.Install(server)
	server.Handler = l.guard.Handler(server.Handler)
}

// conn is a client's connection.
type conn struct {
	net.Conn
	guard *Guard

	writeBegan atomic.Int64 // when the running write began, in ns from the start of the guard; 0 if there is none

	mu         sync.Mutex
	phase      phase
	used       bool      // a byte has arrived
	answered   bool      // a request has been answered
	headerRead bool      // the end of the header being read has arrived
	since      time.Time // when the phase began
	timer      *time.Timer

	// Guarded by guard.mu:
	place        queued
	headerMemory int64 // bytes
}

// Read reads from the connection and starts the header phase at the first byte of a request.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.arrived(p[:n]) {
		c.guard.keepWithinCapacity()
	}
	return n, err
}

// arrived records bytes that have been read. It reports whether they belong to a header.
func (c *conn) arrived(p []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.used = true
	if c.phase == idle {
		c.headerRead = false
		c.enter(readingHeader)
	}
	if c.phase != readingHeader || c.headerRead {
		return false
	}
	if end := bytes.Index(p, headerEnd); end >= 0 {
		c.headerRead = true
		p = p[:end]
	}
	c.guard.chargeHeader(c, int64(headerByteMemory*len(p)+headerLineMemory*bytes.Count(p, lineEnd)))
	return true
}

var (
	lineEnd   = []byte{'\n'}
	headerEnd = []byte("\r\n\r\n")
)

// Write writes to the connection. It fails if the client reads nothing for too long.
func (c *conn) Write(p []byte) (int, error) {
	now := time.Now()
	if limit := c.guard.currentLimits().Write; limit > 0 {
		c.Conn.SetWriteDeadline(now.Add(limit))
	}
	c.writeBegan.Store(max(1, int64(now.Sub(c.guard.began))))
	defer c.writeBegan.Store(0)
	return c.Conn.Write(p)
}

// closeIfUnused closes the connection unless a byte has arrived on it.
func (c *conn) closeIfUnused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.used {
		c.abandon()
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
		c.answered = true
		c.guard.releaseHeader(c)
		if c.guard.mustTakeTurns() {
			c.abandon()
			return
		}
		c.enter(idle)
	case http.StateClosed, http.StateHijacked:
		c.enter(closed)
		c.guard.forget(c)
	}
}

// move enters a phase of a request that is being handled.
func (c *conn) move(next phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != expired && c.phase != closed {
		c.enter(next)
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
	c.guard.place(c)
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
	c.guard.forget(c)
	c.mu.Unlock()
	if headerTimedOut {
		c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		c.Conn.Write([]byte(timeoutResponse))
	}
	c.Conn.Close()
}
