// A test fleet on simulated machines: three cores, several router nodes and a fake platform of workers.

package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/tinylib/msgp/msgp"

	"keelstair.example/coordination"
	"keelstair.example/host"
	"keelstair.example/host/simulated"
	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/requestbody"
	"keelstair.example/rpc"
)

// testNode is a router node of a fleet and the simulated process that runs it.
type testNode struct {
	*Node
	ip      string
	process *simulated.Process
	cancel  context.CancelFunc
	done    chan struct{}
	running bool
}

// fleet is a set of cores and router nodes that serve requests through one fake platform.
type fleet struct {
	t             *testing.T
	world         *simulated.World
	platform      *fakePlatform
	seeds         []string
	adjustOptions func(*Options)

	mu      sync.Mutex
	cores   map[string]*coordination.Core
	cancels map[string]context.CancelFunc
	nodes   []*testNode
	results []*requestResult
	stopped chan struct{}
	wg      sync.WaitGroup
}

// coreIPs are the addresses of the cores' machines.
var coreIPs = []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"}

// startFleet starts a fleet with a configuration and returns when all nodes are ready.
func startFleet(t *testing.T, seed uint64, nodes int, platform *fakePlatform, text []byte, adjustOptions func(*Options)) *fleet {
	f := &fleet{
		t:             t,
		world:         simulated.NewWorld(seed),
		platform:      platform,
		adjustOptions: adjustOptions,
		cores:         map[string]*coordination.Core{},
		cancels:       map[string]context.CancelFunc{},
		stopped:       make(chan struct{}),
	}
	for _, ip := range coreIPs {
		f.seeds = append(f.seeds, ip+":1")
	}
	for _, ip := range coreIPs {
		f.startCore(ip)
	}
	for i := range nodes {
		f.startNode(i)
	}
	f.wg.Go(f.trackUnavailableWorkers)
	require.True(t, f.waitUntil(10*time.Second, func() bool { return f.leader() != "" }), "no core leads")
	require.NoError(t, f.putConfiguration("first", 0, 0, text))
	require.True(t, f.waitUntil(10*time.Second, func() bool {
		for _, n := range f.runningNodes() {
			if ok, _ := n.Ready(); !ok || len(n.agent.Members()) < nodes {
				return false
			}
		}
		return true
	}), "the nodes are not ready")
	return f
}

// startCore starts a core on the machine with the address.
func (f *fleet) startCore(ip string) {
	ctx, stop := context.WithCancel(context.Background())
	p := f.world.Machine(ip).Start()
	c, err := coordination.New(coordination.Options{
		Addr:  ip + ":1",
		Host:  p.Host(),
		Seeds: f.seeds,
		Machine: func() coordination.StateMachine {
			return fleetstate.NewMachine(fleetstate.MachineOptions{Metering: f.platform.metering})
		},
	})
	require.NoError(f.t, err)
	f.withLock(func() { f.cores[ip], f.cancels[ip] = c, stop })
	l, err := p.Host().Net.Listen(ip + ":1")
	require.NoError(f.t, err)
	mux := http.NewServeMux()
	c.Mount(mux)
	f.wg.Go(func() { rpc.Serve(ctx, l, mux) })
	f.wg.Go(func() { c.Run(ctx) })
}

// powerOffCore cuts the power of a core's machine. It does nothing if the core isn't running.
func (f *fleet) powerOffCore(ip string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cores[ip] == nil {
		return
	}
	f.world.Machine(ip).PowerOff()
	f.cancels[ip]()
	delete(f.cores, ip)
}

// coreRunning reports whether a core's process was started and its machine has had power since.
func (f *fleet) coreRunning(ip string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cores[ip] != nil
}

// leader returns the address of the leading core, or "".
func (f *fleet) leader() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for ip, c := range f.cores {
		if c.Leads() {
			return ip
		}
	}
	return ""
}

// nodeIP returns the address of a node's machine.
func nodeIP(i int) string { return fmt.Sprintf("10.0.1.%d", i+1) }

