// A test of many changes of a large document and of evacuations, while controllers restart, restart with empty
// disks or are replaced by new ones. Every change is based on the newest acknowledged version, so a leader that
// lacks acknowledged state refuses it.

package simulation

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/coordination"
	"keelstair.example/host"
	"keelstair.example/host/simulated"
	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/rpc"
)

const (
	linkRate      = 10_000_000 / 8   // bytes per second of each machine's link
	diskBound     = 40_000_000       // limit on the bytes stored by a controller, whose disk has 64 MB
	catchUpBound  = 10 * time.Second // limit on the time until a restarted controller is the primary or backup
	historyRoutes = 1400

	changesPerGeneration = 5 // every fifth change affects all routes
)

// rateLimitedNet limits the rate at which a machine sends, and adds the bytes sent to a counter.
type rateLimitedNet struct {
	host.Net
	mu   host.ChannelMutex
	sent *int
}

func (n *rateLimitedNet) Dial(ctx context.Context, addr string) (net.Conn, error) {
	conn, err := n.Net.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return &rateLimitedConn{conn, n}, nil
}

func (n *rateLimitedNet) Listen(addr string) (net.Listener, error) {
	l, err := n.Net.Listen(addr)
	if err != nil {
		return nil, err
	}
	return &rateLimitedListener{l, n}, nil
}

type rateLimitedListener struct {
	net.Listener
	net *rateLimitedNet
}

func (l *rateLimitedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &rateLimitedConn{conn, l.net}, nil
}

type rateLimitedConn struct {
	net.Conn
	net *rateLimitedNet
}

func (c *rateLimitedConn) Write(b []byte) (int, error) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	*c.net.sent += len(b)
	time.Sleep(time.Duration(len(b)) * time.Second / linkRate)
	return c.Conn.Write(b)
}

// largeDocument returns a configuration with many routes of about 290 bytes each. All routes differ between
// generations, so a change of the generation is replicated as a complete text. Otherwise a change affects only the
// route that it modifies and the one that the change before it modified.
func largeDocument(generation, changed, change int) []byte {
	var b strings.Builder
	b.WriteString(`{"routes":[`)
	for i := range historyRoutes {
		if i > 0 {
			b.WriteByte(',')
		}
		h := uint32(i+1) * 2654435761
		deadline := 2000 + int(h%9)*500 + generation
		if i == changed {
			deadline = 100_000 + change
		}
		fmt.Fprintf(
			&b,
			`{"name":"room-%08x","host":"%08x.rooms.example","prefix":"/v%d/talks/%05d/","deadlineMs":%d,"aimMs":%d,"urgency":%d,"service":"service-%d","split":[{"service":"service-%d","share":%d},{"service":"service-%d","share":%d}],"resumable":%t,"description":"%064x"}`,
			h,
			h*31,
			h%3,
			i,
			deadline,
			300+h%400,
			h%10,
			h%4,
			h%4,
			1+
				h%90,
			(h+1)%4,
			1+h%10,
			h%3 == 0,
			uint64(h)*uint64(h),
		)
	}
	b.WriteString(`]}`)
	return []byte(b.String())
}

// noopWatcher ignores the state, as the operator's agent needs only the sequence numbers.
type noopWatcher struct{}

func (noopWatcher) Restore([]byte) error                 { return nil }
func (noopWatcher) Observe(ids.Seq, string, []byte) bool { return false }
func (noopWatcher) Snapshot() []byte                     { return nil }

// history is a group of three controllers and an operator that changes its state.
type history struct {
	t         *testing.T
	world     *simulated.World
	seeds     []string
	procs     map[string]*simulated.Process
	cores     map[string]*coordination.Core
	stops     map[string]context.CancelFunc
	operator  *coordination.Agent
	newest    ids.Version
	evacuated bool
	sent      int // bytes sent by all controllers
	disk      int // largest number of bytes stored on any disk
	changes   int
	slowest   time.Duration // longest time until a change was acknowledged
}

