// The feed: entries by number, the newest kept in memory. Whoever asks from a
// place that is still kept gets what followed; anyone else needs a snapshot.

package coordination

import (
	"context"
	"sync"
	"time"

	"github.com/gammazero/deque"

	"keelstair.example/host"
	"keelstair.example/ids"
)

const feedCapacity = 2048

type feed struct {
	mu      sync.Mutex
	entries deque.Deque[Entry]
	last    ids.Seq
	changed chan struct{}
}

func newFeed() *feed { return &feed{changed: make(chan struct{})} }

// reset forgets all and begins after a number.
func (f *feed) reset(at ids.Seq) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries.Clear()
	f.last = at
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *feed) push(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range entries {
		if !e.Published {
			e = Entry{Seq: e.Seq}
		}
		f.entries.PushBack(e)
		f.last = e.Seq
		if f.entries.Len() > feedCapacity {
			f.entries.PopFront()
		}
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

// entriesAfter gives what followed a place; ok is false when a snapshot is needed.
func (f *feed) entriesAfter(at ids.Seq) (entries []Entry, last ids.Seq, ok bool, ring chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	first := f.last - ids.Seq(f.entries.Len())
	if at < first || at > f.last {
		return nil, f.last, false, f.changed
	}
	for i := int(at - first); i < f.entries.Len(); i++ {
		entries = append(entries, f.entries.At(i))
	}
	return entries, f.last, true, f.changed
}

// watch answers an asking, waiting a while for the first entry if need be.
func (f *feed) watch(
	ctx context.Context,
	request *WatchRequest,
	snapshot func() (*Snapshot, error),
) (*WatchResponse, error) {
	wait := min(time.Duration(request.Wait), 5*time.Second)
	t := host.NewTimer(wait)
	defer t.Stop()
	for {
		entries, last, ok, ring := f.entriesAfter(request.From)
		if !ok || request.From == 0 {
			snapshot, err := snapshot()
			if err != nil {
				return nil, err
			}
			return &WatchResponse{Seq: snapshot.Seq, Snapshot: MustMarshal(snapshot)}, nil
		}
		if len(entries) > 0 || wait <= 0 {
			return &WatchResponse{Seq: last, Entries: entries}, nil
		}
		select {
		case <-ring:
		case <-t.C:
			return &WatchResponse{Seq: last}, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
