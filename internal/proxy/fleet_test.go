// Small fleets on simulated machines: three cores, some relay nodes, a fake platform of workers.

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
	"keelstair.example/rpc"
)

// testNode is one node of a fleet with its process.
type testNode struct {
	*Node
	ip      string
	process *simulated.Process
	cancel  context.CancelFunc
	done    chan struct{}
	running bool
}

type fleet struct {
	t             *testing.T
	world         *simulated.World
	platform      *fakePlatform
	seeds         []string
	cores         map[string]*coordination.Core
	processes     map[string]*simulated.Process
	cancels       map[string]context.CancelFunc
	adjustOptions func(*Options)

	mu      sync.Mutex
	nodes   []*testNode
	results []*requestResult
	stopped chan struct{}
	wg      sync.WaitGroup
}

var coreIPs = []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"}

// startFleet starts a fleet and puts a policy in force.
func startFleet(t *testing.T, seed uint64, nodes int, platform *fakePlatform, text []byte, adjustOptions func(*Options)) *fleet {
	f := &fleet{
		t:             t,
		world:         simulated.NewWorld(seed),
		platform:      platform,
		adjustOptions: adjustOptions,
		cores:         map[string]*coordination.Core{},
		processes:     map[string]*simulated.Process{},
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
	require.True(t, f.waitUntil(10*time.Second, func() bool { return f.leader() != "" }), "a core leads")
	require.NoError(t, f.putConfiguration("first", 0, 0, text))
	require.True(t, f.waitUntil(10*time.Second, func() bool {
		for _, n := range f.runningNodes() {
			if ok, _ := n.Ready(); !ok || len(n.agent.Members()) < nodes {
				return false
			}
		}
		return true
	}), "the nodes are ready")
	return f
}

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
	f.cores[ip], f.processes[ip], f.cancels[ip] = c, p, stop
	l, err := p.Host().Net.Listen(ip + ":1")
	require.NoError(f.t, err)
	mux := http.NewServeMux()
	c.Mount(mux)
	f.wg.Go(func() { rpc.Serve(ctx, l, mux) })
	f.wg.Go(func() { c.Run(ctx) })
}

func (f *fleet) powerOffCore(ip string) {
	if f.cores[ip] == nil {
		return
	}
	f.world.Machine(ip).PowerOff()
	f.cancels[ip]()
	delete(f.cores, ip)
}

func (f *fleet) leader() string {
	for ip, c := range f.cores {
		if c.Leads() {
			return ip
		}
	}
	return ""
}

func nodeIP(i int) string { return fmt.Sprintf("10.0.1.%d", i+1) }

