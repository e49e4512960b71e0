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

// TestExchangeTimes: the steps of an exchange add up to the time until its first event, with and
// without a prefill of its own, and a read beyond what was reckoned counts as waiting.
func TestExchangeTimes(t *testing.T) {
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
	want := exchangemetrics.Times{
		Admission:    10 * ms,
		PrefillQueue: 200 * ms,
		Prefill:      100 * ms,
		Transfer:     40 * ms,
		LongestPause: 140 * ms,
	}
	require.Equal(t, want, timing.durations(at, at.Add(time.Second)))
	require.Equal(t, 350*ms, want.FirstEvent())
	direct := exchangeTiming{}
	require.Equal(t, exchangemetrics.Times{Transfer: 70 * ms}, direct.durations(at, at.Add(70*ms)))
}

// TestMetricsCountExchanges: every exchange of a fleet under load is counted once, by the cause by
// which it missed its targets, and the endpoint of each node shows it.
func TestMetricsCountExchanges(t *testing.T) {
	bubble(t, func(t *testing.T) {
		y := newCluster(both("svc", 3, 4)...)
		f := build(t, 77, 2, y, plain(), nil)
		defer f.close()
		all := f.load(40, 3*time.Second, func(i int) *Request {
			return f.req(fmt.Sprint("r", i), paths[i%4], 400, 4)
		})
		counted := 0
		row := regexp.MustCompile(`(?m)^keelstair_exchanges_total\{cause="(\w+)",service="svc",size="to_1k"\} (\d+)$`)
		for _, b := range f.nodes {
			answer := httptest.NewRecorder()
			b.metrics.Handler().ServeHTTP(answer, httptest.NewRequest("GET", "/metrics", nil))
			body, err := io.ReadAll(answer.Result().Body)
			require.NoError(t, err)
			for _, found := range row.FindAllStringSubmatch(string(body), -1) {
				n, err := strconv.Atoi(found[2])
				require.NoError(t, err)
				counted += n
			}
			require.Contains(t, b.Summary(), "exchanges: ")
		}
		require.Equal(t, len(all), counted)
	})
}
