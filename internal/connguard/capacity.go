package connguard

import (
	"cmp"
	"container/list"
	"time"
)

const (
	// receiveBuffer is the size in bytes that is set for the receive buffer of each connection. The kernel doubles it.
	receiveBuffer = 16 << 10
	// connMemory is what a connection may hold in bytes: its receive buffer, the buffers and stacks of the server, and
	// headers of headerAllotment.
	connMemory = 64 << 10
	// queuedConnMemory is what a connection that has not been accepted may hold in bytes, in its receive buffer.
	queuedConnMemory = 2 * receiveBuffer
	// headerAllotment is the memory in bytes of a header that does not count towards Capacity.HeaderBytes.
	headerAllotment = 8 << 10
	// headerByteMemory and headerLineMemory are the memory in bytes of a byte and of a line of a header while it is
	// parsed.
	headerByteMemory = 3
	headerLineMemory = 300
	// finishingTime is how long a connection whose request has been answered is left to send the rest of the answer.
	finishingTime = 50 * time.Millisecond
	// stallTime is how long a write must have been blocked before its connection may be closed for others.
	stallTime = time.Second
	// turnTime is how long after a connection was refused, because requests are served on all others, each of them is
	// closed at the end of its request.
	turnTime = time.Second
)

// DefaultMemory is the memory in bytes of a process whose memory has no limit.
const DefaultMemory = 1 << 30

const (
	reservedDescriptors = 200 // that are not for connections
	minDescriptors      = 24  // for connections, however low the limit is
)

// share is the part of a process that is for the connections of one server.
type share struct {
	descriptors  int // in parts of descriptorParts
	connMemory   int // in parts of memoryParts
	headerMemory int // of headers beyond the allotment of each connection, in parts of memoryParts
	queuedMemory int // of connections that have not been accepted, in parts of memoryParts
}

const (
	descriptorParts = 12
	memoryParts     = 64
)

// The shares of the servers of a router fit into its process together, beside the quarter of its memory for bodies and a
// third of its descriptors for its own connections to workers and peers.
var (
	clientShare = share{descriptors: 4, connMemory: 16, headerMemory: 4, queuedMemory: 2}
	peerShare   = share{descriptors: 3, connMemory: 8, headerMemory: 1, queuedMemory: 1}
	probeShare  = share{descriptors: 1, connMemory: 2, headerMemory: 1, queuedMemory: 1}
	// controlShare is of a controller's only server.
	controlShare = share{descriptors: 6, connMemory: 16, headerMemory: 4, queuedMemory: 4}
)

// Capacity bounds what all connections of a server hold together. A bound of 0 is none.
type Capacity struct {
	Conns       int   // open connections
	Unfinished  int   // of them, those whose first or next request is incomplete
	Queued      int   // connections that have not been accepted
	HeaderBytes int64 // memory of headers, without the allotment of each connection
}

// Process is a process whose servers share its memory and its descriptors.
type Process struct {
	MemoryLimit     int64 // bytes; 0 means no limit
	DescriptorLimit int
}

// Clients returns the capacity of a router's server for clients.
func (p Process) Clients() Capacity {
	capacity := p.capacity(clientShare)
	capacity.Conns, capacity.Unfinished = capacity.Unfinished, 0
	return capacity
}

// Peers returns the capacity of a router's server for peers.
func (p Process) Peers() Capacity { return p.capacity(peerShare) }

// Probes returns the capacity of a router's server for readiness checks.
func (p Process) Probes() Capacity { return p.capacity(probeShare) }

// Control returns the capacity of a controller's server, for operators and for the other processes.
func (p Process) Control() Capacity { return p.capacity(controlShare) }

// capacity returns the capacity of a server with a share of the process. Connections of peers are many and hold little,
// so that only those whose requests are incomplete are bounded by memory.
func (p Process) capacity(s share) Capacity {
	memory := cmp.Or(p.MemoryLimit, DefaultMemory) / memoryParts
	conns := max(p.DescriptorLimit-reservedDescriptors, minDescriptors) * s.descriptors / descriptorParts
	return Capacity{
		Conns:       conns,
		Unfinished:  min(conns, int(memory)*s.connMemory/connMemory),
		Queued:      int(memory) * s.queuedMemory / queuedConnMemory,
		HeaderBytes: memory * int64(s.headerMemory),
	}
}

// queue holds connections that may be closed for others, those that entered their phase first at its front.
type queue struct{ list.List }

// queued is the place of a connection in a queue.
type queued struct {
	queue     *queue
	element   *list.Element
	since     time.Time
	finishing bool // the last bytes of an answer may not have been sent
}

