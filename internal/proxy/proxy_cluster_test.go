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
	outcome            func(call callRecord, worker *fakeWorker) callOutcome
	listDelay          func() time.Duration // how long the asking for the list is under way
	listFails          bool
	listCalls          []callRecord               // askings for the list
	coldPeriods        map[ids.Zone]time.Duration // for how long workers of a zone turn cold at their first request
	eventInterval      time.Duration              // between events
	roleChangeTime     time.Duration
	lastHandle         int
	afterPrefill       func(r *Request)
	beforeRun          func(n *Node)                               // before a node runs
	extraRunning       func(worker *fakeWorker) int                // added to what reports say is running
	reportError        func(node string, worker *fakeWorker) error // what a node gets instead of a report
	reportDelay        time.Duration                               // by which reports are old
	unreachable        map[string]time.Duration                    // addresses to which none comes up, and how long that takes
	directTokensPerMs  int                                         // tokens a ms that an emitting worker reads by itself
	extraPrefillTime   map[string]time.Duration                    // workers that take so much longer for each prompt
	slowEventIntervals map[string]time.Duration                    // workers that take so long between events
	queueLimit         int                                         // requests that wait at a worker at most; 0: twice its places
}

func newFakePlatform(workers ...*fakeWorker) *fakePlatform {
	return &fakePlatform{start: time.Now(), workers: workers, handles: map[string]*memoryHandle{}, partitionedNodes: map[string]bool{}, frozenNodes: map[string]bool{},
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
func prefillAndDecodeWorkers(service string, prefillCount, decodeCount int) []*fakeWorker {
	return append(newFakeWorkers(service, ids.Prefill, prefillCount), newFakeWorkers(service, ids.Decode, decodeCount)...)
}

func (p *fakePlatform) elapsed() time.Duration { return time.Since(p.start) }

// withLock changes the fake platform.
func (p *fakePlatform) withLock(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

func (p *fakePlatform) worker(name string) *fakeWorker {
	for _, worker := range p.workers {
		if worker.name == name {
			return worker
		}
	}
	return nil
}

// restartWorker ends a worker's life and begins another at the same address.
func (p *fakePlatform) restartWorker(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, worker := range p.workers {
		if worker.name == name {
			worker.terminated = true
			next := &fakeWorker{Worker: worker.Worker, name: name, incarnation: worker.incarnation + 1}
			next.ID = ids.WorkerID(fmt.Sprintf("%s.%d", name, next.incarnation))
			p.workers[i] = next
		}
	}
}

func (p *fakePlatform) recordedCalls() []callRecord {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]callRecord(nil), p.calls...)
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
		frozen := b.platform.frozenNodes[b.nodeIP]
		b.platform.mu.Unlock()
		if !frozen {
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
	partitioned := b.platform.partitionedNodes[b.nodeIP]
	b.platform.mu.Unlock()
	if partitioned {
		sleepContext(ctx, 400*time.Millisecond)
		return nil, NotDialled(errors.New("no answer"), w.Addr)
	}
	b.platform.mu.Lock()
	dialTime, unreachable := b.platform.unreachable[w.Addr]
	b.platform.mu.Unlock()
	if unreachable {
		sleepContext(ctx, dialTime)
		return nil, NotDialled(errors.New("no answer"), w.Addr)
	}
	if !sleepContext(ctx, 500*time.Microsecond) {
		return nil, outcomeUnknown(w, "given up on the way")
	}
	b.platform.mu.Lock()
	defer b.platform.mu.Unlock()
	for _, worker := range b.platform.workers {
		if worker.Addr == w.Addr && !worker.terminated {
			return worker, nil
		}
	}
	return nil, NotDialled(errors.New("refused"), w.Addr)
}

// knownUnavailableFor is for how long the node has known, as it sends, that a worker is off.
func (b *fakeBackend) knownUnavailableFor(w Worker) time.Duration {
	b.platform.mu.Lock()
	knows := b.platform.knowsUnavailable[b.nodeIP]
	b.platform.mu.Unlock()
	if knows == nil || !knows(w.ID) {
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
func (b *fakeBackend) recordCall(call callRecord, worker *fakeWorker, w Worker) (*callRecord, callOutcome, error) {
	platform := b.platform
	if duration, ok := platform.coldPeriods[worker.Zone]; ok && worker.warmAt.IsZero() {
		worker.warmAt = time.Now().Add(duration)
	}
	call.At, call.Node, call.Worker, call.Cold = platform.elapsed(), b.nodeIP, w.ID, time.Now().Before(worker.warmAt)
	outcome := succeeds
	if platform.outcome != nil {
		outcome = platform.outcome(call, worker)
	}
	if outcome == connectionRefused {
		return nil, outcome, NotDialled(errors.New("refused"), w.Addr)
	}
	platform.calls = append(platform.calls, call)
	record := &platform.calls[len(platform.calls)-1]
	switch {
	case worker.ID != w.ID:
		return record, outcome, failure.New(failure.Stale, "ask worker", w.Addr, "another life has the address")
	case worker.silent && (outcome == succeeds || outcome == resetMidResponse):
		outcome = silentBeforeRun
	case outcome == notExecuted, worker.nextRole != "", worker.waiting >= platform.queueLimitOf(worker), call.Kind == "read" && worker.Role == ids.Decode:
		return record, outcome, failure.New(failure.NotExecuted, "ask worker", w.Addr, "turned away")
	}
	record.Accepted = true
	return record, outcome, nil
}

func (p *fakePlatform) queueLimitOf(worker *fakeWorker) int {
	if p.queueLimit > 0 {
		return p.queueLimit
	}
	return 2 * worker.Concurrency
}

// recordLoad keeps how a worker stands for late reports. The fake platform is locked.
func (p *fakePlatform) recordLoad(worker *fakeWorker) {
	for p.reportDelay > 0 && len(worker.loadHistory) > 1 && time.Since(worker.loadHistory[1].at) > p.reportDelay {
		worker.loadHistory = worker.loadHistory[1:]
	}
	worker.loadHistory = append(worker.loadHistory, loadSample{time.Now(), worker.running, worker.waiting, worker.memoryUsed})
}

// delayedLoad is how a worker stood a lag ago. The fake platform is locked.
func (p *fakePlatform) delayedLoad(worker *fakeWorker) loadSample {
	out := loadSample{running: worker.running, waiting: worker.waiting, memoryUsed: worker.memoryUsed}
	for i := len(worker.loadHistory) - 1; p.reportDelay > 0 && i >= 0; i-- {
		if out = worker.loadHistory[i]; time.Since(out.at) >= p.reportDelay {
			break
		}
	}
	return out
}

// acquireSlot waits for one of the worker's places, with memory, behind the more urgent. It gives how to leave it, and
// how to give the memory back.
func (p *fakePlatform) acquireSlot(ctx context.Context, worker *fakeWorker, tokens, urgency int) (releaseSlot, releaseMemory func(), err error) {
	tokens = (tokens + 15) / 16 * 16
	p.withLock(func() {
		if worker.waitingByUrgency == nil {
			worker.waitingByUrgency = map[int]int{}
		}
		worker.waitingByUrgency[urgency]++
		worker.waiting++
		p.recordLoad(worker)
	})
	isMostUrgent := func() bool {
		for u, n := range worker.waitingByUrgency {
			if u < urgency && n > 0 {
				return false
			}
		}
		return true
	}
	for {
		p.mu.Lock()
		if worker.running < worker.Concurrency && !worker.silent && !worker.terminated && (worker.memoryCapacity == 0 || worker.memoryUsed+tokens <= worker.memoryCapacity) && isMostUrgent() {
			worker.waitingByUrgency[urgency]--
			worker.waiting, worker.running, worker.memoryUsed = worker.waiting-1, worker.running+1, worker.memoryUsed+tokens
			p.recordLoad(worker)
			p.mu.Unlock()
			return sync.OnceFunc(func() { p.withLock(func() { worker.running--; p.recordLoad(worker) }) }), sync.OnceFunc(func() { p.withLock(func() { worker.memoryUsed -= tokens; p.recordLoad(worker) }) }), nil
		}
		terminated := worker.terminated
		p.mu.Unlock()
		if terminated || !sleepContext(ctx, 5*time.Millisecond) {
			p.withLock(func() { worker.waitingByUrgency[urgency]--; worker.waiting--; p.recordLoad(worker) })
			return nil, nil, outcomeUnknown(worker.Worker, "ended while it waited")
		}
	}
}

func (p *fakePlatform) currentLoad(worker *fakeWorker) *Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	return &Load{Running: worker.running, Waiting: worker.waiting, Concurrency: worker.Concurrency}
}

// outcomeWithoutReply is a fate by which nothing comes back.
func outcomeWithoutReply(ctx context.Context, outcome callOutcome, w Worker) (error, bool) {
	switch outcome {
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
func (b *fakeBackend) checkReplyPath(ctx context.Context, worker *fakeWorker) error {
	b.waitWhileFrozen()
	b.platform.mu.Lock()
	lost := b.platform.partitionedNodes[b.nodeIP] || worker.silent
	terminated := worker.terminated
	b.platform.mu.Unlock()
	switch {
	case terminated:
		return outcomeUnknown(worker.Worker, "reset")
	case lost:
		<-ctx.Done()
		return outcomeUnknown(worker.Worker, "nothing came")
	case ctx.Err() != nil:
		return outcomeUnknown(worker.Worker, "given up")
	}
	return nil
}

func (b *fakeBackend) Read(ctx context.Context, w Worker, r *Request, remaining time.Duration, urgency int) (*PrefillResult, error) {
	platform, unavailableFor := b.platform, b.knownUnavailableFor(w)
	worker, err := b.connect(ctx, w)
	if err != nil {
		return nil, err
	}
	platform.mu.Lock()
	_, outcome, err := b.recordCall(callRecord{Kind: "read", RequestID: r.ID, UnavailableFor: unavailableFor, Key: r.Key, Tenant: r.Tenant, Urgency: urgency}, worker, w)
	index := len(platform.calls) - 1
	platform.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if err, ended := outcomeWithoutReply(ctx, outcome, w); ended {
		return nil, err
	}
	releaseSlot, releaseMemory, err := platform.acquireSlot(ctx, worker, r.Prompt, urgency)
	if err != nil {
		return nil, err
	}
	defer releaseSlot()
	platform.mu.Lock()
	extra := platform.extraPrefillTime[worker.name]
	platform.mu.Unlock()
	if !sleepContext(ctx, extra+5*time.Millisecond+time.Duration(r.Prompt/50)*time.Millisecond) {
		releaseMemory()
		return nil, outcomeUnknown(w, "given up")
	}
	platform.mu.Lock()
	platform.lastHandle++
	name := fmt.Sprint("kv-", platform.lastHandle)
	if !worker.terminated {
		platform.handles[name] = &memoryHandle{worker: worker.ID, requestID: r.ID, release: releaseMemory}
	}
	afterPrefill := platform.afterPrefill
	platform.mu.Unlock()
	if err := b.checkReplyPath(ctx, worker); err != nil {
		return nil, err
	}
	if afterPrefill != nil {
		afterPrefill(r)
	}
	platform.withLock(func() { platform.calls[index].Executed = true })
	return &PrefillResult{Handle: name, Tokens: r.Prompt, Load: platform.currentLoad(worker)}, nil
}

// fetchMemory has memory of a source, once. The fake platform is locked.
func (p *fakePlatform) fetchMemory(source *Source) bool {
	handle := p.handles[source.Handle]
	if handle == nil || handle.fetches > 0 || handle.freed {
		return false
	}
	for _, worker := range p.workers {
		if worker.ID == handle.worker && !worker.silent && !worker.terminated {
			handle.fetches++
			go handle.release()
			return true
		}
	}
	return false
}

// decodeRecord is the line of the book for an emission.
func decodeRecord(r *Request, lastEventID string, direct bool, unavailableFor time.Duration, urgency int) callRecord {
	return callRecord{
		Kind: "emit", RequestID: r.ID, LastEventID: lastEventID, UnavailableFor: unavailableFor, Direct: direct, Key: r.Key, Tenant: r.Tenant, Urgency: urgency,
	}
}

func (b *fakeBackend) Emit(ctx context.Context, w Worker, r *Request, source *Source, lastEventID string, remaining time.Duration, urgency int) (*Response, error) {
	platform, unavailableFor := b.platform, b.knownUnavailableFor(w)
	worker, err := b.connect(ctx, w)
	if err != nil {
		return nil, err
	}
	platform.mu.Lock()
	record, outcome, err := b.recordCall(decodeRecord(r, lastEventID, source == nil && lastEventID == "", unavailableFor, urgency), worker, w)
	if err == nil && source != nil && outcome != resetBeforeRun && outcome != silentBeforeRun && (outcome == memoryLost || !platform.fetchMemory(source)) {
		record.Accepted = false
		err = failure.New(failure.DataLost, "fetch memory", w.Addr, "it cannot be had")
	}
	if err == nil && outcome != resetBeforeRun && outcome != silentBeforeRun {
		record.Executed = true
	}
	platform.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if err, ended := outcomeWithoutReply(ctx, outcome, w); ended {
		return nil, err
	}
	releaseSlot, releaseMemory, err := platform.acquireSlot(ctx, worker, r.Prompt+r.MaxTokens, urgency)
	if err != nil {
		return nil, err
	}
	release := func() { releaseSlot(); releaseMemory() }
	if source == nil && lastEventID == "" && !sleepContext(ctx, time.Duration(r.Prompt/platform.directTokensPerMs)*time.Millisecond) {
		release()
		return nil, outcomeUnknown(w, "given up")
	}
	if err := b.checkReplyPath(ctx, worker); err != nil {
		release()
		return nil, err
	}
	body := &responseBody{ctx: ctx, backend: b, worker: worker, release: release, cutChunk: -1}
	response := &Response{Status: http.StatusOK, Header: http.Header{"X-Worker": {string(w.ID)}}, FromWorker: outcome != unstampedResponse, Length: -1, Body: body, Load: platform.currentLoad(worker)}
	if outcome == serverError {
		response.Status = http.StatusInternalServerError
		body.chunks = [][]byte{[]byte("failed")}
		return response, nil
	}
	if r.Header.Get("Accept") == "text/event-stream" {
		response.Events = true
		last, _ := strconv.Atoi(lastEventID)
		for i := last + 1; i <= r.MaxTokens; i++ {
			body.chunks = append(body.chunks, fmt.Appendf(nil, "id: %d\ndata: word-%d of %s\n\n", i, i, r.ID))
		}
	} else {
		for i := 1; i <= r.MaxTokens; i++ {
			body.chunks = append(body.chunks, fmt.Appendf(nil, "word-%d of %s;", i, r.ID))
		}
	}
	if outcome == resetMidResponse {
		body.cutChunk = len(body.chunks) / 2
	}
	return response, nil
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
func (p *fakePlatform) eventIntervalOf(worker *fakeWorker) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if d, ok := p.slowEventIntervals[worker.name]; ok {
		return d
	}
	return p.eventInterval
}

func (b *responseBody) Read(p []byte) (int, error) {
	if len(b.pending) == 0 {
		if b.err == nil && b.nextChunk == len(b.chunks) && b.cutChunk != b.nextChunk {
			b.err = io.EOF
		}
		if b.err != nil {
			b.release()
			return 0, b.err
		}
		if !sleepContext(b.ctx, b.backend.platform.eventIntervalOf(b.worker)) {
			b.release()
			return 0, b.ctx.Err()
		}
		if err := b.backend.checkReplyPath(b.ctx, b.worker); err != nil {
			b.release()
			return 0, err
		}
		if b.nextChunk == b.cutChunk {
			b.err = errConnectionReset
			if b.nextChunk < len(b.chunks) {
				b.pending = b.chunks[b.nextChunk][:len(b.chunks[b.nextChunk])/2]
			}
			if len(b.pending) == 0 {
				return 0, b.err
			}
		} else {
			b.pending = b.chunks[b.nextChunk]
			b.nextChunk++
		}
	}
	n := copy(p, b.pending)
	b.pending = b.pending[n:]
	return n, nil
}

func (b *responseBody) Close() error { b.release(); return nil }

func (b *fakeBackend) Free(ctx context.Context, w Worker, name string) error {
	worker, err := b.connect(ctx, w)
	if err != nil {
		return err
	}
	b.platform.mu.Lock()
	defer b.platform.mu.Unlock()
	b.platform.calls = append(b.platform.calls, callRecord{At: b.platform.elapsed(), Kind: "free", Node: b.nodeIP, Worker: worker.ID})
	if handle := b.platform.handles[name]; handle != nil && handle.worker == worker.ID {
		handle.freed = true
		go handle.release()
	}
	return nil
}

func (b *fakeBackend) Report(ctx context.Context, w Worker) (*Report, error) {
	worker, err := b.connect(ctx, w)
	if err != nil {
		return nil, err
	}
	b.platform.withLock(func() {
		b.platform.calls = append(b.platform.calls, callRecord{At: b.platform.elapsed(), Kind: "report", Node: b.nodeIP, Worker: worker.ID})
	})
	if err := b.checkReplyPath(ctx, worker); err != nil {
		return nil, err
	}
	b.platform.mu.Lock()
	reportError := b.platform.reportError
	b.platform.mu.Unlock()
	if reportError != nil {
		if err := reportError(b.nodeIP, worker); err != nil {
			return nil, err
		}
	}
	b.platform.mu.Lock()
	defer b.platform.mu.Unlock()
	extra := 0
	if b.platform.extraRunning != nil {
		extra = b.platform.extraRunning(worker)
	}
	load := b.platform.delayedLoad(worker)
	report := &Report{Role: worker.Role, RoleChanging: worker.nextRole != "", Orders: worker.orderCount, Waiting: load.waiting, Running: load.running + extra, Used: 10000 * load.running, Capacity: 10000 * worker.Concurrency}
	if worker.memoryCapacity > 0 {
		report.Used, report.Capacity = load.memoryUsed, worker.memoryCapacity
	}
	return report, nil
}

func (b *fakeBackend) Order(ctx context.Context, w Worker, order *RoleOrder) error {
	worker, err := b.connect(ctx, w)
	if err != nil {
		return err
	}
	platform := b.platform
	platform.mu.Lock()
	call := callRecord{At: platform.elapsed(), Kind: "order", Node: b.nodeIP, Worker: w.ID, Owner: order.Owner, Fence: order.Fence, TargetRole: order.To}
	if worker.ID != w.ID || worker.nextRole != "" || order.Expected != worker.orderCount || worker.silent {
		platform.calls = append(platform.calls, call)
		platform.mu.Unlock()
		return failure.New(failure.NotExecuted, "order", w.Addr, "refused")
	}
	call.Accepted = true
	platform.calls = append(platform.calls, call)
	worker.orderCount++
	worker.nextRole = order.To
	platform.mu.Unlock()
	time.AfterFunc(platform.roleChangeTime, func() { platform.withLock(func() { worker.Role, worker.nextRole = worker.nextRole, "" }) })
	return b.checkReplyPath(ctx, worker)
}

func (b *fakeBackend) List(ctx context.Context) ([]Worker, error) {
	b.waitWhileFrozen()
	platform := b.platform
	platform.mu.Lock()
	delay := 500 * time.Microsecond
	if platform.listDelay != nil {
		delay = platform.listDelay()
	}
	fails := platform.listFails || platform.partitionedNodes[b.nodeIP]
	platform.listCalls = append(platform.listCalls, callRecord{At: platform.elapsed(), Node: b.nodeIP})
	platform.mu.Unlock()
	if fails || !sleepContext(ctx, delay) {
		return nil, failure.New(failure.Unavailable, "list", "", "no list")
	}
	platform.mu.Lock()
	defer platform.mu.Unlock()
	var out []Worker
	for _, worker := range platform.workers {
		if worker.unlisted || worker.terminated {
			continue
		}
		w := worker.Worker
		w.SlowStart = max(0, time.Until(worker.warmAt))
		out = append(out, w)
	}
	return out, nil
}

func (b *fakeBackend) Close() {}