// startNode starts node i, or starts it again if it ran before.
func (f *fleet) startNode(i int) *testNode {
	ip := nodeIP(i)
	p := f.world.Machine(ip).Start()
	options := Options{
		Name:              fmt.Sprint("n", i),
		Addr:              ip + ":2",
		Zone:              ids.Zone([]string{"a", "b"}[i%2]),
		Seeds:             f.seeds,
		Host:              p.Host(),
		Backend:           &fakeBackend{f.platform, ip},
		RoleCheckInterval: -1,
	}
	if f.adjustOptions != nil {
		f.adjustOptions(&options)
	}
	n, err := New(options)
	require.NoError(f.t, err)
	if f.platform.beforeRun != nil {
		f.platform.beforeRun(n)
	}
	ctx, stop := context.WithCancel(context.Background())
	node := &testNode{Node: n, ip: ip, process: p, cancel: stop, done: make(chan struct{}), running: true}
	f.platform.withLock(func() {
		f.platform.knowsUnavailable[ip] = func(id ids.WorkerID) bool { return node.unavailableWorkers()[id] }
	})
	l, err := p.Host().Net.Listen(ip + ":2")
	require.NoError(f.t, err)
	mux := http.NewServeMux()
	n.Mount(mux)
	f.wg.Go(func() { rpc.Serve(ctx, l, mux) })
	f.wg.Go(func() { n.Run(ctx, ShutdownPeriods{}); close(node.done) })
	f.mu.Lock()
	defer f.mu.Unlock()
	if i < len(f.nodes) {
		f.nodes[i] = node
	} else {
		f.nodes = append(f.nodes, node)
	}
	return node
}

// killNode kills a node's process without a shutdown.
func (f *fleet) killNode(i int) {
	f.mu.Lock()
	node := f.nodes[i]
	f.mu.Unlock()
	f.setFrozen(i, false)
	f.mu.Lock()
	node.running = false
	f.mu.Unlock()
	node.process.Kill()
	node.cancel()
	node.Node.stop()
}

// setFrozen freezes a node at its next network operation, or lets it continue.
func (f *fleet) setFrozen(i int, on bool) {
	f.world.Machine(nodeIP(i)).Freeze(on)
	f.platform.withLock(func() { f.platform.frozenNodes[nodeIP(i)] = on })
}

// runningNodes returns the nodes that haven't been killed.
func (f *fleet) runningNodes() []*testNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*testNode
	for _, node := range f.nodes {
		if node.running {
			out = append(out, node)
		}
	}
	return out
}

// unavailableWorkers reports for each worker on the node's list whether it must get no new work: it is
// leaving, changing its role, drained or in an evacuated zone.
func (n *testNode) unavailableWorkers() map[ids.WorkerID]bool {
	snapshot := n.view.Current()
	unavailable := map[ids.WorkerID]bool{}
	for _, w := range n.currentList.Load().workers {
		_, changesRole := snapshot.RoleChanges[w.ID]
		unavailable[w.ID] = w.Leaving || changesRole || snapshot.DrainedWorkers[w.ID] || snapshot.EvacuatedZones[w.Zone]
	}
	return unavailable
}

// trackUnavailableWorkers records every 5 ms since when each node knows that a worker must get no new
// work.
func (f *fleet) trackUnavailableWorkers() {
	for {
		for _, node := range f.runningNodes() {
			unavailable := node.unavailableWorkers()
			f.platform.withLock(func() {
				since := f.platform.unavailabilityLearnedAt[node.ip]
				if since == nil {
					since = map[ids.WorkerID]time.Time{}
					f.platform.unavailabilityLearnedAt[node.ip] = since
				}
				for id, isUnavailable := range unavailable {
					if _, was := since[id]; isUnavailable && !was {
						since[id] = time.Now()
					} else if !isUnavailable {
						delete(since, id)
					}
				}
				for id := range since {
					if _, ok := unavailable[id]; !ok {
						delete(since, id)
					}
				}
			})
		}
		select {
		case <-f.stopped:
			return
		case <-host.NewTimer(5 * time.Millisecond).C:
		}
	}
}

// close stops all nodes and cores and waits for their goroutines.
func (f *fleet) close() {
	for i, node := range f.nodes {
		f.setFrozen(i, false)
		if node.running {
			f.killNode(i)
		}
	}
	for _, ip := range coreIPs {
		f.world.Machine(ip).Freeze(false)
		f.powerOffCore(ip)
	}
	close(f.stopped)
	f.wg.Wait()
	time.Sleep(40 * time.Second)
}

