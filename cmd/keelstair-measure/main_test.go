// The scale run's own tests: fits, sizes that are refused, counting, the page, and a tiny
// fleet of real processes that is measured, interrupted and killed.

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/failure"
	"keelstair.example/host"
	"keelstair.example/rpc"
)

// TestMain lets the test's own program stand in for keelstair-measure.
func TestMain(m *testing.M) {
	if os.Getenv("GAUGE_MAIN") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func TestFit(t *testing.T) {
	xs := []float64{8, 16, 32, 64, 128}
	make := func(f func(float64) float64) Fit {
		var ys []float64
		for _, x := range xs {
			ys = append(ys, f(x))
		}
		return fit(xs, ys)
	}
	f := make(func(x float64) float64 { return 3 + 2*x })
	require.Equal(t, linear, f.Shape)
	require.InDelta(t, 1303, f.At(650), 1e-6)
	require.InDelta(t, 98.5, f.Crosses(200, 1e7), 1e-3)
	f = make(func(x float64) float64 { return 5 + x + 0.5*x*x })
	require.Equal(t, quadratic, f.Shape)
	require.InDelta(t, 5+650+0.5*650*650, f.At(650), 1e-3)
	f = make(func(x float64) float64 { return 7 + math.Mod(x, 3)/10 })
	require.Equal(t, constant, f.Shape)
	require.InDelta(t, 7.1, f.At(650), 0.2)
	require.Zero(t, f.Slope())
	require.Zero(t, f.Crosses(100, 1e7), "a constant reaches no bound above it")
	f = make(func(x float64) float64 { return 100 * (1 - math.Exp(-x/16)) })
	require.Equal(t, flattens, f.Shape)
	require.Less(t, f.At(650), 150.0)
	require.GreaterOrEqual(t, f.At(650), 99.0)
	require.InDelta(t, f.Ys[1], f.At(16), 1e-9, "within the points they are joined")
	require.Equal(t, 8.0, f.Crosses(1, 1e7), "what is over a bound at the first point is told as that point")
	f = make(func(x float64) float64 { return 100 * math.Mod(x*x/8, 7) })
	require.Equal(t, unclear, f.Shape)
	require.True(t, math.IsNaN((&Fit{}).At(650)), "what was not run is told as such")
	require.Equal(t, "not run", num((&Fit{}).At(650)))
}

func TestSizesRefused(t *testing.T) {
	m := machine{Cores: 8, Memory: 24 << 30}
	for _, s := range spots(nil) {
		require.NoError(t, s.Size.check(m), "%s %v", s.Sweep, s.X)
		require.Equal(t, s.Size.Nodes, sum(s.Size.split()))
		require.Equal(t, 1, s.Size.split()[0])
	}
	many := usual
	many.Nodes = 5000
	err := many.check(m)
	require.True(t, failure.Is(err, failure.InvalidArgument))
	require.ErrorContains(t, err, "5000 nodes take 162 processes, over 100")
	wide := usual
	wide.Workers = 2_000_000
	err = wide.check(m)
	require.ErrorContains(t, err, "half of this machine's memory is 12288 MB")
	require.ErrorContains(t, err, fmt.Sprintf("%d MB;", wide.memory()>>20))
	small := usual
	require.Error(t, small.check(machine{Memory: 64 << 20}), "a machine of 64 MB bears none of it")
	for _, bad := range []Size{{}, {Nodes: -1, Routes: 1}, {Nodes: 4, Routes: 1, Lost: 4}, {Nodes: 1, Routes: 0}} {
		require.Error(t, bad.check(m), "%+v", bad)
	}
	_, err = choose([]string{"weather"}, 0)
	require.ErrorContains(t, err, `no sweep "weather"; there are nodes, `)
	all, err := choose(nil, 0)
	require.NoError(t, err)
	with, err := choose(nil, 0, "nodes=400")
	require.NoError(t, err)
	require.Len(t, with, len(all)+1)
	for _, at := range []string{"nodes", "nodes=many", "nodes=-1", "nodes=NaN", "weather=3"} {
		_, err = choose(nil, 0, at)
		require.True(t, failure.Is(err, failure.InvalidArgument), at)
	}
}

func TestMeter(t *testing.T) {
	host, err := host.Real("")
	require.NoError(t, err)
	served, err := host.Net.Listen("127.0.0.1:0")
	require.NoError(t, err)
	at := served.Addr().String()
	near, far := newMeter(host.Net, []string{at}), newMeter(host.Net, nil)
	served.Close()
	l, err := far.Listen(at)
	require.NoError(t, err)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /echo", func(w http.ResponseWriter, r *http.Request) {
		got, _ := io.ReadAll(r.Body)
		w.Write(got)
	})
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go rpc.Serve(ctx, l, mux)
	web := rpc.NewHTTPClient(near)
	body := strings.Repeat("x", 100_000)
	for range 20 {
		r, err := web.Post("http://"+at+"/echo", "text/plain", strings.NewReader(body))
		require.NoError(t, err)
		got, err := io.ReadAll(r.Body)
		require.NoError(t, err)
		require.Len(t, got, len(body))
		r.Body.Close()
	}
	web.CloseIdleConnections()
	// A side counts what it wrote after the write has returned, when the other may have it.
	var a, b Flow
	require.Eventually(t, func() bool {
		a, b = near.Flows()["echo@"+at], far.Flows()["echo"]
		return a.Out == b.In && a.In == b.Out
	}, 5*time.Second, time.Millisecond, "what one side sent the other received")
	require.EqualValues(t, 20, a.Asked)
	require.EqualValues(t, 20, b.Served)
	require.Greater(t, a.Out, int64(20*len(body)))
	require.Greater(t, a.In, int64(20*len(body)))
	require.Less(t, a.Out, int64(20*len(body)+20*1000))
	require.Equal(t, a.Out, b.In)
	require.Equal(t, a.In, b.Out)
}

