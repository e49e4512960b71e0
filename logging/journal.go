package logging

import "sync"

// Journal is a sequence of events in memory. Views are computed from it as events come; it
// keeps the newest events only, and the views keep what they need. It is safe for
// concurrent use.
type Journal[E any] struct {
	mu          sync.Mutex
	capacity    int
	count       uint64
	events      []E
	subscribers []func(E)
}

// NewJournal returns an empty journal that keeps at least the newest keep events, and fewer
// than twice as many.
func NewJournal[E any](keep int) *Journal[E] { return &Journal[E]{capacity: keep} }

// Subscribe adds a function that is called with every event from now on, in order and one at a
// time. It must not use the journal.
func (j *Journal[E]) Subscribe(fold func(E)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.subscribers = append(j.subscribers, fold)
}

// Append adds an event, and returns once every view has seen it.
func (j *Journal[E]) Append(e E) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.count++
	j.events = append(j.events, e)
	if len(j.events) >= 2*j.capacity {
		j.events = append([]E(nil), j.events[j.capacity:]...)
	}
	for _, f := range j.subscribers {
		f(e)
	}
}

// Last returns a copy of the newest n events, or of all that are kept if those are fewer, the
// oldest first, and the count of all events so far.
func (j *Journal[E]) Last(n int) ([]E, uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if n > len(j.events) {
		n = len(j.events)
	}
	return append([]E(nil), j.events[len(j.events)-n:]...), j.count
}