// waitUntil polls a condition and reports whether it held before the duration was over.
func (f *fleet) waitUntil(duration time.Duration, condition func() bool) bool {
	for end := time.Now().Add(duration); !condition(); {
		if time.Now().After(end) {
			return false
		}
		time.Sleep(20 * time.Millisecond)
	}
	return true
}

// putConfiguration submits a configuration through the first running node.
func (f *fleet) putConfiguration(op ids.OpID, base, next ids.Version, text []byte) error {
	return f.putConfigurationVia(f.runningNodes()[0], op, base, next, text)
}

// putConfigurationVia submits a configuration through a node.
func (f *fleet) putConfigurationVia(n *testNode, op ids.OpID, base, next ids.Version, text []byte) error {
	ctx, stop := context.WithTimeout(context.Background(), 8*time.Second)
	defer stop()
	_, err := fleetstate.PutConfiguration(ctx, n.agent.Caller(), n.Directory(), op, base, next, text)
	return err
}

// submit sends a log command to the cores through the first running node.
func (f *fleet) submit(kind string, c msgp.Marshaler) {
	ctx, stop := context.WithTimeout(context.Background(), 8*time.Second)
	defer stop()
	_, err := f.runningNodes()[0].agent.Submit(ctx, ids.OpID("op/"+coordination.NewID()), kind, coordination.MustMarshal(c))
	require.NoError(f.t, err)
}

// requestResult is a request and its result.
type requestResult struct {
	*Request
	retryable, stream, resumable bool
	sentAt, endedAt              time.Duration
	err                          error
	response                     *responseRecorder
	finished                     bool
}

// responseRecorder records what the caller received.
type responseRecorder struct {
	mu         sync.Mutex
	status     int
	headCount  int
	body       []byte
	writeTimes []time.Duration
	startedAt  time.Time
	callerGone bool // writes fail, as after a disconnect
}

func (r *responseRecorder) Head(status int, _ http.Header, _ int64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status = status
	r.headCount++
	return nil
}

func (r *responseRecorder) Write(p []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.callerGone {
		return errors.New("the caller disconnected")
	}
	r.body = append(r.body, p...)
	r.writeTimes = append(r.writeTimes, time.Since(r.startedAt))
	return nil
}

// bodyText returns the bytes received so far.
func (r *responseRecorder) bodyText() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return string(r.body)
}

// routeHost is the host that requests name.
const routeHost = "models.example"

// newRequest returns a request for a path. It accepts an event stream if the path begins with /s.
func (f *fleet) newRequest(id, path string, prompt, maxTokens int) *Request {
	r := &Request{
		ID:        id,
		Method:    "POST",
		Target:    path,
		Path:      path,
		Host:      routeHost,
		Header:    http.Header{},
		Body:      requestbody.FromBytes([]byte("{}")),
		Model:     "m",
		Prompt:    prompt,
		MaxTokens: maxTokens,
		Segments: []PromptSegment{
			{ID: "system-" + id[len(id)-1:], Tokens: prompt / 2},
			{ID: "last-" + id, Tokens: prompt - prompt/2},
		},
	}
	if strings.HasPrefix(path, "/s") {
		r.Header.Set("Accept", "text/event-stream")
	}
	return r
}

// send serves a request at a node and returns its result.
func (f *fleet) send(node *testNode, r *Request) *requestResult {
	return f.sendWith(context.Background(), node, r, &responseRecorder{})
}

// sendWith is send with a context and a recorder of the caller.
func (f *fleet) sendWith(ctx context.Context, node *testNode, r *Request, recorder *responseRecorder) *requestResult {
	r.At = node.now()
	recorder.startedAt = time.Now()
	result := &requestResult{Request: r, sentAt: f.platform.elapsed(), response: recorder}
	for _, route := range defaultRoutes() {
		if strings.HasPrefix(r.Path, route.Prefix) {
			result.retryable, result.stream, result.resumable = route.MayRetry(), route.Stream, route.Resumable
		}
	}
	f.mu.Lock()
	f.results = append(f.results, result)
	f.mu.Unlock()
	err := node.Serve(ctx, r, recorder)
	f.mu.Lock()
	result.err, result.endedAt, result.finished = err, f.platform.elapsed(), true
	f.mu.Unlock()
	return result
}

