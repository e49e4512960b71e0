package metering

import (
	"cmp"
	"slices"
	"sync"
)

// KeptWindows is for how many windows after it a window's counts are kept.
const KeptWindows = 8

// Row is how many requests of a tenant one node has counted in a window so far.
type Row struct {
	Window uint64
	Tenant string
	Count  int
}

type cell struct {
	window uint64
	tenant string
}

// Ledger holds one node's counts, and what of them the collector has heard. It is safe for use by
// many goroutines.
type Ledger struct {
	mu     sync.Mutex
	counts map[cell]int
	heard  map[cell]int
}

// NewLedger makes an empty ledger.
func NewLedger() *Ledger { return &Ledger{counts: map[cell]int{}, heard: map[cell]int{}} }

// Add counts one request of a tenant in a window.
func (l *Ledger) Add(window uint64, tenant string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[cell{window, tenant}]++
}

// All lists the counts in a fixed order.
func (l *Ledger) All() []Row {
	return l.rows(func(cell, int) bool { return true })
}

// Unheard lists the counts that the collector has not heard, in a fixed order.
func (l *Ledger) Unheard() []Row {
	return l.rows(func(at cell, count int) bool { return l.heard[at] != count })
}

func (l *Ledger) rows(want func(at cell, count int) bool) []Row {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Row
	for at, count := range l.counts {
		if want(at, count) {
			out = append(out, Row{at.window, at.tenant, count})
		}
	}
	slices.SortFunc(out, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Window, b.Window), cmp.Compare(a.Tenant, b.Tenant))
	})
	return out
}

// Hear notes that the collector has heard rows.
func (l *Ledger) Hear(rows []Row) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range rows {
		l.heard[cell{r.Window, r.Tenant}] = r.Count
	}
}

// NewCollector notes that another node collects from now on, which has heard nothing.
func (l *Ledger) NewCollector() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.heard)
}

// Prune forgets the windows that are not kept any more in a window.
func (l *Ledger) Prune(current uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for at := range l.counts {
		if at.window+KeptWindows < current {
			delete(l.counts, at)
			delete(l.heard, at)
		}
	}
}
