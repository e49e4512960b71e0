// Package handoff moves a running request from the worker that prefilled its prompt to the
// worker that decodes the rest.
//
// This file implements the ledger that tracks a worker's memory blocks. It is kept by the duty
// holder, the one node that currently has the exclusive right to send orders to the worker. Reports
// of workers lag behind, so the ledger adds what a report cannot show yet and does not count blocks
// as free that a report may still miss. Where it is inexact, it overestimates the use of memory and
// never underestimates it.
package handoff

import (
	"math"
	"sync"
	"time"

	"keelstair.example/failure"
	"keelstair.example/ids"
	"keelstair.example/internal/workerclient"
)

// reservation is the memory reserved at a worker for one attempt.
type reservation struct {
	blocks        int
	reservedAt    ids.Tick
	sentAt        ids.Tick // when the request was sent to the worker; 0 before
	endedAt       ids.Tick // when the attempt ended at the worker; 0 before
	confirmedFree bool     // the worker itself said that it has freed the blocks
}

// MemoryLedger accounts for the memory blocks and the concurrent requests of one worker, for as long
// as this node holds the worker's duty without a break.
type MemoryLedger struct {
	mu                sync.Mutex
	exclusiveSince    ids.Tick // since when the worker accepts orders from this duty holder alone
	slowStartBegin    ids.Tick // when the worker was taken over, changed its role or answered again
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

// NewMemoryLedger returns an empty ledger. It is not ready until SetExclusiveSince has been called
// and a report has been recorded that was requested at least maxReportLag later.
func NewMemoryLedger(maxReportLag, slowStart time.Duration, maxConcurrent int) *MemoryLedger {
	return &MemoryLedger{
		exclusiveSince: math.MaxInt64,
		maxReportLag:   maxReportLag,
		slowStart:      slowStart,
		maxConcurrent:  maxConcurrent,
		reservations:   map[workerclient.ID]*reservation{},
	}
}

// SetExclusiveSince records that the worker accepts orders from this duty holder alone from now on.
// The first report requested at least maxReportLag after now shows everything that an earlier holder
// ordered.
func (l *MemoryLedger) SetExclusiveSince(now ids.Tick) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.exclusiveSince, l.slowStartBegin = now, now
}

// Configure applies the limits of a newer configuration.
func (l *MemoryLedger) Configure(maxReportLag, slowStart time.Duration, maxConcurrent int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxReportLag, l.slowStart, l.maxConcurrent = maxReportLag, slowStart, maxConcurrent
}

// SetReport records a report that was requested at a tick. It deletes these reservations:
//   - those that ended more than maxReportLag before the report was requested
//   - those that were sent to the worker more than maxReportLag before that, have not ended, and are
//     not in the report
//   - those that were not sent to the worker within 15 s of being made
func (l *MemoryLedger) SetReport(r *workerclient.Report, requestedAt ids.Tick) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.report != nil && (r.Role != l.role || l.missedReports > 5) {
		l.slowStartBegin = requestedAt
	}
	l.report, l.reportRequestedAt, l.role, l.missedReports = r, requestedAt, r.Role, 0
	running := map[workerclient.ID]bool{}
	for _, v := range r.Running {
		running[v.ID] = true
	}
	for id, res := range l.reservations {
		switch {
		case res.endedAt != 0 && res.endedAt.Before(requestedAt.Add(-l.maxReportLag)):
			delete(l.reservations, id)
		case res.endedAt == 0 && res.sentAt != 0 && res.sentAt.Before(requestedAt.Add(-l.maxReportLag)) && !running[id]:
			delete(l.reservations, id)
		case res.sentAt == 0 && requestedAt.Past(res.reservedAt, 15*time.Second):
			delete(l.reservations, id)
		}
	}
}

// SetDraining stops new reservations, so that the worker drains, or admits them again.
func (l *MemoryLedger) SetDraining(draining bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = draining
}

// Idle reports whether no reservation is open and the last report shows no running or queued
// request.
func (l *MemoryLedger) Idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, res := range l.reservations {
		if res.endedAt == 0 {
			return false
		}
	}
	return l.report != nil && len(l.report.Running) == 0 && l.report.Queue == 0
}

// MarkMissedReport records that the worker did not answer a request for a report.
func (l *MemoryLedger) MarkMissedReport() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.missedReports++
}