// TestBetween: what a node costs is told without the process of the one that asks for the
// list, and what that one costs is what its process has over plain nodes.
func TestBetween(t *testing.T) {
	now := time.Now()
	core, empty := &proc{addr: "c"}, &proc{}
	one, three, asks := &proc{nodes: 1}, &proc{nodes: 3}, &proc{nodes: 2}
	stand := func(renews, workers int64) *Stand {
		return &Stand{
			Flows: map[string]Flow{
				"crux/renew@c": {Asked: renews, In: 100 * renews, Out: 300 * renews},
				"workers":      {Asked: workers, In: 1000 * workers},
			},
			Heap: 3 << 20,
		}
	}
	look := func(at time.Time, cpu time.Duration, rss int64) Use { return Use{At: at, CPU: cpu, Rss: rss << 20} }
	later := now.Add(10 * time.Second)
	a := &glance{
		at: now,
		use: map[*proc]Use{
			core:  look(now, 0, 40),
			empty: look(now, 0, 17),
			one:   look(now, 0, 25),
			three: look(now, 0, 30),
			asks:  look(now, 0, 30),
		},
		stands: map[*proc]*Stand{one: stand(0, 0), three: stand(0, 0), asks: stand(0, 0)},
	}
	b := &glance{
		at: later,
		use: map[*proc]Use{
			core:  look(later, time.Second, 50),
			empty: look(later, 100*time.Millisecond, 17),
			one:   look(later, 200*time.Millisecond, 26),
			three: look(later, 400*time.Millisecond, 30),
			asks:  look(later, 700*time.Millisecond, 30),
		},
		stands: map[*proc]*Stand{one: stand(20, 0), three: stand(60, 0), asks: stand(40, 10)},
	}
	pt := &Point{}
	pt.between(a, b, []*proc{core}, []*proc{asks, one, three}, empty)
	require.InDelta(t, 10, pt.Cores[0].CPU, 1e-9)
	require.InDelta(t, 12, pt.Cores[0].Served, 1e-9, "the core's requests are the sum of the nodes'")
	require.InDelta(t, 3600, pt.Cores[0].Flows["crux/renew"].In, 1e-9)
	require.InDelta(t, 1, pt.Plain.CPU, 1e-9, "an empty process's time is taken off")
	require.InDelta(t, 2, pt.Plain.Asked, 1e-9)
	require.InDelta(t, 800, pt.Plain.In+pt.Plain.Out, 1e-9)
	require.InDelta(t, 5, pt.Lister.CPU, 1e-9)
	require.InDelta(t, 1000, pt.Lister.Flows["workers"].In, 1e-9)
	require.InDelta(t, 2, pt.Lister.Flows["crux/renew"].Asked, 1e-9)
	require.InDelta(t, 26, pt.Alone.Rss, 1e-9)
}

