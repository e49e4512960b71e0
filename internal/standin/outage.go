// The longest span without service, as callers see it.

package standin

import (
	"slices"
	"time"

	"keelstair.example/internal/api"
)

// LongestOutage tells the longest span after a moment without a completed call among those
// that count.
func LongestOutage(all []Outcome, from, to time.Duration, counts func(Outcome) bool) time.Duration {
	var ends []time.Duration
	for _, o := range all {
		if at := o.At + o.Duration; o.End == api.Complete && at > from && at < to && (counts == nil || counts(o)) {
			ends = append(ends, at)
		}
	}
	slices.Sort(ends)
	longest := time.Duration(0)
	for _, at := range append(ends, to) {
		longest, from = max(longest, at-from), at
	}
	return longest
}