func newHistory(t *testing.T) *history {
	h := &history{
		t:     t,
		world: simulated.NewWorld(1),
		procs: map[string]*simulated.Process{},
		cores: map[string]*coordination.Core{},
		stops: map[string]context.CancelFunc{},
	}
	for i := range 3 {
		h.seeds = append(h.seeds, fmt.Sprintf("10.0.0.%d:1", i+1))
	}
	for _, addr := range h.seeds {
		h.start(addr)
	}
	process := h.world.Machine("10.0.1.1").Start()
	h.operator = coordination.NewAgent(coordination.AgentOptions{
		Self:    coordination.Member{Node: "node-1", Addr: "10.0.1.1:1"},
		Host:    process.Host(),
		Seeds:   h.seeds,
		Watcher: noopWatcher{},
	})
	h.run("10.0.1.1:1", process, process.Host().Net, h.operator.Mount, h.operator.Run)
	return h
}

func (h *history) run(
	addr string,
	p *simulated.Process,
	net host.Net,
	mount func(*http.ServeMux),
	run func(context.Context),
) {
	ctx, stop := context.WithCancel(context.Background())
	h.procs[addr], h.stops[addr] = p, stop
	l, err := net.Listen(addr)
	require.NoError(h.t, err)
	mux := http.NewServeMux()
	mount(mux)
	go rpc.Serve(ctx, l, mux)
	go run(ctx)
}

func (h *history) start(addr string) {
	p := h.world.Machine(addr[:len(addr)-2]).Start()
	machine := p.Host()
	machine.Net = &rateLimitedNet{machine.Net, host.NewChannelMutex(), &h.sent}
	core, err := coordination.New(coordination.Options{
		Addr:  addr,
		Host:  machine,
		Seeds: h.seeds,
		Machine: func() coordination.StateMachine {
			return fleetstate.NewMachine(fleetstate.MachineOptions{WallClock: machine.Clock.Wall})
		},
	})
	require.NoError(h.t, err)
	h.cores[addr] = core
	h.run(addr, p, machine.Net, core.Mount, func(ctx context.Context) { core.Run(ctx) })
}

func (h *history) stop(addr string) {
	h.procs[addr].Kill()
	h.stops[addr]()
	delete(h.cores, addr)
}

func (h *history) close() {
	for _, addr := range append([]string{"10.0.1.1:1"}, h.seeds...) {
		h.procs[addr].Kill()
		h.stops[addr]()
	}
	time.Sleep(30 * time.Second)
}

// leader returns the address of a controller that reports that it is the leader, or an empty string.
func (h *history) leader() string {
	for addr, core := range h.cores {
		if core.Leads() {
			return addr
		}
	}
	return ""
}