func TestPage(t *testing.T) {
	b := &Results{
		Command: "c",
		Machine: machine{Cores: 8, Memory: 24 << 30},
		Points:  []Point{{Sweep: "nodes", X: 8, Commit: "abc"}},
	}
	text := "before\n"
	for name := range b.tables() {
		text += "<!-- measure:" + name + " -->what stood before<!-- /measure:" + name + " -->\n"
	}
	out, err := fill(text+"after\n", b.tables())
	require.NoError(t, err)
	require.True(t, strings.HasPrefix(out, "before\n") && strings.HasSuffix(out, "after\n"))
	require.NotContains(t, out, "what stood before")
	require.Contains(t, b.pointTables(), "Not run.", "a sweep that was not run is named so")
	again, err := fill(out, b.tables())
	require.NoError(t, err)
	require.Equal(t, out, again)
	_, err = fill("no marks", b.tables())
	require.ErrorContains(t, err, "the marks")
	page := filepath.Join(t.TempDir(), "p.md")
	require.NoError(t, os.WriteFile(page, []byte(text), 0o644))
	require.NoError(t, b.save(page+".json"))
	require.NoError(t, render(page+".json", page))
	side, err := os.ReadFile(strings.TrimSuffix(page, ".md") + "-points.md")
	require.NoError(t, err)
	require.Contains(t, string(side), "Not run.")
	b.put(Point{Sweep: "nodes", X: 8, Commit: "def"})
	require.Len(t, b.Points, 1)
	require.Equal(t, "def", b.Points[0].Commit)
}

// TestEveryLine: each of the target's lines has a row, also before anything is run.
func TestEveryLine(t *testing.T) {
	table := (&Results{}).lineTable()
	for _, line := range []string{
		"650 nodes", "12,000 workers", "24,000 accelerators", "24,000 requests", "4.9 million tokens",
		"0.74 s", "64 ms", "32 %", "half in a day",
		"5,700 GB", "330 tenants", "17 models", "3 regions with 7 zones",
		"12,000 changes", "6 s", "1.5 %", "32 MB", "4 kB", "24 machines", "77 machines", "2,300", "rack or switch",
		"a zone", "regions lose each other",
	} {
		require.Contains(t, table, line)
	}
}

// controller builds the control plane's program for a run.
func controller(t *testing.T) string {
	dir := t.TempDir()
	out, err := exec.Command("go", "build", "-o", dir, "keelstair.example/cmd/keelstair-controller").CombinedOutput()
	require.NoError(t, err, "%s", out)
	return dir
}

