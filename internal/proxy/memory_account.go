// What a worker's memory still has room for, as this node knows it: the last report, which
// shows the worker some moments before it was asked, plus what was booked from here since
// and less what ended here since. handoff.MemoryLedger answers for a worker alone, knows each
// run by its id in the report and refuses; here reports have sums only, other nodes book
// beside this one, and the answer is only a cost. So no more than the principle is shared:
// whatever the ledger errs by makes a worker look fuller.

package proxy

import (
	"time"

	"keelstair.example/ids"
)

const (
	blockSize    = 16                      // tokens; memory is given out in these
	reportLag    = 500 * time.Millisecond  // by which a report may be older than its asking
	reportMaxAge = 2500 * time.Millisecond // then it says nothing any more
)

// reportedLoad is how a worker was by its own report, memory in blocks. Without room nothing is known.
type reportedLoad struct{ Used, Capacity, Running, Waiting int }

// reservation is memory booked from here. Own is the part that no other request shares, so that it
// is surely free once the hold has ended.
type reservation struct {
	total, exclusive int
	at, ended        ids.Tick
}

// memoryAccount of one life of a worker. The state's lock guards it.
type memoryAccount struct {
	reportedLoad
	at           ids.Tick // when the report was asked for
	reservations []*reservation
}

// report takes what was heard of a report that was asked for at a tick.
func (l *memoryAccount) report(s reportedLoad, at ids.Tick) {
	if at.Before(l.at) {
		return
	}
	l.reportedLoad, l.at = s, at
	l.prune(at)
}

// prune forgets holds that ended before anything that a later report can show.
func (l *memoryAccount) prune(now ids.Tick) {
	keep := l.reservations[:0]
	for _, h := range l.reservations {
		if h.ended == 0 || !h.ended.Before(now.Add(-reportLag)) {
			keep = append(keep, h)
		}
	}
	clear(l.reservations[len(keep):])
	l.reservations = keep
}

// reserve notes memory that is taken from now on.
func (l *memoryAccount) reserve(all, own int, now ids.Tick) *reservation {
	if n := len(l.reservations); n > 0 && n%64 == 0 {
		l.prune(now.Add(-reportMaxAge))
	}
	h := &reservation{total: all, exclusive: own, at: now}
	l.reservations = append(l.reservations, h)
	return h
}

// release notes that the worker is done with a hold; one that it never took is forgotten.
func (l *memoryAccount) release(h *reservation, took bool, now ids.Tick) {
	if h == nil || h.ended != 0 {
		return
	}
	h.ended = now
	if took {
		return
	}
	for i, one := range l.reservations {
		if one == h {
			l.reservations = append(l.reservations[:i], l.reservations[i+1:]...)
			return
		}
	}
}

// free gives the blocks that there should be room for; false if nothing fresh is known.
func (l *memoryAccount) free(now ids.Tick) (int, bool) {
	if l.Capacity == 0 || now.Past(l.at, reportMaxAge) {
		return 0, false
	}
	used, shown := l.Used, l.at.Add(-reportLag)
	for _, h := range l.reservations {
		switch before := h.at.Before(shown); {
		case !before && h.ended == 0: // it may not be shown yet
			used += h.total
		case before && l.at.Before(h.ended): // it is shown, and gone
			used -= h.exclusive
		}
	}
	return l.Capacity - max(0, used), true
}
