// Embeds the core with a small state machine and its watchers, and tests it in simulated clusters that
// lose machines, partition links and freeze machines, under many seeds.

package coordination_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/coordination"
	"keelstair.example/failure"
	"keelstair.example/host/simulated"
	"keelstair.example/ids"
	"keelstair.example/rpc"
)

// sumStateMachine is a minimal state machine: a sum and two singleton roles.
type sumStateMachine struct{ sum int }

func (m *sumStateMachine) Apply(_ ids.Seq, kind string, body []byte) ([]byte, error) {
	n, err := strconv.Atoi(string(body))
	if err != nil || kind != "add" {
		return nil, failure.New(failure.InvalidArgument, "apply", kind, "only add with a number is supported")
	}
	m.sum += n
	return []byte(strconv.Itoa(m.sum)), nil
}

func (m *sumStateMachine) Published(string) bool { return true }
func (m *sumStateMachine) Snapshot(bool) []byte  { return []byte(strconv.Itoa(m.sum)) }
func (m *sumStateMachine) Restore(b []byte) (err error) {
	m.sum, err = strconv.Atoi(string(b))
	return err
}
func (m *sumStateMachine) Keys() []ids.Key                                               { return []ids.Key{"left", "right"} }
func (m *sumStateMachine) DueCommands(ids.Tick, ids.Seq, ids.Seq) []coordination.Command { return nil }

// sumWatcher is a node's view of the sum.
type sumWatcher struct{ sum atomic.Int64 }

func (w *sumWatcher) Restore(b []byte) error {
	n, err := strconv.Atoi(string(b))
	w.sum.Store(int64(n))
	return err
}

func (w *sumWatcher) Observe(_ ids.Seq, _ string, body []byte) bool {
	n, _ := strconv.Atoi(string(body))
	w.sum.Add(int64(n))
	return false
}

func (w *sumWatcher) Snapshot() []byte { return []byte(strconv.FormatInt(w.sum.Load(), 10)) }

// testCluster is a cluster of cores and two agents on simulated machines.
type testCluster struct {
	world          *simulated.World
	processes      map[string]*simulated.Process
	stops          map[string]context.CancelFunc
	cores          map[string]*coordination.Core
	agents         []*coordination.Agent
	watchers       []*sumWatcher
	seeds          []string
	faultTolerance int
	zones          map[string]ids.Zone // by the IP address of a core
}

// newCluster starts three cores, of which one may fail.
func newCluster(seed uint64) *testCluster { return newClusterOfSize(seed, 3, 1) }

// newClusterOfSize starts the given number of cores, of which faultTolerance may fail at the same time.
func newClusterOfSize(seed uint64, cores, faultTolerance int) *testCluster {
	return newClusterInZones(seed, cores, faultTolerance)
}

// newClusterInZones is newClusterOfSize with the cores assigned to the zones in turn.
func newClusterInZones(seed uint64, cores, faultTolerance int, zones ...ids.Zone) *testCluster {
	f := &testCluster{
		faultTolerance: faultTolerance,
		zones:          map[string]ids.Zone{},
		world:          simulated.NewWorld(seed),
		processes:      map[string]*simulated.Process{},
		stops:          map[string]context.CancelFunc{},
		cores:          map[string]*coordination.Core{},
	}
	for i := range cores {
		f.seeds = append(f.seeds, fmt.Sprintf("10.0.0.%d:1", i+1))
	}
	for i, a := range f.seeds {
		if len(zones) > 0 {
			f.zones[machineIP(a)] = zones[i%len(zones)]
		}
		f.startMember(a)
	}
	for i := range 2 {
		a, v := f.startAgent(fmt.Sprintf("10.0.1.%d", i+1))
		f.agents, f.watchers = append(f.agents, a), append(f.watchers, v)
	}
	return f
}

// startAgent starts an agent at an IP address, which is also its node id.
func (f *testCluster) startAgent(ip string) (*coordination.Agent, *sumWatcher) {
	v := &sumWatcher{}
	p := f.world.Machine(ip).Start()
	a := coordination.NewAgent(coordination.AgentOptions{
		Self:    coordination.Member{Node: ids.NodeID(ip), Addr: ip + ":1"},
		Host:    p.Host(),
		Seeds:   f.seeds,
		Watcher: v,
	})
	f.startProcess(ip, ip+":1", p, a.Mount, a.Run)
	return a, v
}