func TestTinyRun(t *testing.T) {
	bin := controller(t)
	t.Setenv("GAUGE_MAIN", "1")
	// Children end with the thread that started them.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	spot := Spot{"tiny", 4, Size{Sort: "relay", Nodes: 4, Workers: 12, Routes: 10, Rate: 2, Churn: 2}}
	pt, err := measure(t.Context(), &runCmd{Bin: bin, Seconds: 3}, t.TempDir(), spot)
	require.NoError(t, err)
	require.Zero(t, pt.Missed)
	require.Equal(t, 6, pt.Ack.Count)
	require.Equal(t, 24, pt.Force.Count, "each change came in force at each node")
	require.Less(t, pt.Last.Worst, 6000.0)
	for _, name := range []string{"crux/news", "crux/renew"} {
		require.Greater(t, pt.Node.Flows[name].Asked, 0.5, name)
		require.Greater(t, pt.Cores[0].Flows[name].Served, 2.0, name)
	}
	require.Greater(t, pt.Node.Flows["workers"].In+pt.Node.Flows["relay/list"].In, 0.0, "the list is asked for")
	require.Greater(t, pt.Cores[0].Rss, 1.0)
	require.Greater(t, pt.Alone.Sockets, 1.0)
	_, err = json.Marshal(pt)
	require.NoError(t, err)
	require.NotEmpty(t, pt.row())
}

// children lists the processes that one started.
func children(pid int) (out []int) {
	dirs, _ := filepath.Glob("/proc/[0-9]*/stat")
	for _, d := range dirs {
		b, err := os.ReadFile(d)
		if err != nil {
			continue
		}
		var id, parent int
		var state string
		fmt.Sscan(string(b), &id)
		fmt.Sscan(string(b[strings.LastIndexByte(string(b), ')')+1:]), &state, &parent)
		if parent == pid {
			out = append(out, id)
		}
	}
	return out
}

// TestInterrupt: a run that is told to stop, or is killed outright, leaves nothing behind.
func TestInterrupt(t *testing.T) {
	bin := controller(t)
	me, err := os.Executable()
	require.NoError(t, err)
	for _, sig := range []syscall.Signal{syscall.SIGINT, syscall.SIGTERM, syscall.SIGKILL} {
		cmd := exec.Command(
			me,
			"run",
			"--only",
			"nodes",
			"--most",
			"8",
			"--seconds",
			"60",
			"--bin",
			bin,
			"--dir",
			t.TempDir(),
			"--json",
			filepath.Join(t.TempDir(), "out.json"),
		)
		cmd.Env = append(os.Environ(), "GAUGE_MAIN=1")
		require.NoError(t, cmd.Start())
		var kids []int
		require.Eventually(t, func() bool {
			kids = children(cmd.Process.Pid)
			return len(kids) == 9
		}, 30*time.Second, 50*time.Millisecond, "three controllers, an empty process and five with nodes")
		require.NoError(t, cmd.Process.Signal(sig))
		require.Error(t, cmd.Wait(), "%s: it does not look like a run that ended well", sig)
		require.Eventually(t, func() bool {
			for _, id := range kids {
				if syscall.Kill(id, 0) == nil {
					return false
				}
			}
			return true
		}, 5*time.Second, 20*time.Millisecond, "%s", sig)
	}
}

// TestHoldEndsWithInput: a process of nodes ends when whoever started it is gone.
func TestHoldEndsWithInput(t *testing.T) {
	me, err := os.Executable()
	require.NoError(t, err)
	cmd := exec.Command(
		me,
		"hold",
		"--nodes",
		"2",
		"--seeds",
		"127.0.0.1:1",
		"127.0.0.1:2",
		"127.0.0.1:3",
		"--list",
		"127.0.0.1:4",
	)
	cmd.Env = append(os.Environ(), "GAUGE_MAIN=1")
	in, err := cmd.StdinPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	time.Sleep(300 * time.Millisecond)
	require.NoError(t, in.Close())
	done := make(chan error, 1)
	go func() { done <- cmd.Wait() }()
	select {
	case err := <-done:
		require.NoError(t, err)
	case <-time.After(10 * time.Second):
		cmd.Process.Kill()
		t.Fatal("it goes on")
	}
}

var _ net.Listener = (*ear)(nil)
