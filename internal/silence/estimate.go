// Package silence estimates how long healthy peers usually send nothing, so that a much longer silence is
// suspicious. The estimator is that of TCP's retransmission timer (RFC 6298), a mean and a mean deviation,
// with a wider margin. A suspicious silence only triggers a probe of the peer.
package silence

import (
	"sync"
	"time"
)

const (
	meanGain        = 1.0 / 16 // weight of a new sample in the mean
	deviationGain   = 1.0 / 8  // weight of a new sample in the mean deviation
	deviationFactor = 8        // a silence longer than the mean plus this many mean deviations is suspicious
	// MinSamples is the number of samples needed for an estimate. With fewer, the timeout is the ceiling.
	MinSamples = 16
	// MinTimeout is the smallest suspicion timeout, unless the ceiling is lower.
	MinTimeout = 100 * time.Millisecond
)

// Estimate estimates the usual length of one kind of silence. The zero value has no samples. It is safe for
// concurrent use.
type Estimate struct {
	mu              sync.Mutex
	mean, deviation float64 // in nanoseconds
	samples         int
}

// Observe records the length of a silence that ended because the peer sent something. A negative length counts as
// 0.
func (e *Estimate) Observe(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	sample := float64(max(0, d))
	if e.samples++; e.samples == 1 {
		e.mean, e.deviation = sample, sample/2
		return
	}
	difference := sample - e.mean
	e.mean += meanGain * difference
	e.deviation += deviationGain * (max(difference, -difference) - e.deviation)
}

// SuspicionTimeout returns the length of a silence after which the peer should be probed, at most the ceiling.
func (e *Estimate) SuspicionTimeout(ceiling time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.samples < MinSamples {
		return ceiling
	}
	return min(ceiling, max(MinTimeout, time.Duration(e.mean+deviationFactor*e.deviation)))
}
