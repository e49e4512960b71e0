// Requests from end to end: calm loads, workers that fail, streams that are cut, and
// memory that nobody fetches.

package proxy

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/ids"
)

var paths = []string{"/once/x", "/again/x", "/stream/x", "/sresume/x"}

// TestCalm: with nothing broken every request is read at a reading worker, its memory is
// fetched once, it is emitted at an emitting worker and passed on whole; nothing is left
// over, and nothing comes to any worker twice.
func TestCalm(t *testing.T) {
	bubble(t, func(t *testing.T) {
		y := newCluster(both("svc", 4, 4)...)
		f := build(t, 1, 3, y, plain(), nil)
		defer f.close()
		all := f.load(60, 8*time.Second, func(i int) *Request { return f.req(fmt.Sprint("r", i), paths[i%4], 1500, 8) })
		rows := y.directory()
		require.Empty(t, onceOnly(rows, all))
		require.Empty(t, ended(all, 4*time.Second))
		require.Empty(t, answers(all))
		require.Empty(t, kept(y))
		reads, emits := map[string]int{}, map[string]int{}
		for _, k := range rows {
			switch k.Kind {
			case "read":
				reads[k.Req]++
				require.Contains(t, string(k.Worker), "prefill")
			case "emit":
				emits[k.Req]++
				require.Contains(t, string(k.Worker), "decode")
			}
		}
		for _, a := range all {
			require.NoError(t, a.err)
			require.Equal(t, 1, reads[a.ID], a.ID)
			require.Equal(t, 1, emits[a.ID], a.ID)
		}
		for name, h := range y.handles {
			require.Equal(t, 1, h.had, name)
		}
	})
}

// TestSameReader: prompts that begin alike fall to the same reading worker on every node,
// as long as it is not much busier than the others.
func TestSameReader(t *testing.T) {
	bubble(t, func(t *testing.T) {
		y := newCluster(both("svc", 5, 3)...)
		f := build(t, 2, 3, y, plain(), nil)
		defer f.close()
		all := f.load(12, 10*time.Second, func(i int) *Request {
			r := f.req(fmt.Sprint("r", i), "/once/x", 8000, 2)
			r.Segments = []PromptSegment{
				{ID: fmt.Sprint("system-", i/3%4), Tokens: 7900},
				{ID: "last-" + r.ID, Tokens: 100},
			}
			return r
		})
		at, used := map[string]map[ids.WorkerID]int{}, map[ids.WorkerID]bool{}
		begin := map[string]string{}
		for _, a := range all {
			require.NoError(t, a.err)
			begin[a.ID] = a.Segments[0].ID
		}
		for _, k := range y.directory() {
			if k.Kind == "read" {
				b := begin[k.Req]
				if at[b] == nil {
					at[b] = map[ids.WorkerID]int{}
				}
				at[b][k.Worker]++
				used[k.Worker] = true
			}
		}
		for b, w := range at {
			require.Len(t, w, 1, "%s is read at %v", b, w)
		}
		require.Greater(t, len(used), 1, "beginnings spread over workers")
	})
}

// TestOnceOnly: whatever a worker does to one call (reset before the answer or in its
// middle, silence to the deadline, another request's answer, no stamp, a 500, memory that
// is lost, turning away, no connection), what may not be repeated never runs twice nor
// ends in a refusal after it was offered; a refusal always means that nothing ran.
func TestOnceOnly(t *testing.T) {
	for how, name := range map[fate]string{
		unreached:  "unreached",
		turnedAway: "turned-away",
		ranReset:   "reset-before-answer",
		idleReset:  "reset-not-run",
		ranSilent:  "silent",
		idleSilent: "silent-not-run",
		midReset:   "reset-mid-answer",
		foreign:    "another's-answer",
		bare:       "no-stamp",
		failed:     "failed",
		lostMemory: "memory-lost",
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				y := newCluster(both("svc", 2, 3)...)
				hit := map[string]bool{}
				y.fate = func(k row, _ *stand) fate {
					if k.Kind == "emit" && !hit[k.Req] {
						hit[k.Req] = true
						return how
					}
					return fine
				}
				f := build(t, 3, 2, y, plain(), nil)
				defer f.close()
				all := f.load(4, 5*time.Second, func(i int) *Request {
					return f.req(fmt.Sprint("r", i), paths[i%4], 500, 8)
				})
				require.Empty(t, onceOnly(y.directory(), all))
				require.Empty(t, ended(all, 8500*time.Millisecond))
				require.Empty(t, answers(all))
				for _, a := range all {
					if _, no := a.err.(*RejectedError); no {
						require.NotContains(t, []fate{ranReset, ranSilent, midReset, foreign, bare, failed}, how)
					}
					if !a.again && (how == ranReset || how == ranSilent || how == midReset || how == foreign ||
						how == bare) {
						require.IsType(t, &AbortedError{}, a.err, a.Path)
					}
				}
			})
		})
	}
}

