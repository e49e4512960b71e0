// Every process keeps a directory: the newest record (the cluster's id, epoch, primary, backups and
// voters), the known replicas, and the members (the nodes that hold a lease). It exchanges the directory
// with other processes. The three seed addresses are needed only for the first exchange: every process
// that answers is queried again later, so a directory survives the replacement of all seeds.

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

// membersInterval is the least time between two requests for the members that a process sends, to whichever
// other process.
const membersInterval = 2 * time.Second

// replicaContact is a replica with the state that it last reported.
type replicaContact struct {
	Replica
	empty   bool // its disk holds no accepted record
	leaving bool // it is shutting down
	heardAt ids.Tick
}

// Directory holds the newest record, the known replicas and the members. It is safe for concurrent use.
type Directory struct {
	mu                 sync.Mutex
	host               host.Host
	seeds              []string
	own                PeerExchange // what this process reports of itself
	record             Record
	replicas           map[ids.DiskID]replicaContact
	members            []Member
	seq                ids.Seq // sequence number of the log that the members correspond to
	caller             *rpc.Caller
	foreignCluster     string        // id of another cluster that a message was received from
	recordChanged      chan struct{} // closed when a newer record is received
	lastContact        ids.Tick      // when another process was last heard from
	membersRequestedAt ids.Tick      // when the members were last requested from another process
}

// NewDirectory returns the directory of a process. self is the replica of the process; if the process has
// none, only its address is set. Until the first exchange the directory contains nothing but the seeds.
func NewDirectory(host host.Host, caller *rpc.Caller, seeds []string, self Replica) *Directory {
	return &Directory{
		host:               host,
		caller:             caller,
		seeds:              seeds,
		own:                PeerExchange{Self: self},
		replicas:           map[ids.DiskID]replicaContact{},
		recordChanged:      make(chan struct{}),
		membersRequestedAt: host.Clock.Now(),
	}
}

// newRequest returns the request to send to another process. Only one request per membersInterval asks for
// the members, since a process that follows the change feed learns them from the feed.
func (d *Directory) newRequest() *PeerExchangeRequest {
	exchange := d.Exchange()
	request := &PeerExchangeRequest{
		Self:      exchange.Self,
		Empty:     exchange.Empty,
		Record:    exchange.Record,
		Replicas:  exchange.Replicas,
		Leaving:   exchange.Leaving,
		KnownSeq:  exchange.Seq,
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
	exchange := d.Exchange()
	if request.NoMembers || exchange.Seq <= request.KnownSeq {
		exchange.Members, exchange.Seq = nil, 0
	}
	return exchange
}

// Exchange returns the current content of the directory, without replicas whose heardAt is more than 10 s ago.
func (d *Directory) Exchange() *PeerExchange {
	d.mu.Lock()
	defer d.mu.Unlock()
	exchange := d.own
	exchange.Empty = exchange.Empty && d.record.ClusterID == ""
	exchange.Record, exchange.Members, exchange.Seq = d.record, d.members, d.seq
	now := d.host.Clock.Now()
	for _, contact := range d.replicas {
		if !now.Past(contact.heardAt, 10*time.Second) {
			exchange.Replicas = append(exchange.Replicas, contact.Replica)
		}
	}
	sort.Slice(exchange.Replicas, func(i, j int) bool { return exchange.Replicas[i].Disk < exchange.Replicas[j].Disk })
	return &exchange
}

// Merge merges the exchange of another process into the directory. heardAt is set to now only for the
// sender. A replica that is known only from others gets a heardAt 5 s ago, so that it expires sooner.
func (d *Directory) Merge(exchange *PeerExchange) {
	d.mu.Lock()
	if d.record.ClusterID != "" && exchange.Record.ClusterID != "" && exchange.Record.ClusterID != d.record.ClusterID {
		d.foreignCluster = exchange.Record.ClusterID
		d.mu.Unlock()
		return
	}
	newer := exchange.Record.Epoch > d.record.Epoch
	if newer {
		d.record = exchange.Record
	}
	if exchange.Self.Addr != "" && exchange.Self.Addr != d.own.Self.Addr {
		d.lastContact = d.host.Clock.Now()
	}
	if exchange.Self.Disk != "" && exchange.Self.Disk != d.own.Self.Disk {
		d.replicas[exchange.Self.Disk] = replicaContact{exchange.Self, exchange.Empty, exchange.Leaving, d.host.Clock.Now()}
	}
	for _, replica := range exchange.Replicas {
		if _, ok := d.replicas[replica.Disk]; !ok && replica.Disk != d.own.Self.Disk {
			d.replicas[replica.Disk] = replicaContact{Replica: replica, heardAt: d.host.Clock.Now().Add(-5 * time.Second)}
		}
	}
	d.updateMembers(exchange.Seq, exchange.Members)
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
// has received a newer epoch may still have old members.
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

// Broadcast sends the record and the known replicas, without the members, to all known processes, so that
// they need not query for them.
func (d *Directory) Broadcast(ctx context.Context) {
	request := d.newRequest()
	request.NoMembers = true
	for _, addr := range d.addresses() {
		go func() {
			callContext, stop := context.WithTimeout(ctx, 700*time.Millisecond)
			defer stop()
			rpc.Call[PeerExchangeRequest, PeerExchange](callContext, d.caller, addr, ExchangeMethod, request)
		}()
	}
}

// ForeignCluster returns the id of another cluster from which a message was received, or an empty string.
func (d *Directory) ForeignCluster() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.foreignCluster
}

// Addr returns the newest known address of a replica.
func (d *Directory) Addr(replica Replica) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if contact, ok := d.replicas[replica.Disk]; ok {
		return contact.Addr
	}
	return replica.Addr
}

// recentReplicas returns the replicas that were heard from within a duration, and those of them whose
// disk is empty.
func (d *Directory) recentReplicas(duration time.Duration) (all []Replica, empty []Replica) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.host.Clock.Now()
	for _, contact := range d.replicas {
		if now.Past(contact.heardAt, duration) {
			continue
		}
		all = append(all, contact.Replica)
		if contact.empty {
			empty = append(empty, contact.Replica)
		}
	}
	return all, empty
}

// setLeaving makes all further exchanges report that this process is shutting down.
func (d *Directory) setLeaving() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.own.Leaving = true
}

// isLeaving reports whether a replica has reported that it is shutting down.
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
	for _, addr := range d.seeds {
		set[addr] = true
	}
	for _, replica := range d.replicas {
		set[replica.Addr] = true
	}
	for _, member := range d.members {
		set[member.Addr] = true
	}
	for _, replica := range d.record.allVoters() {
		set[replica.Addr] = true
	}
	delete(set, d.own.Self.Addr)
	var out []string
	for addr := range set {
		out = append(out, addr)
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
	if primary := d.Record().Primary; primary.Disk != "" && primary.Disk != d.own.Self.Disk {
		list = append(list, d.Addr(primary))
	}
	var wg sync.WaitGroup
	for _, addr := range list {
		wg.Go(func() {
			c, stop := context.WithTimeout(ctx, 700*time.Millisecond)
			defer stop()
			if exchange, err := rpc.Call[PeerExchangeRequest, PeerExchange](
				c, d.caller, addr, ExchangeMethod, d.newRequest(),
			); err == nil {
				d.Merge(exchange)
			}
		})
	}
	wg.Wait()
}

// Run calls Query until the context ends: often while no cluster is known, less often afterwards, and least
// often while stable reports true, since a process that changes its address queries the others itself.
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
