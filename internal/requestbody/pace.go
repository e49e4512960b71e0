package requestbody

import (
	"cmp"
	"slices"
	"time"
)

const (
	// paceSlack is the fraction of its timeout by which a body may be behind an even pace, or for which nothing of it may
	// arrive, before it gives way to others.
	paceSlack = 1.0 / 8
	// paceCheckInterval is how often clients that have fallen behind their pace are looked for while reservations wait.
	paceCheckInterval = 20 * time.Millisecond
)

// pace tells how fast a body should arrive.
type pace struct {
	interrupt   func()
	began       time.Time
	timeout     time.Duration
	length      int64 // bytes; negative if unknown
	interrupted bool
}

// beginReading records that a body is being read, from its first call on.
func (m *Memory) beginReading(body *Body, src Source) {
	if src.Interrupt == nil || src.Timeout <= 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.reading[body]; ok {
		return
	}
	m.reading[body] = struct{}{}
	body.pace = pace{interrupt: src.Interrupt, began: time.Now(), timeout: src.Timeout, length: src.Length}
}

// endReading records that a body is no longer read. It reports whether it was interrupted.
func (m *Memory) endReading(body *Body) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !body.pace.interrupted {
		delete(m.reading, body)
	}
	return body.pace.interrupted
}

// startPaceChecks checks the pace of the bodies being read now, and at intervals while reservations wait, whose number
// makes no difference. mu must be held.
func (m *Memory) startPaceChecks() {
	if !m.checkingPace {
		m.checkPace()
	}
}

// continuePaceChecks checks the pace again if reservations still wait.
func (m *Memory) continuePaceChecks() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.checkingPace = false
	if len(m.waiters) > 0 {
		m.checkPace()
	}
}

// checkPace interrupts clients that have fallen behind their pace, for the reservation that is the next in the queue,
// or else for the one that needs the fewest bytes of those that do not queue. mu must be held.
func (m *Memory) checkPace() {
	next := m.waiters[0]
	m.interruptSlowest(m.missing(next) - m.evictableBytes)
	smallest := next
	for _, r := range m.waiters {
		if !r.queues() && m.missing(r) < m.missing(smallest) {
			smallest = r
		}
	}
	if smallest != next {
		m.interruptSlowest(m.missing(smallest) - m.evictableBytes)
	}
	m.checkingPace = true
	time.AfterFunc(paceCheckInterval, m.continuePaceChecks)
}

// interruptSlowest interrupts the bodies that are furthest behind their pace, so that the given number of bytes comes
// free when their reading ends, together with those that were interrupted before. It interrupts none if that would
// not be enough. mu must be held.
func (m *Memory) interruptSlowest(missing int64) {
	slow := m.slowBodies(time.Now())
	for body := range m.reading {
		if body.pace.interrupted {
			missing -= body.reserved
		}
	}
	count := 0
	for ; count < len(slow) && missing > 0; count++ {
		missing -= slow[count].reserved
	}
	if missing > 0 {
		return
	}
	for _, body := range slow[:count] {
		body.pace.interrupted = true
		body.pace.interrupt()
	}
}

// slowBodies returns the bodies being read that are behind their pace or silent, those furthest behind first. mu must be
// held.
func (m *Memory) slowBodies(now time.Time) []*Body {
	lags := map[*Body]float64{}
	var slow []*Body
	for body := range m.reading {
		lag := body.lag(now)
		if max(lag, body.silence(now)) > paceSlack && !body.pace.interrupted {
			lags[body] = lag
			slow = append(slow, body)
		}
	}
	slices.SortFunc(slow, func(a, b *Body) int { return cmp.Compare(lags[b], lags[a]) })
	return slow
}

// silence returns for how long nothing of the body has arrived, as a fraction of its timeout. memory.mu must be held.
func (b *Body) silence(now time.Time) float64 {
	silent := now.Sub(b.pace.began) - time.Duration(b.arrivedAfter.Load())
	return float64(silent) / float64(b.pace.timeout)
}

// lag returns how far the body is behind an even pace, as a fraction of its timeout. A body of unknown length is
// compared with the memory that it holds. memory.mu must be held.
func (b *Body) lag(now time.Time) float64 {
	expected := max(b.pace.length, 1)
	if b.pace.length < 0 {
		expected = max(b.reserved, 1)
	}
	return float64(now.Sub(b.pace.began))/float64(b.pace.timeout) - float64(b.arrived.Load())/float64(expected)
}
