// The directory of replicas and members that every process keeps and shares: the newest
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

// Time between two questions of one process for the members.
const membersInterval = 2 * time.Second

type replicaContact struct {
	Replica
	empty   bool
	leaving bool
	heardAt ids.Tick
}

// Directory is safe for use by many threads.
type Directory struct {
	mu             sync.Mutex
	host           host.Host
	seeds          []string
	self           PeerExchange
	record         Record
	replicas       map[ids.DiskID]replicaContact
	members        []Member
	seq            ids.Seq // of the log, that the members are as of
	caller         *rpc.Caller
	foreignCluster string
	recordChanged  chan struct{} // closed when a newer record is learnt
	lastContact    ids.Tick      // when any other process was heard last
	membersAsked   ids.Tick      // when another process was last asked for the members
}

// NewDirectory makes the directory of a process: me is its own replica, or only its address. It knows no
// more than the seeds, until it asks.
func NewDirectory(host host.Host, call *rpc.Caller, seeds []string, me Replica) *Directory {
	return &Directory{
		host:          host,
		caller:        call,
		seeds:         seeds,
		self:          PeerExchange{Self: me},
		replicas:      map[ids.DiskID]replicaContact{},
		recordChanged: make(chan struct{}),
		membersAsked:  host.Clock.Now(),
	}
}

// request is what another process is asked with. One process in membersInterval is asked for the
// members too: who follows the change feed knows them from there.
func (d *Directory) request() *PeerExchangeRequest {
	p := d.Exchange()
	request := &PeerExchangeRequest{
		Self:      p.Self,
		Empty:     p.Empty,
		Record:    p.Record,
		Replicas:  p.Replicas,
		Leaving:   p.Leaving,
		KnownSeq:  p.Seq,
		NoMembers: true,
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if now := d.host.Clock.Now(); now.Past(d.membersAsked, membersInterval) {
		d.membersAsked, request.NoMembers = now, false
	}
	return request
}

// answer learns from a process that asks, and gives what that one is told.
func (d *Directory) answer(request *PeerExchangeRequest) *PeerExchange {
	d.Merge(&PeerExchange{
		Self:     request.Self,
		Empty:    request.Empty,
		Record:   request.Record,
		Replicas: request.Replicas,
		Members:  request.Members,
		Seq:      request.Seq,
		Leaving:  request.Leaving,
	})
	p := d.Exchange()
	if request.NoMembers || p.Seq <= request.KnownSeq {
		p.Members, p.Seq = nil, 0
	}
	return p
}

// Exchange is all that the directory knows now.
func (d *Directory) Exchange() *PeerExchange {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.self
	p.Empty = p.Empty && d.record.ClusterID == ""
	p.Record, p.Members, p.Seq = d.record, d.members, d.seq
	now := d.host.Clock.Now()
	for _, s := range d.replicas {
		if !now.Past(s.heardAt, 10*time.Second) {
			p.Replicas = append(p.Replicas, s.Replica)
		}
	}
	sort.Slice(p.Replicas, func(i, op int) bool { return p.Replicas[i].Disk < p.Replicas[op].Disk })
	return &p
}

// Merge takes in another's page. Only what the speaker says of itself is dated.
func (d *Directory) Merge(p *PeerExchange) {
	d.mu.Lock()
	if d.record.ClusterID != "" && p.Record.ClusterID != "" && p.Record.ClusterID != d.record.ClusterID {
		d.foreignCluster = p.Record.ClusterID
		d.mu.Unlock()
		return
	}
	grown := p.Record.Epoch > d.record.Epoch
	if grown {
		d.record = p.Record
	}
	if p.Self.Addr != "" && p.Self.Addr != d.self.Self.Addr {
		d.lastContact = d.host.Clock.Now()
	}
	if p.Self.Disk != "" && p.Self.Disk != d.self.Self.Disk {
		d.replicas[p.Self.Disk] = replicaContact{p.Self, p.Empty, p.Leaving, d.host.Clock.Now()}
	}
	for _, s := range p.Replicas {
		if _, ok := d.replicas[s.Disk]; !ok && s.Disk != d.self.Self.Disk {
			d.replicas[s.Disk] = replicaContact{Replica: s, heardAt: d.host.Clock.Now().Add(-5 * time.Second)}
		}
	}
	d.updateMembers(p.Seq, p.Members)
	if grown {
		close(d.recordChanged)
		d.recordChanged = make(chan struct{})
	}
	d.mu.Unlock()
}

// LastContact tells when any other process was heard last.
func (d *Directory) LastContact() ids.Tick {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lastContact
}

// SetSeeds takes the seeds that changed settings name.
func (d *Directory) SetSeeds(seeds []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seeds = seeds
}

// SetMembers is called by those who follow the news themselves; seq is the number of the
// log up to which they have.
func (d *Directory) SetMembers(seq ids.Seq, ms []Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.updateMembers(seq, ms)
}

// updateMembers takes members that are newer than those known. Epochs do not tell: whoever hears
// of a newer one may know members of long ago.
func (d *Directory) updateMembers(seq ids.Seq, ms []Member) {
	if seq > d.seq {
		d.seq, d.members = seq, ms
	}
}

// Record is the newest record that was heard of.
func (d *Directory) Record() Record {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.record
}

// RecordChanged is closed when a newer record than that of now is learnt.
func (d *Directory) RecordChanged() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.recordChanged
}