// LedgerState is the state of a worker according to its ledger.
type LedgerState struct {
	Role           ids.Role
	Ready          bool
	FreeBlocks     int
	Capacity       int
	Outstanding    int // reservations that have not ended; requests that only the report shows are not counted
	Running        int // requests sent to the worker or reported by it
	RunningBlocks  int // blocks that the running requests hold or may grow by
	MaxConcurrent  int
	TokensPerBlock int
	Model          workerclient.Model
	Incarnation    ids.Incarnation
}

// State returns the state of the worker at a time.
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
	s.Role, s.Capacity, s.TokensPerBlock, s.Model, s.Incarnation = r.Role, r.Capacity, r.BlockSize, r.Model, r.Incarnation
	// The first report that is sure to show all orders of an earlier holder is one requested a
	// full report lag after the worker learned this holder's fencing token.
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
	reported := 0
	for _, v := range r.Running {
		reported += v.Blocks
	}
	used += max(0, r.Used-reported)
	for _, res := range l.reservations {
		if !res.confirmedFree {
			used += res.blocks
		}
		if res.endedAt != 0 {
			continue
		}
		s.Outstanding++
		if res.sentAt != 0 {
			s.Running++
			s.RunningBlocks += res.blocks
		}
	}
	s.FreeBlocks = r.Capacity - used
	return s
}

// concurrencyLimit returns the limit of concurrent requests, which rises linearly during the slow
// start, because a cold worker can take few at once.
func (l *MemoryLedger) concurrencyLimit(now ids.Tick) int {
	age := now.Since(l.slowStartBegin)
	if l.slowStart <= 0 || age >= l.slowStart {
		return l.maxConcurrent
	}
	return max(1, int(float64(l.maxConcurrent)*float64(age)/float64(l.slowStart)))
}

// Role returns the role of the worker according to its newest report.
func (l *MemoryLedger) Role() ids.Role {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.role
}

// Reserve reserves memory blocks for an attempt, or fails at once if there are too few.
func (l *MemoryLedger) Reserve(id workerclient.ID, blocks int, now ids.Tick) error {
	return l.ReserveWithHeadroom(id, blocks, 0, now)
}

// LimitWithHeadroom returns a concurrency limit less the percentage of it that is kept free, and at
// least 1.
func LimitWithHeadroom(limit, keepPercent int) int { return max(1, limit*(100-keepPercent)/100) }

// ReserveWithHeadroom reserves memory blocks for an attempt if a percentage of the worker's blocks
// and of its concurrency limit stays free.
func (l *MemoryLedger) ReserveWithHeadroom(id workerclient.ID, blocks, keepPercent int, now ids.Tick) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reservations[id] != nil {
		return nil
	}
	s := l.state(now)
	if keepPercent > 0 {
		s.FreeBlocks -= s.Capacity * keepPercent / 100
		s.MaxConcurrent = LimitWithHeadroom(s.MaxConcurrent, keepPercent)
	}
	switch {
	case !s.Ready:
		return failure.New(failure.NotExecuted, "reserve", "", "the worker is draining, or no report is recent enough")
	case s.Outstanding >= s.MaxConcurrent:
		return failure.New(
			failure.NotExecuted, "reserve", "", "%d requests are outstanding, the limit is %d", s.Outstanding, s.MaxConcurrent,
		)
	case s.FreeBlocks < blocks:
		return failure.New(failure.NotExecuted, "reserve", "", "%d blocks free, %d needed", s.FreeBlocks, blocks)
	}
	l.reservations[id] = &reservation{blocks: blocks, reservedAt: now}
	return nil
}

// HasReservation reports whether an attempt has an open reservation.
func (l *MemoryLedger) HasReservation(id workerclient.ID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	res := l.reservations[id]
	return res != nil && res.endedAt == 0
}

// MarkSent records that the request is sent to the worker.
func (l *MemoryLedger) MarkSent(id workerclient.ID, now ids.Tick) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if res := l.reservations[id]; res != nil && res.sentAt == 0 {
		res.sentAt = now
	}
}

// MarkEnded records that the attempt has ended at this worker. If the worker itself said so, its
// blocks are free at once, even if a late report still lists it; otherwise they count as used
// until a report shows them free.
func (l *MemoryLedger) MarkEnded(id workerclient.ID, confirmed bool, now ids.Tick) {
	l.mu.Lock()
	defer l.mu.Unlock()
	res := l.reservations[id]
	switch {
	case res == nil:
	case res.sentAt == 0:
		delete(l.reservations, id)
	default:
		res.confirmedFree = res.confirmedFree || confirmed
		if res.endedAt == 0 {
			res.endedAt = now
		}
	}
}