// startNode starts the node of a number, again if it was there before.
func (f *fleet) startNode(i int) *testNode {
	ip := nodeIP(i)
	p := f.world.Machine(ip).Start()
	options := Options{
		Name:               fmt.Sprint("n", i),
		Addr:               ip + ":2",
		Zone:               ids.Zone([]string{"a", "b"}[i%2]),
		Seeds:              f.seeds,
		Host:               p.Host(),
		Backend:            &fakeBackend{f.platform, ip},
		RoleChangeInterval: -1,
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
	f.wg.Go(func() { n.Run(ctx, 0, -time.Millisecond); close(node.done) })
	f.mu.Lock()
	defer f.mu.Unlock()
	if i < len(f.nodes) {
		f.nodes[i] = node
	} else {
		f.nodes = append(f.nodes, node)
	}
	return node
}

// killNode ends a node without a word.
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

// setFrozen stops or wakes a node at its next step on the network.
func (f *fleet) setFrozen(i int, on bool) {
	f.world.Machine(nodeIP(i)).Freeze(on)
	f.platform.withLock(func() { f.platform.frozenNodes[nodeIP(i)] = on })
}

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

// unavailableWorkers tells of each worker on the node's list whether it is to get nothing new.
func (node *testNode) unavailableWorkers() map[ids.WorkerID]bool {
	snapshot := node.view.Current()
	unavailable := map[ids.WorkerID]bool{}
	for _, w := range node.endpoints.Load().workers {
		_, changesRole := snapshot.RoleChanges[w.ID]
		unavailable[w.ID] = w.Leaving || changesRole || snapshot.Drained[w.ID] || snapshot.Zones[w.Zone]
	}
	return unavailable
}

// trackUnavailableWorkers notes since when each node knows that a worker is to get nothing new.
func (f *fleet) trackUnavailableWorkers() {
	for {
		for _, node := range f.runningNodes() {
			unavailable := node.unavailableWorkers()
			f.platform.withLock(func() {
				since := f.platform.unavailableSince[node.ip]
				if since == nil {
					since = map[ids.WorkerID]time.Time{}
					f.platform.unavailableSince[node.ip] = since
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

func (f *fleet) waitUntil(duration time.Duration, condition func() bool) bool {
	for end := time.Now().Add(duration); !condition(); {
		if time.Now().After(end) {
			return false
		}
		time.Sleep(20 * time.Millisecond)
	}
	return true
}

// putConfiguration stages a text by way of the first node that is up.
func (f *fleet) putConfiguration(op ids.OpID, base, next ids.Version, text []byte) error {
	return f.putConfigurationVia(f.runningNodes()[0], op, base, next, text)
}

func (f *fleet) putConfigurationVia(n *testNode, op ids.OpID, base, next ids.Version, text []byte) error {
	ctx, stop := context.WithTimeout(context.Background(), 8*time.Second)
	defer stop()
	_, err := fleetstate.Put(ctx, n.agent.Caller(), n.Directory(), op, base, next, text)
	return err
}

// submit brings another command to the core.
func (f *fleet) submit(kind string, c msgp.Marshaler) {
	ctx, stop := context.WithTimeout(context.Background(), 8*time.Second)
	defer stop()
	_, err := f.runningNodes()[0].agent.Submit(ctx, ids.OpID("op/"+coordination.NewID()), kind, coordination.MustMarshal(c))
	require.NoError(f.t, err)
}

// requestResult is one request with its end.
type requestResult struct {
	*Request
	retryable, stream, resumable bool
	sentAt, endedAt              time.Duration
	err                          error
	response                     *responseRecorder
	finished                     bool
}

// responseRecorder keeps what the caller got.
type responseRecorder struct {
	mu         sync.Mutex
	status     int
	headCount  int
	body       []byte
	writeTimes []time.Duration
	startedAt  time.Time
	callerGone bool // the caller went away
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
		return errors.New("the caller went away")
	}
	r.body = append(r.body, p...)
	r.writeTimes = append(r.writeTimes, time.Since(r.startedAt))
	return nil
}

func (r *responseRecorder) bodyText() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return string(r.body)
}

// routeHost is what requests name.
const routeHost = "models.example"

// newRequest makes a request for a path; it asks for events if its path begins with /s.
func (f *fleet) newRequest(id, path string, prompt, maxTokens int) *Request {
	r := &Request{
		ID:        id,
		Method:    "POST",
		Target:    path,
		Path:      path,
		Host:      routeHost,
		Header:    http.Header{},
		Body:      []byte("{}"),
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

// send carries a request at a node to its end.
func (f *fleet) send(node *testNode, r *Request) *requestResult {
	return f.sendWith(context.Background(), node, r, &responseRecorder{})
}

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

// generateLoad asks at the nodes by turns, at a rate, and waits for all ends.
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

// defaultRoutes are the routes that most tests use.
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

func encodeConfiguration(routes []fleetstate.Route, services ...fleetstate.Service) []byte {
	p := &fleetstate.Configuration{Routes: routes, Services: map[string]fleetstate.Service{}}
	for _, s := range services {
		p.Services[s.Name] = s
	}
	b, _ := json.Marshal(p)
	return b
}

func defaultConfiguration() []byte {
	return encodeConfiguration(defaultRoutes(), fleetstate.Service{Name: "svc", Concurrency: 16, RoleChangeMs: 1000})
}

// runInBubble runs a test in a bubble of its own, where time is free.
func runInBubble(t *testing.T, f func(t *testing.T)) { synctest.Test(t, f) }

// forEachSeed runs a test under several seeds.
func forEachSeed(t *testing.T, n int, f func(t *testing.T, seed uint64)) {
	if raced { // all seeds are run without the detector
		n = min(n, 2)
	}
	for seed := uint64(1); seed <= uint64(n); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runInBubble(t, func(t *testing.T) { f(t, seed) }) })
	}
}

// withLock changes the fleet.
func (f *fleet) withLock(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// skipUnderRaceDetector leaves a test of a large fleet to the run without the race detector, which is at its own
// limits there: it ended with a failed check of its own in TestTreeOutcomes.
func skipUnderRaceDetector(t *testing.T) {
	t.Helper()
	if raced {
		t.Skip("run without the race detector")
	}
}
