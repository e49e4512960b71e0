// Checkers over the fake platform's book and the callers' ends, and planted violations that each
// of them must catch.

package proxy

import (
	"fmt"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/ids"
)

// checkExecutions: what may not be repeated runs once at most, and does not end in a refusal
// once it was offered and not turned away; a refusal means that nothing ran.
func checkExecutions(rows []callRecord, ends []*requestResult) []string {
	var out []string
	ran, took := map[string]int{}, map[string]int{}
	for _, k := range rows {
		if k.Kind == "emit" && k.Executed {
			ran[k.RequestID]++
		}
		if k.Kind == "emit" && k.Accepted {
			took[k.RequestID]++
		}
	}
	for _, a := range ends {
		if !a.retryable && ran[a.ID] > 1 {
			out = append(out, fmt.Sprintf("%s ran %d times", a.ID, ran[a.ID]))
		}
		if _, no := a.err.(*RejectedError); no && ran[a.ID] > 0 {
			out = append(out, fmt.Sprintf("%s was refused, and ran", a.ID))
		} else if no && !a.retryable && took[a.ID] > 0 {
			out = append(out, fmt.Sprintf("%s was refused, and was offered", a.ID))
		}
		if a.err == nil && ran[a.ID] == 0 {
			out = append(out, fmt.Sprintf("%s is answered, and never ran", a.ID))
		}
	}
	return out
}

// checkCompletions: every request has an end, in time, of one of the three sorts.
func checkCompletions(ends []*requestResult, limit time.Duration) []string {
	var out []string
	for _, a := range ends {
		switch a.err.(type) {
		case nil, *RejectedError, *AbortedError:
		default:
			out = append(out, fmt.Sprintf("%s ends with %T", a.ID, a.err))
		}
		if !a.finished || a.endedAt-a.sentAt > limit {
			out = append(out, fmt.Sprintf("%s took %s", a.ID, a.endedAt-a.sentAt))
		}
	}
	return out
}

// checkResponses: a success has the whole answer, each event once and in order, after the one
// that the caller had; a broken one has whole events of it only (or whole bytes of a
// plain answer); a refused one has nothing.
func checkResponses(ends []*requestResult) []string {
	var out []string
	for _, a := range ends {
		got, first := a.response.bodyText(), 0
		fmt.Sscan(a.LastEventID, &first)
		if _, no := a.err.(*RejectedError); no && (got != "" || a.response.headCount > 0) {
			out = append(out, a.ID+" is refused and has bytes")
		}
		if b, no := a.err.(*AbortedError); no && b.HeadSent != (a.response.headCount > 0) {
			out = append(out, a.ID+" does not tell whether it began")
		}
		if a.response.headCount > 1 {
			out = append(out, a.ID+" has two heads")
		}
		if a.response.headCount > 0 && a.response.status != 200 {
			continue
		}
		if !a.stream {
			want := ""
			for i := 1; i <= a.MaxTokens; i++ {
				want += fmt.Sprintf("word-%d of %s;", i, a.ID)
			}
			if a.err == nil && got != want || !strings.HasPrefix(want, got) {
				out = append(out, a.ID+" has another answer")
			}
			continue
		}
		n := first
		for got != "" {
			n++
			event := fmt.Sprintf("id: %d\ndata: word-%d of %s\n\n", n, n, a.ID)
			if !strings.HasPrefix(got, event) {
				out = append(
					out, fmt.Sprintf("%s has %q where event %d should stand", a.ID, got[:min(len(got), 40)], n),
				)
				break
			}
			got = got[len(event):]
		}
		if a.err == nil && got == "" && n != a.MaxTokens {
			out = append(out, fmt.Sprintf("%s completed after event %d of %d", a.ID, n, a.MaxTokens))
		}
	}
	return out
}

