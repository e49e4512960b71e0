// The feed: entries by number, the newest kept in memory. Whoever asks from a
// place that is still kept gets what followed; anyone else needs a snapshot.

package coordination

import (
	"context"
	"sync"
	"time"

	"github.com/gammazero/deque"

	"keelstair.example/ids"
)

const keepNews = 2048

type feed struct {
	mu   sync.Mutex
	row  deque.Deque[Entry]
	last ids.Seq
	ring chan struct{}
}

func newFeed() *feed { return &feed{ring: make(chan struct{})} }

// start forgets all and begins after a number.
func (f *feed) start(at ids.Seq) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.row.Clear()
	f.last = at
	close(f.ring)
	f.ring = make(chan struct{})
}

func (f *feed) push(ents []Entry) {
	if len(ents) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range ents {
		if !e.Open {
			e = Entry{Seq: e.Seq}
		}
		f.row.PushBack(e)
		f.last = e.Seq
		if f.row.Len() > keepNews {
			f.row.PopFront()
		}
	}
	close(f.ring)
	f.ring = make(chan struct{})
}

// from gives what followed a place; ok is false when a snapshot is needed.
func (f *feed) from(at ids.Seq) (ents []Entry, last ids.Seq, ok bool, ring chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	first := f.last - ids.Seq(f.row.Len())
	if at < first || at > f.last {
		return nil, f.last, false, f.ring
	}
	for i := int(at - first); i < f.row.Len(); i++ {
		ents = append(ents, f.row.At(i))
	}
	return ents, f.last, true, f.ring
}

// news answers an asking, waiting a while for the first entry if need be.
func (f *feed) news(ctx context.Context, q *NewsAsk, snapshot func() (*Image, error)) (*NewsReply, error) {
	wait := min(time.Duration(q.Wait), 5*time.Second)
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		ents, last, ok, ring := f.from(q.From)
		if !ok || q.From == 0 {
			img, err := snapshot()
			if err != nil {
				return nil, err
			}
			return &NewsReply{Seq: img.Seq, Snapshot: Pack(img)}, nil
		}
		if len(ents) > 0 || wait <= 0 {
			return &NewsReply{Seq: last, Entries: ents}, nil
		}
		select {
		case <-ring:
		case <-t.C:
			return &NewsReply{Seq: last}, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