// TestFaultStorm: with random faults at every fifth call, workers that restart or go
// silent, and queues that are full, the same holds over all requests, each ends within
// its deadline, and streams are passed on in whole events, each once and in order.
func TestFaultStorm(t *testing.T) {
	eachSeed(t, 10, func(t *testing.T, seed uint64) {
		all := both("svc", 3, 4)
		for _, w := range all {
			w.Concurrency = 6
		}
		y := newCluster(all...)
		rng := rand.New(rand.NewPCG(seed, 5))
		y.fate = func(row, *stand) fate {
			if rng.IntN(5) > 0 {
				return fine
			}
			return []fate{
				unreached, turnedAway, ranReset, idleReset, ranSilent, idleSilent, midReset, foreign, bare,
				failed, lostMemory,
			}[rng.IntN(11)]
		}
		f := build(t, seed, 3, y, plain(), func(o *Options) { o.RetryAllowance = 20 })
		defer f.close()
		f.wg.Go(func() {
			for i := range 5 {
				time.Sleep(1500 * time.Millisecond)
				name := all[(int(seed)+3*i)%len(all)].name
				if i%2 == 0 {
					y.restart(name)
				} else {
					y.at(func() { y.of(name).dark = true })
					time.Sleep(1200 * time.Millisecond)
					y.at(func() { y.of(name).dark = false })
				}
			}
		})
		got := f.load(50, 10*time.Second, func(i int) *Request {
			return f.req(fmt.Sprint("r", i), paths[i%4], 800, 10)
		})
		time.Sleep(15 * time.Second)
		rows := y.directory()
		require.Empty(t, onceOnly(rows, got))
		require.Empty(t, ended(got, 8500*time.Millisecond))
		require.Empty(t, answers(got))
		require.Empty(t, extras(rows, got, 0.2, 20, 10*time.Second))
		done := 0
		for _, a := range got {
			if a.err == nil {
				done++
			}
		}
		require.Greater(t, done*2, len(got), "most are answered")
	})
}

// TestResume: a resumable stream that is cut, or falls silent, goes on at another worker
// from the last whole event; the caller gets each event once and in order.
func TestResume(t *testing.T) {
	for _, how := range []string{"cut", "dark", "restart"} {
		t.Run(how, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				y := newCluster(both("svc", 2, 3)...)
				hit := map[string]bool{}
				y.fate = func(k row, _ *stand) fate {
					if k.Kind == "emit" && !hit[k.Req] && how == "cut" {
						hit[k.Req] = true
						return midReset
					}
					return fine
				}
				f := build(t, 4, 2, y, plain(), func(o *Options) { o.RetryAllowance = 10 })
				defer f.close()
				if how != "cut" {
					f.wg.Go(func() {
						time.Sleep(300 * time.Millisecond)
						for _, k := range y.directory() {
							if k.Kind == "emit" {
								if name := string(k.Worker[:len(k.Worker)-2]); how == "dark" {
									y.at(func() { y.of(name).dark = true })
								} else {
									y.restart(name)
								}
								return
							}
						}
					})
				}
				a := f.ask(f.nodes[0], f.req("r", "/sresume/x", 500, 60))
				require.NoError(t, a.err)
				require.Empty(t, answers([]*asked{a}))
				from, workers := "", map[ids.WorkerID]bool{}
				for _, k := range y.directory() {
					if k.Kind == "emit" {
						from = k.From
						require.False(t, workers[k.Worker], "it goes elsewhere")
						workers[k.Worker] = true
					}
				}
				require.Len(t, workers, 2)
				require.NotEmpty(t, from, "it is taken up from an event")
				if how == "cut" {
					require.Equal(t, "30", from)
				}
			})
		})
	}
}

