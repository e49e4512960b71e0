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
	ID         ids.WorkerID
	Addr       string
	Role       ids.Role
	Model      workerclient.Model
	Capacity   int           // blocks
	Block      int           // tokens a block
	Read       time.Duration // a prompt token's prefill, 40us
	Step       time.Duration // a decode step, 4ms
	Each       time.Duration // what each run adds to a step, 200us
	Lag        time.Duration // how old its reports are, 300ms
	StagingTTL time.Duration // how long outgoing KV waits, 5s
	Orphan     time.Duration // import without resume, or run without reader, 2s
	Weight     int           // bytes a token's KV weighs on the wire, 64
	Speed      int           // bytes a second between workers, 64 MB
	Host       host.Host
}

func (o *WorkerOptions) fill() {
	ids.SetDefault(&o.Read, 40*time.Microsecond)
	ids.SetDefault(&o.Step, 4*time.Millisecond)
	ids.SetDefault(&o.Each, 200*time.Microsecond)
	ids.SetDefault(&o.Lag, 300*time.Millisecond)
	ids.SetDefault(&o.StagingTTL, 5*time.Second)
	ids.SetDefault(&o.Orphan, 2*time.Second)
	ids.SetDefault(&o.Block, 16)
	ids.SetDefault(&o.Weight, 64)
	ids.SetDefault(&o.Speed, 64<<20)
}

// Faults are ordered over POST /fault.
type Faults struct {
	Speed   int  `json:"speed,omitempty"`   // bytes a second of outgoing KV
	Corrupt bool `json:"corrupt,omitempty"` // flips a byte of outgoing KV
	Drop    bool `json:"drop,omitempty"`    // breaks outgoing KV half way
	LagMs   int  `json:"lagMs,omitempty"`
	Dark    bool `json:"dark,omitempty"` // hears orders, answers nothing
	Garbage bool `json:"garbage,omitempty"`
	Hurry   bool `json:"hurry,omitempty"`  // planted: attends before all bytes are in
	Forget  bool `json:"forget,omitempty"` // planted: ignores fences and tombstones
}

// Tally is the worker's own book of what it did for one request.
type Tally struct {
	Runs    int   `json:"runs"`    // resumes that began to decode
	Records int   `json:"records"` // runs that came to their end
	Reads   int   `json:"reads"`   // prefills
	Bounced int   `json:"bounced"` // imports refused for room
	Starved int   `json:"starved"` // decodes that ran out of room midway
	First   []int `json:"first,omitempty"`
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
	web         *http.Client
	incarnation ids.Incarnation
	Tell        func(Event)

	mu         sync.Mutex
	part       ids.Role
	pool       *pool
	fence      ids.Fence
	version    ids.Version
	fault      Faults
	live       map[workerclient.ID]*run
	queue      []*run
	staged     map[workerclient.ID]*parcel
	tombstones map[string]int
	fates      map[string]*workerclient.OrderResponse
	tally      map[string]*Tally
	warm       map[uint64]ids.Tick
	hits       [2]int // prompt tokens that were warm, and all
	late       []dated
	wake       chan struct{}
}

type dated struct {
	at ids.Tick
	r  workerclient.Report
}

type parcel struct {
	ident workerclient.Identity
	body  []byte
	until ids.Tick
}

// run is one request on this worker.
type run struct {
	ident   workerclient.Identity
	tab     []int
	pledge  int
	last    uint64
	read    bool
	arrived bool
	lost    bool
	resumed bool
	ended   bool
	stopped bool
	touched ids.Tick
	changed chan struct{}
}

// NewWorker returns a worker with the given options, and defaults for those that are left at
// zero. It runs nothing before Run.
func NewWorker(opt WorkerOptions) *Worker {
	opt.fill()
	return &Worker{
		opt:         opt,
		incarnation: ids.Incarnation(rand.Text()),
		web:         rpc.NewHTTPClient(opt.Host.Net),
		part:        opt.Role,
		pool:        newPool(opt.Capacity, opt.Block),
		live:        map[workerclient.ID]*run{},
		staged:      map[workerclient.ID]*parcel{},
		tombstones:  map[string]int{},
		tally:       map[string]*Tally{},
		fates:       map[string]*workerclient.OrderResponse{},
		warm:        map[uint64]ids.Tick{},
		wake:        make(chan struct{}, 1),
	}
}

