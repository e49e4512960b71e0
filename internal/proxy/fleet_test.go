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
	ip   string
	proc *simulated.Process
	stop context.CancelFunc
	done chan struct{}
	up   bool
}

type fleet struct {
	t     *testing.T
	w     *simulated.World
	y     *workerPool
	seeds []string
	cores map[string]*coordination.Core
	procs map[string]*simulated.Process
	stops map[string]context.CancelFunc
	tune  func(*Options)

	mu    sync.Mutex
	nodes []*testNode
	asks  []*asked
	over  chan struct{}
	wg    sync.WaitGroup
}

var coreIps = []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"}

// build starts a fleet and puts a policy in force.
func build(t *testing.T, seed uint64, nodes int, y *workerPool, text []byte, tune func(*Options)) *fleet {
	f := &fleet{
		t:     t,
		w:     simulated.NewWorld(seed),
		y:     y,
		tune:  tune,
		cores: map[string]*coordination.Core{},
		procs: map[string]*simulated.Process{},
		stops: map[string]context.CancelFunc{},
		over:  make(chan struct{}),
	}
	for _, ip := range coreIps {
		f.seeds = append(f.seeds, ip+":1")
	}
	for _, ip := range coreIps {
		f.core(ip)
	}
	for i := range nodes {
		f.node(i)
	}
	f.wg.Go(f.poll)
	require.True(t, f.until(10*time.Second, func() bool { return f.leader() != "" }), "a core leads")
	require.NoError(t, f.put("first", 0, 0, text))
	require.True(t, f.until(10*time.Second, func() bool {
		for _, n := range f.up() {
			if ok, _ := n.Ready(); !ok || len(n.agent.Members()) < nodes {
				return false
			}
		}
		return true
	}), "the nodes are ready")
	return f
}

func (f *fleet) core(ip string) {
	ctx, stop := context.WithCancel(context.Background())
	p := f.w.Machine(ip).Start()
	c, err := coordination.New(coordination.Options{
		Addr:  ip + ":1",
		Host:  p.Host(),
		Seeds: f.seeds,
		Machine: func() coordination.StateMachine {
			return fleetstate.NewMachine(fleetstate.MachineOptions{Metering: f.y.metering})
		},
	})
	require.NoError(f.t, err)
	f.cores[ip], f.procs[ip], f.stops[ip] = c, p, stop
	l, err := p.Host().Net.Listen(ip + ":1")
	require.NoError(f.t, err)
	mux := http.NewServeMux()
	c.Mount(mux)
	f.wg.Go(func() { rpc.Serve(ctx, l, mux) })
	f.wg.Go(func() { c.Run(ctx) })
}

func (f *fleet) offCore(ip string) {
	if f.cores[ip] == nil {
		return
	}
	f.w.Machine(ip).PowerOff()
	f.stops[ip]()
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

// node starts the node of a number, again if it was there before.
func (f *fleet) node(i int) *testNode {
	ip := nodeIP(i)
	p := f.w.Machine(ip).Start()
	options := Options{
		Name:               fmt.Sprint("n", i),
		Addr:               ip + ":2",
		Zone:               ids.Zone([]string{"a", "b"}[i%2]),
		Seeds:              f.seeds,
		Host:               p.Host(),
		Backend:            &back{f.y, ip},
		RoleChangeInterval: -1,
	}
	if f.tune != nil {
		f.tune(&options)
	}
	n, err := New(options)
	require.NoError(f.t, err)
	if f.y.prep != nil {
		f.y.prep(n)
	}
	ctx, stop := context.WithCancel(context.Background())
	b := &testNode{Node: n, ip: ip, proc: p, stop: stop, done: make(chan struct{}), up: true}
	f.y.at(func() { f.y.known[ip] = func(id ids.WorkerID) bool { return b.offs()[id] } })
	l, err := p.Host().Net.Listen(ip + ":2")
	require.NoError(f.t, err)
	mux := http.NewServeMux()
	n.Mount(mux)
	f.wg.Go(func() { rpc.Serve(ctx, l, mux) })
	f.wg.Go(func() { n.Run(ctx, 0, -time.Millisecond); close(b.done) })
	f.mu.Lock()
	defer f.mu.Unlock()
	if i < len(f.nodes) {
		f.nodes[i] = b
	} else {
		f.nodes = append(f.nodes, b)
	}
	return b
}

// kill ends a node without a word.
func (f *fleet) kill(i int) {
	f.mu.Lock()
	b := f.nodes[i]
	f.mu.Unlock()
	f.freeze(i, false)
	f.mu.Lock()
	b.up = false
	f.mu.Unlock()
	b.proc.Kill()
	b.stop()
	b.Node.stop()
}

// freeze stops or wakes a node at its next step on the network.
func (f *fleet) freeze(i int, on bool) {
	f.w.Machine(nodeIP(i)).Freeze(on)
	f.y.at(func() { f.y.frozen[nodeIP(i)] = on })
}

func (f *fleet) up() []*testNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*testNode
	for _, b := range f.nodes {
		if b.up {
			out = append(out, b)
		}
	}
	return out
}