// Broadcast gives everyone known this page, so that they need not find out by themselves.
func (d *Directory) Broadcast(ctx context.Context) {
	p := d.request()
	p.NoMembers = true
	for _, a := range d.addresses() {
		go func() {
			callContext, stop := context.WithTimeout(ctx, 700*time.Millisecond)
			defer stop()
			rpc.Call[PeerExchangeRequest, PeerExchange](callContext, d.caller, a, ExchangeMethod, p)
		}()
	}
}

// ForeignCluster is the founding id of another fleet that was met, if any.
func (d *Directory) ForeignCluster() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.foreignCluster
}

// Addr gives the freshest address of a replica.
func (d *Directory) Addr(s Replica) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if got, ok := d.replicas[s.Disk]; ok {
		return got.Addr
	}
	return s.Addr
}

// recentReplicas gives the replicas that spoke for themselves within the span.
func (d *Directory) recentReplicas(duration time.Duration) (all []Replica, blank []Replica) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.host.Clock.Now()
	for _, s := range d.replicas {
		if now.Past(s.heardAt, duration) {
			continue
		}
		all = append(all, s.Replica)
		if s.empty {
			blank = append(blank, s.Replica)
		}
	}
	return all, blank
}

// setLeaving has all pages tell from now on that this process is about to end.
func (d *Directory) setLeaving() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.self.Leaving = true
}

// isLeaving tells whether a replica said that it is about to end.
func (d *Directory) isLeaving(disk ids.DiskID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.replicas[disk].leaving
}

// addresses lists every address worth asking.
func (d *Directory) addresses() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	set := map[string]bool{}
	for _, a := range d.seeds {
		set[a] = true
	}
	for _, s := range d.replicas {
		set[s.Addr] = true
	}
	for _, m := range d.members {
		set[m.Addr] = true
	}
	for _, s := range d.record.allVoters() {
		set[s.Addr] = true
	}
	delete(set, d.self.Self.Addr)
	var out []string
	for a := range set {
		out = append(out, a)
	}
	sort.Strings(out)
	return out
}

// Query asks so many of the known, in a random order, and learns.
func (d *Directory) Query(ctx context.Context, limit int) {
	list := d.addresses()
	rand.Shuffle(len(list), func(i, op int) { list[i], list[op] = list[op], list[i] })
	if len(list) > limit {
		list = list[:limit]
	}
	if p := d.Record().Primary; p.Disk != "" && p.Disk != d.self.Self.Disk {
		list = append(list, d.Addr(p))
	}
	var wg sync.WaitGroup
	for _, a := range list {
		wg.Go(func() {
			c, stop := context.WithTimeout(ctx, 700*time.Millisecond)
			defer stop()
			if p, err := rpc.Call[PeerExchangeRequest, PeerExchange](
				c, d.caller, a, ExchangeMethod, d.request(),
			); err == nil {
				d.Merge(p)
			}
		})
	}
	wg.Wait()
}

// Run asks for ever: often while the core is unknown, seldom afterwards, and hardly
// while all is calm, since whoever moves asks the others.
func (d *Directory) Run(ctx context.Context, calm func() bool) {
	for {
		limit, wait := 4, time.Second
		switch {
		case d.Record().ClusterID == "":
			wait = 200 * time.Millisecond
		case calm():
			limit, wait = 1, 4*time.Second
		}
		d.Query(ctx, limit)
		if !host.Sleep(ctx, wait/2+rand.N(wait)) {
			return
		}
	}
}

// Serve answers others from the directory.
func (d *Directory) Serve(mux *http.ServeMux) {
	rpc.Handle(mux, ExchangeMethod, func(_ context.Context, request *PeerExchangeRequest) (*PeerExchange, error) {
		return d.answer(request), nil
	})
}
