// A fake platform of workers behind a Backend. It simulates roles, slots, queues, rejections, resets,
// unresponsive workers, memory handles that can be fetched once, event streams, reports and role orders,
// and it records when each call arrived and whether it was executed.

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

// callOutcome is the result that a call to a worker is made to have.
type callOutcome int

const (
	succeeds             callOutcome = iota
	connectionRefused                // no connection is established
	notExecuted                      // rejected before execution
	resetAfterRun                    // executed; the connection is reset before the response
	resetBeforeRun                   // not executed; the connection is reset before the response
	silentAfterRun                   // executed; no response until the node gives up
	silentBeforeRun                  // not executed; no response until the node gives up
	resetMidResponse                 // the connection is reset within an event in the middle of the response
	foreignResponse                  // the response belongs to another request
	unidentifiedResponse             // status 200 without the header that identifies the worker (FromWorker is false)
	serverError                      // status 500 with this header
	memoryLost                       // the worker can't fetch the prefilled memory
)

// callRecord is one recorded call.
type callRecord struct {
	At                  time.Duration
	Kind                string // read (a prefill call), emit (a decode call), free, order or report
	Node                string
	Worker              ids.WorkerID
	RequestID           string
	LastEventID         string
	Accepted            bool          // the worker didn't reject it
	Executed            bool          // the decode began, or the node got the prefill's response
	Direct              bool          // a decode without memory: the worker prefills the prompt itself
	Cold                bool          // the worker was still warming up
	KnownUnavailableFor time.Duration // how long the node had known that the worker must get no new work
	Owner               ids.NodeID
	Fence               ids.Fence
	TargetRole          ids.Role
	// What the worker was told about the caller.
	Key, Tenant string
	Urgency     int // a lower number is more urgent
}

// memoryHandle is the KV cache of a prefilled prompt that a worker holds.
type memoryHandle struct {
	worker    ids.WorkerID
	requestID string
	fetches   int
	freed     bool
	release   func() // frees the tokens that it occupies in the worker's memory
}

// fakeWorker is a simulated worker.
type fakeWorker struct {
	Worker
	name             string
	incarnation      int
	silent           bool // sends no responses
	terminated       bool
	failingChecks    int       // liveness checks whose connections it resets
	unlisted         bool      // missing from the worker list
	warmAt           time.Time // when it has warmed up
	orderCount       int
	nextRole         ids.Role // the role that it is changing to
	running, waiting int
	memoryCapacity   int // tokens; 0 means unlimited
	memoryUsed       int
	loadHistory      []loadSample
	waitingByUrgency map[int]int // waiting requests by urgency
}

// loadSample is the load of a worker from a time on.
type loadSample struct {
	at                           time.Time
	running, waiting, memoryUsed int
}

// fakePlatform holds the workers, what goes wrong with them, and the calls that they received.
type fakePlatform struct {
	mu                      sync.Mutex
	metering                bool // the fleet meters usage
	start                   time.Time
	workers                 []*fakeWorker
	calls                   []callRecord
	handles                 map[string]*memoryHandle
	partitionedNodes        map[string]bool                                       // by node address: whether the node can't reach any worker
	frozenNodes             map[string]bool                                       // by node address: whether the node's process is paused
	unavailabilityLearnedAt map[string]map[ids.WorkerID]time.Time                 // by node address: when the node learned that a worker must get no new work
	knowsUnavailable        map[string]func(id ids.WorkerID) bool                 // by node address: whether the node knows now that a worker must get no new work
	outcome                 func(call callRecord, worker *fakeWorker) callOutcome // nil: all calls succeed
	listDelay               func() time.Duration                                  // duration of a list call
	listFails               bool
	listCalls               []callRecord               // received list calls
	coldPeriods             map[ids.Zone]time.Duration // by zone: how long a worker warms up after its first request
	eventInterval           time.Duration              // time between events of a stream
	roleChangeTime          time.Duration
	lastHandle              int
	afterPrefill            func(r *Request)
	beforeRun               func(n *Node)                               // called before a node runs
	extraRunning            func(worker *fakeWorker) int                // added to the running requests in a worker's reports
	reportError             func(node string, worker *fakeWorker) error // an error that a node gets instead of a report
	reportedLoadAge         time.Duration                               // age of the load values in reports
	unreachable             map[string]time.Duration                    // by address: how long a dial takes until it fails
	directTokensPerMs       int                                         // prefill speed of a decode worker
	extraPrefillTime        map[string]time.Duration                    // by worker name: added to each prefill
	slowEventIntervals      map[string]time.Duration                    // by worker name: replaces eventInterval
	queueLimit              int                                         // most requests that wait at a worker; 0 means twice its concurrency
}

