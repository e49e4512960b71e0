// How fast workers emit, by the pauses between the events of their answers as this node sees them. A
// worker that is far slower than others gets fewer answers to emit, though it has places left: with
// too long pauses an answer is late to the end.

package proxy

import (
	"slices"
	"time"

	"keelstair.example/ids"
)

const (
	eventGapGain    = 16          // one so-manieth is the weight of a new pause
	eventGapTTL     = time.Second // after which a worker's pauses say nothing any more, so that it is tried
	slowDecodeRatio = 2.0         // times the usual pause, from which on a worker is slow
	slowDecodeCost  = 100.0       // ms for each time more
)

// eventGap is the usual pause between the events of a worker's answers, as this node sees it.
type eventGap struct {
	mean time.Duration
	at   ids.Tick
}

func (s *workerState) observeEventGap(pause time.Duration, now ids.Tick) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.eventGap.observe(pause, now)
}

// observe takes a pause.
func (g *eventGap) observe(pause time.Duration, now ids.Tick) {
	if now.Past(g.at, eventGapTTL) {
		g.mean = pause
	} else {
		g.mean += (pause - g.mean) / eventGapGain
	}
	g.at = now
}

// current gives the usual pause; 0 if none was seen of late.
func (g *eventGap) current(now ids.Tick) time.Duration {
	if now.Past(g.at, eventGapTTL) {
		return 0
	}
	return g.mean
}

// addSlowDecodeCost adds a cost to workers whose events come at far longer pauses than those of others.
func addSlowDecodeCost(list []pick) {
	var gaps []time.Duration
	for i := range list {
		if list[i].eventGap > 0 {
			gaps = append(gaps, list[i].eventGap)
		}
	}
	if len(gaps) < 2 {
		return
	}
	slices.Sort(gaps)
	usual := gaps[(len(gaps)-1)/4] // so that half of the workers may be slow
	for i := range list {
		if beyond := float64(list[i].eventGap)/float64(usual) - slowDecodeRatio; beyond > 0 {
			list[i].cost += slowDecodeCost * beyond
		}
	}
}
