// Core, its options and life cycle, and the RPC handlers for appends, submissions, renewals and
// watches.

package coordination

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"keelstair.example/failure"
	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/logging"
	"keelstair.example/rpc"
)

// Options configures a Core. Zero durations take the defaults named beside them.
type Options struct {
	Addr              string
	Zone              ids.Zone
	Host              host.Host
	Seeds             []string
	Machine           func() StateMachine
	Ring              *logging.Ring
	HeartbeatInterval time.Duration // 200ms: from the primary to its backups and the other voters
	ElectionTimeout   time.Duration // 900ms: silence of the primary after which a backup takes over
	LeaseDuration     time.Duration // 3s: lease of every node
	DiskTimeout       time.Duration // 1s: a disk operation that takes longer has failed
	// 2s: a voter may be replaced after this silence, or after ElectionTimeout if another disk has its address
	ReplaceAfter    time.Duration
	FaultTolerance  int  // 1: machines that may be lost at once; read only at bootstrap
	JoinOnly        bool // never bootstrap a cluster; wait for an existing one
	ForceNewCluster bool // an operator orders a new cluster from the data on this disk
}

func (o *Options) setDefaults() {
	ids.SetDefault(&o.HeartbeatInterval, 200*time.Millisecond)
	ids.SetDefault(&o.ElectionTimeout, 900*time.Millisecond)
	ids.SetDefault(&o.LeaseDuration, 3*time.Second)
	ids.SetDefault(&o.DiskTimeout, time.Second)
	ids.SetDefault(&o.ReplaceAfter, 2*time.Second)
	o.FaultTolerance = max(1, o.FaultTolerance)
	if o.Ring == nil {
		o.Ring = logging.Discard()
	}
}

// Core is one machine's replica of the coordination service: a voter with a register, and the
// primary, a backup or a spare as the newest record says. New makes one, Mount and Run start it,
// Leave prepares its shutdown. It is safe for concurrent use.
type Core struct {
	options   Options
	self      Replica
	caller    *rpc.Caller
	directory *Directory
	store     *store
	feed      *feed

	registerMu host.ChannelMutex
	register   register
	lastHeard  map[ids.DiskID]ids.Tick

	dataMu       host.ChannelMutex
	state        *replicatedState
	readyEpoch   atomic.Uint64
	reloadNeeded bool

	leader        atomic.Pointer[leader]
	highestEpoch  atomic.Uint64
	leaving       atomic.Bool
	transferEpoch atomic.Uint64 // the epoch whose primary has asked this backup to take over
	wakeElection  chan struct{} // makes the election loop run at once
	snapshotsSent atomic.Uint64 // full snapshots sent to other replicas
	fatal         chan error
}

// New opens the disk and loads the identity, register, state and directory from it. It starts no
// goroutines.
func New(opt Options) (*Core, error) {
	opt.setDefaults()
	c := &Core{
		options:      opt,
		registerMu:   host.NewChannelMutex(),
		dataMu:       host.NewChannelMutex(),
		feed:         newFeed(),
		lastHeard:    map[ids.DiskID]ids.Tick{},
		wakeElection: make(chan struct{}, 1),
		fatal:        make(chan error, 1),
	}
	c.store = &store{disk: opt.Host.Disk, timeout: opt.DiskTimeout}
	id, err := opt.Host.Disk.Load(identityFile)
	if errors.Is(err, host.ErrNotExist) {
		id = []byte(NewID())
		err = opt.Host.Disk.Save(identityFile, id)
	}
	if err != nil {
		return nil, failure.Wrap(err, "open identity", "disk")
	}
	c.self = Replica{Disk: ids.DiskID(id), Addr: opt.Addr, Zone: opt.Zone}
	if c.register, err = c.store.loadRegister(); err != nil {
		return nil, err
	}
	c.state = newReplicatedState(opt.Machine())
	if err := c.store.load(c.state); err != nil {
		return nil, err
	}
	c.caller = rpc.NewCaller(opt.Host.Net)
	c.directory = NewDirectory(opt.Host, c.caller, opt.Seeds, c.self)
	c.directory.own.Empty = c.register.Accepted.ClusterID == ""
	c.directory.Merge(&PeerExchange{Record: c.register.Accepted})
	if body, err := opt.Host.Disk.Load(directoryFile); err == nil {
		var p PeerExchange
		if _, err := p.UnmarshalMsg(body); err == nil {
			p.Self = Replica{}
			c.directory.Merge(&p)
		}
	}
	return c, nil
}

// NewID returns a random 64-bit id in hexadecimal.
func NewID() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// ShortHash returns the first 12 bytes of the SHA-256 hash of a name, in hexadecimal.
func ShortHash(long string) string {
	sum := sha256.Sum256([]byte(long))
	return hex.EncodeToString(sum[:12])
}

// Directory returns the core's directory of replicas and members.
func (c *Core) Directory() *Directory { return c.directory }

// Caller returns the RPC client that uses the core's network.
func (c *Core) Caller() *rpc.Caller { return c.caller }

// Leads reports whether this core is the primary.
func (c *Core) Leads() bool { return c.leader.Load() != nil }

// Mount registers the core's RPC handlers on a mux.
func (c *Core) Mount(mux *http.ServeMux) {
	c.directory.Serve(mux)
	rpc.Handle(mux, ballotMethod, c.handleBallot)
	rpc.Handle(mux, appendMethod, c.handleAppend)
	rpc.Handle(mux, catchUpMethod, c.handleCatchUp)
	rpc.Handle(mux, chunkMethod, c.handleChunk)
	rpc.Handle(mux, SubmitMethod, c.handleSubmit)
	rpc.Handle(mux, RenewMethod, c.handleRenew)
	rpc.Handle(mux, WatchMethod, c.handleWatch)
	rpc.Handle(mux, heartbeatMethod, c.handleHeartbeat)
	rpc.Handle(mux, leaveMethod, c.handleLeave)
	rpc.Handle(mux, transferMethod, c.handleTransfer)
}