// TestFromCaller: a caller that has some events already gets only the later ones, and no
// prompt is read for it.
func TestFromCaller(t *testing.T) {
	bubble(t, func(t *testing.T) {
		y := newCluster(both("svc", 2, 3)...)
		f := build(t, 5, 2, y, plain(), nil)
		defer f.close()
		r := f.req("r", "/sresume/x", 500, 12)
		r.LastEventID = "7"
		a := f.ask(f.nodes[0], r)
		require.NoError(t, a.err)
		require.Empty(t, answers([]*asked{a}))
		rows := y.directory()
		require.Len(t, rows, 1)
		require.Equal(t, "7", rows[0].From)
	})
}

// TestNoResume: a stream that may not go on elsewhere is broken off when it is cut, never
// completed from another worker, and no part of an event is passed on.
func TestNoResume(t *testing.T) {
	bubble(t, func(t *testing.T) {
		y := newCluster(both("svc", 2, 3)...)
		y.fate = func(k row, _ *stand) fate {
			if k.Kind == "emit" {
				return midReset
			}
			return fine
		}
		f := build(t, 6, 2, y, plain(), nil)
		defer f.close()
		a := f.ask(f.nodes[0], f.req("r", "/stream/x", 500, 20))
		require.IsType(t, &AbortedError{}, a.err)
		require.True(t, a.err.(*AbortedError).HeadSent)
		require.Empty(t, answers([]*asked{a}))
		require.Empty(t, onceOnly(y.directory(), []*asked{a}))
		require.Contains(t, a.sink.text(), "id: 10\n")
		require.NotContains(t, a.sink.text(), "id: 11")
	})
}

// TestNoStamp: a success that does not carry the worker's stamp is never passed on, not
// the first byte of it, whether or not the request may run again.
func TestNoStamp(t *testing.T) {
	bubble(t, func(t *testing.T) {
		y := newCluster(both("svc", 2, 3)...)
		y.fate = func(k row, _ *stand) fate {
			if k.Kind == "emit" {
				return bare
			}
			return fine
		}
		f := build(t, 7, 2, y, plain(), nil)
		defer f.close()
		for i, path := range paths {
			a := f.ask(f.nodes[0], f.req(fmt.Sprint("r", i), path, 500, 6))
			require.IsType(t, &AbortedError{}, a.err, path)
			require.Zero(t, a.sink.heads, path)
			require.Empty(t, a.sink.text(), path)
		}
	})
}

// TestFreed: memory whose emission is never taken by anyone (all emitting workers turn it
// away, or none is there) is given back at the worker that keeps it.
func TestFreed(t *testing.T) {
	for _, how := range []fate{turnedAway, unreached} {
		bubble(t, func(t *testing.T) {
			y := newCluster(both("svc", 2, 3)...)
			y.fate = func(k row, _ *stand) fate {
				if k.Kind == "emit" {
					return how
				}
				return fine
			}
			f := build(t, 8, 2, y, plain(), nil)
			defer f.close()
			for i, path := range paths {
				a := f.ask(f.nodes[0], f.req(fmt.Sprint("r", i), path, 500, 6))
				require.IsType(t, &RejectedError{}, a.err)
			}
			time.Sleep(2 * time.Second)
			require.Empty(t, kept(y))
			require.NotEmpty(t, y.handles)
		})
	}
}

// TestFreedAtDeadline: the caller's time ends while every emitting worker is unreachable:
// the memory is given back, and the caller is refused.
func TestFreedAtDeadline(t *testing.T) {
	bubble(t, func(t *testing.T) {
		all := both("svc", 1, 3)
		y := newCluster(all...)
		f := build(t, 9, 1, y, plain(), nil)
		defer f.close()
		y.at(func() {
			y.fate = func(k row, _ *stand) fate {
				if k.Kind == "emit" {
					return turnedAway
				}
				return fine
			}
		})
		r := f.req("r", "/once/x", 500, 6)
		r.Timeout = 40 * time.Millisecond
		a := f.ask(f.nodes[0], r)
		require.IsType(t, &RejectedError{}, a.err)
		time.Sleep(2 * time.Second)
		require.Empty(t, kept(y))
	})
}

