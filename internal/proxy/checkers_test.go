// Checkers of the calls that the fake platform recorded and of the results that callers got. Each returns one
// line for each violation found, and a test verifies that it reports violations and accepts valid records.
// In the records, Kind is "read" for a prefill, "emit" for a decode and "order" for a role change.

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

// checkExecutions: a request that must not be retried is executed at most once, and isn't rejected after a
// worker accepted it. A rejected request was never executed.
func checkExecutions(calls []callRecord, results []*requestResult) []string {
	var out []string
	executed, accepted := map[string]int{}, map[string]int{}
	for _, call := range calls {
		if call.Kind == "emit" && call.Executed {
			executed[call.RequestID]++
		}
		if call.Kind == "emit" && call.Accepted {
			accepted[call.RequestID]++
		}
	}
	for _, result := range results {
		if !result.retryable && executed[result.ID] > 1 {
			out = append(out, fmt.Sprintf("%s was executed %d times", result.ID, executed[result.ID]))
		}
		if _, rejected := result.err.(*RejectedError); rejected && executed[result.ID] > 0 {
			out = append(out, fmt.Sprintf("%s was rejected after it was executed", result.ID))
		} else if rejected && !result.retryable && accepted[result.ID] > 0 {
			out = append(out, fmt.Sprintf("%s was rejected after a worker accepted it", result.ID))
		}
		if result.err == nil && executed[result.ID] == 0 {
			out = append(out, fmt.Sprintf("%s has a response but was never executed", result.ID))
		}
	}
	return out
}

// checkCompletions: every request ends in time with a response, a RejectedError or an AbortedError.
func checkCompletions(results []*requestResult, limit time.Duration) []string {
	var out []string
	for _, result := range results {
		switch result.err.(type) {
		case nil, *RejectedError, *AbortedError:
		default:
			out = append(out, fmt.Sprintf("%s ended with %T", result.ID, result.err))
		}
		if !result.finished || result.endedAt-result.sentAt > limit {
			out = append(out, fmt.Sprintf("%s took %s", result.ID, result.endedAt-result.sentAt))
		}
	}
	return out
}

// checkResponses: a successful request has its complete response, with each event once and in order,
// starting after the last event that the caller already had. An aborted request has only complete events of
// that response (or a prefix of a response that is not streamed). A rejected request has neither a response
// head nor body bytes. The body of a response with a status other than 200 is not checked.
func checkResponses(results []*requestResult) []string {
	var out []string
	for _, result := range results {
		got, lastEvent := result.response.bodyText(), 0
		fmt.Sscan(result.LastEventID, &lastEvent)
		if _, ok := result.err.(*RejectedError); ok && (got != "" || result.response.headCount > 0) {
			out = append(out, result.ID+" was rejected but has a response")
		}
		if aborted, ok := result.err.(*AbortedError); ok && aborted.HeadSent != (result.response.headCount > 0) {
			out = append(out, result.ID+" was aborted with a wrong HeadSent")
		}
		if result.response.headCount > 1 {
			out = append(out, result.ID+" has two response heads")
		}
		if result.response.headCount > 0 && result.response.status != 200 {
			continue
		}
		if !result.stream {
			want := ""
			for i := 1; i <= result.MaxTokens; i++ {
				want += fmt.Sprintf("word-%d of %s;", i, result.ID)
			}
			if result.err == nil && got != want || !strings.HasPrefix(want, got) {
				out = append(out, result.ID+" has a wrong response")
			}
			continue
		}
		n := lastEvent
		for got != "" {
			n++
			event := fmt.Sprintf("id: %d\ndata: word-%d of %s\n\n", n, n, result.ID)
			if !strings.HasPrefix(got, event) {
				out = append(
					out, fmt.Sprintf("%s has %q instead of event %d", result.ID, got[:min(len(got), 40)], n),
				)
				break
			}
			got = got[len(event):]
		}
		if result.err == nil && got == "" && n != result.MaxTokens {
			out = append(out, fmt.Sprintf("%s completed after event %d of %d", result.ID, n, result.MaxTokens))
		}
	}
	return out
}

