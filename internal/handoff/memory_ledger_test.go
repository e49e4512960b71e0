// The ledger against reports that are late in every way they may be.

package handoff

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/ids"
	"keelstair.example/internal/workerclient"
)

const lag = 500 * time.Millisecond

func at(ms int) ids.Tick { return ids.Tick(time.Duration(ms) * time.Millisecond) }

func report(used int, on ...workerclient.Running) *workerclient.Report {
	return &workerclient.Report{Role: ids.Decode, Used: used, Capacity: 100, Block: 16, Running: on}
}

func begun(ms int, ramp time.Duration, limit int) *MemoryLedger {
	l := NewMemoryLedger(lag, ramp, limit)
	l.Begin(at(ms))
	return l
}

func one(n int) workerclient.ID { return workerclient.ID{Request: string(rune('a' + n)), Attempt: 1} }

// TestLedgerWaits: a new holder books nothing before a report that surely shows
// all that the one before it ordered.
func TestLedgerWaits(t *testing.T) {
	l := begun(1000, 0, 8)
	l.Report(report(0), at(1100))
	require.Error(t, l.Reserve(one(0), 1, at(1110)))
	l.Report(report(30, workerclient.Running{ID: one(9), Blocks: 30, Reserved: 60}), at(1500))
	require.NoError(t, l.Reserve(one(0), 10, at(1510)))
	require.Error(t, l.Reserve(one(1), 1, at(1511)))
}

// TestLedgerLag: reports that do not show an import yet, or still show an ended
// one, never make the worker look emptier than it is.
func TestLedgerLag(t *testing.T) {
	l := begun(0, 0, 8)
	l.Report(report(0), at(600))
	require.NoError(t, l.Reserve(one(0), 60, at(610)))
	l.Moved(one(0), at(620))
	l.Report(report(0), at(800))
	require.Equal(t, 40, l.State(at(800)).Free, "the import is not in the report")
	l.Report(report(50, workerclient.Running{ID: one(0), Blocks: 50, Reserved: 10}), at(1300))
	require.Equal(t, 40, l.State(at(1300)).Free, "counted once")
	l.Ended(one(0), false, at(1310))
	l.Report(report(50, workerclient.Running{ID: one(0), Blocks: 50, Reserved: 10}), at(1500))
	require.Equal(t, 40, l.State(at(1500)).Free, "the completion is not in the report")
	l.Report(report(0), at(1900))
	require.Equal(t, 100, l.State(at(1900)).Free)
	require.NoError(t, l.Reserve(one(1), 60, at(1910)))
	l.Moved(one(1), at(1920))
	l.Report(report(50, workerclient.Running{ID: one(1), Blocks: 50, Reserved: 10}), at(2500))
	l.Ended(one(1), true, at(2510))
	require.Equal(t, 100, l.State(at(2520)).Free, "the worker said so itself; the old report is not believed")
}

// TestLedgerNeverOverbooks plays a worker whose reports are up to the lag old
// against the ledger: what the ledger lets through always fits.
func TestLedgerNeverOverbooks(t *testing.T) {
	for seed := uint64(1); seed <= 200; seed++ {
		r := rand.New(rand.NewPCG(seed, 3))
		l := begun(0, 0, 1000)
		type run struct{ blocks, start, end int }
		truth := map[workerclient.ID]run{}
		var history []*workerclient.Report
		taken := 0
		for now := 0; now < 8000; now += 10 {
			used := 0
			rep := report(0)
			for id, v := range truth {
				if v.end <= now {
					l.Ended(id, true, at(now))
					delete(truth, id)
					continue
				}
				used += v.blocks
				rep.Running = append(rep.Running, workerclient.Running{ID: id, Blocks: v.blocks})
			}
			require.LessOrEqual(t, used, 100, "seed %d at %d ms", seed, now)
			rep.Used = used
			history = append(history, rep)
			if now%200 == 0 {
				l.Report(history[max(0, len(history)-1-r.IntN(49))], at(now))
			}
			if r.IntN(4) == 0 {
				id := workerclient.ID{Request: string(rune(now)), Attempt: int(seed)}
				n := 1 + r.IntN(30)
				if l.Reserve(id, n, at(now)) == nil {
					l.Moved(id, at(now))
					truth[id] = run{n, now, now + 50 + r.IntN(900)}
					taken++
				}
			}
		}
		require.Greater(t, taken, 20, "seed %d", seed)
	}
}

// TestRamp: a cold worker takes few starts, then more.
func TestRamp(t *testing.T) {
	l := begun(0, 2*time.Second, 16)
	l.Report(report(0), at(600))
	require.Equal(t, 4, l.State(at(600)).MaxConcurrent)
	for n := range 4 {
		require.NoError(t, l.Reserve(one(n), 1, at(600)))
	}
	require.Error(t, l.Reserve(one(5), 1, at(600)))
	require.Equal(t, 16, l.State(at(2100)).MaxConcurrent)
	back := report(0)
	back.Role = ids.Prefill
	l.Report(back, at(3000))
	require.Equal(t, 4, l.State(at(3500)).MaxConcurrent, "a switched worker is cold again")
}

// TestBeside: work that must leave a share free finds neither its blocks nor its starts;
// other work does.
func TestBeside(t *testing.T) {
	l := begun(0, 0, 4)
	l.Report(report(50), at(600))
	now := at(610)
	require.Error(t, l.ReserveBeside(one(0), 31, 20, now), "50 are free, 20 of 100 stay so")
	require.NoError(t, l.ReserveBeside(one(0), 30, 20, now))
	require.Error(t, l.ReserveBeside(one(1), 1, 20, now))
	require.NoError(t, l.Reserve(one(1), 10, now))
	require.Error(t, l.Reserve(one(2), 11, now))
	require.NoError(t, l.Reserve(one(2), 1, now))
	require.Error(t, l.ReserveBeside(one(3), 1, 1, now), "a start of four stays free")
	require.NoError(t, l.Reserve(one(3), 1, now))
	require.Error(t, l.Reserve(one(4), 1, now))
}