// TestFreedWhenCallerLeft: a caller goes away at the moment at which its prompt has been
// read: nobody will fetch the memory, so it is given back.
func TestFreedWhenCallerLeft(t *testing.T) {
	bubble(t, func(t *testing.T) {
		y := newCluster(both("svc", 2, 2)...)
		f := build(t, 10, 1, y, plain(), nil)
		defer f.close()
		ctx, stop := context.WithCancel(context.Background())
		y.at(func() { y.onRead = func(*Request) { stop() } })
		a := f.askAs(ctx, f.nodes[0], f.req("r", "/once/x", 500, 6), &sink{})
		require.IsType(t, &RejectedError{}, a.err)
		require.Empty(t, onceOnly(y.directory(), []*asked{a}))
		time.Sleep(2 * time.Second)
		require.NotEmpty(t, y.handles)
		require.Empty(t, kept(y))
	})
}

// TestFreedOnSilence: an emitting worker is silent and never fetches the memory, and the
// request is taken elsewhere or ended: the memory is given back.
func TestFreedOnSilence(t *testing.T) {
	bubble(t, func(t *testing.T) {
		y := newCluster(both("svc", 2, 3)...)
		hit := map[string]bool{}
		y.fate = func(k row, _ *stand) fate {
			if k.Kind == "emit" && !hit[k.Req] {
				hit[k.Req] = true
				return idleSilent
			}
			return fine
		}
		f := build(t, 11, 1, y, plain(), func(o *Options) { o.RetryAllowance = 10 })
		defer f.close()
		for i, path := range []string{"/again/x", "/once/x"} {
			f.ask(f.nodes[0], f.req(fmt.Sprint("r", i), path, 500, 6))
			time.Sleep(2 * time.Second)
			require.Empty(t, kept(y), path)
		}
	})
}

// TestCallerGone: an answer whose caller went away is not asked for at another worker.
func TestCallerGone(t *testing.T) {
	bubble(t, func(t *testing.T) {
		y := newCluster(both("svc", 2, 3)...)
		f := build(t, 12, 1, y, plain(), func(o *Options) { o.RetryAllowance = 10 })
		defer f.close()
		for i, path := range paths {
			id := fmt.Sprint("r", i)
			a := f.askAs(context.Background(), f.nodes[0], f.req(id, path, 500, 6), &sink{broken: true})
			require.Error(t, a.err)
			emits := 0
			for _, k := range y.directory() {
				if k.Kind == "emit" && k.Req == id {
					emits++
				}
			}
			require.Equal(t, 1, emits, path)
		}
	})
}

// TestFailedStatus: a worker's own 500 is passed on where the request may not run again;
// where it may, another worker is asked.
func TestFailedStatus(t *testing.T) {
	bubble(t, func(t *testing.T) {
		y := newCluster(both("svc", 2, 3)...)
		hit := map[string]bool{}
		y.fate = func(k row, _ *stand) fate {
			if k.Kind == "emit" && !hit[k.Req] {
				hit[k.Req] = true
				return failed
			}
			return fine
		}
		f := build(t, 13, 1, y, plain(), func(o *Options) { o.RetryAllowance = 20 })
		defer f.close()
		a := f.ask(f.nodes[0], f.req("r0", "/once/x", 500, 6))
		require.NoError(t, a.err)
		require.Equal(t, 500, a.sink.status)
		a = f.ask(f.nodes[0], f.req("r1", "/again/x", 500, 6))
		require.NoError(t, a.err)
		require.Equal(t, 200, a.sink.status)
		require.Empty(t, answers([]*asked{a}))
	})
}

// TestNoParts: a service whose workers know no parts is served without moving memory
// between them twice, and what may not be repeated runs once.
func TestNoParts(t *testing.T) {
	bubble(t, func(t *testing.T) {
		y := newCluster(stands("svc", "", 3)...)
		f := build(t, 14, 2, y, plain(), nil)
		defer f.close()
		all := f.load(20, 4*time.Second, func(i int) *Request { return f.req(fmt.Sprint("r", i), paths[i%4], 500, 6) })
		require.Empty(t, onceOnly(y.directory(), all))
		require.Empty(t, answers(all))
		for _, a := range all {
			require.NoError(t, a.err)
		}
		require.Empty(t, kept(y))
	})
}
