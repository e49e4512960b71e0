// Tests of the memory ledger with late reports.

package handoff

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/ids"
	"keelstair.example/internal/workerclient"
)

const testReportLag = 500 * time.Millisecond

func tickAt(ms int) ids.Tick { return ids.Tick(time.Duration(ms) * time.Millisecond) }

func newReport(used int, on ...workerclient.Running) *workerclient.Report {
	return &workerclient.Report{Role: ids.Decode, Used: used, Capacity: 100, BlockSize: 16, Running: on}
}

func newHeldLedger(ms int, ramp time.Duration, limit int) *MemoryLedger {
	l := NewMemoryLedger(testReportLag, ramp, limit)
	l.SetExclusiveSince(tickAt(ms))
	return l
}

func requestID(n int) workerclient.ID {
	return workerclient.ID{Request: string(rune('a' + n)), Attempt: 1}
}

// TestLedgerWaitsForReportAfterTakeover checks that a new holder reserves nothing before a report
// that is sure to show everything the previous holder ordered.
func TestLedgerWaitsForReportAfterTakeover(t *testing.T) {
	l := newHeldLedger(1000, 0, 8)
	l.SetReport(newReport(0), tickAt(1100))
	require.Error(t, l.Reserve(requestID(0), 1, tickAt(1110)))
	l.SetReport(newReport(30, workerclient.Running{ID: requestID(9), Blocks: 30, Reserved: 60}), tickAt(1500))
	require.NoError(t, l.Reserve(requestID(0), 10, tickAt(1510)))
	require.Error(t, l.Reserve(requestID(1), 1, tickAt(1511)))
}

// TestLedgerWithLateReports checks that reports that do not show an import yet, or still show an
// ended one, never make the worker look emptier than it is.
func TestLedgerWithLateReports(t *testing.T) {
	l := newHeldLedger(0, 0, 8)
	l.SetReport(newReport(0), tickAt(600))
	require.NoError(t, l.Reserve(requestID(0), 60, tickAt(610)))
	l.MarkSent(requestID(0), tickAt(620))
	l.SetReport(newReport(0), tickAt(800))
	require.Equal(t, 40, l.State(tickAt(800)).FreeBlocks, "the import is not in the report")
	l.SetReport(newReport(50, workerclient.Running{ID: requestID(0), Blocks: 50, Reserved: 10}), tickAt(1300))
	require.Equal(t, 40, l.State(tickAt(1300)).FreeBlocks, "counted once")
	l.MarkEnded(requestID(0), false, tickAt(1310))
	l.SetReport(newReport(50, workerclient.Running{ID: requestID(0), Blocks: 50, Reserved: 10}), tickAt(1500))
	require.Equal(t, 40, l.State(tickAt(1500)).FreeBlocks, "the completion is not in the report")
	l.SetReport(newReport(0), tickAt(1900))
	require.Equal(t, 100, l.State(tickAt(1900)).FreeBlocks)
	require.NoError(t, l.Reserve(requestID(1), 60, tickAt(1910)))
	l.MarkSent(requestID(1), tickAt(1920))
	l.SetReport(newReport(50, workerclient.Running{ID: requestID(1), Blocks: 50, Reserved: 10}), tickAt(2500))
	l.MarkEnded(requestID(1), true, tickAt(2510))
	require.Equal(t, 100, l.State(tickAt(2520)).FreeBlocks, "the worker confirmed the end; the late report does not count")
}

// TestLedgerNeverOverbooks simulates a worker whose reports are up to the report lag old, and
// checks that what the ledger reserves always fits.
func TestLedgerNeverOverbooks(t *testing.T) {
	for seed := uint64(1); seed <= 200; seed++ {
		r := rand.New(rand.NewPCG(seed, 3))
		l := newHeldLedger(0, 0, 1000)
		type run struct{ blocks, start, end int }
		actual := map[workerclient.ID]run{}
		var history []*workerclient.Report
		accepted := 0
		for now := 0; now < 8000; now += 10 {
			used := 0
			rep := newReport(0)
			for id, v := range actual {
				if v.end <= now {
					l.MarkEnded(id, true, tickAt(now))
					delete(actual, id)
					continue
				}
				used += v.blocks
				rep.Running = append(rep.Running, workerclient.Running{ID: id, Blocks: v.blocks})
			}
			require.LessOrEqual(t, used, 100, "seed %d at %d ms", seed, now)
			rep.Used = used
			history = append(history, rep)
			if now%200 == 0 {
				l.SetReport(history[max(0, len(history)-1-r.IntN(49))], tickAt(now))
			}
			if r.IntN(4) == 0 {
				id := workerclient.ID{Request: string(rune(now)), Attempt: int(seed)}
				n := 1 + r.IntN(30)
				if l.Reserve(id, n, tickAt(now)) == nil {
					l.MarkSent(id, tickAt(now))
					actual[id] = run{n, now, now + 50 + r.IntN(900)}
					accepted++
				}
			}
		}
		require.Greater(t, accepted, 20, "seed %d", seed)
	}
}

// TestSlowStart checks that the concurrency limit of a cold worker rises, and begins again after a
// role change.
func TestSlowStart(t *testing.T) {
	l := newHeldLedger(0, 2*time.Second, 16)
	l.SetReport(newReport(0), tickAt(600))
	require.Equal(t, 4, l.State(tickAt(600)).MaxConcurrent)
	for n := range 4 {
		require.NoError(t, l.Reserve(requestID(n), 1, tickAt(600)))
	}
	require.Error(t, l.Reserve(requestID(5), 1, tickAt(600)))
	require.Equal(t, 16, l.State(tickAt(2100)).MaxConcurrent)
	switched := newReport(0)
	switched.Role = ids.Prefill
	l.SetReport(switched, tickAt(3000))
	require.Equal(t, 4, l.State(tickAt(3500)).MaxConcurrent, "a worker is cold again after a role change")
}

// TestReserveWithHeadroom checks that a request that must leave a share free gets neither the kept
// blocks nor the kept concurrency, and that other requests do.
func TestReserveWithHeadroom(t *testing.T) {
	l := newHeldLedger(0, 0, 4)
	l.SetReport(newReport(50), tickAt(600))
	now := tickAt(610)
	require.Error(t, l.ReserveWithHeadroom(requestID(0), 31, 20, now), "50 blocks are free and 20 of 100 must stay free")
	require.NoError(t, l.ReserveWithHeadroom(requestID(0), 30, 20, now))
	require.Error(t, l.ReserveWithHeadroom(requestID(1), 1, 20, now))
	require.NoError(t, l.Reserve(requestID(1), 10, now))
	require.Error(t, l.Reserve(requestID(2), 11, now))
	require.NoError(t, l.Reserve(requestID(2), 1, now))
	require.Error(t, l.ReserveWithHeadroom(requestID(3), 1, 1, now), "one of four concurrent requests must stay free")
	require.NoError(t, l.Reserve(requestID(3), 1, now))
	require.Error(t, l.Reserve(requestID(4), 1, now))
}
