// Every process keeps a directory of the newest record, the known replicas and the members, and
// exchanges it with other processes. The three seed addresses are needed only for the first exchange:
// every process that answers is queried again later, so a directory survives the replacement of all seeds.

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

// membersInterval is the time between two queries of a process that ask for the members.
const membersInterval = 2 * time.Second

// replicaContact is a replica and what it last said of itself.
type replicaContact struct {
	Replica
	empty   bool // its disk holds no accepted record
	leaving bool // it is about to end
	heardAt ids.Tick
}

// Directory holds the newest record, the known replicas and the members. It is safe for concurrent use.
type Directory struct {
	mu                 sync.Mutex
	host               host.Host
	seeds              []string
	self               PeerExchange
	record             Record
	replicas           map[ids.DiskID]replicaContact
	members            []Member
	seq                ids.Seq // sequence number of the log that the members correspond to
	caller             *rpc.Caller
	foreignCluster     string
	recordChanged      chan struct{} // closed when a newer record is received
	lastContact        ids.Tick      // when another process was last heard from
	membersRequestedAt ids.Tick      // when the members were last requested from another process
}

// NewDirectory returns the directory of a process. self is the replica of the process, or only its address.
// Until the first exchange the directory knows nothing but the seeds.
func NewDirectory(host host.Host, caller *rpc.Caller, seeds []string, self Replica) *Directory {
	return &Directory{
		host:               host,
		caller:             caller,
		seeds:              seeds,
		self:               PeerExchange{Self: self},
		replicas:           map[ids.DiskID]replicaContact{},
		recordChanged:      make(chan struct{}),
		membersRequestedAt: host.Clock.Now(),
	}
}

// newRequest returns the request to send to another process. Only one request per membersInterval asks for
// the members, since a process that follows the change feed learns them from the feed.
func (d *Directory) newRequest() *PeerExchangeRequest {
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
	if now := d.host.Clock.Now(); now.Past(d.membersRequestedAt, membersInterval) {
		d.membersRequestedAt, request.NoMembers = now, false
	}
	return request
}

// handleExchange merges the request of another process and returns the response to it.
func (d *Directory) handleExchange(request *PeerExchangeRequest) *PeerExchange {
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

// Exchange returns all that the directory knows now. Replicas that were not heard of for 10 s are left out.
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
	sort.Slice(p.Replicas, func(i, j int) bool { return p.Replicas[i].Disk < p.Replicas[j].Disk })
	return &p
}

// Merge merges the exchange of another process. Only what the sender says of itself counts as heard now;
// a replica that is new to the directory counts as heard 5 s ago.
func (d *Directory) Merge(p *PeerExchange) {
	d.mu.Lock()
	if d.record.ClusterID != "" && p.Record.ClusterID != "" && p.Record.ClusterID != d.record.ClusterID {
		d.foreignCluster = p.Record.ClusterID
		d.mu.Unlock()
		return
	}
	newer := p.Record.Epoch > d.record.Epoch
	if newer {
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
	if newer {
		close(d.recordChanged)
		d.recordChanged = make(chan struct{})
	}
	d.mu.Unlock()
}

// LastContact returns when another process was last heard from.
func (d *Directory) LastContact() ids.Tick {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lastContact
}

// SetSeeds replaces the seed addresses after a change of the settings.
func (d *Directory) SetSeeds(seeds []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seeds = seeds
}

// SetMembers sets the members as of the log entry seq. It is called by processes that follow the change
// feed themselves.
func (d *Directory) SetMembers(seq ids.Seq, members []Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.updateMembers(seq, members)
}

// updateMembers replaces the members by newer ones. Epochs cannot decide which are newer: a process that
// has heard of a newer epoch may still have old members.
func (d *Directory) updateMembers(seq ids.Seq, members []Member) {
	if seq > d.seq {
		d.seq, d.members = seq, members
	}
}

// Record returns the newest record that the directory has received.
func (d *Directory) Record() Record {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.record
}

// RecordChanged returns a channel that is closed when a record newer than the current one is received.
func (d *Directory) RecordChanged() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.recordChanged
}

// Broadcast sends this directory to all known processes, so that they need not query for it.
func (d *Directory) Broadcast(ctx context.Context) {
	p := d.newRequest()
	p.NoMembers = true
	for _, a := range d.addresses() {
		go func() {
			callContext, stop := context.WithTimeout(ctx, 700*time.Millisecond)
			defer stop()
			rpc.Call[PeerExchangeRequest, PeerExchange](callContext, d.caller, a, ExchangeMethod, p)
		}()
	}
}

// ForeignCluster returns the cluster id of another fleet, if a process of one was met.
func (d *Directory) ForeignCluster() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.foreignCluster
}

// Addr returns the newest known address of a replica.
func (d *Directory) Addr(s Replica) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if got, ok := d.replicas[s.Disk]; ok {
		return got.Addr
	}
	return s.Addr
}

// recentReplicas returns the replicas that were heard from within a duration, and those of them whose
// disk is empty.
func (d *Directory) recentReplicas(duration time.Duration) (all []Replica, empty []Replica) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.host.Clock.Now()
	for _, s := range d.replicas {
		if now.Past(s.heardAt, duration) {
			continue
		}
		all = append(all, s.Replica)
		if s.empty {
			empty = append(empty, s.Replica)
		}
	}
	return all, empty
}

// setLeaving makes all further exchanges say that this process is about to end.
func (d *Directory) setLeaving() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.self.Leaving = true
}

// isLeaving reports whether a replica said that it is about to end.
func (d *Directory) isLeaving(disk ids.DiskID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.replicas[disk].leaving
}

// addresses returns the addresses of the seeds and of all known replicas, members and voters, except
// this process's own.
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

// Query exchanges directories with the primary and with up to limit other processes, chosen at random.
func (d *Directory) Query(ctx context.Context, limit int) {
	list := d.addresses()
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
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
				c, d.caller, a, ExchangeMethod, d.newRequest(),
			); err == nil {
				d.Merge(p)
			}
		})
	}
	wg.Wait()
}

// Run queries until the context ends: often while no cluster is known, less often afterwards, and least
// while stable reports true, since a process that changes its address queries the others itself.
func (d *Directory) Run(ctx context.Context, stable func() bool) {
	for {
		limit, wait := 4, time.Second
		switch {
		case d.Record().ClusterID == "":
			wait = 200 * time.Millisecond
		case stable():
			limit, wait = 1, 4*time.Second
		}
		d.Query(ctx, limit)
		if !host.Sleep(ctx, wait/2+rand.N(wait)) {
			return
		}
	}
}

// Serve registers the handler for exchanges with other processes.
func (d *Directory) Serve(mux *http.ServeMux) {
	rpc.Handle(mux, ExchangeMethod, func(_ context.Context, request *PeerExchangeRequest) (*PeerExchange, error) {
		return d.handleExchange(request), nil
	})
}