// offs tells of each worker on the node's list whether it is to get nothing new.
func (b *testNode) offs() map[ids.WorkerID]bool {
	s := b.view.Current()
	off := map[ids.WorkerID]bool{}
	for _, w := range b.endpoints.Load().workers {
		_, turns := s.RoleChanges[w.ID]
		off[w.ID] = w.Leaving || turns || s.Drained[w.ID] || s.Zones[w.Zone]
	}
	return off
}

// poll notes since when each node knows that a worker is to get nothing new.
func (f *fleet) poll() {
	for {
		for _, b := range f.up() {
			off := b.offs()
			f.y.at(func() {
				m := f.y.off[b.ip]
				if m == nil {
					m = map[ids.WorkerID]time.Time{}
					f.y.off[b.ip] = m
				}
				for id, on := range off {
					if _, was := m[id]; on && !was {
						m[id] = time.Now()
					} else if !on {
						delete(m, id)
					}
				}
				for id := range m {
					if _, ok := off[id]; !ok {
						delete(m, id)
					}
				}
			})
		}
		select {
		case <-f.over:
			return
		case <-host.NewTimer(5 * time.Millisecond).C:
		}
	}
}

func (f *fleet) close() {
	for i, b := range f.nodes {
		f.freeze(i, false)
		if b.up {
			f.kill(i)
		}
	}
	for _, ip := range coreIps {
		f.w.Machine(ip).Freeze(false)
		f.offCore(ip)
	}
	close(f.over)
	f.wg.Wait()
	time.Sleep(40 * time.Second)
}

func (f *fleet) until(duration time.Duration, ok func() bool) bool {
	for end := time.Now().Add(duration); !ok(); {
		if time.Now().After(end) {
			return false
		}
		time.Sleep(20 * time.Millisecond)
	}
	return true
}

// put stages a text by way of the first node that is up.
func (f *fleet) put(op ids.OpID, base, next ids.Version, text []byte) error {
	return f.putAt(f.up()[0], op, base, next, text)
}

func (f *fleet) putAt(n *testNode, op ids.OpID, base, next ids.Version, text []byte) error {
	ctx, stop := context.WithTimeout(context.Background(), 8*time.Second)
	defer stop()
	_, err := fleetstate.PutConfiguration(ctx, n.agent.Caller(), n.Directory(), op, base, next, text)
	return err
}

// submit brings another command to the core.
func (f *fleet) submit(kind string, c msgp.Marshaler) {
	ctx, stop := context.WithTimeout(context.Background(), 8*time.Second)
	defer stop()
	_, err := f.up()[0].agent.Submit(ctx, ids.OpID("op/"+coordination.NewID()), kind, coordination.MustMarshal(c))
	require.NoError(f.t, err)
}

