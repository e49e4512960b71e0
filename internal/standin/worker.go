// This file contains the stand-in worker: its options, the faults that can be injected, and its own counts per
// request, which reveal a request that was executed twice.

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

// WorkerOptions configure a stand-in worker. The comments give the defaults of options that are left at zero.
type WorkerOptions struct {
	ID                ids.WorkerID
	Addr              string
	Role              ids.Role
	Model             workerclient.Model
	Capacity          int           // cache blocks
	BlockSize         int           // tokens per cache block; default 16
	PrefillPerToken   time.Duration // prefill time per prompt token; default 40us
	StepTime          time.Duration // base time of a step; default 4ms
	StepPerRun        time.Duration // additional decode step time per run; default 200us
	ReportLag         time.Duration // age of the reports; default 300ms
	StagingTTL        time.Duration // how long exported KV cache stays staged; default 5s
	OrphanTimeout     time.Duration // limit for an import without a resume and for a run without a reader; default 2s
	WireBytesPerToken int           // nominal KV cache size, for the duration of a transfer; default 64
	TransferRate      int           // bytes per second between workers; default 64 MiB
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

// Faults are the faults that a worker injects. They are set with POST /fault or with SetFaults.
type Faults struct {
	TransferRate     int  `json:"speed,omitempty"`   // bytes per second of outgoing KV cache
	Corrupt          bool `json:"corrupt,omitempty"` // flips a bit of outgoing KV cache
	Drop             bool `json:"drop,omitempty"`    // aborts a KV cache transfer half way
	ReportLagMs      int  `json:"lagMs,omitempty"`   // age of the reports
	Unresponsive     bool `json:"dark,omitempty"`    // accepts requests, sends no response
	Garbage          bool `json:"garbage,omitempty"` // sends responses that are not JSON
	SkipArrivalCheck bool `json:"hurry,omitempty"`   // deliberate bug: decodes before all bytes have arrived
	IgnoreFencing    bool `json:"forget,omitempty"`  // deliberate bug: ignores fencing tokens and tombstones
}

// RequestCounts counts what the worker did for one request.
type RequestCounts struct {
	Runs            int   `json:"runs"`            // resumes that started to decode
	Finished        int   `json:"records"`         // runs that completed
	Prefills        int   `json:"reads"`           // prefills started
	RejectedImports int   `json:"bounced"`         // imports rejected because too few blocks were free and unreserved
	OutOfBlocks     int   `json:"starved"`         // runs stopped because no block was free
	FirstTokens     []int `json:"first,omitempty"` // per run, the length of the output at resume
}

// Event is an event on a worker, such as an accepted order, for the checkers of a test.
type Event struct {
	Kind    string
	Worker  ids.WorkerID
	ID      workerclient.ID
	Fence   ids.Fence
	Version ids.Version
	At      ids.Tick
}

// Worker is a stand-in for a model worker. OnEvent, if set, is called for each event.
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
	queue       []*run // waiting for prefill, oldest first
	staged      map[workerclient.ID]*stagedKV
	tombstones  map[string]int // by request, the latest cancelled attempt
	outcomes    map[string]*workerclient.OrderResponse
	counts      map[string]*RequestCounts
	prefixCache map[uint64]ids.Tick // by prefix hash, the time of the last use
	prefixHits  [2]int              // prompt tokens found in prefixCache, and all prompt tokens
	pastReports []timedReport
	wake        chan struct{}
}

// timedReport is a report with the time at which it was made.
type timedReport struct {
	at     ids.Tick
	report workerclient.Report
}

// stagedKV is exported KV cache that another worker may fetch until it expires.
type stagedKV struct {
	state workerclient.Identity
	body  []byte
	until ids.Tick
}

// run is one attempt of a request on this worker.
type run struct {
	state          workerclient.Identity
	blocks         []int         // the block table; nil after the run was dropped
	reserved       int           // blocks reserved for the growth of the table
	lastCell       uint64        // KV cell of the last computed token; 0 if it must be read from the table
	prefilled      bool          // the prefill step is complete
	arrived        bool          // the imported KV cache is complete and verified
	transferFailed bool          // the transfer of the KV cache failed
	resumed        bool          // decoding was started by a resume order
	ended          bool          // the run completed
	stopped        bool          // the run was dropped before it completed
	lastActive     ids.Tick      // last progress or read of the stream
	changed        chan struct{} // closed and replaced on progress
}

// NewWorker returns a worker with the given options, with defaults for those that are zero. The worker is idle until
// Run is called.
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
		outcomes:    map[string]*workerclient.OrderResponse{},
		prefixCache: map[uint64]ids.Tick{},
		wake:        make(chan struct{}, 1),
	}
}

func (w *Worker) now() ids.Tick { return w.opt.Host.Clock.Now() }

// Run processes requests until the context is cancelled.
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
	counts := w.counts[request]
	if counts == nil {
		counts = &RequestCounts{}
		w.counts[request] = counts
	}
	return counts
}

// RequestCounts returns a copy of the worker's counts by request.
func (w *Worker) RequestCounts() map[string]RequestCounts {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[string]RequestCounts{}
	for k, t := range w.counts {
		out[k] = *t
	}
	return out
}

// PrefixHits returns how many of the processed prompt tokens were in the prefix cache, and the total number of
// processed prompt tokens.
func (w *Worker) PrefixHits() (hits, total int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.prefixHits[0], w.prefixHits[1]
}

// UsedBlocks returns the number of allocated blocks.
func (w *Worker) UsedBlocks() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.pool.used()
}

// SetFaults replaces the injected faults.
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

// drop removes a run, frees its blocks and records how it ended. The caller holds mu.
func (w *Worker) drop(r *run, outcome string) {
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
	if f := w.outcomes[r.state.ID.Request]; f == nil || f.Fate == workerclient.FateNotStarted ||
		outcome == workerclient.FateFinished {
		w.outcomes[r.state.ID.Request] = &workerclient.OrderResponse{
			Fate:   outcome,
			Output: r.state.Output,
			Done:   outcome == workerclient.FateFinished,
		}
	}
	if !r.ended {
		r.stopped = true
	}
	w.notify(r)
}

// notify wakes the goroutines that wait for progress of a run. The caller holds mu.
func (w *Worker) notify(r *run) {
	close(r.changed)
	r.changed = make(chan struct{})
}

// unstage frees staged KV cache. The caller holds mu.
func (w *Worker) unstage(id workerclient.ID) {
	delete(w.staged, id)
	w.emit("unstaged", id, workerclient.OrderHeader{})
}

// expire removes staged KV cache that was not fetched in time, imports that were not resumed and runs without a
// reader. It also records the current report, which is served after the report lag.
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
		BlockSize:   w.pool.blockSize,
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

// Role returns the worker's current role.
func (w *Worker) Role() ids.Role {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.role
}
