// What a worker's memory still has room for, as this node knows it: the last report, which
// shows the worker some moments before it was asked, plus what was booked from here since
// and less what ended here since. passage/ledger.go answers for a worker alone, knows each
// run by its id in the report and refuses; here reports have sums only, other nodes book
// beside this one, and the answer is only a cost. So no more than the principle is shared:
// whatever the ledger errs by makes a worker look fuller.

package proxy

import (
	"time"

	"keelstair.example/ids"
)

const (
	blockSize = 16                      // tokens; memory is given out in these
	reportLag = 500 * time.Millisecond  // by which a report may be older than its asking
	reportOld = 2500 * time.Millisecond // then it says nothing any more
)

// stood is how a worker was by its own report, memory in blocks. Without room nothing is known.
type stood struct{ Used, Room, Running, Waiting int }

// hold is memory booked from here. Own is the part that no other request shares, so that it
// is surely free once the hold has ended.
type hold struct {
	all, own  int
	at, ended ids.Tick
}

// ledger of one life of a worker. The state's lock guards it.
type ledger struct {
	stood
	at    ids.Tick // when the report was asked for
	holds []*hold
}

// report takes what was heard of a report that was asked for at a tick.
func (l *ledger) report(s stood, at ids.Tick) {
	if at.Before(l.at) {
		return
	}
	l.stood, l.at = s, at
	l.prune(at)
}

// prune forgets holds that ended before anything that a later report can show.
func (l *ledger) prune(now ids.Tick) {
	keep := l.holds[:0]
	for _, h := range l.holds {
		if h.ended == 0 || !h.ended.Before(now.Add(-reportLag)) {
			keep = append(keep, h)
		}
	}
	clear(l.holds[len(keep):])
	l.holds = keep
}

// book notes memory that is taken from now on.
func (l *ledger) book(all, own int, now ids.Tick) *hold {
	if n := len(l.holds); n > 0 && n%64 == 0 {
		l.prune(now.Add(-reportOld))
	}
	h := &hold{all: all, own: own, at: now}
	l.holds = append(l.holds, h)
	return h
}

// end notes that the worker is done with a hold; one that it never took is forgotten.
func (l *ledger) end(h *hold, took bool, now ids.Tick) {
	if h == nil || h.ended != 0 {
		return
	}
	h.ended = now
	if took {
		return
	}
	for i, one := range l.holds {
		if one == h {
			l.holds = append(l.holds[:i], l.holds[i+1:]...)
			return
		}
	}
}

// free gives the blocks that there should be room for; false if nothing fresh is known.
func (l *ledger) free(now ids.Tick) (int, bool) {
	if l.Room == 0 || now.Past(l.at, reportOld) {
		return 0, false
	}
	used, shown := l.Used, l.at.Add(-reportLag)
	for _, h := range l.holds {
		switch before := h.at.Before(shown); {
		case !before && h.ended == 0: // it may not be shown yet
			used += h.all
		case before && l.at.Before(h.ended): // it is shown, and gone
			used -= h.own
		}
	}
	return l.Room - max(0, used), true
}
