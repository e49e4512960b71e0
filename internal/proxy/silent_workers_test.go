// What the loss of workers that say nothing more costs the requests of the others.

package proxy

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/silence"
)

// directEmissions are those that were sent without memory between two moments.
func directEmissions(rows []row, from, to time.Duration) []row {
	var out []row
	for _, k := range rows {
		if k.Kind == "emit" && k.Direct && k.At >= from && k.At < to {
			out = append(out, k)
		}
	}
	return out
}

// goDark has workers of a pool say nothing more after a while, and gives the pool's time of that.
func goDark(f *fleet, y *workerPool, after time.Duration, names ...string) time.Duration {
	at := y.now() + after
	f.wg.Go(func() {
		time.Sleep(after)
		y.at(func() {
			for _, name := range names {
				y.of(name).dark = true
			}
		})
	})
	return at
}

const (
	darkAfter = 3 * time.Second // from the beginning of the load
	darkLoad  = 6 * time.Second
)

// TestMemoryOfferedAgain: an emitting worker goes silent before it has fetched the memory of prompts.
// Another one is offered the same memory, and none reads a prompt by itself.
func TestMemoryOfferedAgain(t *testing.T) {
	bubble(t, func(t *testing.T) {
		y := newCluster(both("svc", 3, 4)...)
		f := build(t, 54, 2, y, plain(), func(o *Options) { o.RetryAllowance = 60 })
		defer f.close()
		dark := goDark(f, y, darkAfter, "svc-decode-1")
		all := f.load(60, darkLoad, func(i int) *Request { return f.req(fmt.Sprint("r", i), "/sresume/x", 400, 2) })
		require.NotEmpty(t, sentTo(y.directory(), "svc-decode-1.1", dark, time.Hour))
		require.Empty(t, directEmissions(y.directory(), 0, time.Hour))
		require.Empty(t, answers(all))
		for _, a := range all {
			require.NoError(t, a.err, a.ID)
		}
	})
}

// TestMemoryOfferedAgainGone: the silent worker had fetched the memory already, so the next one turns
// the request away: that one is sent it once more, and reads by itself.
func TestMemoryOfferedAgainGone(t *testing.T) {
	bubble(t, func(t *testing.T) {
		y := newCluster(both("svc", 3, 2)...)
		routes := ways()
		for i := range routes {
			routes[i].MaxAttempts = 2
		}
		service := fleetstate.Service{Name: "svc", Concurrency: 16, RoleChangeMs: 1000}
		f := build(t, 55, 2, y, policy(routes, service), func(o *Options) { o.RetryAllowance = 60 })
		defer f.close()
		silenced := map[string]bool{}
		y.fate = func(k row, w *stand) fate {
			if k.Kind == "emit" && !silenced[k.Req] && k.Req[len(k.Req)-1] == '0' {
				silenced[k.Req] = true
				return ranSilent
			}
			return fine
		}
		all := f.load(20, darkLoad, func(i int) *Request { return f.req(fmt.Sprint("r", i), "/sresume/x", 400, 2) })
		require.NotEmpty(t, directEmissions(y.directory(), 0, time.Hour))
		require.Empty(t, answers(all))
		for _, a := range all {
			require.NoError(t, a.err, a.ID)
		}
	})
}

// TestReadAgainElsewhere: a reading worker goes silent. What it was to read is read by another one,
// also on a route that may be sent to one worker only; no emitting worker reads by itself, and
// the repeats stay within the budget.
func TestReadAgainElsewhere(t *testing.T) {
	bubble(t, func(t *testing.T) {
		const allowance = 60
		y := newCluster(both("svc", 3, 4)...)
		f := build(t, 56, 2, y, plain(), func(o *Options) { o.RetryAllowance, o.HedgeFactor = allowance, -1 })
		defer f.close()
		dark := goDark(f, y, darkAfter, "svc-prefill-0")
		all := f.load(30, darkLoad, func(i int) *Request { return f.req(fmt.Sprint("r", i), paths[i%4], 400, 4) })
		require.NotEmpty(t, sentTo(y.directory(), "svc-prefill-0.1", dark, time.Hour))
		require.Empty(t, directEmissions(y.directory(), 0, time.Hour))
		require.Empty(t, onceOnly(y.directory(), all))
		require.Empty(t, answers(all))
		require.Empty(t, extras(y.directory(), all, 0.2, allowance, window))
		for _, a := range all {
			require.NoError(t, a.err, a.ID)
		}
	})
}

