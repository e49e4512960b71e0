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

// callOutcome is what becomes of one call at a worker.
type callOutcome int

const (
	succeeds          callOutcome = iota
	connectionRefused             // no connection comes up
	notExecuted                   // surely not run
	resetAfterRun                 // run, and reset before the answer
	resetBeforeRun                // not run, and reset before the answer
	silentAfterRun                // run, and not a word until the asker gives up
	silentBeforeRun               // not run, and not a word
	resetMidResponse              // reset in the middle of the answer, within an event
	foreignResponse               // the answer of another request
	unstampedResponse             // a success without the stamp
	serverError                   // a 500 with the stamp
	memoryLost                    // the memory cannot be had
)

// callRecord is one line of the book.
type callRecord struct {
	At             time.Duration
	Kind           string // read, emit, free, order, report
	Node           string
	Worker         ids.WorkerID
	RequestID      string
	LastEventID    string
	Accepted       bool          // it was not turned away
	Executed       bool          // an emission began, or a reading gave its memory
	Direct         bool          // an emission without memory: the worker is to read the prompt itself
	Cold           bool          // the worker was cold
	UnavailableFor time.Duration // how long the node knew that the worker is to get nothing new
	Owner          ids.NodeID
	Fence          ids.Fence
	TargetRole     ids.Role
	// What the worker was told of who asks.
	Key, Tenant string
	Urgency     int
}

// memoryHandle is memory that a worker keeps.
type memoryHandle struct {
	worker    ids.WorkerID
	requestID string
	fetches   int
	freed     bool
	release   func() // the worker's memory is free again
}

// fakeWorker is one worker.
type fakeWorker struct {
	Worker
	name             string
	incarnation      int
	silent           bool
	terminated       bool
	unlisted         bool // not listed
	warmAt           time.Time
	orderCount       int
	nextRole         ids.Role
	running, waiting int
	memoryCapacity   int // tokens; 0 is without end
	memoryUsed       int
	loadHistory      []loadSample
	waitingByUrgency map[int]int // by urgency: who waits
}

// loadSample is how a worker stood from some time on.
type loadSample struct {
	at                           time.Time
	running, waiting, memoryUsed int
}

type fakePlatform struct {
	mu                 sync.Mutex
	metering           bool // the fleet reports usage
	start              time.Time
	workers            []*fakeWorker
	calls              []callRecord
	handles            map[string]*memoryHandle
	partitionedNodes   map[string]bool // nodes that reach no worker
	frozenNodes        map[string]bool // nodes that stand still
	unavailableSince   map[string]map[ids.WorkerID]time.Time
	knowsUnavailable   map[string]func(id ids.WorkerID) bool // by node: whether it knows now that a worker is off
	outcome            func(k callRecord, w *fakeWorker) callOutcome
	listDelay          func() time.Duration // how long the asking for the list is under way
	listFails          bool
	listCalls          []callRecord               // askings for the list
	coldPeriods        map[ids.Zone]time.Duration // for how long workers of a zone turn cold at their first request
	eventInterval      time.Duration              // between events
	roleChangeTime     time.Duration
	lastHandle         int
	afterPrefill       func(r *Request)
	beforeRun          func(n *Node)                          // before a node runs
	extraRunning       func(s *fakeWorker) int                // added to what reports say is running
	reportError        func(node string, s *fakeWorker) error // what a node gets instead of a report
	reportDelay        time.Duration                          // by which reports are old
	unreachable        map[string]time.Duration               // addresses to which none comes up, and how long that takes
	directTokensPerMs  int                                    // tokens a ms that an emitting worker reads by itself
	extraPrefillTime   map[string]time.Duration               // workers that take so much longer for each prompt
	slowEventIntervals map[string]time.Duration               // workers that take so long between events
	queueLimit         int                                    // requests that wait at a worker at most; 0: twice its places
}

func newFakePlatform(all ...*fakeWorker) *fakePlatform {
	return &fakePlatform{start: time.Now(), workers: all, handles: map[string]*memoryHandle{}, partitionedNodes: map[string]bool{}, frozenNodes: map[string]bool{},
		unavailableSince: map[string]map[ids.WorkerID]time.Time{}, knowsUnavailable: map[string]func(ids.WorkerID) bool{}, directTokensPerMs: 50, eventInterval: 20 * time.Millisecond, roleChangeTime: time.Second}
}

