// Package handoff is the hand-over: moving a live request from the worker that
// read its prompt to the one that continues it. This file is the ledger that a
// worker's one duty holder keeps of its blocks. Reports are late, so the ledger
// adds what a report cannot show yet and never counts on what it may still
// show; whatever it errs by makes a worker look fuller.
package handoff

import (
	"math"
	"sync"
	"time"

	"keelstair.example/failure"
	"keelstair.example/ids"
	"keelstair.example/internal/workerclient"
)

type reservation struct {
	blocks        int
	reservedAt    ids.Tick // when it was reserved
	sentAt        ids.Tick // when the worker took it
	endedAt       ids.Tick
	confirmedFree bool // the worker itself said that it has freed it
}

// MemoryLedger of one worker under one grant.
type MemoryLedger struct {
	mu                sync.Mutex
	exclusiveSince    ids.Tick
	slowStartBegin    ids.Tick // when the worker was first seen ready, for the ramp
	maxReportLag      time.Duration
	slowStart         time.Duration
	maxConcurrent     int
	role              ids.Role
	report            *workerclient.Report
	reportRequestedAt ids.Tick
	reservations      map[workerclient.ID]*reservation
	missedReports     int
	draining          bool
}

// NewMemoryLedger begins with nothing known, and is of no use before Begin.
func NewMemoryLedger(lag, ramp time.Duration, limit int) *MemoryLedger {
	return &MemoryLedger{
		exclusiveSince: math.MaxInt64,
		maxReportLag:   lag,
		slowStart:      ramp,
		maxConcurrent:  limit,
		reservations:   map[workerclient.ID]*reservation{},
	}
}

// SetExclusiveFrom notes from when on the worker obeys this holder alone: what an earlier
// one ordered shows in the first report that is surely younger.
func (l *MemoryLedger) SetExclusiveFrom(now ids.Tick) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.exclusiveSince, l.slowStartBegin = now, now
}

// Configure takes limits that a newer policy sets.
func (l *MemoryLedger) Configure(lag, ramp time.Duration, limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxReportLag, l.slowStart, l.maxConcurrent = lag, ramp, limit
}

// SetReport takes a report that was asked for at a tick.
func (l *MemoryLedger) SetReport(r *workerclient.Report, asked ids.Tick) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.report != nil && (r.Role != l.role || l.missedReports > 5) {
		l.slowStartBegin = asked
	}
	l.report, l.reportRequestedAt, l.role, l.missedReports = r, asked, r.Role, 0
	on := map[workerclient.ID]bool{}
	for _, v := range r.Running {
		on[v.ID] = true
	}
	for id, h := range l.reservations {
		switch {
		case h.endedAt != 0 && h.endedAt.Before(asked.Add(-l.maxReportLag)):
			delete(l.reservations, id)
		case h.endedAt == 0 && h.sentAt != 0 && h.sentAt.Before(asked.Add(-l.maxReportLag)) && !on[id]:
			delete(l.reservations, id)
		case h.sentAt == 0 && asked.Past(h.reservedAt, 15*time.Second):
			delete(l.reservations, id)
		}
	}
}

// SetDraining keeps new work away, so that the worker drains; or lets it come again.
func (l *MemoryLedger) SetDraining(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = on
}

// Idle tells that nothing is booked and the last report shows nothing.
func (l *MemoryLedger) Idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range l.reservations {
		if h.endedAt == 0 {
			return false
		}
	}
	return l.report != nil && len(l.report.Running) == 0 && l.report.Queue == 0
}

// MarkMissedReport notes that the worker did not answer.
func (l *MemoryLedger) MarkMissedReport() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.missedReports++
}

// LedgerState is what the ledger says of its worker now.
type LedgerState struct {
	Role           ids.Role
	Ready          bool
	FreeBlocks     int
	Capacity       int
	Outstanding    int
	Running        int // of the busy, begun at the worker
	RunningBlocks  int // blocks that the begun ones hold or may grow by
	MaxConcurrent  int
	TokensPerBlock int
	Model          workerclient.Model
	Incarnation    ids.Incarnation
}

// State returns what the ledger says of its worker at a time.
func (l *MemoryLedger) State(now ids.Tick) LedgerState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state(now)
}