// retryUntilDone repeats a call until it succeeds, for 30 s at most.
func (h *history) retryUntilDone(call func(ctx context.Context) error) {
	start := time.Now()
	var err error
	for time.Since(start) < 30*time.Second {
		ctx, stop := context.WithTimeout(context.Background(), 8*time.Second)
		err = call(ctx)
		stop()
		if err == nil {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	require.NoError(h.t, err, "change %d", h.changes)
	h.slowest = max(h.slowest, time.Since(start))
}

// change makes one change to the document, every fifth time to all its routes, and every seventh time
// also evacuates or restores a zone.
func (h *history) change() {
	h.changes++
	op := ids.OpID(fmt.Sprint("op/change-", h.changes))
	text := largeDocument(h.changes/changesPerGeneration, h.changes*131%historyRoutes, h.changes)
	h.retryUntilDone(func(ctx context.Context) error {
		version, err := fleetstate.PutConfiguration(ctx, h.operator.Caller(), h.operator.Directory(), op, h.newest, 0, text)
		if err == nil {
			h.newest = version
		}
		return err
	})
	if h.changes%7 == 0 {
		h.evacuated = !h.evacuated
		h.retryUntilDone(func(ctx context.Context) error {
			return fleetstate.SetEvacuated(
				ctx, h.operator.Caller(), h.operator.Directory(), op+"-zone", "zone-1", h.evacuated,
			)
		})
	}
	for _, addr := range h.seeds {
		h.disk = max(h.disk, h.world.Machine(addr[:len(addr)-2]).StoredBytes())
	}
}

// waitCaughtUp makes changes until the controller at addr is the primary or backup, and returns the time that took.
func (h *history) waitCaughtUp(addr string) time.Duration {
	start := time.Now()
	for {
		record := h.cores[addr].Directory().Record()
		if record.Primary.Addr == addr || record.Backup.Addr == addr {
			return time.Since(start)
		}
		require.Less(h.t, time.Since(start), catchUpBound, "%s has not caught up", addr)
		h.change()
	}
}

// replace stops the backup and restarts it with its disk (kind "restarted") or an empty one ("wiped"), or starts a
// new controller in its place ("new"). Once that controller has caught up, any other leader is stopped during one
// change, so that this controller must take over. It returns the time until the controller had caught up and the
// bytes sent by all controllers meanwhile.
func (h *history) replace(kind string) (took time.Duration, sent int) {
	stopped := h.cores[h.leader()].Directory().Record().Backup.Addr
	h.stop(stopped)
	h.change()
	replacement := stopped
	switch kind {
	case "wiped":
		h.world.Machine(stopped[:len(stopped)-2]).WipeDisk()
	case "new":
		replacement = fmt.Sprintf("10.0.2.%d:1", h.changes%200+1)
		for i := range h.seeds {
			if h.seeds[i] == stopped {
				h.seeds[i] = replacement
			}
		}
	}
	before := h.sent
	h.start(replacement)
	// The controller counts as lost until it has had time to take over its own register again, or that of a
	// controller that is gone.
	for range 4 {
		h.change()
		time.Sleep(time.Second)
	}
	// Stop the controller that has become the backup meanwhile, so that the replacement must take its place.
	other := h.cores[h.leader()].Directory().Record().Backup.Addr
	if other != replacement {
		h.stop(other)
	}
	took, sent = h.waitCaughtUp(replacement), h.sent-before
	if other != replacement {
		h.start(other)
	}
	h.change()
	time.Sleep(2 * time.Second)
	if leader := h.leader(); leader != replacement {
		h.stop(leader)
		h.change()
		h.start(leader)
	}
	for range 3 {
		h.change()
	}
	return took, sent
}

// TestLongHistory checks that, after many changes, a controller that restarts, has lost its disk or is new catches up
// within 10 s while changes continue, and that changes succeed after the previous leader was stopped. The bytes
// stored on each disk must stay below 40 MB of its 64 MB. KEELSTAIR_CHANGES sets the number of changes (default 60).
func TestLongHistory(t *testing.T) {
	skipUnderRace(t)
	changes := 60
	if more, err := strconv.Atoi(os.Getenv("KEELSTAIR_CHANGES")); err == nil {
		changes = more
	}
	synctest.Test(t, func(t *testing.T) {
		h := newHistory(t)
		defer h.close()
		for _, kind := range []string{"restarted", "wiped", "new"} {
			for end := h.changes + changes/3; h.changes < end; {
				h.change()
			}
			took, sent := h.replace(kind)
			snapshot, err := h.procs[h.leader()].Host().Disk.Load("picture")
			require.NoError(t, err)
			t.Logf("snapshot on disk: %d bytes", len(snapshot))
			t.Logf(
				"after %d changes: %s, caught up in %s, %d bytes sent by all controllers meanwhile",
				h.changes,
				kind,
				took,
				sent,
			)
		}
		var memory runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&memory)
		t.Logf(
			"version %d; slowest change %s; most bytes on a disk: %d; heap of the whole test %d MB",
			h.newest,
			h.slowest,
			h.disk,
			memory.HeapAlloc>>20,
		)
		require.Less(t, h.disk, diskBound)
	})
}
