// A fake platform of stand-in workers behind a Backend: parts, slots, queues, silence, resets,
// turning away, handles that can be had once, events with ids, reports and orders. It
// keeps a book of what arrived when, and what ran.

package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"keelstair.example/failure"
	"keelstair.example/host"
	"keelstair.example/ids"
)

// fate is what becomes of one call at a worker.
type fate int

const (
	fine       fate = iota
	unreached       // no connection comes up
	turnedAway      // surely not run
	ranReset        // run, and reset before the answer
	idleReset       // not run, and reset before the answer
	ranSilent       // run, and not a word until the asker gives up
	idleSilent      // not run, and not a word
	midReset        // reset in the middle of the answer, within an event
	foreign         // the answer of another request
	bare            // a success without the stamp
	failed          // a 500 with the stamp
	lostMemory      // the memory cannot be had
)

// row is one line of the book.
type row struct {
	At     time.Duration
	Kind   string // read, emit, free, order, report
	Node   string
	Worker ids.WorkerID
	Req    string
	From   string
	Took   bool          // it was not turned away
	Ran    bool          // an emission began, or a reading gave its memory
	Direct bool          // an emission without memory: the worker is to read the prompt itself
	Cold   bool          // the worker was cold
	Off    time.Duration // how long the node knew that the worker is to get nothing new
	Owner  ids.NodeID
	Fence  ids.Fence
	To     ids.Role
	// What the worker was told of who asks.
	Key, Tenant string
	Urgency     int
}

// handle is memory that a worker keeps.
type handle struct {
	worker ids.WorkerID
	req    string
	had    int
	freed  bool
	let    func() // the worker's memory is free again
}

// stand is one worker.
type stand struct {
	Worker
	name             string
	incarnation      int
	dark             bool
	dead             bool
	hidden           bool // not listed
	warm             time.Time
	orders           int
	turning          ids.Role
	running, waiting int
	memory           int // tokens; 0 is without end
	used             int
	past             []snap
	wants            map[int]int // by urgency: who waits
}

// snap is how a worker stood from some time on.
type snap struct {
	at                     time.Time
	running, waiting, used int
}

type workerPool struct {
	mu        sync.Mutex
	metering  bool // the fleet reports usage
	start     time.Time
	all       []*stand
	rows      []row
	handles   map[string]*handle
	partition map[string]bool // nodes that reach no worker
	frozen    map[string]bool // nodes that stand still
	off       map[string]map[ids.WorkerID]time.Time
	known     map[string]func(id ids.WorkerID) bool // by node: whether it knows now that a worker is off
	fate      func(k row, w *stand) fate
	listed    func() time.Duration // how long the asking for the list is under way
	nolist    bool
	asked     []row                      // askings for the list
	chill     map[ids.Zone]time.Duration // for how long workers of a zone turn cold at their first request
	step      time.Duration              // between events
	turn      time.Duration
	handle    int
	onRead    func(r *Request)
	prep      func(n *Node)                     // before a node runs
	lean      func(s *stand) int                // added to what reports say is running
	health    func(node string, s *stand) error // what a node gets instead of a report
	lag       time.Duration                     // by which reports are old
	dial      map[string]time.Duration          // addresses to which none comes up, and how long that takes
	direct    int                               // tokens a ms that an emitting worker reads by itself
	slowRead  map[string]time.Duration          // workers that take so much longer for each prompt
	slowStep  map[string]time.Duration          // workers that take so long between events
	queue     int                               // requests that wait at a worker at most; 0: twice its places
}

func newCluster(all ...*stand) *workerPool {
	return &workerPool{start: time.Now(), all: all, handles: map[string]*handle{}, partition: map[string]bool{}, frozen: map[string]bool{},
		off: map[string]map[ids.WorkerID]time.Time{}, known: map[string]func(ids.WorkerID) bool{}, direct: 50, step: 20 * time.Millisecond, turn: time.Second}
}

// stands makes so many workers of a part, by turns in two zones.
func stands(service string, role ids.Role, n int) []*stand {
	var out []*stand
	for i := range n {
		name := fmt.Sprintf("%s-%s-%d", service, role, i)
		if role == "" {
			name = fmt.Sprintf("%s-%d", service, i)
		}
		out = append(out, &stand{name: name, incarnation: 1, Worker: Worker{ID: ids.WorkerID(name + ".1"), Service: service, Addr: name + ":90",
			Zone: ids.Zone([]string{"a", "b"}[i%2]), Role: role, Concurrency: 16}})
	}
	return out
}