// startProcess serves a process's handlers and runs it until its stop function is called.
func (f *testCluster) startProcess(
	ip, addr string,
	p *simulated.Process,
	mount func(*http.ServeMux),
	run func(context.Context),
) {
	ctx, stop := context.WithCancel(context.Background())
	f.processes[ip], f.stops[ip] = p, stop
	l, err := p.Host().Net.Listen(addr)
	if err != nil {
		panic(err)
	}
	mux := http.NewServeMux()
	mount(mux)
	go rpc.Serve(ctx, l, mux)
	go run(ctx)
}

// startMember starts a core.
func (f *testCluster) startMember(addr string) { f.startCore(addr, false) }

// startCore starts a core. If force is set, the core forms a new cluster from its disk. The channel receives
// the result of its Run.
func (f *testCluster) startCore(addr string, force bool) chan error {
	ip := addr[:len(addr)-2]
	p := f.world.Machine(ip).Start()
	c, err := coordination.New(coordination.Options{
		Addr:            addr,
		Zone:            f.zones[ip],
		Host:            p.Host(),
		Seeds:           f.seeds,
		Machine:         func() coordination.StateMachine { return &sumStateMachine{} },
		ForceNewCluster: force,
		FaultTolerance:  f.faultTolerance,
	})
	if err != nil {
		panic(err)
	}
	f.cores[ip] = c
	end := make(chan error, 1)
	f.startProcess(ip, addr, p, c.Mount, func(ctx context.Context) { end <- c.Run(ctx) })
	return end
}

// powerOff cuts a machine's power.
func (f *testCluster) powerOff(ip string) {
	f.world.Machine(ip).PowerOff()
	f.stops[ip]()
	delete(f.cores, ip)
}

// leader returns the IP address of a core that considers itself the primary, or "".
func (f *testCluster) leader() string {
	for ip, c := range f.cores {
		if c.Leads() {
			return ip
		}
	}
	return ""
}

// close powers off all machines and waits until their goroutines have ended.
func (f *testCluster) close() {
	for ip := range f.processes {
		f.world.Machine(ip).Freeze(false)
		f.world.Machine(ip).StallDisk(false)
		f.powerOff(ip)
	}
	time.Sleep(30 * time.Second)
}

// submitNumber adds n to the sum under an operation id, retrying for the duration.
func (f *testCluster) submitNumber(n int, op string, duration time.Duration) error {
	ctx, stop := context.WithTimeout(context.Background(), duration)
	defer stop()
	_, err := f.agents[0].Submit(ctx, ids.OpID(op), "add", []byte(strconv.Itoa(n)))
	return err
}

// Example embeds the core with a state machine, submits commands and reads the watchers' views.
func Example() {
	synctest.Test(new(testing.T), func(*testing.T) {
		f := newCluster(1)
		defer f.close()
		fmt.Println(
			f.submitNumber(40, "a", 10*time.Second),
			f.submitNumber(2, "b", time.Second),
			f.submitNumber(2, "b", time.Second),
		)
		time.Sleep(time.Second)
		fmt.Println("the watchers have", f.watchers[0].sum.Load(), f.watchers[1].sum.Load())
		_, _, left := f.agents[0].KeyOwner("left")
		fmt.Println("a duty is held:", left)
	})
	// Output:
	// <nil> <nil> <nil>
	// the watchers have 42 42
	// a duty is held: true
}

// forEachSeed runs a test under twelve seeds in parallel, each in a synctest bubble of its own.
func forEachSeed(t *testing.T, f func(t *testing.T, seed uint64)) {
	for seed := uint64(1); seed <= 12; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { f(t, seed) })
		})
	}
}

