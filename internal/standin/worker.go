// The stand-in worker: what it is set up as, the faults it can be ordered to
// have, and its own count of runs and records, by which a double shows.

package standin

import (
	"context"
	"crypto/rand"
	"net/http"
	"sync"
	"time"

	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/internal/workerclient"
	"keelstair.example/rpc"
)

// WorkerOptions set up a stand-in worker.
type WorkerOptions struct {
	ID                ids.WorkerID
	Addr              string
	Role              ids.Role
	Model             workerclient.Model
	Capacity          int           // blocks
	BlockSize         int           // tokens a block
	PrefillPerToken   time.Duration // a prompt token's prefill, 40us
	StepTime          time.Duration // a decode step, 4ms
	StepPerRun        time.Duration // what each run adds to a step, 200us
	ReportLag         time.Duration // how old its reports are, 300ms
	StagingTTL        time.Duration // how long outgoing KV waits, 5s
	OrphanTimeout     time.Duration // import without resume, or run without reader, 2s
	WireBytesPerToken int           // bytes a token's KV weighs on the wire, 64
	TransferRate      int           // bytes a second between workers, 64 MB
	Host              host.Host
}

func (o *WorkerOptions) setDefaults() {
	ids.SetDefault(&o.PrefillPerToken, 40*time.Microsecond)
	ids.SetDefault(&o.StepTime, 4*time.Millisecond)
	ids.SetDefault(&o.StepPerRun, 200*time.Microsecond)
	ids.SetDefault(&o.ReportLag, 300*time.Millisecond)
	ids.SetDefault(&o.StagingTTL, 5*time.Second)
	ids.SetDefault(&o.OrphanTimeout, 2*time.Second)
	ids.SetDefault(&o.BlockSize, 16)
	ids.SetDefault(&o.WireBytesPerToken, 64)
	ids.SetDefault(&o.TransferRate, 64<<20)
}

// Faults are ordered over POST /fault.
type Faults struct {
	TransferRate     int  `json:"speed,omitempty"`   // bytes a second of outgoing KV
	Corrupt          bool `json:"corrupt,omitempty"` // flips a byte of outgoing KV
	Drop             bool `json:"drop,omitempty"`    // breaks outgoing KV half way
	ReportLagMs      int  `json:"lagMs,omitempty"`
	Unresponsive     bool `json:"dark,omitempty"` // hears orders, answers nothing
	Garbage          bool `json:"garbage,omitempty"`
	SkipArrivalCheck bool `json:"hurry,omitempty"`  // planted: attends before all bytes are in
	IgnoreFencing    bool `json:"forget,omitempty"` // planted: ignores fences and tombstones
}

// RequestCounts is the worker's own book of what it did for one request.
type RequestCounts struct {
	Runs            int   `json:"runs"`    // resumes that began to decode
	Finished        int   `json:"records"` // runs that came to their end
	Prefills        int   `json:"reads"`   // prefills
	RejectedImports int   `json:"bounced"` // imports refused for room
	OutOfBlocks     int   `json:"starved"` // decodes that ran out of room midway
	FirstTokens     []int `json:"first,omitempty"`
}

// Event is one line for a checker.
type Event struct {
	What    string
	Worker  ids.WorkerID
	ID      workerclient.ID
	Fence   ids.Fence
	Version ids.Version
	At      ids.Tick
}

// Worker is one stand-in.
type Worker struct {
	opt         WorkerOptions
	httpClient  *http.Client
	incarnation ids.Incarnation
	OnEvent     func(Event)

	mu          sync.Mutex
	role        ids.Role
	pool        *pool
	fence       ids.Fence
	version     ids.Version
	faults      Faults
	live        map[workerclient.ID]*run
	queue       []*run
	staged      map[workerclient.ID]*stagedKV
	tombstones  map[string]int
	fates       map[string]*workerclient.OrderResponse
	counts      map[string]*RequestCounts
	prefixCache map[uint64]ids.Tick
	prefixHits  [2]int // prompt tokens that were warm, and all
	pastReports []timedReport
	wake        chan struct{}
}

type timedReport struct {
	at     ids.Tick
	report workerclient.Report
}

type stagedKV struct {
	state workerclient.Identity
	body  []byte
	until ids.Tick
}

// run is one request on this worker.
type run struct {
	state          workerclient.Identity
	blocks         []int
	reserved       int
	lastCell       uint64
	prefilled      bool
	arrived        bool
	transferFailed bool
	resumed        bool
	ended          bool
	stopped        bool
	lastActive     ids.Tick
	changed        chan struct{}
}

// NewWorker returns a worker with the given options, and defaults for those that are left at
// zero. It runs nothing before Run.
func NewWorker(opt WorkerOptions) *Worker {
	opt.setDefaults()
	return &Worker{
		opt:         opt,
		incarnation: ids.Incarnation(rand.Text()),
		httpClient:  rpc.NewHTTPClient(opt.Host.Net),
		role:        opt.Role,
		pool:        newPool(opt.Capacity, opt.BlockSize),
		live:        map[workerclient.ID]*run{},
		staged:      map[workerclient.ID]*stagedKV{},
		tombstones:  map[string]int{},
		counts:      map[string]*RequestCounts{},
		fates:       map[string]*workerclient.OrderResponse{},
		prefixCache: map[uint64]ids.Tick{},
		wake:        make(chan struct{}, 1),
	}
}