// TestReadAgainPaid: reads that are done again are taken from the retry budget, also where that is small.
func TestReadAgainPaid(t *testing.T) {
	bubble(t, func(t *testing.T) {
		const allowance, ratio = 3, 0.001
		y := newCluster(both("svc", 3, 4)...)
		f := build(t, 59, 2, y, plain(), func(o *Options) {
			o.RetryAllowance, o.RetryRatio, o.HedgeFactor = allowance, ratio, -1
		})
		defer f.close()
		dark := goDark(f, y, darkAfter, "svc-prefill-0", "svc-prefill-1")
		all := f.load(90, darkLoad, func(i int) *Request { return f.req(fmt.Sprint("r", i), "/again/x", 400, 4) })
		reads := append(
			sentTo(y.directory(), "svc-prefill-0.1", dark, time.Hour),
			sentTo(y.directory(), "svc-prefill-1.1", dark, time.Hour)...,
		)
		require.Greater(t, len(reads), allowance)
		require.Empty(t, extras(y.directory(), all, ratio, allowance, window))
	})
}

// TestFoundSoon: once the usual silences of workers are known, one that says nothing is found
// after a silence far beyond them and the time for its report, and gets nothing more from then on.
func TestFoundSoon(t *testing.T) {
	bubble(t, func(t *testing.T) {
		y := newCluster(both("svc", 3, 4)...)
		f := build(t, 57, 2, y, plain(), func(o *Options) { o.RetryAllowance = 60 })
		defer f.close()
		dark := goDark(f, y, darkAfter, "svc-decode-1")
		f.load(60, darkLoad, func(i int) *Request { return f.req(fmt.Sprint("r", i), "/once/x", 400, 4) })
		const found = silence.Floor + 150*time.Millisecond
		require.NotEmpty(t, sentTo(y.directory(), "svc-decode-1.1", dark, time.Hour))
		require.Empty(t, sentTo(y.directory(), "svc-decode-1.1", dark+found, dark+time.Second))
	})
}

// TestLostEmittersReplaced: two of three emitting workers go silent under load. As many reading ones
// are told to emit within a second and a half.
func TestLostEmittersReplaced(t *testing.T) {
	eachSeed(t, 6, func(t *testing.T, seed uint64) {
		y := newCluster(both("svc", 6, 3)...)
		f := build(t, seed, 3, y, plain(), func(o *Options) {
			turning(o)
			o.IdlePrefillShare = 0.667
		})
		defer f.close()
		y.pressed(ids.Decode, 4) // a quarter of their places, all the time
		dark := goDark(f, y, 8*time.Second, "svc-decode-0", "svc-decode-1")
		f.load(40, 12*time.Second, func(i int) *Request { return f.req(fmt.Sprint("r", i), "/sresume/x", 400, 3) })
		var told []row
		for _, k := range orders(y.directory()) {
			if k.To == ids.Decode && k.At >= dark {
				told = append(told, k)
			}
		}
		require.GreaterOrEqual(t, len(told), 2)
		require.Less(t, told[1].At-dark, 1500*time.Millisecond, "%v", told)
	})
}

// TestRolesAfterLoss: as many workers change their role at once as were lost, but no more than the
// pressure on those that are left asks for, and each role keeps its least.
func TestRolesAfterLoss(t *testing.T) {
	rows := func(readers, emitters int) (out []workerReport) {
		for i := range readers + emitters {
			role := ids.Prefill
			if i >= readers {
				role = ids.Decode
			}
			out = append(out, workerReport{&Report{Role: role, Running: 1}, &Worker{ID: ids.WorkerID(fmt.Sprint(i))}})
		}
		return out
	}
	for _, c := range []struct {
		readers, emitters int
		read, emit        float64
		lost              roleCounts
		want              int
		to                ids.Role
	}{
		{6, 1, 1, 0.74, roleCounts{0, 2}, 2, ids.Decode},
		{6, 1, 1, 0.74, roleCounts{0, 1}, 1, ids.Decode},
		{6, 1, 1, 0.4, roleCounts{0, 2}, 1, ids.Decode},
		{4, 1, 1, 0.74, roleCounts{0, 4}, 2, ids.Decode},
		{40, 20, 1, 0.375, roleCounts{20, 10}, 5, ids.Decode},
		{1, 6, 3, 0.05, roleCounts{2, 0}, 2, ids.Prefill},
		{6, 3, 1, 0.25, roleCounts{1, 0}, 0, ""},
	} {
		some, to := chooseRoleChange(rows(c.readers, c.emitters), c.read, c.emit, -1, c.lost)
		require.Len(t, some, c.want, "%+v", c)
		require.Equal(t, c.to, to, "%+v", c)
	}
}