func (l *MemoryLedger) state(now ids.Tick) LedgerState {
	s := LedgerState{MaxConcurrent: l.concurrencyLimit(now)}
	r := l.report
	if r == nil || l.exclusiveSince == math.MaxInt64 {
		return s
	}
	s.Role, s.Capacity, s.TokensPerBlock, s.Model, s.Incarnation = r.Role, r.Capacity, r.Block, r.Model, r.Incarnation
	// The first report that shows all of an earlier holder's orders was asked
	// for one lag after the worker knew this holder's fence.
	s.Ready = !l.draining && l.missedReports < 3 && !now.Past(l.reportRequestedAt, 2*time.Second) &&
		!l.reportRequestedAt.Before(l.exclusiveSince.Add(l.maxReportLag))
	used := 0
	for _, v := range r.Running {
		if l.reservations[v.ID] == nil {
			used += v.Blocks + v.Reserved
			s.Running++
			s.RunningBlocks += v.Blocks + v.Reserved
		}
	}
	shown := 0
	for _, v := range r.Running {
		shown += v.Blocks
	}
	used += max(0, r.Used-shown)
	for _, h := range l.reservations {
		if !h.confirmedFree {
			used += h.blocks
		}
		if h.endedAt != 0 {
			continue
		}
		s.Outstanding++
		if h.sentAt != 0 {
			s.Running++
			s.RunningBlocks += h.blocks
		}
	}
	s.FreeBlocks = r.Capacity - used
	return s
}

// concurrencyLimit ramps up: a cold worker takes few starts at once.
func (l *MemoryLedger) concurrencyLimit(now ids.Tick) int {
	age := now.Since(l.slowStartBegin)
	if l.slowStart <= 0 || age >= l.slowStart {
		return l.maxConcurrent
	}
	return max(1, int(float64(l.maxConcurrent)*float64(age)/float64(l.slowStart)))
}

// Role is what the worker plays by its newest report.
func (l *MemoryLedger) Role() ids.Role {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.role
}

// Reserve books room for a hand-over, or says at once that there is none.
func (l *MemoryLedger) Reserve(id workerclient.ID, blocks int, now ids.Tick) error {
	return l.ReserveWithHeadroom(id, blocks, 0, now)
}

// LimitWithHeadroom is how many of a cap's starts there are beside so many percent that are kept.
func LimitWithHeadroom(limit, keep int) int { return max(1, limit*(100-keep)/100) }

// ReserveWithHeadroom books room that leaves so many percent of all room and starts free.
func (l *MemoryLedger) ReserveWithHeadroom(id workerclient.ID, blocks, keep int, now ids.Tick) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reservations[id] != nil {
		return nil
	}
	s := l.state(now)
	if keep > 0 {
		s.FreeBlocks -= s.Capacity * keep / 100
		s.MaxConcurrent = LimitWithHeadroom(s.MaxConcurrent, keep)
	}
	switch {
	case !s.Ready:
		return failure.New(failure.NotExecuted, "reserve", "", "no report young enough")
	case s.Outstanding >= s.MaxConcurrent:
		return failure.New(
			failure.NotExecuted, "reserve", "", "%d starts are under way, the cap is %d", s.Outstanding, s.MaxConcurrent,
		)
	case s.FreeBlocks < blocks:
		return failure.New(failure.NotExecuted, "reserve", "", "%d blocks free, %d needed", s.FreeBlocks, blocks)
	}
	l.reservations[id] = &reservation{blocks: blocks, reservedAt: now}
	return nil
}

// HasReservation tells whether a hand-over has its room booked.
func (l *MemoryLedger) HasReservation(id workerclient.ID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.reservations[id]
	return h != nil && h.endedAt == 0
}

// MarkSent notes that the worker took the request in.
func (l *MemoryLedger) MarkSent(id workerclient.ID, now ids.Tick) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if h := l.reservations[id]; h != nil && h.sentAt == 0 {
		h.sentAt = now
	}
}

// MarkEnded notes that the request is done here. If the worker itself said so, its
// room is free at once, and a late report that still lists it is not believed;
// else the room counts as taken until a report shows it free.
func (l *MemoryLedger) MarkEnded(id workerclient.ID, sure bool, now ids.Tick) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.reservations[id]
	switch {
	case h == nil:
	case h.sentAt == 0:
		delete(l.reservations, id)
	default:
		h.confirmedFree = h.confirmedFree || sure
		if h.endedAt == 0 {
			h.endedAt = now
		}
	}
}
