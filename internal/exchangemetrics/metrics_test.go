package exchangemetrics

import (
	"io"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

// TestCauseOf checks that a late first event is attributed to the longest step before it, that a long pause
// counts only if the first event was in time, and that an exchange without targets always has the cause Met.
func TestCauseOf(t *testing.T) {
	targets := Targets{FirstEvent: 400 * ms, Pause: 200 * ms}
	for _, c := range []struct {
		times StepDurations
		want  Cause
	}{
		{StepDurations{Prefill: 300 * ms, Transfer: 100 * ms}, Met},
		{StepDurations{Prefill: 300 * ms, Transfer: 101 * ms}, Prefill},
		{StepDurations{PrefillQueue: 301 * ms, Prefill: 300 * ms, LongestPause: time.Second}, PrefillQueue},
		{StepDurations{Prefill: 100 * ms, Transfer: 350 * ms}, Transfer},
		{StepDurations{Admission: 500 * ms}, Admission},
		{StepDurations{Prefill: 100 * ms, LongestPause: 201 * ms}, Pause},
	} {
		require.Equal(t, c.want, CauseOf(c.times, targets), "%+v", c.times)
	}
	require.Equal(t, Met, CauseOf(StepDurations{Prefill: time.Hour, LongestPause: time.Hour}, Targets{}))
}

// TestHandlerAndSummary checks that counted exchanges appear in the served text by service, size and cause,
// and in the summary line.
func TestHandlerAndSummary(t *testing.T) {
	m := New()
	targets := Targets{FirstEvent: 400 * ms}
	m.Observe("s", 1024, StepDurations{Prefill: 100 * ms, Transfer: 20 * ms}, targets)
	m.Observe("s", 1025, StepDurations{PrefillQueue: 500 * ms, Prefill: 100 * ms, Transfer: 20 * ms}, targets)
	m.CountExchange("s", 40000, Rejected)
	m.RegisterGauge("keelstair_retries", "Retries.", func() float64 { return 7 })
	response := httptest.NewRecorder()
	m.Handler().ServeHTTP(response, httptest.NewRequest("GET", "/metrics", nil))
	body, err := io.ReadAll(response.Result().Body)
	require.NoError(t, err)
	for _, line := range []string{
		`keelstair_exchanges_total{cause="met",service="s",size="to_1k"} 1`,
		`keelstair_exchanges_total{cause="prefill_queue",service="s",size="to_4k"} 1`,
		`keelstair_exchanges_total{cause="rejected",service="s",size="over_16k"} 1`,
		`keelstair_exchange_step_seconds_count{step="prefill"} 2`,
		`keelstair_exchange_step_seconds_bucket{step="prefill_queue",le="0.8"} 2`,
		`keelstair_retries 7`,
	} {
		require.Contains(t, string(body), line)
	}
	require.Equal(t, "exchanges: met 1, prefill_queue 1, rejected 1; mean steps: "+
		"admission 0 ms, pause 0 ms, prefill 100 ms, prefill_queue 250 ms, transfer 20 ms", m.Summary())
}
