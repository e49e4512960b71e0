// Package silence learns how long peers that are well usually say nothing, so that a far longer
// silence is suspicious. The estimate is that of TCP's retransmission timer (RFC 6298), a mean and a
// mean deviation, with a wider margin: a suspicion is only to have the peer asked whether it is well.
package silence

import (
	"sync"
	"time"
)

const (
	meanGain      = 1.0 / 16 // weight of a new span in the mean
	deviationGain = 1.0 / 8  // and in the deviation
	deviations    = 8        // beyond the mean before a silence is suspicious
	// MinSamples is how many silences must have been seen; with fewer the ceiling holds.
	MinSamples = 16
	// Floor is the shortest silence that is suspicious.
	Floor = 100 * time.Millisecond
)

// Estimate is the usual length of one kind of silence. The zero value has seen none. It is safe for
// use by many goroutines.
type Estimate struct {
	mu              sync.Mutex
	mean, deviation float64 // ns
	samples         int
}

// Observe takes a silence that ended with a sign of the peer.
func (e *Estimate) Observe(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	span := float64(max(0, d))
	if e.samples++; e.samples == 1 {
		e.mean, e.deviation = span, span/2
		return
	}
	apart := span - e.mean
	e.mean += meanGain * apart
	e.deviation += deviationGain * (max(apart, -apart) - e.deviation)
}

// Suspicious is the silence after which a peer is to be asked whether it is well: at most the ceiling.
func (e *Estimate) Suspicious(ceiling time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.samples < MinSamples {
		return ceiling
	}
	return min(ceiling, max(Floor, time.Duration(e.mean+deviations*e.deviation)))
}
