// This file measures the longest outage that clients observe.

package standin

import (
	"slices"
	"time"

	"keelstair.example/internal/api"
)

// LongestOutage returns the longest period between from and to in which no request completed. include selects the
// outcomes to consider; nil selects all.
func LongestOutage(outcomes []Outcome, from, to time.Duration, include func(Outcome) bool) time.Duration {
	var completions []time.Duration
	for _, o := range outcomes {
		if at := o.At + o.Duration; o.End == api.EndComplete && at > from && at < to && (include == nil || include(o)) {
			completions = append(completions, at)
		}
	}
	slices.Sort(completions)
	longest := time.Duration(0)
	for _, at := range append(completions, to) {
		longest, from = max(longest, at-from), at
	}
	return longest
}