// generateLoad sends requests to the running nodes in turn, rate per second, and returns all results.
func (f *fleet) generateLoad(rate float64, duration time.Duration, makeRequest func(i int) *Request) []*requestResult {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var out []*requestResult
	interval := time.Duration(float64(time.Second) / rate)
	for i, end := 0, time.Now().Add(duration); time.Now().Before(end); i++ {
		nodes := f.runningNodes()
		node := nodes[i%len(nodes)]
		wg.Go(func() {
			result := f.send(node, makeRequest(i))
			mu.Lock()
			defer mu.Unlock()
			out = append(out, result)
		})
		time.Sleep(interval)
	}
	wg.Wait()
	return out
}

// defaultRoutes returns the routes that most tests use: plain and streamed, each with and without
// permission to run a request again.
func defaultRoutes() []fleetstate.Route {
	return []fleetstate.Route{
		{
			Name:            "once",
			Host:            routeHost,
			Prefix:          "/once/",
			Service:         "svc",
			Disaggregated:   true,
			MaxAttempts:     3,
			DeadlineMs:      4000,
			LatencyTargetMs: 400,
			Urgency:         5,
		},
		{
			Name:            "again",
			Host:            routeHost,
			Prefix:          "/again/",
			Service:         "svc",
			Disaggregated:   true,
			Idempotent:      true,
			MaxAttempts:     3,
			DeadlineMs:      4000,
			LatencyTargetMs: 400,
			Urgency:         5,
		},
		{
			Name:            "stream",
			Host:            routeHost,
			Prefix:          "/stream/",
			Service:         "svc",
			Disaggregated:   true,
			Stream:          true,
			MaxAttempts:     3,
			DeadlineMs:      8000,
			LatencyTargetMs: 400,
			TokenIntervalMs: 60,
			Urgency:         5,
		},
		{
			Name:            "sresume",
			Host:            routeHost,
			Prefix:          "/sresume/",
			Service:         "svc",
			Disaggregated:   true,
			Stream:          true,
			Resumable:       true,
			MaxAttempts:     4,
			DeadlineMs:      8000,
			LatencyTargetMs: 400,
			TokenIntervalMs: 60,
			Urgency:         5,
		},
	}
}

// encodeConfiguration returns a configuration as JSON.
func encodeConfiguration(routes []fleetstate.Route, services ...fleetstate.Service) []byte {
	p := &fleetstate.Configuration{Routes: routes, Services: map[string]fleetstate.Service{}}
	for _, s := range services {
		p.Services[s.Name] = s
	}
	b, _ := json.Marshal(p)
	return b
}

// defaultConfiguration returns the default routes and their service as JSON.
func defaultConfiguration() []byte {
	return encodeConfiguration(defaultRoutes(), fleetstate.Service{Name: "svc", Concurrency: 16, RoleChangeMs: 1000})
}

// runInBubble runs a test in a synctest bubble, whose clock advances when all goroutines are blocked.
func runInBubble(t *testing.T, f func(t *testing.T)) { synctest.Test(t, f) }

// forEachSeed runs a subtest with each of n seeds, and with at most two under the race detector.
func forEachSeed(t *testing.T, n int, f func(t *testing.T, seed uint64)) {
	if raceDetectorEnabled { // all seeds run without the detector
		n = min(n, 2)
	}
	for seed := uint64(1); seed <= uint64(n); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runInBubble(t, func(t *testing.T) { f(t, seed) }) })
	}
}

// withLock runs change while the fleet is locked.
func (f *fleet) withLock(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// skipUnderRaceDetector skips a test of a large fleet under the race detector, which exceeds its own limits
// there: it failed an internal check in TestTreeSumsCallOutcomes.
func skipUnderRaceDetector(t *testing.T) {
	t.Helper()
	if raceDetectorEnabled {
		t.Skip("runs only without the race detector")
	}
}