// TestAcknowledgedCommandsSurvive powers off the primary or another core while a command is under way, with
// torn writes on its disk. Each acknowledged command must be applied exactly once, and each operation
// must have one outcome.
func TestAcknowledgedCommandsSurvive(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		f := newCluster(seed)
		defer f.close()
		want := 0
		require.NoError(t, f.submitNumber(1, "first", 10*time.Second))
		want++
		for i := range 6 {
			op := fmt.Sprint("op", i)
			got := make(chan error, 1)
			go func() { got <- f.submitNumber(1<<(4*i+4), op, 8*time.Second) }()
			time.Sleep(time.Duration(seed*37%23) * 100 * time.Microsecond)
			ip := f.leader()
			if ip == "" || int(seed)%2 == i%2 {
				ip = f.seeds[(int(seed)+i)%3][:8]
			}
			f.powerOff(ip)
			err := <-got
			if err != nil {
				err = f.submitNumber(1<<(4*i+4), op, 8*time.Second)
			}
			require.NoError(t, err, "seed %d round %d", seed, i)
			want += 1 << (4*i + 4)
			f.startMember(ip + ":1")
			time.Sleep(2 * time.Second)
		}
		time.Sleep(3 * time.Second)
		require.EqualValues(t, want, f.watchers[0].sum.Load(), "seed %d", seed)
		require.EqualValues(t, want, f.watchers[1].sum.Load(), "seed %d", seed)
	})
}

// TestOneOwner checks that two agents never own a key at the same time while leases expire, partitions
// come and go, machines freeze, clocks jump and the primary changes.
func TestOneOwner(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		f := newCluster(seed)
		defer f.close()
		require.NoError(t, f.submitNumber(1, "first", 10*time.Second))
		held := [2]int{}
		stop := make(chan struct{})
		go func() {
			defer close(stop)
			for i := range 8 {
				ip := fmt.Sprintf("10.0.1.%d", (int(seed)+i)%2+1)
				switch (int(seed) + i) % 4 {
				case 0:
					f.world.Block([]string{ip}, []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"}, true)
					time.Sleep(5 * time.Second)
					f.world.Block([]string{ip}, []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"}, false)
				case 1:
					f.world.Machine(ip).Freeze(true)
					time.Sleep(4 * time.Second)
					f.world.Machine(ip).Freeze(false)
				case 2:
					l := f.leader()
					if l != "" {
						f.powerOff(l)
						time.Sleep(4 * time.Second)
						f.startMember(l + ":1")
					}
				case 3:
					f.world.Machine(ip).JumpClock(7 * time.Second)
				}
				time.Sleep(2 * time.Second)
			}
		}()
		for {
			for _, k := range []ids.Key{"left", "right"} {
				_, a := f.agents[0].OwnsKey(k)
				_, b := f.agents[1].OwnsKey(k)
				require.False(t, a && b, "seed %d: both agents own %s", seed, k)
				if a || b {
					held[1]++
				}
				held[0]++
			}
			select {
			case <-stop:
				require.Greater(t, held[1]*10, held[0]*3, "seed %d: keys must be owned over 30%% of the time", seed)
				return
			default:
				time.Sleep(2 * time.Millisecond)
			}
		}
	})
}

// TestDiskOfOtherCluster starts a core with the disk of another cluster and the seeds of this one. The core
// must end with a clear error, and this cluster must keep working.
func TestDiskOfOtherCluster(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCluster(3)
		defer f.close()
		require.NoError(t, f.submitNumber(1, "first", 10*time.Second))
		var other []string
		for i := range 3 {
			other = append(other, fmt.Sprintf("10.7.0.%d:1", i+1))
		}
		own := f.seeds
		f.seeds = other
		for _, a := range other {
			f.startMember(a)
		}
		time.Sleep(3 * time.Second)
		for _, a := range other {
			f.powerOff(a[:8])
		}
		p := f.world.Machine("10.7.0.1").Start()
		c, err := coordination.New(coordination.Options{
			Addr:    "10.7.0.1:1",
			Host:    p.Host(),
			Seeds:   own,
			Machine: func() coordination.StateMachine { return &sumStateMachine{} },
		})
		require.NoError(t, err)
		ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
		defer stop()
		require.ErrorContains(t, c.Run(ctx), "belongs to founding")
		require.NoError(t, f.submitNumber(2, "second", 5*time.Second))
		p.Kill()
	})
}
