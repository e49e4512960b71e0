// The change feed keeps the newest log entries in memory, ordered by sequence number. A watcher
// whose position is still covered gets the entries after it; any other watcher needs a snapshot.

package coordination

import (
	"context"
	"sync"
	"time"

	"github.com/gammazero/deque"

	"keelstair.example/host"
	"keelstair.example/ids"
)

// feedCapacity is the number of entries that a feed keeps.
const feedCapacity = 2048

// feed holds the newest entries and wakes waiting watchers when it changes.
type feed struct {
	mu      sync.Mutex
	entries deque.Deque[Entry]
	last    ids.Seq       // sequence number of the newest entry
	changed chan struct{} // closed and replaced at each change
}

func newFeed() *feed { return &feed{changed: make(chan struct{})} }

// reset drops all entries; the next entry is the one after the given sequence number.
func (f *feed) reset(after ids.Seq) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries.Clear()
	f.last = after
	close(f.changed)
	f.changed = make(chan struct{})
}

// push appends entries and drops the oldest ones beyond feedCapacity. Unpublished entries keep only
// their sequence number.
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

// entriesAfter returns the entries after a sequence number and the channel that the next change
// closes. It reports false if the feed does not reach back that far and a snapshot is needed.
func (f *feed) entriesAfter(after ids.Seq) (entries []Entry, last ids.Seq, ok bool, changed chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	first := f.last - ids.Seq(f.entries.Len())
	if after < first || after > f.last {
		return nil, f.last, false, f.changed
	}
	for i := int(after - first); i < f.entries.Len(); i++ {
		entries = append(entries, f.entries.At(i))
	}
	return entries, f.last, true, f.changed
}

// watch answers a watch request. If there are no entries yet, it waits for the first one for as long
// as the request allows, but at most 5 s.
func (f *feed) watch(
	ctx context.Context,
	request *WatchRequest,
	snapshot func() (*Snapshot, error),
) (*WatchResponse, error) {
	wait := min(time.Duration(request.Wait), 5*time.Second)
	t := host.NewTimer(wait)
	defer t.Stop()
	for {
		entries, last, ok, changed := f.entriesAfter(request.From)
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
		case <-changed:
		case <-t.C:
			return &WatchResponse{Seq: last}, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
