package requestbody

import (
	"cmp"
	"container/list"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"keelstair.example/host"
)

const (
	// smallBody is the largest size in bytes of a body that does not queue behind others.
	smallBody = 64 << 10
	// smallBodyShare is the fraction 1/smallBodyShare of the limit that is kept for small bodies.
	smallBodyShare = 8
	// waitingFactor times the limit is the most that bodies waiting for memory may have.
	waitingFactor      = 2
	processShare       = 4         // 1/processShare of the process's memory is for bodies
	defaultMemoryLimit = 256 << 20 // bytes, if the process's memory has no limit
)

// ErrFull is the error of Read if there was no memory for a body in time.
var ErrFull = errors.New("no memory for the body")

// Memory holds the bodies of one node within a limit. It is safe for concurrent use.
type Memory struct {
	mu        sync.Mutex
	limit     int64 // bytes; 0 means no limit
	used      int64
	waiters   []*reservation
	waiting   int64              // bytes that waiters may have received and not read
	evictable *list.List         // of *Body, in the order in which they were sent
	reading   map[*Body]struct{} // bodies being read that have a pace, and interrupted ones until they are dropped
	evictions int64

	evictableBytes int64 // of all evictable bodies
	checkingPace   bool  // continuePaceChecks is going to be called
}

// reservation is a request for memory for a body. The channel is closed when it is granted.
type reservation struct {
	body    *Body
	size    int64 // bytes that it adds to the memory in use
	total   int64 // bytes of the body with them
	unread  int64 // bytes that may have arrived without being read; of a body of unknown length its next chunk
	granted chan struct{}
}

// continues reports whether the body has been read in part. Such a body goes before new ones, as its memory comes free
// only once it is complete.
func (r *reservation) continues() bool { return r.body.reserved > 0 }

// queues reports whether the reservation queues behind others.
func (r *reservation) queues() bool { return r.total > smallBody && !r.continues() }

// NewMemory returns a Memory with a limit in bytes; 0 means no limit.
func NewMemory(limit int64) *Memory {
	return &Memory{limit: limit, evictable: list.New(), reading: map[*Body]struct{}{}}
}

// NewProcessMemory returns the Memory for the requests of a process whose memory has a limit in bytes; 0 means no
// limit.
func NewProcessMemory(processLimit int64) *Memory {
	return NewMemory(cmp.Or(processLimit/processShare, defaultMemoryLimit))
}

// Held returns the number of bytes held.
func (m *Memory) Held() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// Evictions returns the number of bodies that have been evicted.
func (m *Memory) Evictions() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.evictions
}

// allowance returns how much of the limit may be in use with a body that then has the given size. One of unknown
// length may become large, so it gets half of what is kept for small bodies at most.
func (m *Memory) allowance(body *Body, size int64) int64 {
	kept := m.limit / smallBodyShare
	switch {
	case size > smallBody:
		return m.limit - kept
	case body.unknownLength:
		return m.limit - kept/2
	default:
		return m.limit
	}
}

// newReservation returns a reservation of memory for more bytes of a body. A body that is larger than the limit
// counts as all of it, and so is alone. mu must be held.
func (m *Memory) newReservation(body *Body, size int64) *reservation {
	r := &reservation{body: body, size: size, total: body.reserved + size, unread: size, granted: make(chan struct{})}
	if m.limit > 0 {
		r.size = max(0, min(size, m.allowance(body, r.total)-body.reserved))
	}
	return r
}

// reserve counts bytes of a body that are about to be allocated. It waits for at most the given time until there is
// room, and returns how much of the time is left.
func (m *Memory) reserve(ctx context.Context, body *Body, size int64, wait time.Duration) (time.Duration, error) {
	m.mu.Lock()
	r := m.newReservation(body, size)
	if !(r.queues() && len(m.waiters) > 0) && m.grantIfRoom(r) {
		m.mu.Unlock()
		return wait, nil
	}
	if !m.mayWait(r) {
		m.mu.Unlock()
		return wait, ErrFull
	}
	m.enqueue(r)
	m.mu.Unlock()
	began := time.Now()
	err := m.await(ctx, r, wait)
	return max(0, wait-time.Since(began)), err
}

// mayWait reports whether a reservation may wait. The bytes of waiting bodies are in memory without being counted as
// used, because the kernel receives them; so new bodies wait only up to waitingFactor times the limit, of which a part
// is for small ones here as well. mu must be held.
func (m *Memory) mayWait(r *reservation) bool {
	return len(m.waiters) == 0 || r.continues() || m.waiting+r.unread <= waitingFactor*m.allowance(r.body, r.total)
}

// enqueue adds a reservation to those that wait. mu must be held.
func (m *Memory) enqueue(r *reservation) {
	next := slices.IndexFunc(m.waiters, func(other *reservation) bool { return r.continues() && !other.continues() })
	if next < 0 {
		next = len(m.waiters)
	}
	m.waiters = slices.Insert(m.waiters, next, r)
	m.waiting += r.unread
	m.startPaceChecks()
}

// await waits until a reservation is granted. It withdraws it after the given time, or when ctx ends.
func (m *Memory) await(ctx context.Context, r *reservation, wait time.Duration) error {
	timer := host.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-r.granted:
		return nil
	case <-timer.C:
		return m.withdraw(r, ErrFull)
	case <-ctx.Done():
		return m.withdraw(r, ctx.Err())
	}
}

// withdraw removes a reservation and returns the error, or nil if it was granted meanwhile.
func (m *Memory) withdraw(r *reservation, err error) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	i := slices.Index(m.waiters, r)
	if i < 0 {
		return nil
	}
	m.waiters = slices.Delete(m.waiters, i, i+1)
	m.waiting -= r.unread
	m.grant()
	return err
}

// release counts bytes as free again. mu must be held.
func (m *Memory) release(size int64) {
	if size > 0 {
		m.used -= size
		m.grant()
	}
}

// grant grants the reservations that fit, in order. Behind one that does not fit, only those are granted that do
// not queue. mu must be held.
func (m *Memory) grant() {
	blocked := false
	m.waiters = slices.DeleteFunc(m.waiters, func(r *reservation) bool {
		if blocked && r.queues() || !m.grantIfRoom(r) {
			blocked = true
			return false
		}
		m.waiting -= r.unread
		close(r.granted)
		return true
	})
}

// grantIfRoom counts the bytes of a reservation if they fit, and reports whether they do. mu must be held.
func (m *Memory) grantIfRoom(r *reservation) bool {
	if m.limit > 0 && !m.makeRoom(m.missing(r)) {
		return false
	}
	m.used += r.size
	r.body.reserved += r.size
	return true
}

// missing returns how many bytes have to come free for a reservation to fit. mu must be held.
func (m *Memory) missing(r *reservation) int64 {
	return m.used + r.size - m.allowance(r.body, r.total)
}

// makeRoom reports whether the given number of bytes that are missing is free after evictions, which it makes only
// if they are enough. mu must be held.
func (m *Memory) makeRoom(missing int64) bool {
	if missing > m.evictableBytes {
		return false
	}
	var victims []*Body
	for e := m.evictable.Front(); e != nil && missing > 0; e = e.Next() {
		if body := e.Value.(*Body); body.readers == 0 {
			victims = append(victims, body)
			missing -= body.reserved
		}
	}
	if missing > 0 {
		return false
	}
	for _, body := range victims {
		m.evict(body)
	}
	return true
}

// evict drops a body that only a retry would need. mu must be held.
func (m *Memory) evict(body *Body) {
	m.evictions++
	m.used -= body.drop()
}