// Run runs the core until the context ends. It returns early only on a fatal error that an operator
// must handle, such as a disk that belongs to another cluster.
func (c *Core) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { c.directory.Run(ctx, c.connectedToPrimary) })
	wg.Go(func() {
		if c.options.ForceNewCluster {
			if err := c.forceNewCluster(ctx); err != nil {
				c.fatal <- err
				return
			}
		}
		c.electionLoop(ctx)
	})
	wg.Go(func() { c.saveDirectory(ctx) })
	wg.Go(func() { c.prefetchChunks(ctx) })
	var err error
	select {
	case <-ctx.Done():
	case err = <-c.fatal:
	}
	stop()
	wg.Wait()
	c.caller.Close()
	return err
}

// connectedToPrimary reports whether this core is a voter that is the primary or has recently heard
// from it.
func (c *Core) connectedToPrimary() bool {
	record, _ := c.acceptedRecord()
	c.registerMu.Lock()
	defer c.registerMu.Unlock()
	return containsDisk(record.Voters, c.self.Disk) && c.recentlyHeardFrom(record.Primary.Disk, c.options.Host.Clock.Now())
}

// saveDirectory saves the directory every 2 s if it has changed, so that a restarted core finds its
// peers even when every seed is gone.
func (c *Core) saveDirectory(ctx context.Context) {
	var previous string
	for host.Sleep(ctx, 2*time.Second) {
		p := c.directory.Exchange()
		body := string(MustMarshal(p))
		if body == previous || len(p.Replicas)+len(p.Members) == 0 || c.store.pendingSteps.Load() > 0 {
			continue
		}
		if c.store.runStep("save directory", func() error {
			return c.options.Host.Disk.Save(directoryFile, []byte(body))
		}) == nil {
			previous = body
		}
	}
}

func containsDisk(list []Replica, d ids.DiskID) bool {
	for _, s := range list {
		if s.Disk == d {
			return true
		}
	}
	return false
}

// handleAppend appends entries on a backup and syncs them before it answers. It refuses an older
// epoch, so a deposed primary can acknowledge nothing.
func (c *Core) handleAppend(_ context.Context, request *AppendRequest) (*AppendResponse, error) {
	c.dataMu.Lock()
	defer c.dataMu.Unlock()
	record, promised := c.acceptedRecord()
	r := &AppendResponse{Promised: promised, LastSeq: c.state.seq}
	if request.Epoch < promised || record.Epoch != request.Epoch || record.Primary.Disk != request.From.Disk ||
		record.backupRank(c.self.Disk) < 0 {
		return r, nil
	}
	if c.reloadNeeded || request.Prev != c.state.seq || !consecutive(request.Entries, request.Prev) {
		return r, nil
	}
	c.registerMu.Lock()
	c.recordContact(request.From.Disk)
	c.markDecided(request.Epoch, request.From.Disk)
	c.registerMu.Unlock()
	if err := c.store.append(request.Entries); err != nil {
		c.reloadNeeded = true
		return nil, err
	}
	if err := c.applyAll(request.Entries); err != nil {
		return nil, failure.Wrap(err, "apply entry", request.From.Addr)
	}
	if _, promised = c.acceptedRecord(); promised > request.Epoch {
		return &AppendResponse{Promised: promised}, nil
	}
	if c.store.logUnits > compactionThreshold {
		if err := c.store.compact(c.state.snapshot(false), chunksOf(c.state.machine)); err != nil {
			c.reloadNeeded = true
			return nil, err
		}
	}
	return &AppendResponse{OK: true, LastSeq: c.state.seq, Promised: promised}, nil
}

func (c *Core) handleSubmit(ctx context.Context, request *SubmitRequest) (*SubmitResponse, error) {
	l := c.leader.Load()
	if l == nil {
		return nil, failure.New(failure.Unavailable, "submit", c.self.Addr, "not the primary")
	}
	op := &operation{entry: &Entry{Kind: request.Kind, Body: request.Body, Op: request.Op}, done: make(chan struct{})}
	if err := l.submit(ctx, op); err != nil {
		return nil, err
	}
	if op.err != nil {
		return nil, op.err
	}
	return &SubmitResponse{Seq: op.entry.Seq, Body: op.result}, nil
}

func (c *Core) handleRenew(ctx context.Context, request *RenewRequest) (*RenewResponse, error) {
	l := c.leader.Load()
	if l == nil {
		return nil, failure.New(failure.Unavailable, "renew", c.self.Addr, "not the primary")
	}
	op := &operation{renew: request, done: make(chan struct{})}
	if err := l.submit(ctx, op); err != nil {
		return nil, err
	}
	return op.renewal, op.err
}

func (c *Core) handleWatch(ctx context.Context, request *WatchRequest) (*WatchResponse, error) {
	l := c.leader.Load()
	if l == nil {
		return nil, failure.New(failure.Unavailable, "news", c.self.Addr, "not the primary")
	}
	r, err := c.feed.watch(ctx, request, func() (*Snapshot, error) {
		op := &operation{readState: true, done: make(chan struct{})}
		if err := l.submit(ctx, op); err != nil {
			return nil, err
		}
		return op.snapshot, op.err
	})
	if err == nil {
		r.Epoch = l.startEpoch
	}
	return r, err
}
