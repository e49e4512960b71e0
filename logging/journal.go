package logging

import "sync"

// Journal is a sequence of events in memory. Views are computed from it as events come; it
// keeps the newest events only, and the views keep what they need. It is safe for
// concurrent use.
type Journal[E any] struct {
	mu    sync.Mutex
	keep  int
	count uint64
	row   []E
	views []func(E)
}

// NewJournal returns an empty journal that keeps at least the newest keep events, and fewer
// than twice as many.
func NewJournal[E any](keep int) *Journal[E] { return &Journal[E]{keep: keep} }

// View adds a function that is called with every event from now on, in order and one at a
// time. It must not use the journal.
func (j *Journal[E]) View(fold func(E)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.views = append(j.views, fold)
}

// Append adds an event, and returns once every view has seen it.
func (j *Journal[E]) Append(e E) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.count++
	j.row = append(j.row, e)
	if len(j.row) >= 2*j.keep {
		j.row = append([]E(nil), j.row[j.keep:]...)
	}
	for _, f := range j.views {
		f(e)
	}
}

// Last returns a copy of the newest n events, or of all that are kept if those are fewer, the
// oldest first, and the count of all events so far.
func (j *Journal[E]) Last(n int) ([]E, uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if n > len(j.row) {
		n = len(j.row)
	}
	return append([]E(nil), j.row[len(j.row)-n:]...), j.count
}
