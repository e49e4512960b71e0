// Timestamps of the steps of an exchange, for the metrics.

package proxy

import (
	"time"

	"keelstair.example/ids"
	"keelstair.example/internal/exchangemetrics"
)

// exchangeTiming holds the timestamps of one exchange's steps; zero for a step that did not happen.
type exchangeTiming struct {
	prefillSent, prefillEnded ids.Tick
	prefillExpected           time.Duration
	firstEvent, lastEvent     ids.Tick
	longestPause              time.Duration
}

// recordEvents records that events were sent to the caller.
func (e *exchangeTiming) recordEvents(now ids.Tick) {
	if e.firstEvent == 0 {
		e.firstEvent = now
	} else {
		e.longestPause = max(e.longestPause, now.Since(e.lastEvent))
	}
	e.lastEvent = now
}

// durations returns the durations of the steps of an exchange, given its arrival and its end. An answer
// without events counts as one event at the end.
func (e *exchangeTiming) durations(at, ended ids.Tick) exchangemetrics.StepDurations {
	first := e.firstEvent
	if first == 0 {
		first = ended
	}
	out := exchangemetrics.StepDurations{LongestPause: e.longestPause}
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

// targets returns the latency targets of the exchange's route.
func (t *exchange) targets() exchangemetrics.Targets {
	return exchangemetrics.Targets{
		FirstEvent: t.route.LatencyTarget(),
		Pause:      time.Duration(t.route.TokenIntervalMs) * time.Millisecond,
	}
}