// newFakeWorkers makes so many workers of a part, by turns in two zones.
func newFakeWorkers(service string, role ids.Role, n int) []*fakeWorker {
	var out []*fakeWorker
	for i := range n {
		name := fmt.Sprintf("%s-%s-%d", service, role, i)
		if role == "" {
			name = fmt.Sprintf("%s-%d", service, i)
		}
		out = append(out, &fakeWorker{name: name, incarnation: 1, Worker: Worker{ID: ids.WorkerID(name + ".1"), Service: service, Addr: name + ":90",
			Zone: ids.Zone([]string{"a", "b"}[i%2]), Role: role, Concurrency: 16}})
	}
	return out
}

// prefillAndDecodeWorkers makes readers and emitters of one service.
func prefillAndDecodeWorkers(service string, readers, emitters int) []*fakeWorker {
	return append(newFakeWorkers(service, ids.Prefill, readers), newFakeWorkers(service, ids.Decode, emitters)...)
}

func (y *fakePlatform) elapsed() time.Duration { return time.Since(y.start) }

// withLock changes the fake platform.
func (y *fakePlatform) withLock(f func()) {
	y.mu.Lock()
	defer y.mu.Unlock()
	f()
}

func (y *fakePlatform) worker(name string) *fakeWorker {
	for _, w := range y.workers {
		if w.name == name {
			return w
		}
	}
	return nil
}

// restartWorker ends a worker's life and begins another at the same address.
func (y *fakePlatform) restartWorker(name string) {
	y.mu.Lock()
	defer y.mu.Unlock()
	for i, w := range y.workers {
		if w.name == name {
			w.terminated = true
			next := &fakeWorker{Worker: w.Worker, name: name, incarnation: w.incarnation + 1}
			next.ID = ids.WorkerID(fmt.Sprintf("%s.%d", name, next.incarnation))
			y.workers[i] = next
		}
	}
}

func (y *fakePlatform) recordedCalls() []callRecord {
	y.mu.Lock()
	defer y.mu.Unlock()
	return append([]callRecord(nil), y.calls...)
}

// fakeBackend is one node's way to the workers.
type fakeBackend struct {
	platform *fakePlatform
	nodeIP   string
}

var errConnectionReset = errors.New("connection reset")

func outcomeUnknown(w Worker, reason string) error {
	return failure.New(failure.OutcomeUnknown, "ask worker", w.Addr, "%s", reason)
}