// newFakePlatform returns a platform whose workers respond to all calls.
func newFakePlatform(workers ...*fakeWorker) *fakePlatform {
	return &fakePlatform{start: time.Now(), workers: workers, handles: map[string]*memoryHandle{}, partitionedNodes: map[string]bool{}, frozenNodes: map[string]bool{},
		unavailabilityLearnedAt: map[string]map[ids.WorkerID]time.Time{}, knowsUnavailable: map[string]func(ids.WorkerID) bool{}, directTokensPerMs: 50, eventInterval: 20 * time.Millisecond, roleChangeTime: time.Second}
}

// newFakeWorkers returns n workers of a role, alternating between two zones.
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

// prefillAndDecodeWorkers returns prefill and decode workers of one service.
func prefillAndDecodeWorkers(service string, prefillCount, decodeCount int) []*fakeWorker {
	return append(newFakeWorkers(service, ids.Prefill, prefillCount), newFakeWorkers(service, ids.Decode, decodeCount)...)
}

// elapsed returns the time since the platform started.
func (p *fakePlatform) elapsed() time.Duration { return time.Since(p.start) }

// withLock runs f while the platform is locked.
func (p *fakePlatform) withLock(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

// worker returns the current incarnation of the worker with the given name, or nil. The
// platform must be locked while other goroutines use it.
func (p *fakePlatform) worker(name string) *fakeWorker {
	for _, worker := range p.workers {
		if worker.name == name {
			return worker
		}
	}
	return nil
}

// restartWorker terminates a worker and starts its next incarnation at the same address.
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

// recordedCalls returns a copy of all calls received so far.
func (p *fakePlatform) recordedCalls() []callRecord {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]callRecord(nil), p.calls...)
}

// fakeBackend is the connection of one node to the workers.
type fakeBackend struct {
	platform *fakePlatform
	nodeIP   string
}

var errConnectionReset = errors.New("connection reset")

// outcomeUnknown returns the error of a call that may have been executed.
func outcomeUnknown(w Worker, reason string) error {
	return failure.New(failure.OutcomeUnknown, "ask worker", w.Addr, "%s", reason)
}

// waitWhileFrozen blocks while the node is frozen.
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

// sleepContext sleeps for d and reports whether it slept that long before the context ended.
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

// connect returns the worker that has the address now.
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
		return nil, NotDialled(errors.New("dial timed out"), w.Addr)
	}
	b.platform.mu.Lock()
	dialTime, unreachable := b.platform.unreachable[w.Addr]
	b.platform.mu.Unlock()
	if unreachable {
		sleepContext(ctx, dialTime)
		return nil, NotDialled(errors.New("dial timed out"), w.Addr)
	}
	if !sleepContext(ctx, 500*time.Microsecond) {
		return nil, outcomeUnknown(w, "canceled while dialing")
	}
	b.platform.mu.Lock()
	defer b.platform.mu.Unlock()
	for _, worker := range b.platform.workers {
		if worker.Addr == w.Addr && !worker.terminated {
			return worker, nil
		}
	}
	return nil, NotDialled(errors.New("connection refused"), w.Addr)
}

// knownUnavailableFor returns how long the node has known that a worker must get no new work, or 0 if it
// doesn't know.
func (b *fakeBackend) knownUnavailableFor(w Worker) time.Duration {
	b.platform.mu.Lock()
	knows := b.platform.knowsUnavailable[b.nodeIP]
	b.platform.mu.Unlock()
	if knows == nil || !knows(w.ID) {
		return 0
	}
	b.platform.mu.Lock()
	defer b.platform.mu.Unlock()
	if at, ok := b.platform.unavailabilityLearnedAt[b.nodeIP][w.ID]; ok {
		return time.Since(at)
	}
	return 0
}

// admitCall records a call that reaches the worker. It returns the record, the outcome, and an error if the
// connection is refused, which is not recorded, or the worker rejects the call. The platform must be locked.
func (b *fakeBackend) admitCall(call callRecord, worker *fakeWorker, w Worker) (*callRecord, callOutcome, error) {
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
		return nil, outcome, NotDialled(errors.New("connection refused"), w.Addr)
	}
	platform.calls = append(platform.calls, call)
	record := &platform.calls[len(platform.calls)-1]
	switch {
	case worker.ID != w.ID:
		return record, outcome, failure.New(failure.Stale, "ask worker", w.Addr, "another incarnation has the address")
	case worker.silent && (outcome == succeeds || outcome == resetMidResponse):
		outcome = silentBeforeRun
	case outcome == notExecuted, worker.nextRole != "", worker.waiting >= platform.queueLimitOf(worker), call.Kind == "read" && worker.Role == ids.Decode:
		return record, outcome, failure.New(failure.NotExecuted, "ask worker", w.Addr, "rejected")
	}
	record.Accepted = true
	return record, outcome, nil
}

