// The journal: events in memory, and the views folded from them.

package logging

import "sync"

// Journal is a row of events in memory. Views are folded from it as events
// come; only the newest events are kept, the views keep what matters.
type Journal[E any] struct {
	mu    sync.Mutex
	keep  int
	count uint64
	row   []E
	views []func(E)
}

func NewJournal[E any](keep int) *Journal[E] { return &Journal[E]{keep: keep} }

// View adds a fold, which sees every event from now on, one at a time.
func (j *Journal[E]) View(fold func(E)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.views = append(j.views, fold)
}

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

// Last gives the newest events, oldest first, and the count of all so far.
func (j *Journal[E]) Last(n int) ([]E, uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if n > len(j.row) {
		n = len(j.row)
	}
	return append([]E(nil), j.row[len(j.row)-n:]...), j.count
}