// waitWhileFrozen holds a frozen node at its next step on the network.
func (b *fakeBackend) waitWhileFrozen() {
	for {
		b.platform.mu.Lock()
		on := b.platform.frozenNodes[b.nodeIP]
		b.platform.mu.Unlock()
		if !on {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func sleepContext(ctx context.Context, d time.Duration) bool {
	t := host.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// connect goes to the worker that has the address now.
func (b *fakeBackend) connect(ctx context.Context, w Worker) (*fakeWorker, error) {
	b.waitWhileFrozen()
	if ctx.Err() != nil {
		return nil, NotDialled(ctx.Err(), w.Addr)
	}
	b.platform.mu.Lock()
	cut := b.platform.partitionedNodes[b.nodeIP]
	b.platform.mu.Unlock()
	if cut {
		sleepContext(ctx, 400*time.Millisecond)
		return nil, NotDialled(errors.New("no answer"), w.Addr)
	}
	b.platform.mu.Lock()
	long, no := b.platform.unreachable[w.Addr]
	b.platform.mu.Unlock()
	if no {
		sleepContext(ctx, long)
		return nil, NotDialled(errors.New("no answer"), w.Addr)
	}
	if !sleepContext(ctx, 500*time.Microsecond) {
		return nil, outcomeUnknown(w, "given up on the way")
	}
	b.platform.mu.Lock()
	defer b.platform.mu.Unlock()
	for _, s := range b.platform.workers {
		if s.Addr == w.Addr && !s.terminated {
			return s, nil
		}
	}
	return nil, NotDialled(errors.New("refused"), w.Addr)
}

// knownUnavailableFor is for how long the node has known, as it sends, that a worker is off.
func (b *fakeBackend) knownUnavailableFor(w Worker) time.Duration {
	b.platform.mu.Lock()
	f := b.platform.knowsUnavailable[b.nodeIP]
	b.platform.mu.Unlock()
	if f == nil || !f(w.ID) {
		return 0
	}
	b.platform.mu.Lock()
	defer b.platform.mu.Unlock()
	if at, ok := b.platform.unavailableSince[b.nodeIP][w.ID]; ok {
		return time.Since(at)
	}
	return 0
}

// recordCall writes a call into the book and says what becomes of it. The fake platform is locked.
func (b *fakeBackend) recordCall(k callRecord, s *fakeWorker, w Worker) (*callRecord, callOutcome, error) {
	y := b.platform
	if duration, ok := y.coldPeriods[s.Zone]; ok && s.warmAt.IsZero() {
		s.warmAt = time.Now().Add(duration)
	}
	k.At, k.Node, k.Worker, k.Cold = y.elapsed(), b.nodeIP, w.ID, time.Now().Before(s.warmAt)
	how := succeeds
	if y.outcome != nil {
		how = y.outcome(k, s)
	}
	if how == connectionRefused {
		return nil, how, NotDialled(errors.New("refused"), w.Addr)
	}
	y.calls = append(y.calls, k)
	p := &y.calls[len(y.calls)-1]
	switch {
	case s.ID != w.ID:
		return p, how, failure.New(failure.Stale, "ask worker", w.Addr, "another life has the address")
	case s.silent && (how == succeeds || how == resetMidResponse):
		how = silentBeforeRun
	case how == notExecuted, s.nextRole != "", s.waiting >= y.queueLimitOf(s), k.Kind == "read" && s.Role == ids.Decode:
		return p, how, failure.New(failure.NotExecuted, "ask worker", w.Addr, "turned away")
	}
	p.Accepted = true
	return p, how, nil
}

func (y *fakePlatform) queueLimitOf(s *fakeWorker) int {
	if y.queueLimit > 0 {
		return y.queueLimit
	}
	return 2 * s.Concurrency
}

// recordLoad keeps how a worker stands for late reports. The fake platform is locked.
func (y *fakePlatform) recordLoad(s *fakeWorker) {
	for y.reportDelay > 0 && len(s.loadHistory) > 1 && time.Since(s.loadHistory[1].at) > y.reportDelay {
		s.loadHistory = s.loadHistory[1:]
	}
	s.loadHistory = append(s.loadHistory, loadSample{time.Now(), s.running, s.waiting, s.memoryUsed})
}

// delayedLoad is how a worker stood a lag ago. The fake platform is locked.
func (y *fakePlatform) delayedLoad(s *fakeWorker) loadSample {
	out := loadSample{running: s.running, waiting: s.waiting, memoryUsed: s.memoryUsed}
	for i := len(s.loadHistory) - 1; y.reportDelay > 0 && i >= 0; i-- {
		if out = s.loadHistory[i]; time.Since(out.at) >= y.reportDelay {
			break
		}
	}
	return out
}

// acquireSlot waits for one of the worker's places, with memory, behind the more urgent. It gives how to leave it, and
// how to give the memory back.
func (y *fakePlatform) acquireSlot(ctx context.Context, s *fakeWorker, tokens, urgency int) (leave, let func(), err error) {
	tokens = (tokens + 15) / 16 * 16
	y.withLock(func() {
		if s.waitingByUrgency == nil {
			s.waitingByUrgency = map[int]int{}
		}
		s.waitingByUrgency[urgency]++
		s.waiting++
		y.recordLoad(s)
	})
	first := func() bool {
		for u, n := range s.waitingByUrgency {
			if u < urgency && n > 0 {
				return false
			}
		}
		return true
	}
	for {
		y.mu.Lock()
		if s.running < s.Concurrency && !s.silent && !s.terminated && (s.memoryCapacity == 0 || s.memoryUsed+tokens <= s.memoryCapacity) && first() {
			s.waitingByUrgency[urgency]--
			s.waiting, s.running, s.memoryUsed = s.waiting-1, s.running+1, s.memoryUsed+tokens
			y.recordLoad(s)
			y.mu.Unlock()
			return sync.OnceFunc(func() { y.withLock(func() { s.running--; y.recordLoad(s) }) }), sync.OnceFunc(func() { y.withLock(func() { s.memoryUsed -= tokens; y.recordLoad(s) }) }), nil
		}
		dead := s.terminated
		y.mu.Unlock()
		if dead || !sleepContext(ctx, 5*time.Millisecond) {
			y.withLock(func() { s.waitingByUrgency[urgency]--; s.waiting--; y.recordLoad(s) })
			return nil, nil, outcomeUnknown(s.Worker, "ended while it waited")
		}
	}
}

func (y *fakePlatform) currentLoad(s *fakeWorker) *Load {
	y.mu.Lock()
	defer y.mu.Unlock()
	return &Load{Running: s.running, Waiting: s.waiting, Concurrency: s.Concurrency}
}

// outcomeWithoutReply is a fate by which nothing comes back.
func outcomeWithoutReply(ctx context.Context, how callOutcome, w Worker) (error, bool) {
	switch how {
	case resetAfterRun, resetBeforeRun:
		return outcomeUnknown(w, "reset"), true
	case foreignResponse:
		return outcomeUnknown(w, "the answer belongs to another request"), true
	case silentAfterRun, silentBeforeRun:
		<-ctx.Done()
		return outcomeUnknown(w, "nothing came"), true
	}
	return nil, false
}

// checkReplyPath tells whether an answer can come back, and waits for it while a node is frozen.
func (b *fakeBackend) checkReplyPath(ctx context.Context, s *fakeWorker) error {
	b.waitWhileFrozen()
	b.platform.mu.Lock()
	lost := b.platform.partitionedNodes[b.nodeIP] || s.silent
	dead := s.terminated
	b.platform.mu.Unlock()
	switch {
	case dead:
		return outcomeUnknown(s.Worker, "reset")
	case lost:
		<-ctx.Done()
		return outcomeUnknown(s.Worker, "nothing came")
	case ctx.Err() != nil:
		return outcomeUnknown(s.Worker, "given up")
	}
	return nil
}

func (b *fakeBackend) Read(ctx context.Context, w Worker, r *Request, left time.Duration, urgency int) (*PrefillResult, error) {
	y, off := b.platform, b.knownUnavailableFor(w)
	s, err := b.connect(ctx, w)
	if err != nil {
		return nil, err
	}
	y.mu.Lock()
	_, how, err := b.recordCall(callRecord{Kind: "read", RequestID: r.ID, UnavailableFor: off, Key: r.Key, Tenant: r.Tenant, Urgency: urgency}, s, w)
	at := len(y.calls) - 1
	y.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if err, ended := outcomeWithoutReply(ctx, how, w); ended {
		return nil, err
	}
	leave, let, err := y.acquireSlot(ctx, s, r.Prompt, urgency)
	if err != nil {
		return nil, err
	}
	defer leave()
	y.mu.Lock()
	slow := y.extraPrefillTime[s.name]
	y.mu.Unlock()
	if !sleepContext(ctx, slow+5*time.Millisecond+time.Duration(r.Prompt/50)*time.Millisecond) {
		let()
		return nil, outcomeUnknown(w, "given up")
	}
	y.mu.Lock()
	y.lastHandle++
	name := fmt.Sprint("kv-", y.lastHandle)
	if !s.terminated {
		y.handles[name] = &memoryHandle{worker: s.ID, requestID: r.ID, release: let}
	}
	hook := y.afterPrefill
	y.mu.Unlock()
	if err := b.checkReplyPath(ctx, s); err != nil {
		return nil, err
	}
	if hook != nil {
		hook(r)
	}
	y.withLock(func() { y.calls[at].Executed = true })
	return &PrefillResult{Handle: name, Tokens: r.Prompt, Load: y.currentLoad(s)}, nil
}

// fetchMemory has memory of a source, once. The fake platform is locked.
func (y *fakePlatform) fetchMemory(source *Source) bool {
	h := y.handles[source.Handle]
	if h == nil || h.fetches > 0 || h.freed {
		return false
	}
	for _, s := range y.workers {
		if s.ID == h.worker && !s.silent && !s.terminated {
			h.fetches++
			go h.release()
			return true
		}
	}
	return false
}

// decodeRecord is the line of the book for an emission.
func decodeRecord(r *Request, from string, direct bool, off time.Duration, urgency int) callRecord {
	return callRecord{
		Kind: "emit", RequestID: r.ID, LastEventID: from, UnavailableFor: off, Direct: direct, Key: r.Key, Tenant: r.Tenant, Urgency: urgency,
	}
}

func (b *fakeBackend) Emit(ctx context.Context, w Worker, r *Request, source *Source, from string, left time.Duration, urgency int) (*Response, error) {
	y, off := b.platform, b.knownUnavailableFor(w)
	s, err := b.connect(ctx, w)
	if err != nil {
		return nil, err
	}
	y.mu.Lock()
	p, how, err := b.recordCall(decodeRecord(r, from, source == nil && from == "", off, urgency), s, w)
	if err == nil && source != nil && how != resetBeforeRun && how != silentBeforeRun && (how == memoryLost || !y.fetchMemory(source)) {
		p.Accepted = false
		err = failure.New(failure.DataLost, "fetch memory", w.Addr, "it cannot be had")
	}
	if err == nil && how != resetBeforeRun && how != silentBeforeRun {
		p.Executed = true
	}
	y.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if err, ended := outcomeWithoutReply(ctx, how, w); ended {
		return nil, err
	}
	out, let, err := y.acquireSlot(ctx, s, r.Prompt+r.MaxTokens, urgency)
	if err != nil {
		return nil, err
	}
	leave := func() { out(); let() }
	if source == nil && from == "" && !sleepContext(ctx, time.Duration(r.Prompt/y.directTokensPerMs)*time.Millisecond) {
		leave()
		return nil, outcomeUnknown(w, "given up")
	}
	if err := b.checkReplyPath(ctx, s); err != nil {
		leave()
		return nil, err
	}
	a := &responseBody{ctx: ctx, backend: b, worker: s, release: leave, cutChunk: -1}
	reply := &Response{Status: http.StatusOK, Header: http.Header{"X-Worker": {string(w.ID)}}, FromWorker: how != unstampedResponse, Length: -1, Body: a, Load: y.currentLoad(s)}
	if how == serverError {
		reply.Status = http.StatusInternalServerError
		a.chunks = [][]byte{[]byte("failed")}
		return reply, nil
	}
	if r.Header.Get("Accept") == "text/event-stream" {
		reply.Events = true
		n, _ := strconv.Atoi(from)
		for i := n + 1; i <= r.MaxTokens; i++ {
			a.chunks = append(a.chunks, fmt.Appendf(nil, "id: %d\ndata: word-%d of %s\n\n", i, i, r.ID))
		}
	} else {
		for i := 1; i <= r.MaxTokens; i++ {
			a.chunks = append(a.chunks, fmt.Appendf(nil, "word-%d of %s;", i, r.ID))
		}
	}
	if how == resetMidResponse {
		a.cutChunk = len(a.chunks) / 2
	}
	return reply, nil
}

// responseBody is a body that comes piece by piece.
type responseBody struct {
	ctx       context.Context
	backend   *fakeBackend
	worker    *fakeWorker
	release   func()
	chunks    [][]byte
	pending   []byte
	nextChunk int
	cutChunk  int // the piece that is cut in its middle; -1 if none
	err       error
}

// eventIntervalOf is how long a worker takes between events.
func (y *fakePlatform) eventIntervalOf(s *fakeWorker) time.Duration {
	y.mu.Lock()
	defer y.mu.Unlock()
	if d, ok := y.slowEventIntervals[s.name]; ok {
		return d
	}
	return y.eventInterval
}

func (a *responseBody) Read(p []byte) (int, error) {
	if len(a.pending) == 0 {
		if a.err == nil && a.nextChunk == len(a.chunks) && a.cutChunk != a.nextChunk {
			a.err = io.EOF
		}
		if a.err != nil {
			a.release()
			return 0, a.err
		}
		if !sleepContext(a.ctx, a.backend.platform.eventIntervalOf(a.worker)) {
			a.release()
			return 0, a.ctx.Err()
		}
		if err := a.backend.checkReplyPath(a.ctx, a.worker); err != nil {
			a.release()
			return 0, err
		}
		if a.nextChunk == a.cutChunk {
			a.err = errConnectionReset
			if a.nextChunk < len(a.chunks) {
				a.pending = a.chunks[a.nextChunk][:len(a.chunks[a.nextChunk])/2]
			}
			if len(a.pending) == 0 {
				return 0, a.err
			}
		} else {
			a.pending = a.chunks[a.nextChunk]
			a.nextChunk++
		}
	}
	k := copy(p, a.pending)
	a.pending = a.pending[k:]
	return k, nil
}

func (a *responseBody) Close() error { a.release(); return nil }

func (b *fakeBackend) Free(ctx context.Context, w Worker, name string) error {
	s, err := b.connect(ctx, w)
	if err != nil {
		return err
	}
	b.platform.mu.Lock()
	defer b.platform.mu.Unlock()
	b.platform.calls = append(b.platform.calls, callRecord{At: b.platform.elapsed(), Kind: "free", Node: b.nodeIP, Worker: s.ID})
	if h := b.platform.handles[name]; h != nil && h.worker == s.ID {
		h.freed = true
		go h.release()
	}
	return nil
}

func (b *fakeBackend) Report(ctx context.Context, w Worker) (*Report, error) {
	s, err := b.connect(ctx, w)
	if err != nil {
		return nil, err
	}
	b.platform.withLock(func() {
		b.platform.calls = append(b.platform.calls, callRecord{At: b.platform.elapsed(), Kind: "report", Node: b.nodeIP, Worker: s.ID})
	})
	if err := b.checkReplyPath(ctx, s); err != nil {
		return nil, err
	}
	b.platform.mu.Lock()
	lie := b.platform.reportError
	b.platform.mu.Unlock()
	if lie != nil {
		if err := lie(b.nodeIP, s); err != nil {
			return nil, err
		}
	}
	b.platform.mu.Lock()
	defer b.platform.mu.Unlock()
	more := 0
	if b.platform.extraRunning != nil {
		more = b.platform.extraRunning(s)
	}
	was := b.platform.delayedLoad(s)
	r := &Report{Role: s.Role, RoleChanging: s.nextRole != "", Orders: s.orderCount, Waiting: was.waiting, Running: was.running + more, Used: 10000 * was.running, Capacity: 10000 * s.Concurrency}
	if s.memoryCapacity > 0 {
		r.Used, r.Capacity = was.memoryUsed, s.memoryCapacity
	}
	return r, nil
}

func (b *fakeBackend) Order(ctx context.Context, w Worker, o *RoleOrder) error {
	s, err := b.connect(ctx, w)
	if err != nil {
		return err
	}
	y := b.platform
	y.mu.Lock()
	k := callRecord{At: y.elapsed(), Kind: "order", Node: b.nodeIP, Worker: w.ID, Owner: o.Owner, Fence: o.Fence, TargetRole: o.To}
	if s.ID != w.ID || s.nextRole != "" || o.Expected != s.orderCount || s.silent {
		y.calls = append(y.calls, k)
		y.mu.Unlock()
		return failure.New(failure.NotExecuted, "order", w.Addr, "refused")
	}
	k.Accepted = true
	y.calls = append(y.calls, k)
	s.orderCount++
	s.nextRole = o.To
	y.mu.Unlock()
	time.AfterFunc(y.roleChangeTime, func() { y.withLock(func() { s.Role, s.nextRole = s.nextRole, "" }) })
	return b.checkReplyPath(ctx, s)
}

func (b *fakeBackend) List(ctx context.Context) ([]Worker, error) {
	b.waitWhileFrozen()
	y := b.platform
	y.mu.Lock()
	lag := 500 * time.Microsecond
	if y.listDelay != nil {
		lag = y.listDelay()
	}
	no := y.listFails || y.partitionedNodes[b.nodeIP]
	y.listCalls = append(y.listCalls, callRecord{At: y.elapsed(), Node: b.nodeIP})
	y.mu.Unlock()
	if no || !sleepContext(ctx, lag) {
		return nil, failure.New(failure.Unavailable, "list", "", "no list")
	}
	y.mu.Lock()
	defer y.mu.Unlock()
	var out []Worker
	for _, s := range y.workers {
		if s.unlisted || s.terminated {
			continue
		}
		w := s.Worker
		w.SlowStart = max(0, time.Until(s.warmAt))
		out = append(out, w)
	}
	return out, nil
}

func (b *fakeBackend) Close() {}