// queueLimitOf returns how many requests may wait at a worker.
func (p *fakePlatform) queueLimitOf(worker *fakeWorker) int {
	if p.queueLimit > 0 {
		return p.queueLimit
	}
	return 2 * worker.Concurrency
}

// recordLoad saves the worker's load for reports whose load is reportedLoadAge old. The platform must be locked.
func (p *fakePlatform) recordLoad(worker *fakeWorker) {
	for p.reportedLoadAge > 0 && len(worker.loadHistory) > 1 && time.Since(worker.loadHistory[1].at) > p.reportedLoadAge {
		worker.loadHistory = worker.loadHistory[1:]
	}
	worker.loadHistory = append(worker.loadHistory, loadSample{time.Now(), worker.running, worker.waiting, worker.memoryUsed})
}

// delayedLoad returns the worker's load reportedLoadAge ago. The platform must be locked.
func (p *fakePlatform) delayedLoad(worker *fakeWorker) loadSample {
	out := loadSample{running: worker.running, waiting: worker.waiting, memoryUsed: worker.memoryUsed}
	for i := len(worker.loadHistory) - 1; p.reportedLoadAge > 0 && i >= 0; i-- {
		if out = worker.loadHistory[i]; time.Since(out.at) >= p.reportedLoadAge {
			break
		}
	}
	return out
}

// acquireSlot waits for a slot and memory of the worker, behind requests that are more urgent. It returns
// functions that release the slot and the memory.
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
	noneMoreUrgent := func() bool {
		for u, n := range worker.waitingByUrgency {
			if u < urgency && n > 0 {
				return false
			}
		}
		return true
	}
	for {
		p.mu.Lock()
		if worker.running < worker.Concurrency && !worker.silent && !worker.terminated && (worker.memoryCapacity == 0 || worker.memoryUsed+tokens <= worker.memoryCapacity) && noneMoreUrgent() {
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
			return nil, nil, outcomeUnknown(worker.Worker, "canceled in the queue")
		}
	}
}

// currentLoad returns the load that the worker sends with a response.
func (p *fakePlatform) currentLoad(worker *fakeWorker) *Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	return &Load{Running: worker.running, Waiting: worker.waiting, Concurrency: worker.Concurrency}
}

// failureBeforeResponse returns the error of an outcome in which the node gets no usable response, and whether it
// is such an outcome. For a silent outcome it waits until ctx ends.
func failureBeforeResponse(ctx context.Context, outcome callOutcome, w Worker) (error, bool) {
	switch outcome {
	case resetAfterRun, resetBeforeRun:
		return outcomeUnknown(w, "reset"), true
	case foreignResponse:
		return outcomeUnknown(w, "the response belongs to another request"), true
	case silentAfterRun, silentBeforeRun:
		<-ctx.Done()
		return outcomeUnknown(w, "no response"), true
	}
	return nil, false
}

// checkResponsePath returns an error if a response can't reach the node. It waits while the node is frozen.
func (b *fakeBackend) checkResponsePath(ctx context.Context, worker *fakeWorker) error {
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
		return outcomeUnknown(worker.Worker, "no response")
	case ctx.Err() != nil:
		return outcomeUnknown(worker.Worker, "canceled")
	}
	return nil
}

func (b *fakeBackend) Prefill(ctx context.Context, w Worker, r *Request, remaining time.Duration, urgency int) (*PrefillResult, error) {
	platform, unavailableFor := b.platform, b.knownUnavailableFor(w)
	worker, err := b.connect(ctx, w)
	if err != nil {
		return nil, err
	}
	platform.mu.Lock()
	_, outcome, err := b.admitCall(callRecord{Kind: "read", RequestID: r.ID, KnownUnavailableFor: unavailableFor, Key: r.Key, Tenant: r.Tenant, Urgency: urgency}, worker, w)
	index := len(platform.calls) - 1
	platform.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if err, failed := failureBeforeResponse(ctx, outcome, w); failed {
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
		return nil, outcomeUnknown(w, "canceled")
	}
	platform.mu.Lock()
	platform.lastHandle++
	handle := fmt.Sprint("kv-", platform.lastHandle)
	if !worker.terminated {
		platform.handles[handle] = &memoryHandle{worker: worker.ID, requestID: r.ID, release: releaseMemory}
	}
	afterPrefill := platform.afterPrefill
	platform.mu.Unlock()
	if err := b.checkResponsePath(ctx, worker); err != nil {
		return nil, err
	}
	if afterPrefill != nil {
		afterPrefill(r)
	}
	platform.withLock(func() { platform.calls[index].Executed = true })
	return &PrefillResult{Handle: handle, Tokens: r.Prompt, Load: platform.currentLoad(worker)}, nil
}

