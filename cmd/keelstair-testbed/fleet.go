// A fleet of real processes: controllers with data directories, routers spread over the zones,
// stand-in workers and a stand-in platform.

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"keelstair.example/ids"
	"keelstair.example/internal/standin"
	"keelstair.example/internal/workerclient"
)

type process struct {
	Name     string   `json:"name"`
	Kind     string   `json:"kind"`
	Zone     ids.Zone `json:"zone"`
	Addr     string   `json:"addr"`
	Frontend string   `json:"door,omitempty"`
	DataDir  string   `json:"data,omitempty"`
	Pid      int      `json:"pid"`

	args   []string
	env    []string // variables beside those of this program
	cmd    *exec.Cmd
	exited chan struct{}
}

type fleet struct {
	opt      *upCmd
	site     standin.Site
	mu       sync.Mutex
	procs    []*process
	seeds    []string
	platform string

	// allowedStarts holds, for each worker without a valid certificate, how many governed steps it may have
	// started: the number that it had started 2 s after the acknowledgement of its certificate's revocation,
	// or 0 if it was never certified.
	allowedStarts map[string]int
}

func (f *fleet) startProcess(p *process) error {
	logFile, err := os.OpenFile(filepath.Join(f.opt.Dir, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer logFile.Close()
	p.cmd = exec.Command(filepath.Join(f.opt.BinDir, "keelstair-"+p.Kind), p.args...)
	p.cmd.Env = append(os.Environ(), p.env...)
	p.cmd.Stdout, p.cmd.Stderr = logFile, logFile
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	p.Pid, p.exited = p.cmd.Process.Pid, make(chan struct{})
	go func(c *exec.Cmd, exited chan struct{}) { c.Wait(); close(exited) }(p.cmd, p.exited)
	return nil
}

// signal sends a signal to the process if it is still running. Only processes that this fleet started
// are signaled.
func (p *process) signal(s syscall.Signal) {
	if p.running() {
		p.cmd.Process.Signal(s)
	}
}

// running reports whether the process is running.
func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// kill sends SIGKILL and waits until the process has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// processes returns the processes of a kind, and those whose name starts with the given prefix.
func (f *fleet) processes(kindOrPrefix string) []*process {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*process
	for _, p := range f.procs {
		if p.Kind == kindOrPrefix || strings.HasPrefix(p.Name, kindOrPrefix) {
			out = append(out, p)
		}
	}
	return out
}

// stop kills all processes, also suspended ones, and waits until they have exited.
func (f *fleet) stop() {
	all := f.processes("")
	for _, p := range all {
		if p.cmd != nil && p.cmd.Process != nil {
			p.signal(syscall.SIGCONT)
			p.signal(syscall.SIGKILL)
		}
	}
	for _, p := range all {
		if p.exited != nil {
			<-p.exited
		}
	}
}

func (f *fleet) frontends() []string {
	var out []string
	for _, p := range f.processes("router") {
		out = append(out, p.Frontend)
	}
	return out
}

func (f *fleet) newController(name, addr string, zone ids.Zone) *process {
	data := filepath.Join(f.opt.Dir, name)
	return &process{
		Name:    name,
		Kind:    "controller",
		Zone:    zone,
		Addr:    addr,
		DataDir: data,
		args:    append([]string{"--addr", addr, "--zone", string(zone), "--data", data, "--seeds"}, f.seeds...),
	}
}

// startFleet starts a fleet with the given number of router nodes, or the site's number if nodes is 0. It also
// returns the fleet with an error, so that the caller can stop the processes that were started.
func startFleet(ctx context.Context, opt *upCmd, nodes int) (*fleet, error) {
	site := standin.Sites[opt.Site]
	if nodes > 0 {
		site.Nodes = nodes
	}
	f := &fleet{opt: opt, site: site, allowedStarts: map[string]int{}}
	if err := os.RemoveAll(opt.Dir); err != nil {
		return f, err
	}
	if err := os.MkdirAll(opt.Dir, 0o755); err != nil {
		return f, err
	}
	workerIDs := site.WorkerIDs()
	addrs, err := freeAddrs(1 + 3 + 2*site.Nodes + len(workerIDs))
	if err != nil {
		return f, err
	}
	nextAddr := func() string { a := addrs[0]; addrs = addrs[1:]; return a }
	f.platform = nextAddr()
	f.planControllers(nextAddr)
	f.planRouters(nextAddr)
	f.planWorkers(nextAddr)
	for _, p := range f.procs {
		if err := f.startProcess(p); err != nil {
			return f, err
		}
	}
	if err := writeJSON(opt.Dir, "keelstair-testbed.json", f.procs); err != nil {
		return f, err
	}
	if err := f.awaitReady(ctx, workerIDs); err != nil || !opt.Regimes {
		return f, err
	}
	return f, f.certify(ctx)
}

// planControllers adds the stand-in platform and three controllers to the processes to start.
func (f *fleet) planControllers(nextAddr func() string) {
	f.procs = append(f.procs, &process{
		Name: "platform",
		Kind: "standin",
		Addr: f.platform,
		args: []string{"platform", "--addr", f.platform},
	})
	f.seeds = []string{nextAddr(), nextAddr(), nextAddr()}
	zones := f.site.Zones
	for i, a := range f.seeds {
		f.procs = append(f.procs, f.newController(fmt.Sprintf("controller-%d", i+1), a, zones[i%len(zones)]))
	}
}

// planRouters adds the site's router nodes to the processes to start.
func (f *fleet) planRouters(nextAddr func() string) {
	site := f.site
	for i := range site.Nodes {
		p := &process{
			Name:     fmt.Sprintf("router-%d", i+1),
			Kind:     "router",
			Zone:     site.Zones[i%len(site.Zones)],
			Addr:     nextAddr(),
			Frontend: nextAddr(),
		}
		p.args = append([]string{
			"--name", p.Name, "--addr", p.Addr, "--door", p.Frontend, "--zone", string(p.Zone), "--platform",
			f.platform, "--seeds",
		}, f.seeds...)
		f.procs = append(f.procs, p)
	}
}

// planWorkers adds the site's stand-in workers to the processes to start.
func (f *fleet) planWorkers(nextAddr func() string) {
	site := f.site
	for i, id := range site.WorkerIDs() {
		w := site.Worker(i)
		p := &process{Name: "worker-" + string(id), Kind: "standin", Zone: w.Zone, Addr: nextAddr()}
		p.args = []string{
			"worker", "--id", string(id), "--addr", p.Addr, "--part", string(w.Role), "--model", w.Model,
			"--weights", w.Weights,
			"--room", fmt.Sprint(w.Capacity), "--block", fmt.Sprint(w.BlockSize),
		}
		f.procs = append(f.procs, p)
	}
}

// awaitReady registers all workers and routers with the platform, applies the site's configuration, and waits
// until every node is ready and the platform reports as many ready nodes.
func (f *fleet) awaitReady(ctx context.Context, workerIDs []ids.WorkerID) error {
	started := time.Now()
	for _, p := range f.processes("worker-") {
		listed := workerclient.ListedWorker{
			ID:   ids.WorkerID(strings.TrimPrefix(p.Name, "worker-")),
			Addr: p.Addr,
			Zone: p.Zone,
		}
		if err := f.retry(ctx, 10*time.Second, func() error {
			return postJSON(f.platform, "/workers", listed, nil)
		}); err != nil {
			return err
		}
	}
	for _, p := range f.processes("router") {
		if err := postJSON(f.platform, "/doors", standin.Node{Addr: p.Frontend, Zone: p.Zone}, nil); err != nil {
			return err
		}
	}
	logf("%d processes run; the %d workers are listed", len(f.procs), len(workerIDs))
	source := f.site.Policy(nil)
	if err := os.WriteFile(filepath.Join(f.opt.Dir, "policy.json"), []byte(source+"\n"), 0o644); err != nil {
		return err
	}
	err := f.retry(ctx, 20*time.Second, func() error {
		return postJSON(f.frontends()[0], "/v1/policy", map[string]any{
			"op":     "keelstair-testbed-first",
			"base":   0,
			"source": source,
		}, nil)
	})
	if err != nil {
		return err
	}
	logf("the configuration is in force, %.1f s after the start", time.Since(started).Seconds())
	for _, frontend := range f.frontends() {
		if err := f.retry(ctx, 20*time.Second, func() error { return get(frontend, "/ready") }); err != nil {
			return err
		}
	}
	if err := f.retry(ctx, 5*time.Second, func() error {
		var ready []string
		r, err := httpClient.Get("http://" + f.platform + "/doors")
		if err = decodeResponse(r, err, &ready); err == nil && len(ready) < len(f.frontends()) {
			err = fmt.Errorf("the platform reports %d ready nodes", len(ready))
		}
		return err
	}); err != nil {
		return err
	}
	logf("all %d nodes are ready, %.1f s after the start", len(f.frontends()), time.Since(started).Seconds())
	return nil
}

// retry calls try every 100 ms until it succeeds, the timeout expires or the context ends. It returns the last
// error.
func (f *fleet) retry(ctx context.Context, timeout time.Duration, try func() error) error {
	deadline := time.Now().Add(timeout)
	for {
		err := try()
		if err == nil || time.Now().After(deadline) || ctx.Err() != nil {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
}

var httpClient = &http.Client{Timeout: 8 * time.Second}

func postJSON(addr, path string, in, out any) error {
	b, err := json.Marshal(in)
	if err != nil {
		return err
	}
	r, err := httpClient.Post("http://"+addr+path, "application/json", bytes.NewReader(b))
	return decodeResponse(r, err, out)
}

func get(addr, path string) error {
	r, err := httpClient.Get("http://" + addr + path)
	return decodeResponse(r, err, nil)
}

func decodeResponse(r *http.Response, err error, out any) error {
	if err != nil {
		return err
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	if r.StatusCode != http.StatusOK {
		return fmt.Errorf("%d %s", r.StatusCode, strings.TrimSpace(string(b)))
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(b, out)
}

func (f *fleet) describe(w io.Writer) {
	fmt.Fprintf(w, "platform   %s\n", f.platform)
	for _, p := range f.procs {
		if p.Kind == "router" || p.Kind == "controller" {
			fmt.Fprintf(w, "%-10s %s pid %d zone %s frontend %s\n", p.Name, p.Addr, p.Pid, p.Zone, p.Frontend)
		}
	}
	fmt.Fprintf(w, "\nexport KEELSTAIR_DOORS=%s\n", strings.Join(f.frontends(), ","))
}