// both makes readers and emitters of one service.
func both(service string, readers, emitters int) []*stand {
	return append(stands(service, ids.Prefill, readers), stands(service, ids.Decode, emitters)...)
}

func (y *workerPool) now() time.Duration { return time.Since(y.start) }

// at changes the fake platform.
func (y *workerPool) at(f func()) {
	y.mu.Lock()
	defer y.mu.Unlock()
	f()
}

func (y *workerPool) of(name string) *stand {
	for _, w := range y.all {
		if w.name == name {
			return w
		}
	}
	return nil
}

// restart ends a worker's life and begins another at the same address.
func (y *workerPool) restart(name string) {
	y.mu.Lock()
	defer y.mu.Unlock()
	for i, w := range y.all {
		if w.name == name {
			w.dead = true
			next := &stand{Worker: w.Worker, name: name, incarnation: w.incarnation + 1}
			next.ID = ids.WorkerID(fmt.Sprintf("%s.%d", name, next.incarnation))
			y.all[i] = next
		}
	}
}

func (y *workerPool) directory() []row {
	y.mu.Lock()
	defer y.mu.Unlock()
	return append([]row(nil), y.rows...)
}

// back is one node's way to the workers.
type back struct {
	y  *workerPool
	ip string
}

var errReset = errors.New("connection reset")

func unknown(w Worker, reason string) error {
	return failure.New(failure.OutcomeUnknown, "ask worker", w.Addr, "%s", reason)
}

