// Estimate of a worker's free memory: the last report, which shows the worker some moments before it
// was requested, plus what this node has reserved since, minus what ended here since.
// handoff.MemoryLedger does the same as the only client of a worker: it finds each run by its id in
// the report, and rejects requests. Here reports contain only sums, other nodes reserve memory too,
// and the result is only a cost. The two share one principle: any error makes a worker look fuller.

package proxy

import (
	"time"

	"keelstair.example/ids"
)

const (
	blockSize    = 16                      // tokens in one memory block
	reportLag    = 500 * time.Millisecond  // maximum age of a report at the time it was requested
	reportMaxAge = 2500 * time.Millisecond // age above which a report is ignored
)

// reportedLoad is a worker's load by its own report, with memory in blocks. If Capacity is 0, nothing
// is known.
type reportedLoad struct{ Used, Capacity, Running, Waiting int }

// reservation is memory that this node reserved, in blocks. The exclusive part is shared with no other
// request, so it is certainly free once the reservation has ended.
type reservation struct {
	total, exclusive int
	at, ended        ids.Tick
}

// memoryAccount estimates the KV cache memory in use on one worker incarnation from the worker's last report and
// this node's reservations. The worker state's mutex guards it.
type memoryAccount struct {
	reportedLoad
	at           ids.Tick // when the report was requested
	reservations []*reservation
}

// report records a report that was requested at a tick.
func (l *memoryAccount) report(s reportedLoad, at ids.Tick) {
	if at.Before(l.at) {
		return
	}
	l.reportedLoad, l.at = s, at
	l.prune(at)
}

// prune removes reservations that ended too early to affect any later report.
func (l *memoryAccount) prune(now ids.Tick) {
	kept := l.reservations[:0]
	for _, h := range l.reservations {
		if h.ended == 0 || !h.ended.Before(now.Add(-reportLag)) {
			kept = append(kept, h)
		}
	}
	clear(l.reservations[len(kept):])
	l.reservations = kept
}

// reserve records a reservation, of which exclusiveBlocks are shared with no other request.
func (l *memoryAccount) reserve(blocks, exclusiveBlocks int, now ids.Tick) *reservation {
	if n := len(l.reservations); n > 0 && n%64 == 0 {
		l.prune(now.Add(-reportMaxAge))
	}
	h := &reservation{total: blocks, exclusive: exclusiveBlocks, at: now}
	l.reservations = append(l.reservations, h)
	return h
}

// release ends a reservation, and removes one whose memory the worker never allocated.
func (l *memoryAccount) release(h *reservation, used bool, now ids.Tick) {
	if h == nil || h.ended != 0 {
		return
	}
	h.ended = now
	if used {
		return
	}
	for i, other := range l.reservations {
		if other == h {
			l.reservations = append(l.reservations[:i], l.reservations[i+1:]...)
			return
		}
	}
}

// free returns the estimated number of free blocks; false without a recent report.
func (l *memoryAccount) free(now ids.Tick) (int, bool) {
	if l.Capacity == 0 || now.Past(l.at, reportMaxAge) {
		return 0, false
	}
	used, reportedAt := l.Used, l.at.Add(-reportLag)
	for _, h := range l.reservations {
		switch before := h.at.Before(reportedAt); {
		case !before && h.ended == 0: // the report may not include it yet
			used += h.total
		case before && l.at.Before(h.ended): // the report includes it, and it has ended since
			used -= h.exclusive
		}
	}
	return l.Capacity - max(0, used), true
}
