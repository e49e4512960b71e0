// Decode speed of workers, measured by this node as the pauses between the events of their responses. A
// worker that is far slower than others gets fewer requests, even if it has free capacity, because a
// response whose pauses are too long is late until its end.

package proxy

import (
	"slices"
	"time"

	"keelstair.example/ids"
)

const (
	eventGapGain    = 16          // a new pause has the weight 1/eventGapGain
	eventGapTTL     = time.Second // age above which a worker's pauses are ignored, so that it is tried again
	slowDecodeRatio = 2.0         // multiple of the usual pause above which a worker is slow
	slowDecodeCost  = 100.0       // cost in ms for each further multiple
)

// eventGap holds the moving average of the pauses between the events of a worker's responses, and the
// time of the last pause.
type eventGap struct {
	mean time.Duration
	at   ids.Tick
}

// observeEventGap records a pause between two events.
func (s *workerState) observeEventGap(pause time.Duration, now ids.Tick) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.eventGap.observe(pause, now)
}

// observe records a pause.
func (g *eventGap) observe(pause time.Duration, now ids.Tick) {
	if now.Past(g.at, eventGapTTL) {
		g.mean = pause
	} else {
		g.mean += (pause - g.mean) / eventGapGain
	}
	g.at = now
}

// current returns the mean pause; 0 if none was seen within eventGapTTL.
func (g *eventGap) current(now ids.Tick) time.Duration {
	if now.Past(g.at, eventGapTTL) {
		return 0
	}
	return g.mean
}

// addSlowDecodeCost adds a cost to workers whose pauses between events are far longer than those of
// others.
func addSlowDecodeCost(list []candidate) {
	var gaps []time.Duration
	for i := range list {
		if list[i].meanEventGap > 0 {
			gaps = append(gaps, list[i].meanEventGap)
		}
	}
	if len(gaps) < 2 {
		return
	}
	slices.Sort(gaps)
	usual := gaps[(len(gaps)-1)/4] // the lower quartile, so that half of the workers may be slow
	for i := range list {
		if beyond := float64(list[i].meanEventGap)/float64(usual) - slowDecodeRatio; beyond > 0 {
			list[i].cost += slowDecodeCost * beyond
		}
	}
}