// checkRetryBudget: the calls after the first of each request, not counting one successful prefill, stay
// within ratio * requests + allowance in every window.
func checkRetryBudget(calls []callRecord, results []*requestResult, ratio, allowance float64, window time.Duration) []string {
	var out []string
	type budgetEvent struct {
		at    time.Duration
		extra bool
	}
	var events []budgetEvent
	for _, result := range results {
		events = append(events, budgetEvent{result.sentAt, false})
	}
	callsOf, prefilled := map[string]int{}, map[string]bool{}
	for _, call := range calls {
		if call.Kind != "emit" && call.Kind != "read" {
			continue
		}
		if call.Kind == "read" && call.Executed && !prefilled[call.RequestID] {
			prefilled[call.RequestID] = true
			continue
		}
		if callsOf[call.RequestID]++; callsOf[call.RequestID] > 1 {
			events = append(events, budgetEvent{call.At, true})
		}
	}
	sort.SliceStable(events, func(i, j int) bool { return events[i].at < events[j].at })
	oldest, requests, extra := 0, 0, 0
	for _, event := range events {
		if event.extra {
			extra++
		} else {
			requests++
		}
		for ; event.at-events[oldest].at > window; oldest++ {
			if events[oldest].extra {
				extra--
			} else {
				requests--
			}
		}
		if event.extra && float64(extra) > ratio*float64(requests)+allowance {
			out = append(out, fmt.Sprintf("at %s: %d extra calls for %d requests", event.at, extra, requests))
		}
	}
	return out
}

// checkSlowStartRate: no cold worker gets more than limit calls in any second.
func checkSlowStartRate(calls []callRecord, limit int) []string {
	var out []string
	arrivals := map[ids.WorkerID][]time.Duration{}
	for _, call := range calls {
		if !call.Cold || call.Kind != "read" && call.Kind != "emit" {
			continue
		}
		times := append(arrivals[call.Worker], call.At)
		arrivals[call.Worker] = times
		if n := len(times); n > limit && times[n-1]-times[n-1-limit] < time.Second {
			out = append(out, fmt.Sprintf("at %s: more than %d calls in a second to %s", call.At, limit, call.Worker))
		}
	}
	return out
}

// checkUnavailableWorkers: a node sends no new work to a worker that it has known for longer than the
// tolerance to be leaving, changing its role, drained or in an evacuated zone.
func checkUnavailableWorkers(calls []callRecord, tolerance time.Duration) []string {
	var out []string
	for _, call := range calls {
		if (call.Kind == "read" || call.Kind == "emit") && call.KnownUnavailableFor > tolerance {
			out = append(
				out,
				fmt.Sprintf("at %s: %s sends %s to %s, which it has known for %s to be unavailable", call.At, call.Node, call.Kind, call.Worker, call.KnownUnavailableFor),
			)
		}
	}
	return out
}

// callsToWorker lists the prefills and decodes that a worker received between two times.
func callsToWorker(calls []callRecord, id ids.WorkerID, from, to time.Duration) []string {
	var out []string
	for _, call := range calls {
		if (call.Kind == "read" || call.Kind == "emit") && call.Worker == id && call.At >= from && call.At < to {
			out = append(out, fmt.Sprintf("at %s: %s of %s from %s", call.At, call.Kind, call.RequestID, call.Node))
		}
	}
	return out
}

// checkRoleOrderFencing: role-change orders that different holders of the service's lease send to one worker
// are at least one lease duration apart, and their fencing tokens never decrease.
func checkRoleOrderFencing(calls []callRecord, lease time.Duration) []string {
	var out []string
	last := map[ids.WorkerID]callRecord{}
	for _, call := range calls {
		if call.Kind != "order" {
			continue
		}
		if previous, ok := last[call.Worker]; ok {
			if previous.Owner != call.Owner && call.At-previous.At < lease {
				out = append(
					out,
					fmt.Sprintf(
						"at %s: %s sends an order to %s, %s after %s did",
						call.At,
						call.Owner,
						call.Worker,
						call.At-previous.At,
						previous.Owner,
					),
				)
			}
			if call.Fence < previous.Fence {
				out = append(
					out, fmt.Sprintf("at %s: fencing token %d follows %d at %s", call.At, call.Fence, previous.Fence, call.Worker),
				)
			}
		}
		last[call.Worker] = call
	}
	return out
}