// queueOf returns the queue for connections in the phase of c, or nil if they may not be closed for others.
// c.mu must be held.
func (g *Guard) queueOf(c *conn) *queue {
	switch c.phase {
	case idle:
		if c.answered {
			return &g.kept
		}
		return &g.unfinished
	case readingHeader, receiving, finishing:
		return &g.unfinished
	}
	return nil
}

// place moves a connection to the end of the queue for its phase. c.mu must be held.
func (g *Guard) place(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unplace(c)
	if q := g.queueOf(c); q != nil && g.open[c] {
		c.place = queued{queue: q, element: q.PushBack(c), since: c.since, finishing: c.phase == finishing}
	}
}

// unplace removes a connection from its queue. mu must be held.
func (g *Guard) unplace(c *conn) {
	if c.place.queue != nil {
		c.place.queue.Remove(c.place.element)
	}
	c.place = queued{}
}

// chargeHeader counts bytes of a header that have arrived. c.mu must be held.
func (g *Guard) chargeHeader(c *conn, size int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.headerBytes -= c.excessHeader()
	c.headerMemory += size
	g.headerBytes += c.excessHeader()
}

// releaseHeader counts a connection's header as dropped. c.mu must be held.
func (g *Guard) releaseHeader(c *conn) { g.chargeHeader(c, -c.headerMemory) }

// excessHeader returns the memory of the connection's header beyond its allotment. guard.mu must be held.
func (c *conn) excessHeader() int64 { return max(0, c.headerMemory-headerAllotment) }

// keepWithinCapacity closes connections until the others are within the capacity. No lock of a connection may be held.
func (g *Guard) keepWithinCapacity() {
	for {
		victim, stalled := g.victim()
		if victim == nil {
			return
		}
		victim.closeForOthers(stalled)
	}
}

// victim returns a connection that has to be closed, or nil if all are within the capacity, or if none may be closed.
// stalled tells that it may be closed although a request is being served on it.
func (g *Guard) victim() (c *conn, stalled bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	capacity := g.capacity
	if capacity.HeaderBytes > 0 && g.headerBytes > capacity.HeaderBytes {
		if c := g.unfinished.first(func(c *conn) bool { return c.excessHeader() > 0 && mayClose(c) }); c != nil {
			return c, false
		}
	}
	if capacity.Unfinished > 0 && g.unfinished.Len() > capacity.Unfinished {
		if c := g.unfinished.first(mayClose); c != nil {
			return c, false
		}
	}
	if capacity.Conns <= 0 || len(g.open) <= capacity.Conns {
		return nil, false
	}
	return g.victimOfConns()
}

// victimOfConns returns a connection that is closed because there are too many. Those that are kept for a further request
// give way only while they are more than half of the capacity, or if there are no others. mu must be held.
func (g *Guard) victimOfConns() (c *conn, stalled bool) {
	keptFirst := g.kept.Len() > g.capacity.Conns/2
	if keptFirst {
		return g.kept.first(mayClose), false
	}
	if c := g.stalledConn(); c != nil {
		return c, true
	}
	victim := g.unfinished.first(mayClose)
	if victim == nil {
		return g.kept.first(mayClose), false
	}
	if g.unfinished.Len() == 1 {
		g.refusedAt = time.Now()
	}
	return victim, false
}

// mustTakeTurns reports whether a connection has to close at the end of its request, because connections are refused.
func (g *Guard) mustTakeTurns() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Since(g.refusedAt) < turnTime
}

// mayClose reports whether a queued connection may be closed now. guard.mu must be held.
func mayClose(c *conn) bool { return !c.place.finishing || time.Since(c.place.since) >= finishingTime }

// first returns the first connection of a queue that fits, or nil. guard.mu must be held.
func (q *queue) first(fits func(*conn) bool) *conn {
	for e := q.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*conn); fits(c) {
			return c
		}
	}
	return nil
}

// stalledConn returns a connection whose client does not read its answer, or nil. mu must be held.
func (g *Guard) stalledConn() *conn {
	now := int64(time.Since(g.began))
	for c := range g.open {
		if began := c.writeBegan.Load(); began != 0 && now-began > int64(stallTime) {
			return c
		}
	}
	return nil
}

// closeForOthers closes a connection in favor of others. It closes one that is being served only if its client does not
// read.
func (c *conn) closeForOthers(stalled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.guard.queueOf(c) == nil && !(stalled && c.writeBegan.Load() != 0) {
		return
	}
	c.guard.closedForOthers.Add(1)
	c.abandon()
}

// abandon closes the connection, and forgets it before the server learns of that. mu must be held.
func (c *conn) abandon() {
	c.phase = expired
	c.guard.forget(c)
	c.Conn.Close()
}