func (w *Worker) now() ids.Tick { return w.opt.Host.Clock.Now() }

// Run works until the context ends.
func (w *Worker) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { w.engine(ctx) })
	wg.Go(func() {
		for host.Sleep(ctx, 50*time.Millisecond) {
			w.expireStaged()
		}
	})
	wg.Wait()
	w.web.CloseIdleConnections()
}

func (w *Worker) tell(what string, id workerclient.ID, l workerclient.OrderHeader) {
	if w.Tell != nil {
		w.Tell(Event{what, w.opt.ID, id, l.Fence, l.Version, w.now()})
	}
}

func (w *Worker) count(request string) *Tally {
	t := w.tally[request]
	if t == nil {
		t = &Tally{}
		w.tally[request] = t
	}
	return t
}

// Tallies copies the worker's book.
func (w *Worker) Tallies() map[string]Tally {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[string]Tally{}
	for k, t := range w.tally {
		out[k] = *t
	}
	return out
}

// Hits tells how many prompt tokens were warm when they were read, of how many.
func (w *Worker) Hits() (warm, all int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hits[0], w.hits[1]
}

// Used tells how many blocks are taken.
func (w *Worker) Used() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.pool.used()
}

// Order sets the faults.
func (w *Worker) Order(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = f
}

func (w *Worker) kick() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// drop frees all that a run holds. The caller holds mu.
func (w *Worker) drop(r *run, fate string) {
	if _, ok := w.live[r.ident.ID]; !ok {
		return
	}
	delete(w.live, r.ident.ID)
	for i, q := range w.queue {
		if q == r {
			w.queue = append(w.queue[:i:i], w.queue[i+1:]...)
			break
		}
	}
	w.pool.give(r.tab)
	w.pool.pledge -= r.pledge
	r.tab, r.pledge = nil, 0
	if f := w.fates[r.ident.ID.Request]; f == nil || f.Fate == workerclient.FateNever ||
		fate == workerclient.FateFinished {
		w.fates[r.ident.ID.Request] = &workerclient.OrderResponse{
			Fate:   fate,
			Output: r.ident.Output,
			Done:   fate == workerclient.FateFinished,
		}
	}
	if !r.ended {
		r.stopped = true
	}
	w.flash(r)
}

// flash tells the readers of a run that it went on.
func (w *Worker) flash(r *run) {
	close(r.changed)
	r.changed = make(chan struct{})
}

// unstage frees outgoing KV. The caller holds mu.
func (w *Worker) unstage(id workerclient.ID) {
	delete(w.staged, id)
	w.tell("unstaged", id, workerclient.OrderHeader{})
}

// expireStaged ends what nobody came for: staged KV, imports never resumed, runs that
// nobody reads. It also keeps the late reports.
func (w *Worker) expireStaged() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	for id, p := range w.staged {
		if p.until.Before(now) {
			w.unstage(id)
		}
	}
	for _, r := range w.live {
		if !now.Past(r.touched, w.opt.Orphan) {
			continue
		}
		switch {
		case r.resumed && !r.ended:
			w.tell("orphan-run", r.ident.ID, workerclient.OrderHeader{})
			w.drop(r, workerclient.FateStopped)
		case !r.resumed && (w.part == ids.Decode || r.read):
			w.tell("orphan-import", r.ident.ID, workerclient.OrderHeader{})
			w.drop(r, workerclient.FateNever)
		}
	}
	w.late = append(w.late, dated{now, w.report()})
	lag := w.opt.Lag
	if w.fault.LagMs > 0 {
		lag = time.Duration(w.fault.LagMs) * time.Millisecond
	}
	for len(w.late) > 1 && now.Past(w.late[1].at, lag) {
		w.late = w.late[1:]
	}
}

func (w *Worker) report() workerclient.Report {
	r := workerclient.Report{
		Role:        w.part,
		Model:       w.opt.Model,
		Used:        w.pool.used(),
		Capacity:    len(w.pool.cells),
		Block:       w.pool.size,
		Queue:       len(w.queue),
		Version:     w.version,
		Running:     []workerclient.Running{},
		Incarnation: w.incarnation,
	}
	for id, v := range w.live {
		r.Running = append(r.Running, workerclient.Running{ID: id, Blocks: len(v.tab), Reserved: v.pledge})
	}
	return r
}

// Part tells what the worker does now.
func (w *Worker) Part() ids.Role {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.part
}
