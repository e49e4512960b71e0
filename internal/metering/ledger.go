package metering

import (
	"cmp"
	"slices"
	"sync"
)

// KeptWindows is the number of past windows whose counts are kept in addition to the current window's.
const KeptWindows = 8

// Row is the number of a tenant's requests that one node has counted in a window so far.
type Row struct {
	Window uint64
	Tenant string
	Count  int
}

// countKey identifies the count of one tenant in one window.
type countKey struct {
	window uint64
	tenant string
}

// Ledger holds one node's counts, and for each the value that the collector last acknowledged. It is safe for
// concurrent use.
type Ledger struct {
	mu           sync.Mutex
	counts       map[countKey]int
	acknowledged map[countKey]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{counts: map[countKey]int{}, acknowledged: map[countKey]int{}}
}

// Add counts one request of a tenant in a window.
func (l *Ledger) Add(window uint64, tenant string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[countKey{window, tenant}]++
}

// All returns all counts, sorted by window and tenant.
func (l *Ledger) All() []Row {
	return l.rows(func(countKey, int) bool { return true })
}

// Unacknowledged returns the counts whose current value the collector has not acknowledged, sorted by window and
// tenant.
func (l *Ledger) Unacknowledged() []Row {
	return l.rows(func(key countKey, count int) bool { return l.acknowledged[key] != count })
}

// rows returns the counts that the filter accepts, sorted by window and tenant.
func (l *Ledger) rows(include func(key countKey, count int) bool) []Row {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Row
	for key, count := range l.counts {
		if include(key, count) {
			out = append(out, Row{key.window, key.tenant, count})
		}
	}
	slices.SortFunc(out, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Window, b.Window), cmp.Compare(a.Tenant, b.Tenant))
	})
	return out
}

// Acknowledge records that the collector has acknowledged the rows.
func (l *Ledger) Acknowledge(rows []Row) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range rows {
		l.acknowledged[countKey{r.Window, r.Tenant}] = r.Count
	}
}

// ResetAcknowledgements discards all acknowledgements. It is called when the collector changes, because a new
// collector may not have the counts that the previous one acknowledged.
func (l *Ledger) ResetAcknowledgements() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.acknowledged)
}

// Prune deletes the counts of windows that are more than KeptWindows before the current one.
func (l *Ledger) Prune(current uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key := range l.counts {
		if key.window+KeptWindows < current {
			delete(l.counts, key)
			delete(l.acknowledged, key)
		}
	}
}
