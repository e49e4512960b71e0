package logging

import "sync"

// Journal is a sequence of events in memory. Its subscribers compute views from the events as
// they are appended. The journal keeps only the newest events; views keep whatever else they
// need. It is safe for concurrent use.
type Journal[E any] struct {
	mu          sync.Mutex
	minEvents   int
	count       uint64
	events      []E
	subscribers []func(E)
}

// NewJournal returns an empty journal that keeps at least the newest minEvents events, and fewer
// than twice that number. minEvents must be at least 1.
func NewJournal[E any](minEvents int) *Journal[E] { return &Journal[E]{minEvents: minEvents} }

// Subscribe registers a function that is called with every later event, in order and one at a
// time. The function must not use the journal.
func (j *Journal[E]) Subscribe(handle func(E)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.subscribers = append(j.subscribers, handle)
}

// Append adds an event and returns after every subscriber has handled it.
func (j *Journal[E]) Append(e E) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.count++
	j.events = append(j.events, e)
	if len(j.events) >= 2*j.minEvents {
		j.events = append([]E(nil), j.events[j.minEvents:]...)
	}
	for _, handle := range j.subscribers {
		handle(e)
	}
}

// Last returns a copy of the newest n events, or of all kept events if there are fewer, oldest
// first, and the number of all events appended so far.
func (j *Journal[E]) Last(n int) ([]E, uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if n > len(j.events) {
		n = len(j.events)
	}
	return append([]E(nil), j.events[len(j.events)-n:]...), j.count
}
