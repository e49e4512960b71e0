// How long the answers of each route take, as observed by this node. A node that is shutting down accepts a request
// only if its answer will probably end before the process exits.

package proxy

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	answerWindow = 64 // number of newest answers of a route whose durations are kept
	// minAnswerSamples limits how far the longest of a few answers is extrapolated.
	minAnswerSamples = 4
)

// answerTimes holds the durations of the newest complete answers of a route, from the arrival of the request to the
// end of the answer.
type answerTimes struct {
	mu        sync.Mutex
	durations []time.Duration
	next      int // index of the oldest duration, once the window is full
}

// observe records the duration of a complete answer.
func (a *answerTimes) observe(duration time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.durations) < answerWindow {
		a.durations = append(a.durations, duration)
		return
	}
	a.durations[a.next] = duration
	a.next = (a.next + 1) % answerWindow
}

// expectedLongest estimates the longest duration in a full window, 0 without any answer. The longest of n durations with
// an exponential tail grows with the logarithm of n, and the longest of fewer answers is scaled up accordingly.
func (a *answerTimes) expectedLongest() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.durations) == 0 {
		return 0
	}
	samples := max(minAnswerSamples, len(a.durations))
	scale := math.Log(answerWindow) / math.Log(float64(samples))
	return time.Duration(scale * float64(slices.Max(a.durations)))
}

// answerTimesOf returns the answer times of a route, and creates them if there are none.
func (n *Node) answerTimesOf(route string) *answerTimes {
	if v, ok := n.answerTimes.Load(route); ok {
		return v.(*answerTimes)
	}
	v, _ := n.answerTimes.LoadOrStore(route, &answerTimes{})
	return v.(*answerTimes)
}