// checkRetryBudget: arrivals beyond the first of each request, apart from one reading that worked,
// stay within ratio x requests + allowance in every window.
func checkRetryBudget(rows []callRecord, ends []*requestResult, ratio, allow float64, window time.Duration) []string {
	var out []string
	type step struct {
		at    time.Duration
		extra bool
	}
	var steps []step
	for _, a := range ends {
		steps = append(steps, step{a.sentAt, false})
	}
	// The first read of a request that a worker takes up does not count; all others do.
	count, taken := map[string]int{}, map[string]bool{}
	for _, k := range rows {
		if k.Kind != "emit" && k.Kind != "read" {
			continue
		}
		if k.Kind == "read" && k.Executed && !taken[k.RequestID] {
			taken[k.RequestID] = true
			continue
		}
		if count[k.RequestID]++; count[k.RequestID] > 1 {
			steps = append(steps, step{k.At, true})
		}
	}
	sort.SliceStable(steps, func(i, j int) bool { return steps[i].at < steps[j].at })
	low, asks, extra := 0, 0, 0
	for _, s := range steps {
		if s.extra {
			extra++
		} else {
			asks++
		}
		for ; s.at-steps[low].at > window; low++ {
			if steps[low].extra {
				extra--
			} else {
				asks--
			}
		}
		if s.extra && float64(extra) > ratio*float64(asks)+allow {
			out = append(out, fmt.Sprintf("at %s: %d extra arrivals for %d requests", s.at, extra, asks))
		}
	}
	return out
}

// coldRate: in no second do more than so many arrivals come to one cold worker.
func coldRate(rows []callRecord, limit int) []string {
	var out []string
	by := map[ids.WorkerID][]time.Duration{}
	for _, k := range rows {
		if !k.Cold || k.Kind != "read" && k.Kind != "emit" {
			continue
		}
		at := append(by[k.Worker], k.At)
		by[k.Worker] = at
		if n := len(at); n > limit && at[n-1]-at[n-1-limit] < time.Second {
			out = append(out, fmt.Sprintf("at %s: over %d in a second to %s", k.At, limit, k.Worker))
		}
	}
	return out
}

// checkUnavailableWorkers: nothing new goes to a worker that the node has known for a moment to be
// leaving, turning, drained or in an evacuated zone.
func checkUnavailableWorkers(rows []callRecord, moment time.Duration) []string {
	var out []string
	for _, k := range rows {
		if (k.Kind == "read" || k.Kind == "emit") && k.UnavailableFor > moment {
			out = append(
				out,
				fmt.Sprintf("at %s: %s sends a %s to %s, known as off for %s", k.At, k.Node, k.Kind, k.Worker, k.UnavailableFor),
			)
		}
	}
	return out
}

// callsToWorker lists arrivals at a worker within a span.
func callsToWorker(rows []callRecord, id ids.WorkerID, from, to time.Duration) []string {
	var out []string
	for _, k := range rows {
		if (k.Kind == "read" || k.Kind == "emit") && k.Worker == id && k.At >= from && k.At < to {
			out = append(out, fmt.Sprintf("at %s: %s of %s from %s", k.At, k.Kind, k.RequestID, k.Node))
		}
	}
	return out
}

// ordersApart: orders of different owners to one worker are a lease apart at least, and
// fences never fall.
func ordersApart(rows []callRecord, lease time.Duration) []string {
	var out []string
	last := map[ids.WorkerID]callRecord{}
	for _, k := range rows {
		if k.Kind != "order" {
			continue
		}
		if previous, ok := last[k.Worker]; ok {
			if previous.Owner != k.Owner && k.At-previous.At < lease {
				out = append(
					out,
					fmt.Sprintf(
						"at %s: %s orders %s, %s after %s did",
						k.At,
						k.Owner,
						k.Worker,
						k.At-previous.At,
						previous.Owner,
					),
				)
			}
			if k.Fence < previous.Fence {
				out = append(
					out, fmt.Sprintf("at %s: fence %d after %d at %s", k.At, k.Fence, previous.Fence, k.Worker),
				)
			}
		}
		last[k.Worker] = k
	}
	return out
}