// fetchMemory fetches the KV cache of a source and reports whether it was available. The KV cache of each handle
// can be fetched only once. The caller must hold the platform's lock.
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

// decodeRecord returns the record of a decode call.
func decodeRecord(r *Request, lastEventID string, direct bool, unavailableFor time.Duration, urgency int) callRecord {
	return callRecord{
		Kind: "emit", RequestID: r.ID, LastEventID: lastEventID, KnownUnavailableFor: unavailableFor, Direct: direct, Key: r.Key, Tenant: r.Tenant, Urgency: urgency,
	}
}

func (b *fakeBackend) Decode(ctx context.Context, w Worker, r *Request, source *Source, received Received, remaining time.Duration, urgency int) (*Response, error) {
	lastEventID := received.LastEventID
	platform, unavailableFor := b.platform, b.knownUnavailableFor(w)
	worker, err := b.connect(ctx, w)
	if err != nil {
		return nil, err
	}
	platform.mu.Lock()
	record, outcome, err := b.admitCall(decodeRecord(r, lastEventID, source == nil && lastEventID == "", unavailableFor, urgency), worker, w)
	if err == nil && source != nil && outcome != resetBeforeRun && outcome != silentBeforeRun && (outcome == memoryLost || !platform.fetchMemory(source)) {
		record.Accepted = false
		err = failure.New(failure.DataLost, "fetch memory", w.Addr, "memory not available")
	}
	if err == nil && outcome != resetBeforeRun && outcome != silentBeforeRun {
		record.Executed = true
	}
	platform.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if err, failed := failureBeforeResponse(ctx, outcome, w); failed {
		return nil, err
	}
	releaseSlot, releaseMemory, err := platform.acquireSlot(ctx, worker, r.Prompt+r.MaxTokens, urgency)
	if err != nil {
		return nil, err
	}
	release := func() { releaseSlot(); releaseMemory() }
	if source == nil && lastEventID == "" && !sleepContext(ctx, time.Duration(r.Prompt/platform.directTokensPerMs)*time.Millisecond) {
		release()
		return nil, outcomeUnknown(w, "canceled")
	}
	if err := b.checkResponsePath(ctx, worker); err != nil {
		release()
		return nil, err
	}
	body := &responseBody{ctx: ctx, backend: b, worker: worker, release: release, cutChunk: -1}
	response := &Response{Status: http.StatusOK, Header: http.Header{"X-Worker": {string(w.ID)}}, FromWorker: outcome != unidentifiedResponse, Length: -1, Framing: FramedByChunks, Body: body, Load: platform.currentLoad(worker)}
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

// responseBody is a response body that arrives in chunks.
type responseBody struct {
	ctx       context.Context
	backend   *fakeBackend
	worker    *fakeWorker
	release   func()
	chunks    [][]byte
	pending   []byte
	nextChunk int
	cutChunk  int // index of the chunk that is cut in its middle; -1 for none
	err       error
}

// eventIntervalOf returns the time that a worker takes between events.
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
		if err := b.backend.checkResponsePath(b.ctx, b.worker); err != nil {
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

func (b *fakeBackend) Free(ctx context.Context, w Worker, handleID string) error {
	worker, err := b.connect(ctx, w)
	if err != nil {
		return err
	}
	b.platform.mu.Lock()
	defer b.platform.mu.Unlock()
	b.platform.calls = append(b.platform.calls, callRecord{At: b.platform.elapsed(), Kind: "free", Node: b.nodeIP, Worker: worker.ID})
	if handle := b.platform.handles[handleID]; handle != nil && handle.worker == worker.ID {
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
	if err := b.checkResponsePath(ctx, worker); err != nil {
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

func (b *fakeBackend) CheckAlive(ctx context.Context, w Worker, _ string) error {
	worker, err := b.connect(ctx, w)
	if err != nil {
		return err
	}
	if worker.ID != w.ID {
		return failure.New(failure.Stale, "check alive", w.Addr, "another incarnation has the address")
	}
	failed := false
	b.platform.withLock(func() {
		if failed = worker.failingChecks > 0; failed {
			worker.failingChecks--
		}
	})
	if failed {
		return outcomeUnknown(w, "connection reset")
	}
	return b.checkResponsePath(ctx, worker)
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
		return failure.New(failure.NotExecuted, "order", w.Addr, "rejected")
	}
	call.Accepted = true
	platform.calls = append(platform.calls, call)
	worker.orderCount++
	worker.nextRole = order.To
	platform.mu.Unlock()
	time.AfterFunc(platform.roleChangeTime, func() { platform.withLock(func() { worker.Role, worker.nextRole = worker.nextRole, "" }) })
	return b.checkResponsePath(ctx, worker)
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
		return nil, failure.New(failure.Unavailable, "list", "", "list not available")
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
