package proxy

import (
	"fmt"
	"io"
	"net/http/httptest"
	"regexp"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/ids"
	"keelstair.example/internal/exchangemetrics"
)

// TestExchangeStepTimes: the steps of an exchange add up to the time until its first event, with and without
// a separate prefill. Prefill time beyond the estimate counts as queueing.
func TestExchangeStepTimes(t *testing.T) {
	const ms = time.Millisecond
	at := ids.Tick(time.Hour)
	timing := exchangeTiming{
		prefillSent:     at.Add(10 * ms),
		prefillEnded:    at.Add(310 * ms),
		prefillExpected: 100 * ms,
	}
	for _, event := range []time.Duration{350, 360, 500} {
		timing.recordEvents(at.Add(event * ms))
	}
	want := exchangemetrics.StepDurations{
		Admission:    10 * ms,
		PrefillQueue: 200 * ms,
		Prefill:      100 * ms,
		Transfer:     40 * ms,
		LongestPause: 140 * ms,
	}
	require.Equal(t, want, timing.durations(at, at.Add(time.Second)))
	require.Equal(t, 350*ms, want.FirstEvent())
	direct := exchangeTiming{}
	require.Equal(t, exchangemetrics.StepDurations{Transfer: 70 * ms}, direct.durations(at, at.Add(70*ms)))
}

// TestMetricsCountExchanges: the metrics endpoints of the nodes count every exchange once, by the cause of a
// missed target.
func TestMetricsCountExchanges(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 4)...)
		f := startFleet(t, 77, 2, platform, defaultConfiguration(), nil)
		defer f.close()
		results := f.generateLoad(40, 3*time.Second, func(i int) *Request {
			return f.newRequest(fmt.Sprint("r", i), routePaths[i%4], 400, 4)
		})
		counted := 0
		counter := regexp.MustCompile(`(?m)^keelstair_exchanges_total\{cause="(\w+)",service="svc",size="to_1k"\} (\d+)$`)
		for _, node := range f.nodes {
			recorder := httptest.NewRecorder()
			node.metrics.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
			body, err := io.ReadAll(recorder.Result().Body)
			require.NoError(t, err)
			for _, found := range counter.FindAllStringSubmatch(string(body), -1) {
				n, err := strconv.Atoi(found[2])
				require.NoError(t, err)
				counted += n
			}
			require.Contains(t, node.Summary(), "exchanges: ")
		}
		require.Equal(t, len(results), counted)
	})
}