// checkMinimumPerRole: each part keeps a third of the workers (rounded up, one at least), by what
// orders make of them.
func checkMinimumPerRole(rows []callRecord, parts map[ids.WorkerID]ids.Role) []string {
	var out []string
	now := map[ids.WorkerID]ids.Role{}
	for id, p := range parts {
		now[id] = p
	}
	minimum := (len(parts) + 2) / 3
	for _, k := range rows {
		if k.Kind != "order" || !k.Accepted {
			continue
		}
		now[k.Worker] = k.TargetRole
		count := map[ids.Role]int{}
		for _, p := range now {
			count[p]++
		}
		if count[ids.Prefill] < minimum || count[ids.Decode] < minimum {
			out = append(out, fmt.Sprintf("at %s: %v are left", k.At, count))
		}
	}
	return out
}

// leakedHandles lists handles that were neither fetched nor freed.
func leakedHandles(y *fakePlatform) []string {
	y.mu.Lock()
	defer y.mu.Unlock()
	var out []string
	for name, h := range y.handles {
		if h.fetches == 0 && !h.freed {
			out = append(out, name+" of "+h.requestID)
		}
	}
	return out
}

// TestPlanted: each checker keeps silent on a clean book and catches its own violation.
func TestPlanted(t *testing.T) {
	event := func(i int) string { return fmt.Sprintf("id: %d\ndata: word-%d of r\n\n", i, i) }
	end := func(err error, path, got string) []*requestResult {
		s := &responseRecorder{body: []byte(got)}
		if got != "" {
			s.headCount, s.status = 1, 200
		}
		return []*requestResult{{
			Request:  &Request{ID: "r", Path: path, MaxTokens: 2},
			err:      err,
			response: s,
			stream:   strings.HasPrefix(path, "/s"),
			finished: true,
			sentAt:   time.Second,
			endedAt:  2 * time.Second,
		}}
	}
	emit := callRecord{Kind: "emit", RequestID: "r", Accepted: true, Executed: true, Worker: "w"}
	silent := emit
	silent.Executed = false
	plainText := "word-1 of r;word-2 of r;"

	require.Empty(t, checkExecutions([]callRecord{emit}, end(nil, "/once/", plainText)))
	require.Empty(t, checkExecutions([]callRecord{{Kind: "emit", RequestID: "r"}}, end(&RejectedError{}, "/once/", "")))
	require.NotEmpty(t, checkExecutions([]callRecord{emit, emit}, end(nil, "/once/", plainText)), "ran twice")
	require.NotEmpty(t, checkExecutions([]callRecord{emit}, end(&RejectedError{}, "/once/", "")), "ran and refused")
	require.NotEmpty(t, checkExecutions([]callRecord{silent}, end(&RejectedError{}, "/once/", "")), "offered and refused")
	require.NotEmpty(t, checkExecutions(nil, end(nil, "/once/", plainText)), "never ran")

	require.Empty(t, checkCompletions(end(nil, "/once/", plainText), 2*time.Second))
	require.NotEmpty(t, checkCompletions(end(nil, "/once/", plainText), time.Millisecond), "late")
	require.NotEmpty(t, checkCompletions(end(errConnectionReset, "/once/", ""), 2*time.Second), "another sort of end")

	require.Empty(t, checkResponses(end(nil, "/once/", plainText)))
	require.Empty(t, checkResponses(end(&AbortedError{HeadSent: true}, "/stream/", event(1))))
	require.Empty(t, checkResponses(end(nil, "/stream/", event(1)+event(2))))
	require.NotEmpty(t, checkResponses(end(nil, "/once/", "word-1 of r;")), "a part as a whole")
	require.NotEmpty(t, checkResponses(end(nil, "/stream/", event(1))), "a part as a whole")
	require.NotEmpty(t, checkResponses(end(nil, "/stream/", event(1)+event(1)+event(2))), "an event twice")
	require.NotEmpty(t, checkResponses(end(nil, "/stream/", event(2)+event(1))), "out of order")
	require.NotEmpty(
		t, checkResponses(end(&AbortedError{HeadSent: true}, "/stream/", event(1)+"id: 2\nda")), "a partial event",
	)
	require.NotEmpty(t, checkResponses(end(&RejectedError{}, "/stream/", event(1))), "a refusal with bytes")
	require.NotEmpty(t, checkResponses(end(&AbortedError{}, "/stream/", event(1))), "begun and not told")

	second := emit
	second.At = 3 * time.Second
	require.Empty(t, checkRetryBudget([]callRecord{emit, second}, end(nil, "/again/", plainText), 1, 0, 10*time.Second))
	require.NotEmpty(t, checkRetryBudget([]callRecord{
		emit, second,
	}, end(nil, "/again/", plainText), 0.5, 0, 10*time.Second), "one extra for one request")
	require.NotEmpty(t, checkRetryBudget([]callRecord{
		emit, second,
	}, end(nil, "/again/", plainText), 1, 0, time.Second), "the request is out of the window")
	require.NotEmpty(t, checkRetryBudget([]callRecord{
		{Kind: "read", RequestID: "r"},
		second,
	}, end(nil, "/again/", plainText), 0.5, 0, 10*time.Second), "a failed reading")
	require.Empty(t, checkRetryBudget([]callRecord{
		{Kind: "read", RequestID: "r", Executed: true},
		second,
	}, end(nil, "/again/", plainText), 0.5, 0, 10*time.Second))

	cold := callRecord{Kind: "read", Worker: "w", Cold: true}
	require.Empty(t, coldRate([]callRecord{cold, cold}, 2))
	require.NotEmpty(t, coldRate([]callRecord{cold, cold, cold}, 2))
	off := callRecord{Kind: "emit", Worker: "w", UnavailableFor: time.Second}
	require.Empty(t, checkUnavailableWorkers([]callRecord{emit, off}, 2*time.Second))
	require.NotEmpty(t, checkUnavailableWorkers([]callRecord{emit, off}, 100*time.Millisecond))
	require.Empty(t, callsToWorker([]callRecord{second}, "w", 0, time.Second))
	require.NotEmpty(t, callsToWorker([]callRecord{second}, "w", 3*time.Second, 4*time.Second))

	order := func(at time.Duration, owner ids.NodeID, fence ids.Fence) callRecord {
		return callRecord{Kind: "order", At: at, Worker: "w", Owner: owner, Fence: fence, TargetRole: ids.Decode, Accepted: true}
	}
	require.Empty(t, ordersApart([]callRecord{
		order(0, "a", 1), order(1, "a", 1), order(4*time.Second, "b", 2),
	}, 3*time.Second))
	require.NotEmpty(t, ordersApart([]callRecord{order(0, "a", 1), order(2*time.Second, "b", 2)}, 3*time.Second), "too close")
	require.NotEmpty(t, ordersApart([]callRecord{
		order(0, "a", 2), order(4*time.Second, "b", 1),
	}, 3*time.Second), "a lower fence")
	parts := map[ids.WorkerID]ids.Role{"v": ids.Prefill, "w": ids.Prefill, "x": ids.Decode}
	require.Empty(t, checkMinimumPerRole([]callRecord{order(0, "a", 1)}, parts))
	require.NotEmpty(t, checkMinimumPerRole([]callRecord{order(0, "a", 1)}, map[ids.WorkerID]ids.Role{"w": ids.Prefill, "x": ids.Decode}))

	y := newFakePlatform()
	y.handles["h"] = &memoryHandle{fetches: 1}
	y.handles["i"] = &memoryHandle{freed: true}
	require.Empty(t, leakedHandles(y))
	y.handles["j"] = &memoryHandle{}
	require.NotEmpty(t, leakedHandles(y))
}
