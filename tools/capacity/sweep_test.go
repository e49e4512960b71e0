package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const sweepTable = `day                  own/srv  score  worth
sweep-30              31/300   0.71  0.706

middle / busiest or longest, by own machines
                                       10             100             1000  power  at null
node: processor %                 1.0 / 2.0      10.0 / 20.0      100 / 200   1.00  -
node: memory MB                  16.0 / 64.0      16.0 / 64.0      16.0 / 64.0   0.00  -
serving after a zone was lost, ms  0.00 / 0.00     4000 / 4000   30000 / 30000   2.79  -
power: the busiest grows as machines to this power
`

func writeEntry(t *testing.T, dir, name string, e entry) {
	body, err := json.Marshal(e)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(filepath.Join(dir, name), body, 0o600))
}

// TestNewestSweep checks that the newest complete sweep of the site is read, with its sizes and rows.
func TestNewestSweep(t *testing.T) {
	dir := t.TempDir()
	writeEntry(t, dir, "1.json", entry{ID: "old", Command: "sweep", Site: "a", OK: true, Digest: sweepTable})
	writeEntry(t, dir, "2.json", entry{ID: "new", Command: "sweep", Site: "a", OK: true, Digest: sweepTable})
	writeEntry(t, dir, "3.json", entry{ID: "failed", Command: "sweep", Site: "a", Digest: sweepTable})
	writeEntry(t, dir, "4.json", entry{ID: "other", Command: "sweep", Site: "b", OK: true, Digest: sweepTable})
	writeEntry(t, dir, "5.json", entry{ID: "score", Command: "score", Site: "a", OK: true})
	s, err := newestSweep(dir, "a")
	require.NoError(t, err)
	require.Equal(t, "new", s.ID)
	require.Equal(t, []int{10, 100, 1000}, s.sizes)
	require.Len(t, s.rows, 3)
	require.Equal(t, "node: processor %", s.rows[0].name)
	require.Equal(t, []float64{2, 20, 200}, s.rows[0].busiest)
	_, err = newestSweep(dir, "c")
	require.ErrorContains(t, err, "no complete sweep of c")
}

// TestFit checks that a power law is recognized and extrapolated, that a constant stays constant, that a metric with
// a value of 0 has no fit, and that values off the power law give a standard error above 0.
func TestFit(t *testing.T) {
	sizes := []int{10, 100, 1000}
	line, ok := fit(sizes, []float64{2, 20, 200}, 10000)
	require.True(t, ok)
	require.InDelta(t, 1, line.exponent, 1e-9)
	require.InDelta(t, 0, line.standardError, 1e-9)
	require.InDelta(t, 2000, line.atTarget, 1e-6)
	flat, ok := fit(sizes, []float64{64, 64, 64}, 10000)
	require.True(t, ok)
	require.InDelta(t, 64, flat.atTarget, 1e-9)
	_, ok = fit(sizes, []float64{0, 4, 5}, 10000)
	require.False(t, ok)
	scattered, _ := fit(sizes, []float64{1, 30, 100}, 10000)
	require.InDelta(t, 1, scattered.exponent, 1e-9)
	require.Greater(t, scattered.standardError, 0.1)
}

// TestPrint checks that the printed table has a row for each metric.
func TestPrint(t *testing.T) {
	s, err := parse(entry{ID: "x", Site: "a", Digest: sweepTable})
	require.NoError(t, err)
	var out strings.Builder
	s.print(&out, 10000)
	require.Contains(t, out.String(), "| node: processor % | 1 / 2 | 10 / 20 | 100 / 200 | 1.00 +- 0.00 | 1e+03 | 2e+03 |")
	require.Contains(t, out.String(), "| - | - | - |")
}