func (w *Worker) now() ids.Tick { return w.opt.Host.Clock.Now() }

// Run works until the context ends.
func (w *Worker) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { w.runEngine(ctx) })
	wg.Go(func() {
		for host.Sleep(ctx, 50*time.Millisecond) {
			w.expire()
		}
	})
	wg.Wait()
	w.httpClient.CloseIdleConnections()
}

func (w *Worker) emit(event string, id workerclient.ID, header workerclient.OrderHeader) {
	if w.OnEvent != nil {
		w.OnEvent(Event{event, w.opt.ID, id, header.Fence, header.Version, w.now()})
	}
}

func (w *Worker) requestCounts(request string) *RequestCounts {
	t := w.counts[request]
	if t == nil {
		t = &RequestCounts{}
		w.counts[request] = t
	}
	return t
}

// RequestCounts copies the worker's book.
func (w *Worker) RequestCounts() map[string]RequestCounts {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[string]RequestCounts{}
	for k, t := range w.counts {
		out[k] = *t
	}
	return out
}

// PrefixHits tells how many prompt tokens were warm when they were read, of how many.
func (w *Worker) PrefixHits() (warm, all int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.prefixHits[0], w.prefixHits[1]
}

// UsedBlocks tells how many blocks are taken.
func (w *Worker) UsedBlocks() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.pool.used()
}

// SetFaults sets the faults.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

func (w *Worker) wakeEngine() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// drop frees all that a run holds. The caller holds mu.
func (w *Worker) drop(r *run, fate string) {
	if _, ok := w.live[r.state.ID]; !ok {
		return
	}
	delete(w.live, r.state.ID)
	for i, q := range w.queue {
		if q == r {
			w.queue = append(w.queue[:i:i], w.queue[i+1:]...)
			break
		}
	}
	w.pool.release(r.blocks)
	w.pool.reserved -= r.reserved
	r.blocks, r.reserved = nil, 0
	if f := w.fates[r.state.ID.Request]; f == nil || f.Fate == workerclient.FateNotStarted ||
		fate == workerclient.FateFinished {
		w.fates[r.state.ID.Request] = &workerclient.OrderResponse{
			Fate:   fate,
			Output: r.state.Output,
			Done:   fate == workerclient.FateFinished,
		}
	}
	if !r.ended {
		r.stopped = true
	}
	w.notify(r)
}

// notify tells the readers of a run that it went on.
func (w *Worker) notify(r *run) {
	close(r.changed)
	r.changed = make(chan struct{})
}

// unstage frees outgoing KV. The caller holds mu.
func (w *Worker) unstage(id workerclient.ID) {
	delete(w.staged, id)
	w.emit("unstaged", id, workerclient.OrderHeader{})
}

// expire ends what nobody came for: staged KV, imports never resumed, runs that
// nobody reads. It also keeps the late reports.
func (w *Worker) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	for id, p := range w.staged {
		if p.until.Before(now) {
			w.unstage(id)
		}
	}
	for _, r := range w.live {
		if !now.Past(r.lastActive, w.opt.OrphanTimeout) {
			continue
		}
		switch {
		case r.resumed && !r.ended:
			w.emit("orphan-run", r.state.ID, workerclient.OrderHeader{})
			w.drop(r, workerclient.FateStopped)
		case !r.resumed && (w.role == ids.Decode || r.prefilled):
			w.emit("orphan-import", r.state.ID, workerclient.OrderHeader{})
			w.drop(r, workerclient.FateNotStarted)
		}
	}
	w.pastReports = append(w.pastReports, timedReport{now, w.report()})
	lag := w.opt.ReportLag
	if w.faults.ReportLagMs > 0 {
		lag = time.Duration(w.faults.ReportLagMs) * time.Millisecond
	}
	for len(w.pastReports) > 1 && now.Past(w.pastReports[1].at, lag) {
		w.pastReports = w.pastReports[1:]
	}
}

func (w *Worker) report() workerclient.Report {
	r := workerclient.Report{
		Role:        w.role,
		Model:       w.opt.Model,
		Used:        w.pool.used(),
		Capacity:    len(w.pool.cells),
		BlockSize:   w.pool.size,
		Queue:       len(w.queue),
		Version:     w.version,
		Running:     []workerclient.Running{},
		Incarnation: w.incarnation,
	}
	for id, v := range w.live {
		r.Running = append(r.Running, workerclient.Running{ID: id, Blocks: len(v.blocks), Reserved: v.reserved})
	}
	return r
}

// Role tells what the worker does now.
func (w *Worker) Role() ids.Role {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.role
}