// checkMinimumPerRole: after each accepted role-change order, each role has at least a third of the workers
// (rounded up).
func checkMinimumPerRole(calls []callRecord, initialRoles map[ids.WorkerID]ids.Role) []string {
	var out []string
	roles := map[ids.WorkerID]ids.Role{}
	for id, role := range initialRoles {
		roles[id] = role
	}
	minimum := (len(initialRoles) + 2) / 3
	for _, call := range calls {
		if call.Kind != "order" || !call.Accepted {
			continue
		}
		roles[call.Worker] = call.TargetRole
		count := map[ids.Role]int{}
		for _, role := range roles {
			count[role]++
		}
		if count[ids.Prefill] < minimum || count[ids.Decode] < minimum {
			out = append(out, fmt.Sprintf("at %s: workers per role: %v", call.At, count))
		}
	}
	return out
}

// leakedHandles lists memory handles that were neither fetched nor freed.
func leakedHandles(platform *fakePlatform) []string {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	var out []string
	for name, handle := range platform.handles {
		if handle.fetches == 0 && !handle.freed {
			out = append(out, name+" of "+handle.requestID)
		}
	}
	return out
}

// TestCheckersFindViolations: each checker reports nothing for valid records and reports the violations
// listed here, which are not all those that it checks for.
func TestCheckersFindViolations(t *testing.T) {
	event := func(i int) string { return fmt.Sprintf("id: %d\ndata: word-%d of r\n\n", i, i) }
	resultOf := func(err error, path, got string) []*requestResult {
		response := &responseRecorder{body: []byte(got)}
		if got != "" {
			response.headCount, response.status = 1, 200
		}
		return []*requestResult{{
			Request:  &Request{ID: "r", Path: path, MaxTokens: 2},
			err:      err,
			response: response,
			stream:   strings.HasPrefix(path, "/s"), // the paths of the streaming routes start with /s
			finished: true,
			sentAt:   time.Second,
			endedAt:  2 * time.Second,
		}}
	}
	decode := callRecord{Kind: "emit", RequestID: "r", Accepted: true, Executed: true, Worker: "w"}
	acceptedOnly := decode
	acceptedOnly.Executed = false
	completeBody := "word-1 of r;word-2 of r;"

	require.Empty(t, checkExecutions([]callRecord{decode}, resultOf(nil, "/once/", completeBody)))
	require.Empty(t, checkExecutions([]callRecord{{Kind: "emit", RequestID: "r"}}, resultOf(&RejectedError{}, "/once/", "")))
	require.NotEmpty(t, checkExecutions([]callRecord{decode, decode}, resultOf(nil, "/once/", completeBody)), "executed twice")
	require.NotEmpty(t, checkExecutions([]callRecord{decode}, resultOf(&RejectedError{}, "/once/", "")), "executed and rejected")
	require.NotEmpty(t, checkExecutions([]callRecord{acceptedOnly}, resultOf(&RejectedError{}, "/once/", "")), "accepted by a worker and rejected")
	require.NotEmpty(t, checkExecutions(nil, resultOf(nil, "/once/", completeBody)), "never executed")

	require.Empty(t, checkCompletions(resultOf(nil, "/once/", completeBody), 2*time.Second))
	require.NotEmpty(t, checkCompletions(resultOf(nil, "/once/", completeBody), time.Millisecond), "late")
	require.NotEmpty(t, checkCompletions(resultOf(errConnectionReset, "/once/", ""), 2*time.Second), "an unexpected error type")

	require.Empty(t, checkResponses(resultOf(nil, "/once/", completeBody)))
	require.Empty(t, checkResponses(resultOf(&AbortedError{HeadSent: true}, "/stream/", event(1))))
	require.Empty(t, checkResponses(resultOf(nil, "/stream/", event(1)+event(2))))
	require.NotEmpty(t, checkResponses(resultOf(nil, "/once/", "word-1 of r;")), "a partial response as a success")
	require.NotEmpty(t, checkResponses(resultOf(nil, "/stream/", event(1))), "a partial response as a success")
	require.NotEmpty(t, checkResponses(resultOf(nil, "/stream/", event(1)+event(1)+event(2))), "a repeated event")
	require.NotEmpty(t, checkResponses(resultOf(nil, "/stream/", event(2)+event(1))), "events out of order")
	require.NotEmpty(
		t, checkResponses(resultOf(&AbortedError{HeadSent: true}, "/stream/", event(1)+"id: 2\nda")), "a partial event",
	)
	require.NotEmpty(t, checkResponses(resultOf(&RejectedError{}, "/stream/", event(1))), "a rejection with response bytes")
	require.NotEmpty(t, checkResponses(resultOf(&AbortedError{}, "/stream/", event(1))), "HeadSent is not set")

	laterDecode := decode
	laterDecode.At = 3 * time.Second
	require.Empty(t, checkRetryBudget([]callRecord{decode, laterDecode}, resultOf(nil, "/again/", completeBody), 1, 0, 10*time.Second))
	require.NotEmpty(t, checkRetryBudget([]callRecord{
		decode, laterDecode,
	}, resultOf(nil, "/again/", completeBody), 0.5, 0, 10*time.Second), "one extra call for one request")
	require.NotEmpty(t, checkRetryBudget([]callRecord{
		decode, laterDecode,
	}, resultOf(nil, "/again/", completeBody), 1, 0, time.Second), "the request has left the window")
	require.NotEmpty(t, checkRetryBudget([]callRecord{
		{Kind: "read", RequestID: "r"},
		laterDecode,
	}, resultOf(nil, "/again/", completeBody), 0.5, 0, 10*time.Second), "a failed prefill")
	require.Empty(t, checkRetryBudget([]callRecord{
		{Kind: "read", RequestID: "r", Executed: true},
		laterDecode,
	}, resultOf(nil, "/again/", completeBody), 0.5, 0, 10*time.Second))

	cold := callRecord{Kind: "read", Worker: "w", Cold: true}
	require.Empty(t, checkSlowStartRate([]callRecord{cold, cold}, 2))
	require.NotEmpty(t, checkSlowStartRate([]callRecord{cold, cold, cold}, 2))
	unavailable := callRecord{Kind: "emit", Worker: "w", KnownUnavailableFor: time.Second}
	require.Empty(t, checkUnavailableWorkers([]callRecord{decode, unavailable}, 2*time.Second))
	require.NotEmpty(t, checkUnavailableWorkers([]callRecord{decode, unavailable}, 100*time.Millisecond))
	require.Empty(t, callsToWorker([]callRecord{laterDecode}, "w", 0, time.Second))
	require.NotEmpty(t, callsToWorker([]callRecord{laterDecode}, "w", 3*time.Second, 4*time.Second))

	roleOrder := func(at time.Duration, owner ids.NodeID, fence ids.Fence) callRecord {
		return callRecord{Kind: "order", At: at, Worker: "w", Owner: owner, Fence: fence, TargetRole: ids.Decode, Accepted: true}
	}
	require.Empty(t, checkRoleOrderFencing([]callRecord{
		roleOrder(0, "a", 1), roleOrder(1, "a", 1), roleOrder(4*time.Second, "b", 2),
	}, 3*time.Second))
	require.NotEmpty(t, checkRoleOrderFencing([]callRecord{roleOrder(0, "a", 1), roleOrder(2*time.Second, "b", 2)}, 3*time.Second), "within a lease")
	require.NotEmpty(t, checkRoleOrderFencing([]callRecord{
		roleOrder(0, "a", 2), roleOrder(4*time.Second, "b", 1),
	}, 3*time.Second), "a lower fencing token")
	roles := map[ids.WorkerID]ids.Role{"v": ids.Prefill, "w": ids.Prefill, "x": ids.Decode}
	require.Empty(t, checkMinimumPerRole([]callRecord{roleOrder(0, "a", 1)}, roles))
	require.NotEmpty(t, checkMinimumPerRole([]callRecord{roleOrder(0, "a", 1)}, map[ids.WorkerID]ids.Role{"w": ids.Prefill, "x": ids.Decode}))

	platform := newFakePlatform()
	platform.handles["h"] = &memoryHandle{fetches: 1}
	platform.handles["i"] = &memoryHandle{freed: true}
	require.Empty(t, leakedHandles(platform))
	platform.handles["j"] = &memoryHandle{}
	require.NotEmpty(t, leakedHandles(platform))
}
