// How long a worker that is well usually says nothing, learned from its answers: a silence far
// longer than that has the worker asked for its report. The estimate is that of TCP's retransmission
// timer (RFC 6298), a mean and a mean deviation, with a wider margin since a false suspicion costs a
// report and a missed one costs requests.

package proxy

import (
	"sync"
	"time"
)

const (
	silenceMeanGain      = 1.0 / 16 // weight of a new span in the mean
	silenceDeviationGain = 1.0 / 8  // and in the deviation
	silenceDeviations    = 8        // beyond the mean before a silence is suspicious
	minSilenceSamples    = 16       // with fewer the ceiling holds
	minSuspicion         = 100 * time.Millisecond
)

// silenceEstimate is the usual length of one kind of silence.
type silenceEstimate struct {
	mu              sync.Mutex
	mean, deviation float64 // ns
	samples         int
}

// observe takes a silence that has ended well.
func (e *silenceEstimate) observe(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	span := float64(max(0, d))
	if e.samples++; e.samples == 1 {
		e.mean, e.deviation = span, span/2
		return
	}
	apart := span - e.mean
	e.mean += silenceMeanGain * apart
	e.deviation += silenceDeviationGain * (max(apart, -apart) - e.deviation)
}

// suspicious is the silence after which a worker is to be asked for its report: at most the ceiling.
func (e *silenceEstimate) suspicious(ceiling time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.samples < minSilenceSamples {
		return ceiling
	}
	return min(ceiling, max(minSuspicion, time.Duration(e.mean+silenceDeviations*e.deviation)))
}

// serviceTimes is what is learned of a service's workers as a whole.
type serviceTimes struct {
	overhead   readOverhead
	prefill    silenceEstimate // beyond what is reckoned, until a prompt is read
	firstEvent silenceEstimate // until the first byte of an answer
	nextEvent  silenceEstimate // between bytes of an answer
}

func (n *Node) timesOf(service string) *serviceTimes {
	if v, ok := n.serviceTimes.Load(service); ok {
		return v.(*serviceTimes)
	}
	v, _ := n.serviceTimes.LoadOrStore(service, &serviceTimes{})
	return v.(*serviceTimes)
}