// asked is one request with its end.
type asked struct {
	*Request
	again, stream, resume bool
	at, end               time.Duration
	err                   error
	sink                  *sink
	ended                 bool
}

// sink keeps what the caller got.
type sink struct {
	mu     sync.Mutex
	status int
	heads  int
	got    []byte
	when   []time.Duration
	start  time.Time
	broken bool // the caller went away
}

func (s *sink) Head(status int, _ http.Header, _ int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status = status
	s.heads++
	return nil
}

func (s *sink) Write(p []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broken {
		return errors.New("the caller went away")
	}
	s.got = append(s.got, p...)
	s.when = append(s.when, time.Since(s.start))
	return nil
}

func (s *sink) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.got)
}

// routeHost is what requests name.
const routeHost = "models.example"

// req makes a request for a path; it asks for events if its path begins with /s.
func (f *fleet) req(id, path string, prompt, limit int) *Request {
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
		MaxTokens: limit,
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

// ask carries a request at a node to its end.
func (f *fleet) ask(b *testNode, r *Request) *asked {
	return f.askAs(context.Background(), b, r, &sink{})
}

func (f *fleet) askAs(ctx context.Context, b *testNode, r *Request, s *sink) *asked {
	r.At = b.now()
	s.start = time.Now()
	a := &asked{Request: r, at: f.y.now(), sink: s}
	for _, k := range ways() {
		if strings.HasPrefix(r.Path, k.Prefix) {
			a.again, a.stream, a.resume = k.MayRetry(), k.Stream, k.Resumable
		}
	}
	f.mu.Lock()
	f.asks = append(f.asks, a)
	f.mu.Unlock()
	err := b.Serve(ctx, r, s)
	f.mu.Lock()
	a.err, a.end, a.ended = err, f.y.now(), true
	f.mu.Unlock()
	return a
}

// load asks at the nodes by turns, at a rate, and waits for all ends.
func (f *fleet) load(rate float64, duration time.Duration, form func(i int) *Request) []*asked {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var out []*asked
	gap := time.Duration(float64(time.Second) / rate)
	for i, end := 0, time.Now().Add(duration); time.Now().Before(end); i++ {
		rows := f.up()
		b := rows[i%len(rows)]
		wg.Go(func() {
			a := f.ask(b, form(i))
			mu.Lock()
			defer mu.Unlock()
			out = append(out, a)
		})
		time.Sleep(gap)
	}
	wg.Wait()
	return out
}

// ways are the routes that most tests use.
func ways() []fleetstate.Route {
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

func policy(routes []fleetstate.Route, services ...fleetstate.Service) []byte {
	p := &fleetstate.Configuration{Routes: routes, Services: map[string]fleetstate.Service{}}
	for _, s := range services {
		p.Services[s.Name] = s
	}
	b, _ := json.Marshal(p)
	return b
}

func plain() []byte {
	return policy(ways(), fleetstate.Service{Name: "svc", Concurrency: 16, RoleChangeMs: 1000})
}

// bubble runs a test in a bubble of its own, where time is free.
func bubble(t *testing.T, f func(t *testing.T)) { synctest.Test(t, f) }

// eachSeed runs a test under several seeds.
func eachSeed(t *testing.T, n int, f func(t *testing.T, seed uint64)) {
	if raced { // all seeds are run without the detector
		n = min(n, 2)
	}
	for seed := uint64(1); seed <= uint64(n); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { bubble(t, func(t *testing.T) { f(t, seed) }) })
	}
}

// at changes the fleet.
func (f *fleet) at(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
}

// unraced leaves a test of a large fleet to the run without the race detector, which is at its own
// limits there: it ended with a failed check of its own in TestTreeOutcomes.
func unraced(t *testing.T) {
	t.Helper()
	if raced {
		t.Skip("run without the race detector")
	}
}
