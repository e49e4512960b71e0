// The directory of whereabouts that every process keeps and shares: the newest
// record, the disk machines heard of, the members. Three seeds are only where
// the first pages come from; whoever answers is asked again, so a directory outlives
// the swap of every seed.

package coordination

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"time"

	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/rpc"
)

type replicaSeen struct {
	Replica
	blank   bool
	leaving bool
	at      ids.Tick
}

// Directory is safe for use by many threads.
type Directory struct {
	mu      sync.Mutex
	host    host.Host
	seeds   []string
	me      WhereAsk
	record  Record
	seats   map[ids.DiskID]replicaSeen
	members []Member
	seq     ids.Seq // of the log, that the members are as of
	call    *rpc.Caller
	foreign string
	grown   chan struct{} // closed when a newer record is learnt
	heardAt ids.Tick      // when any other process was heard last
}

// NewDirectory makes the directory of a process: me is its own replica, or only its address. It knows no
// more than the seeds, until it asks.
func NewDirectory(host host.Host, call *rpc.Caller, seeds []string, me Replica) *Directory {
	return &Directory{host: host, call: call, seeds: seeds, me: WhereAsk{Me: me}, seats: map[ids.DiskID]replicaSeen{}, grown: make(chan struct{})}
}

// Page is what the directory would tell another process now.
func (b *Directory) Page() *WhereAsk {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.me
	p.Blank = p.Blank && b.record.Founding == ""
	p.Record, p.Members, p.Seq = b.record, b.members, b.seq
	now := b.host.Clock.Now()
	for _, s := range b.seats {
		if !now.Past(s.at, 10*time.Second) {
			p.Seats = append(p.Seats, s.Replica)
		}
	}
	sort.Slice(p.Seats, func(i, j int) bool { return p.Seats[i].Disk < p.Seats[j].Disk })
	return &p
}

// Learn takes in another's page. Only what the speaker says of itself is dated.
func (b *Directory) Learn(p *WhereAsk) {
	b.mu.Lock()
	if b.record.Founding != "" && p.Record.Founding != "" && p.Record.Founding != b.record.Founding {
		b.foreign = p.Record.Founding
		b.mu.Unlock()
		return
	}
	grown := p.Record.Epoch > b.record.Epoch
	if grown {
		b.record = p.Record
	}
	if p.Me.Addr != "" && p.Me.Addr != b.me.Me.Addr {
		b.heardAt = b.host.Clock.Now()
	}
	if p.Me.Disk != "" && p.Me.Disk != b.me.Me.Disk {
		b.seats[p.Me.Disk] = replicaSeen{p.Me, p.Blank, p.Leaving, b.host.Clock.Now()}
	}
	for _, s := range p.Seats {
		if _, ok := b.seats[s.Disk]; !ok && s.Disk != b.me.Me.Disk {
			b.seats[s.Disk] = replicaSeen{Replica: s, at: b.host.Clock.Now().Add(-5 * time.Second)}
		}
	}
	b.enlist(p.Seq, p.Members)
	if grown {
		close(b.grown)
		b.grown = make(chan struct{})
	}
	b.mu.Unlock()
}

// Heard tells when any other process was heard last.
func (b *Directory) Heard() ids.Tick {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.heardAt
}

// Reseed takes the seeds that changed settings name.
func (b *Directory) Reseed(seeds []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seeds = seeds
}

// SetMembers is called by those who follow the news themselves; seq is the number of the
// log up to which they have.
func (b *Directory) SetMembers(seq ids.Seq, ms []Member) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.enlist(seq, ms)
}

// enlist takes members that are newer than those known. Epochs do not tell: whoever hears
// of a newer one may know members of long ago.
func (b *Directory) enlist(seq ids.Seq, ms []Member) {
	if seq > b.seq {
		b.seq, b.members = seq, ms
	}
}

// Record is the newest record that was heard of.
func (b *Directory) Record() Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.record
}

// Grown is closed when a newer record than that of now is learnt.
func (b *Directory) Grown() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.grown
}

// Tell gives everyone known this page, so that they need not find out by themselves.
func (b *Directory) Tell(ctx context.Context) {
	p := b.Page()
	for _, a := range b.whom() {
		go func() {
			cx, stop := context.WithTimeout(ctx, 700*time.Millisecond)
			defer stop()
			rpc.Call[WhereAsk, WhereAsk](cx, b.call, a, "crux/where", p)
		}()
	}
}

// Foreign is the founding id of another fleet that was met, if any.
func (b *Directory) Foreign() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.foreign
}

// Addr gives the freshest address of a replica.
func (b *Directory) Addr(s Replica) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if got, ok := b.seats[s.Disk]; ok {
		return got.Addr
	}
	return s.Addr
}

// heard gives the replicas that spoke for themselves within the span.
func (b *Directory) heard(span time.Duration) (all []Replica, blank []Replica) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.host.Clock.Now()
	for _, s := range b.seats {
		if now.Past(s.at, span) {
			continue
		}
		all = append(all, s.Replica)
		if s.blank {
			blank = append(blank, s.Replica)
		}
	}
	return all, blank
}

// setLeaving has all pages tell from now on that this process is about to end.
func (b *Directory) setLeaving() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.me.Leaving = true
}

// leaving tells whether a replica said that it is about to end.
func (b *Directory) leaving(d ids.DiskID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.seats[d].leaving
}

// whom lists every address worth asking.
func (b *Directory) whom() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	set := map[string]bool{}
	for _, a := range b.seeds {
		set[a] = true
	}
	for _, s := range b.seats {
		set[s.Addr] = true
	}
	for _, m := range b.members {
		set[m.Addr] = true
	}
	for _, s := range b.record.voters() {
		set[s.Addr] = true
	}
	delete(set, b.me.Me.Addr)
	var out []string
	for a := range set {
		out = append(out, a)
	}
	sort.Strings(out)
	return out
}

// Ask asks so many of the known, in a random order, and learns.
func (b *Directory) Ask(ctx context.Context, most int) {
	list := b.whom()
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	if len(list) > most {
		list = list[:most]
	}
	if p := b.Record().Primary; p.Disk != "" && p.Disk != b.me.Me.Disk {
		list = append(list, b.Addr(p))
	}
	var wg sync.WaitGroup
	for _, a := range list {
		wg.Go(func() {
			c, stop := context.WithTimeout(ctx, 700*time.Millisecond)
			defer stop()
			if p, err := rpc.Call[WhereAsk, WhereAsk](c, b.call, a, "crux/where", b.Page()); err == nil {
				b.Learn(p)
			}
		})
	}
	wg.Wait()
}

// Keep asks for ever: often while the core is unknown, seldom afterwards, and hardly
// while all is calm, since whoever moves asks the others.
func (b *Directory) Keep(ctx context.Context, calm func() bool) {
	for {
		most, wait := 4, time.Second
		switch {
		case b.Record().Founding == "":
			wait = 200 * time.Millisecond
		case calm():
			most, wait = 1, 4*time.Second
		}
		b.Ask(ctx, most)
		if !host.Sleep(ctx, wait/2+rand.N(wait)) {
			return
		}
	}
}

// Serve answers others from the directory.
func (b *Directory) Serve(mux *http.ServeMux) {
	rpc.Handle(mux, "crux/where", func(_ context.Context, q *WhereAsk) (*WhereAsk, error) {
		b.Learn(q)
		return b.Page(), nil
	})
}
