// When the steps of an exchange happened, for the metrics.

package proxy

import (
	"time"

	"keelstair.example/ids"
	"keelstair.example/internal/exchangemetrics"
)

// exchangeTiming holds the moments of one exchange's steps; zero for a step that there was not.
type exchangeTiming struct {
	prefillSent, prefillEnded ids.Tick
	prefillExpected           time.Duration
	firstEvent, lastEvent     ids.Tick
	longestPause              time.Duration
}

// recordEvents notes that events went out to the caller.
func (e *exchangeTiming) recordEvents(now ids.Tick) {
	if e.firstEvent == 0 {
		e.firstEvent = now
	} else {
		e.longestPause = max(e.longestPause, now.Since(e.lastEvent))
	}
	e.lastEvent = now
}

// durations gives the durations of the steps of an exchange that came at a tick and has ended. An
// answer without events has its first one at its end.
func (e *exchangeTiming) durations(at, ended ids.Tick) exchangemetrics.Times {
	first := e.firstEvent
	if first == 0 {
		first = ended
	}
	out := exchangemetrics.Times{LongestPause: e.longestPause}
	if e.prefillSent == 0 || e.prefillEnded == 0 {
		out.Transfer = first.Since(at)
		return out
	}
	took := e.prefillEnded.Since(e.prefillSent)
	out.Admission = e.prefillSent.Since(at)
	out.Prefill = min(took, e.prefillExpected)
	out.PrefillQueue = took - out.Prefill
	out.Transfer = first.Since(e.prefillEnded)
	return out
}

// targets are those of the exchange's route.
func (t *exchange) targets() exchangemetrics.Targets {
	return exchangemetrics.Targets{
		FirstEvent: t.route.LatencyTarget(),
		Pause:      time.Duration(t.route.TokenIntervalMs) * time.Millisecond,
	}
}
