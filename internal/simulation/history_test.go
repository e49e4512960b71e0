// Long histories: thousands of changes of a large document with evacuations between
// them, while members of the core restart, come back with empty disks, or are new.
// Every change is made over the newest acknowledged version, so one that is refused
// shows a leader that lacks acknowledged state.

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
	linkRate      = 10_000_000 / 8 // bytes a second of each machine's link
	diskBound     = 40_000_000     // bytes that a member's disk holds at most; the disk has 64 MB
	catchUpBound  = 10 * time.Second
	historyRoutes = 1400

	changesPerGeneration = 5
)

// ratedNet is a network whose machine sends at a limited rate, and counts.
type ratedNet struct {
	host.Net
	mu   host.ChannelMutex
	sent *int
}

func (n *ratedNet) Dial(ctx context.Context, addr string) (net.Conn, error) {
	conn, err := n.Net.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return &ratedConn{conn, n}, nil
}

func (n *ratedNet) Listen(addr string) (net.Listener, error) {
	l, err := n.Net.Listen(addr)
	if err != nil {
		return nil, err
	}
	return &ratedListener{l, n}, nil
}

type ratedListener struct {
	net.Listener
	net *ratedNet
}

func (l *ratedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &ratedConn{conn, l.net}, nil
}

type ratedConn struct {
	net.Conn
	net *ratedNet
}

func (c *ratedConn) Write(b []byte) (int, error) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	*c.net.sent += len(b)
	time.Sleep(time.Duration(len(b)) * time.Second / linkRate)
	return c.Conn.Write(b)
}

// largeDocument has many routes of about 290 bytes. All differ from one generation to
// the next, so that this change goes as a whole text; others change one route.
func largeDocument(generation, changed, mark int) []byte {
	var b strings.Builder
	b.WriteString(`{"routes":[`)
	for i := range historyRoutes {
		if i > 0 {
			b.WriteByte(',')
		}
		h := uint32(i+1) * 2654435761
		deadline := 2000 + int(h%9)*500 + generation
		if i == changed {
			deadline = 100_000 + mark
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

// noopWatcher is a follower that wants the numbers only.
type noopWatcher struct{}

func (noopWatcher) Restore([]byte) error                 { return nil }
func (noopWatcher) Observe(ids.Seq, string, []byte) bool { return false }
func (noopWatcher) Snapshot() []byte                     { return nil }

// history is a core with its operator.
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
	sent      int // bytes that members sent
	disk      int // bytes that a disk held at most
	changes   int
	slowest   time.Duration
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
	machine.Net = &ratedNet{machine.Net, host.NewChannelMutex(), &h.sent}
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

// leader is the address of the member that leads, or empty.
func (h *history) leader() string {
	for addr, core := range h.cores {
		if core.Leads() {
			return addr
		}
	}
	return ""
}

// retryUntilDone asks until there is a clear answer, for half a minute at most.
func (h *history) retryUntilDone(ask func(ctx context.Context) error) {
	start := time.Now()
	var err error
	for time.Since(start) < 30*time.Second {
		ctx, stop := context.WithTimeout(context.Background(), 8*time.Second)
		err = ask(ctx)
		stop()
		if err == nil {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	require.NoError(h.t, err, "change %d", h.changes)
	h.slowest = max(h.slowest, time.Since(start))
}

// change makes one change of the document, every fifth of all of it, and every seventh time one of a zone.
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

// waitCaughtUp gives the time until a member leads or is the backup, while changes go on.
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

// replace stops the backup and has it come back, with its disk or without; or one that
// is new comes in its place. The remaining member then stops, so that the one that
// caught up must lead.
func (h *history) replace(kind string) (took time.Duration, sent int) {
	out := h.cores[h.leader()].Directory().Record().Backup.Addr
	h.stop(out)
	h.change()
	in := out
	switch kind {
	case "wiped":
		h.world.Machine(out[:len(out)-2]).WipeDisk()
	case "new":
		in = fmt.Sprintf("10.0.2.%d:1", h.changes%200+1)
		for i := range h.seeds {
			if h.seeds[i] == out {
				h.seeds[i] = in
			}
		}
	}
	before := h.sent
	h.start(in)
	// It counts as lost until it has had time to take its register back, or one of a
	// member that is gone.
	for range 4 {
		h.change()
		time.Sleep(time.Second)
	}
	// The one that became the backup meanwhile goes, so that this one must take its place.
	other := h.cores[h.leader()].Directory().Record().Backup.Addr
	if other != in {
		h.stop(other)
	}
	took, sent = h.waitCaughtUp(in), h.sent-before
	if other != in {
		h.start(other)
	}
	h.change()
	time.Sleep(2 * time.Second)
	if first := h.leader(); first != in {
		h.stop(first)
		h.change()
		h.start(first)
	}
	for range 3 {
		h.change()
	}
	return took, sent
}

// TestLongHistory: after however many changes a member that restarts, lost its disk or
// is new catches up in bounded time while changes go on, and leads with all that was
// acknowledged. Its disk stays far below 64 MB. KEELSTAIR_CHANGES sets how many.
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
				"after %d changes: %s, caught up in %s, %d bytes sent by all members meanwhile",
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
			"version %d; slowest answer %s; a disk held %d bytes at most; heap of all %d MB",
			h.newest,
			h.slowest,
			h.disk,
			memory.HeapAlloc>>20,
		)
		require.Less(t, h.disk, diskBound)
	})
}
