// The longest span without service, as callers see it.

package standin

import (
	"slices"
	"time"

	"keelstair.example/internal/api"
)

// LongestOutage tells the longest span after a moment without a completed call among those
// that count.
func LongestOutage(outcomes []Outcome, from, to time.Duration, include func(Outcome) bool) time.Duration {
	var completions []time.Duration
	for _, o := range outcomes {
		if at := o.At + o.Duration; o.End == api.Complete && at > from && at < to && (include == nil || include(o)) {
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