// gate holds a frozen node at its next step on the network.
func (b *back) gate() {
	for {
		b.y.mu.Lock()
		on := b.y.frozen[b.ip]
		b.y.mu.Unlock()
		if !on {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func nap(ctx context.Context, d time.Duration) bool {
	t := host.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// reach goes to the worker that has the address now.
func (b *back) reach(ctx context.Context, w Worker) (*stand, error) {
	b.gate()
	if ctx.Err() != nil {
		return nil, NotDialled(ctx.Err(), w.Addr)
	}
	b.y.mu.Lock()
	cut := b.y.partition[b.ip]
	b.y.mu.Unlock()
	if cut {
		nap(ctx, 400*time.Millisecond)
		return nil, NotDialled(errors.New("no answer"), w.Addr)
	}
	b.y.mu.Lock()
	long, no := b.y.dial[w.Addr]
	b.y.mu.Unlock()
	if no {
		nap(ctx, long)
		return nil, NotDialled(errors.New("no answer"), w.Addr)
	}
	if !nap(ctx, 500*time.Microsecond) {
		return nil, unknown(w, "given up on the way")
	}
	b.y.mu.Lock()
	defer b.y.mu.Unlock()
	for _, s := range b.y.all {
		if s.Addr == w.Addr && !s.dead {
			return s, nil
		}
	}
	return nil, NotDialled(errors.New("refused"), w.Addr)
}

// knew is for how long the node has known, as it sends, that a worker is off.
func (b *back) knew(w Worker) time.Duration {
	b.y.mu.Lock()
	f := b.y.known[b.ip]
	b.y.mu.Unlock()
	if f == nil || !f(w.ID) {
		return 0
	}
	b.y.mu.Lock()
	defer b.y.mu.Unlock()
	if at, ok := b.y.off[b.ip][w.ID]; ok {
		return time.Since(at)
	}
	return 0
}

// arrive writes a call into the book and says what becomes of it. The fake platform is locked.
func (b *back) arrive(k row, s *stand, w Worker) (*row, fate, error) {
	y := b.y
	if duration, ok := y.chill[s.Zone]; ok && s.warm.IsZero() {
		s.warm = time.Now().Add(duration)
	}
	k.At, k.Node, k.Worker, k.Cold = y.now(), b.ip, w.ID, time.Now().Before(s.warm)
	how := fine
	if y.fate != nil {
		how = y.fate(k, s)
	}
	if how == unreached {
		return nil, how, NotDialled(errors.New("refused"), w.Addr)
	}
	y.rows = append(y.rows, k)
	p := &y.rows[len(y.rows)-1]
	switch {
	case s.ID != w.ID:
		return p, how, failure.New(failure.Stale, "ask worker", w.Addr, "another life has the address")
	case s.dark && (how == fine || how == midReset):
		how = idleSilent
	case how == turnedAway, s.turning != "", s.waiting >= y.most(s), k.Kind == "read" && s.Role == ids.Decode:
		return p, how, failure.New(failure.NotExecuted, "ask worker", w.Addr, "turned away")
	}
	p.Took = true
	return p, how, nil
}

func (y *workerPool) most(s *stand) int {
	if y.queue > 0 {
		return y.queue
	}
	return 2 * s.Concurrency
}

// prefix keeps how a worker stands for late reports. The fake platform is locked.
func (y *workerPool) prefix(s *stand) {
	for y.lag > 0 && len(s.past) > 1 && time.Since(s.past[1].at) > y.lag {
		s.past = s.past[1:]
	}
	s.past = append(s.past, snap{time.Now(), s.running, s.waiting, s.used})
}

// shown is how a worker stood a lag ago. The fake platform is locked.
func (y *workerPool) shown(s *stand) snap {
	out := snap{running: s.running, waiting: s.waiting, used: s.used}
	for i := len(s.past) - 1; y.lag > 0 && i >= 0; i-- {
		if out = s.past[i]; time.Since(out.at) >= y.lag {
			break
		}
	}
	return out
}

// place waits for one of the worker's places, with memory, behind the more urgent. It gives how to leave it, and
// how to give the memory back.
func (y *workerPool) place(ctx context.Context, s *stand, tokens, urgency int) (leave, let func(), err error) {
	tokens = (tokens + 15) / 16 * 16
	y.at(func() {
		if s.wants == nil {
			s.wants = map[int]int{}
		}
		s.wants[urgency]++
		s.waiting++
		y.prefix(s)
	})
	first := func() bool {
		for u, n := range s.wants {
			if u < urgency && n > 0 {
				return false
			}
		}
		return true
	}
	for {
		y.mu.Lock()
		if s.running < s.Concurrency && !s.dark && !s.dead && (s.memory == 0 || s.used+tokens <= s.memory) && first() {
			s.wants[urgency]--
			s.waiting, s.running, s.used = s.waiting-1, s.running+1, s.used+tokens
			y.prefix(s)
			y.mu.Unlock()
			return sync.OnceFunc(func() { y.at(func() { s.running--; y.prefix(s) }) }), sync.OnceFunc(func() { y.at(func() { s.used -= tokens; y.prefix(s) }) }), nil
		}
		dead := s.dead
		y.mu.Unlock()
		if dead || !nap(ctx, 5*time.Millisecond) {
			y.at(func() { s.wants[urgency]--; s.waiting--; y.prefix(s) })
			return nil, nil, unknown(s.Worker, "ended while it waited")
		}
	}
}

func (y *workerPool) load(s *stand) *Load {
	y.mu.Lock()
	defer y.mu.Unlock()
	return &Load{Running: s.running, Waiting: s.waiting, Concurrency: s.Concurrency}
}

// quiet is a fate by which nothing comes back.
func quiet(ctx context.Context, how fate, w Worker) (error, bool) {
	switch how {
	case ranReset, idleReset:
		return unknown(w, "reset"), true
	case foreign:
		return unknown(w, "the answer belongs to another request"), true
	case ranSilent, idleSilent:
		<-ctx.Done()
		return unknown(w, "nothing came"), true
	}
	return nil, false
}

// ok tells whether an answer can come back, and waits for it while a node is frozen.
func (b *back) ok(ctx context.Context, s *stand) error {
	b.gate()
	b.y.mu.Lock()
	lost := b.y.partition[b.ip] || s.dark
	dead := s.dead
	b.y.mu.Unlock()
	switch {
	case dead:
		return unknown(s.Worker, "reset")
	case lost:
		<-ctx.Done()
		return unknown(s.Worker, "nothing came")
	case ctx.Err() != nil:
		return unknown(s.Worker, "given up")
	}
	return nil
}

func (b *back) Prefill(ctx context.Context, w Worker, r *Request, left time.Duration, urgency int) (*PrefillResult, error) {
	y, off := b.y, b.knew(w)
	s, err := b.reach(ctx, w)
	if err != nil {
		return nil, err
	}
	y.mu.Lock()
	_, how, err := b.arrive(row{Kind: "read", Req: r.ID, Off: off, Key: r.Key, Tenant: r.Tenant, Urgency: urgency}, s, w)
	at := len(y.rows) - 1
	y.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if err, ended := quiet(ctx, how, w); ended {
		return nil, err
	}
	leave, let, err := y.place(ctx, s, r.Prompt, urgency)
	if err != nil {
		return nil, err
	}
	defer leave()
	y.mu.Lock()
	slow := y.slowRead[s.name]
	y.mu.Unlock()
	if !nap(ctx, slow+5*time.Millisecond+time.Duration(r.Prompt/50)*time.Millisecond) {
		let()
		return nil, unknown(w, "given up")
	}
	y.mu.Lock()
	y.handle++
	name := fmt.Sprint("kv-", y.handle)
	if !s.dead {
		y.handles[name] = &handle{worker: s.ID, req: r.ID, let: let}
	}
	hook := y.onRead
	y.mu.Unlock()
	if err := b.ok(ctx, s); err != nil {
		return nil, err
	}
	if hook != nil {
		hook(r)
	}
	y.at(func() { y.rows[at].Ran = true })
	return &PrefillResult{Handle: name, Tokens: r.Prompt, Load: y.load(s)}, nil
}

// fetch has memory of a source, once. The fake platform is locked.
func (y *workerPool) fetch(source *Source) bool {
	h := y.handles[source.Handle]
	if h == nil || h.had > 0 || h.freed {
		return false
	}
	for _, s := range y.all {
		if s.ID == h.worker && !s.dark && !s.dead {
			h.had++
			go h.let()
			return true
		}
	}
	return false
}

// emission is the line of the book for an emission.
func emission(r *Request, from string, direct bool, off time.Duration, urgency int) row {
	return row{
		Kind: "emit", Req: r.ID, From: from, Off: off, Direct: direct, Key: r.Key, Tenant: r.Tenant, Urgency: urgency,
	}
}

func (b *back) Decode(ctx context.Context, w Worker, r *Request, source *Source, from string, left time.Duration, urgency int) (*Response, error) {
	y, off := b.y, b.knew(w)
	s, err := b.reach(ctx, w)
	if err != nil {
		return nil, err
	}
	y.mu.Lock()
	p, how, err := b.arrive(emission(r, from, source == nil && from == "", off, urgency), s, w)
	if err == nil && source != nil && how != idleReset && how != idleSilent && (how == lostMemory || !y.fetch(source)) {
		p.Took = false
		err = failure.New(failure.DataLost, "fetch memory", w.Addr, "it cannot be had")
	}
	if err == nil && how != idleReset && how != idleSilent {
		p.Ran = true
	}
	y.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if err, ended := quiet(ctx, how, w); ended {
		return nil, err
	}
	out, let, err := y.place(ctx, s, r.Prompt+r.MaxTokens, urgency)
	if err != nil {
		return nil, err
	}
	leave := func() { out(); let() }
	if source == nil && from == "" && !nap(ctx, time.Duration(r.Prompt/y.direct)*time.Millisecond) {
		leave()
		return nil, unknown(w, "given up")
	}
	if err := b.ok(ctx, s); err != nil {
		leave()
		return nil, err
	}
	a := &answer{ctx: ctx, b: b, s: s, leave: leave, partition: -1}
	reply := &Response{Status: http.StatusOK, Header: http.Header{"X-Worker": {string(w.ID)}}, FromWorker: how != bare, Length: -1, Body: a, Load: y.load(s)}
	if how == failed {
		reply.Status = http.StatusInternalServerError
		a.rest = [][]byte{[]byte("failed")}
		return reply, nil
	}
	if r.Header.Get("Accept") == "text/event-stream" {
		reply.Events = true
		n, _ := strconv.Atoi(from)
		for i := n + 1; i <= r.MaxTokens; i++ {
			a.rest = append(a.rest, fmt.Appendf(nil, "id: %d\ndata: word-%d of %s\n\n", i, i, r.ID))
		}
	} else {
		for i := 1; i <= r.MaxTokens; i++ {
			a.rest = append(a.rest, fmt.Appendf(nil, "word-%d of %s;", i, r.ID))
		}
	}
	if how == midReset {
		a.partition = len(a.rest) / 2
	}
	return reply, nil
}

// answer is a body that comes piece by piece.
type answer struct {
	ctx       context.Context
	b         *back
	s         *stand
	leave     func()
	rest      [][]byte
	buf       []byte
	at        int
	partition int // the piece that is cut in its middle; -1 if none
	ended     error
}

// stepOf is how long a worker takes between events.
func (y *workerPool) stepOf(s *stand) time.Duration {
	y.mu.Lock()
	defer y.mu.Unlock()
	if d, ok := y.slowStep[s.name]; ok {
		return d
	}
	return y.step
}

func (a *answer) Read(p []byte) (int, error) {
	if len(a.buf) == 0 {
		if a.ended == nil && a.at == len(a.rest) && a.partition != a.at {
			a.ended = io.EOF
		}
		if a.ended != nil {
			a.leave()
			return 0, a.ended
		}
		if !nap(a.ctx, a.b.y.stepOf(a.s)) {
			a.leave()
			return 0, a.ctx.Err()
		}
		if err := a.b.ok(a.ctx, a.s); err != nil {
			a.leave()
			return 0, err
		}
		if a.at == a.partition {
			a.ended = errReset
			if a.at < len(a.rest) {
				a.buf = a.rest[a.at][:len(a.rest[a.at])/2]
			}
			if len(a.buf) == 0 {
				return 0, a.ended
			}
		} else {
			a.buf = a.rest[a.at]
			a.at++
		}
	}
	k := copy(p, a.buf)
	a.buf = a.buf[k:]
	return k, nil
}

func (a *answer) Close() error { a.leave(); return nil }

func (b *back) Free(ctx context.Context, w Worker, name string) error {
	s, err := b.reach(ctx, w)
	if err != nil {
		return err
	}
	b.y.mu.Lock()
	defer b.y.mu.Unlock()
	b.y.rows = append(b.y.rows, row{At: b.y.now(), Kind: "free", Node: b.ip, Worker: s.ID})
	if h := b.y.handles[name]; h != nil && h.worker == s.ID {
		h.freed = true
		go h.let()
	}
	return nil
}

func (b *back) Report(ctx context.Context, w Worker) (*Report, error) {
	s, err := b.reach(ctx, w)
	if err != nil {
		return nil, err
	}
	b.y.at(func() {
		b.y.rows = append(b.y.rows, row{At: b.y.now(), Kind: "report", Node: b.ip, Worker: s.ID})
	})
	if err := b.ok(ctx, s); err != nil {
		return nil, err
	}
	b.y.mu.Lock()
	lie := b.y.health
	b.y.mu.Unlock()
	if lie != nil {
		if err := lie(b.ip, s); err != nil {
			return nil, err
		}
	}
	b.y.mu.Lock()
	defer b.y.mu.Unlock()
	more := 0
	if b.y.lean != nil {
		more = b.y.lean(s)
	}
	was := b.y.shown(s)
	r := &Report{Role: s.Role, RoleChanging: s.turning != "", Orders: s.orders, Waiting: was.waiting, Running: was.running + more, Used: 10000 * was.running, Capacity: 10000 * s.Concurrency}
	if s.memory > 0 {
		r.Used, r.Capacity = was.used, s.memory
	}
	return r, nil
}

func (b *back) Order(ctx context.Context, w Worker, o *RoleOrder) error {
	s, err := b.reach(ctx, w)
	if err != nil {
		return err
	}
	y := b.y
	y.mu.Lock()
	k := row{At: y.now(), Kind: "order", Node: b.ip, Worker: w.ID, Owner: o.Owner, Fence: o.Fence, To: o.To}
	if s.ID != w.ID || s.turning != "" || o.Expected != s.orders || s.dark {
		y.rows = append(y.rows, k)
		y.mu.Unlock()
		return failure.New(failure.NotExecuted, "order", w.Addr, "refused")
	}
	k.Took = true
	y.rows = append(y.rows, k)
	s.orders++
	s.turning = o.To
	y.mu.Unlock()
	time.AfterFunc(y.turn, func() { y.at(func() { s.Role, s.turning = s.turning, "" }) })
	return b.ok(ctx, s)
}

func (b *back) List(ctx context.Context) ([]Worker, error) {
	b.gate()
	y := b.y
	y.mu.Lock()
	lag := 500 * time.Microsecond
	if y.listed != nil {
		lag = y.listed()
	}
	no := y.nolist || y.partition[b.ip]
	y.asked = append(y.asked, row{At: y.now(), Node: b.ip})
	y.mu.Unlock()
	if no || !nap(ctx, lag) {
		return nil, failure.New(failure.Unavailable, "list", "", "no list")
	}
	y.mu.Lock()
	defer y.mu.Unlock()
	var out []Worker
	for _, s := range y.all {
		if s.hidden || s.dead {
			continue
		}
		w := s.Worker
		w.SlowStart = max(0, time.Until(s.warm))
		out = append(out, w)
	}
	return out, nil
}

func (b *back) Close() {}
