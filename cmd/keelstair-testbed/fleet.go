// A fleet of real processes: controllers with data folders, routers over the zones,
// stand-in workers and a platform.

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

type proc struct {
	Name string   `json:"name"`
	Kind string   `json:"kind"`
	Zone ids.Zone `json:"zone"`
	Addr string   `json:"addr"`
	Door string   `json:"door,omitempty"`
	Data string   `json:"data,omitempty"`
	Pid  int      `json:"pid"`

	args []string
	cmd  *exec.Cmd
	gone chan struct{}
}

type fleet struct {
	opt      *upCmd
	site     standin.Site
	mu       sync.Mutex
	procs    []*proc
	seeds    []string
	platform string
	revoked  map[string]int // workers without a certificate, with what they had begun by then
}

func (f *fleet) begin(p *proc) error {
	log, err := os.OpenFile(filepath.Join(f.opt.Dir, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	p.cmd = exec.Command(filepath.Join(f.opt.Bin, "keelstair-"+p.Kind), p.args...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	p.Pid, p.gone = p.cmd.Process.Pid, make(chan struct{})
	go func(c *exec.Cmd, gone chan struct{}) { c.Wait(); close(gone) }(p.cmd, p.gone)
	return nil
}

// signal reaches only a process that this fleet started and that still runs.
func (p *proc) signal(s syscall.Signal) {
	if p.up() {
		p.cmd.Process.Signal(s)
	}
}

// up tells whether it runs.
func (p *proc) up() bool {
	select {
	case <-p.gone:
		return false
	default:
		return true
	}
}

func (p *proc) kill() {
	p.signal(syscall.SIGKILL)
	<-p.gone
}

func (f *fleet) of(kind string) []*proc {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*proc
	for _, p := range f.procs {
		if p.Kind == kind || strings.HasPrefix(p.Name, kind) {
			out = append(out, p)
		}
	}
	return out
}

func (f *fleet) stop() {
	for _, p := range f.procs {
		if p.cmd != nil && p.cmd.Process != nil {
			p.signal(syscall.SIGCONT)
			p.signal(syscall.SIGKILL)
		}
	}
	for _, p := range f.procs {
		if p.gone != nil {
			<-p.gone
		}
	}
}

func (f *fleet) doors() []string {
	var out []string
	for _, p := range f.of("router") {
		out = append(out, p.Door)
	}
	return out
}

func (f *fleet) controller(name, addr string, zone ids.Zone) *proc {
	data := filepath.Join(f.opt.Dir, name)
	return &proc{
		Name: name,
		Kind: "controller",
		Zone: zone,
		Addr: addr,
		Data: data,
		args: append([]string{"--addr", addr, "--zone", string(zone), "--data", data, "--seeds"}, f.seeds...),
	}
}

// start starts a fleet with so many router nodes; 0 is as many as the site has.
func start(ctx context.Context, opt *upCmd, nodes int) (*fleet, error) {
	site := standin.Sites[opt.Site]
	if nodes > 0 {
		site.Nodes = nodes
	}
	f := &fleet{opt: opt, site: site, revoked: map[string]int{}}
	if err := os.RemoveAll(opt.Dir); err != nil {
		return f, err
	}
	if err := os.MkdirAll(opt.Dir, 0o755); err != nil {
		return f, err
	}
	names := site.WorkerIDs()
	free, err := ports(1 + 3 + 2*site.Nodes + len(names))
	if err != nil {
		return f, err
	}
	next := func() string { a := free[0]; free = free[1:]; return a }
	f.platform = next()
	f.planControllers(next)
	f.planRouters(next)
	f.planWorkers(next)
	for _, p := range f.procs {
		if err := f.begin(p); err != nil {
			return f, err
		}
	}
	if err := save(opt.Dir, "keelstair-testbed.json", f.procs); err != nil {
		return f, err
	}
	if err := f.awaitReady(ctx, names); err != nil || !opt.Regimes {
		return f, err
	}
	return f, f.certify(ctx)
}

// planControllers describes the stand-in of the platform and three controllers.
func (f *fleet) planControllers(next func() string) {
	f.procs = append(f.procs, &proc{
		Name: "platform",
		Kind: "standin",
		Addr: f.platform,
		args: []string{"platform", "--addr", f.platform},
	})
	f.seeds = []string{next(), next(), next()}
	zones := f.site.Zones
	for i, a := range f.seeds {
		f.procs = append(f.procs, f.controller(fmt.Sprintf("controller-%d", i+1), a, zones[i%len(zones)]))
	}
}

// planRouters describes the site's router nodes.
func (f *fleet) planRouters(next func() string) {
	site := f.site
	for i := range site.Nodes {
		p := &proc{
			Name: fmt.Sprintf("router-%d", i+1),
			Kind: "router",
			Zone: site.Zones[i%len(site.Zones)],
			Addr: next(),
			Door: next(),
		}
		p.args = append([]string{
			"--name", p.Name, "--addr", p.Addr, "--door", p.Door, "--zone", string(p.Zone), "--platform",
			f.platform, "--seeds",
		}, f.seeds...)
		f.procs = append(f.procs, p)
	}
}

// planWorkers describes the site's stand-in workers.
func (f *fleet) planWorkers(next func() string) {
	site := f.site
	for i, id := range site.WorkerIDs() {
		w := site.Worker(i)
		p := &proc{Name: "worker-" + string(id), Kind: "standin", Zone: w.Zone, Addr: next()}
		p.args = []string{
			"worker", "--id", string(id), "--addr", p.Addr, "--part", string(w.Role), "--model", w.Model,
			"--weights", w.Weights,
			"--room", fmt.Sprint(w.Capacity), "--block", fmt.Sprint(w.BlockSize),
		}
		f.procs = append(f.procs, p)
	}
}

// awaitReady lists all at the platform, applies the configuration, and waits until
// every node is ready.
func (f *fleet) awaitReady(ctx context.Context, names []ids.WorkerID) error {
	begun := time.Now()
	for _, p := range f.of("worker-") {
		l := workerclient.ListedWorker{
			ID:   ids.WorkerID(strings.TrimPrefix(p.Name, "worker-")),
			Addr: p.Addr,
			Zone: p.Zone,
		}
		if err := f.until(ctx, 10*time.Second, func() error {
			return post(f.platform, "/workers", l, nil)
		}); err != nil {
			return err
		}
	}
	for _, p := range f.of("router") {
		if err := post(f.platform, "/doors", standin.Node{Addr: p.Door, Zone: p.Zone}, nil); err != nil {
			return err
		}
	}
	logf("%d processes run; the %d workers are listed", len(f.procs), len(names))
	text := f.site.Policy(nil)
	if err := os.WriteFile(filepath.Join(f.opt.Dir, "policy.json"), []byte(text+"\n"), 0o644); err != nil {
		return err
	}
	err := f.until(ctx, 20*time.Second, func() error {
		return post(f.doors()[0], "/v1/policy", map[string]any{
			"op":     "keelstair-testbed-first",
			"base":   0,
			"source": text,
		}, nil)
	})
	if err != nil {
		return err
	}
	logf("the configuration is in force, %.1f s after the start", time.Since(begun).Seconds())
	for _, d := range f.doors() {
		if err := f.until(ctx, 20*time.Second, func() error { return get(d, "/ready") }); err != nil {
			return err
		}
	}
	if err := f.until(ctx, 5*time.Second, func() error {
		var list []string
		r, err := web.Get("http://" + f.platform + "/doors")
		if err = read(r, err, &list); err == nil && len(list) < len(f.doors()) {
			err = fmt.Errorf("the platform finds %d doors ready", len(list))
		}
		return err
	}); err != nil {
		return err
	}
	logf("all %d nodes are ready, %.1f s after the start", len(f.doors()), time.Since(begun).Seconds())
	return nil
}

func (f *fleet) until(ctx context.Context, duration time.Duration, try func() error) error {
	end := time.Now().Add(duration)
	for {
		err := try()
		if err == nil || time.Now().After(end) || ctx.Err() != nil {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
}

var web = &http.Client{Timeout: 8 * time.Second}

func post(addr, path string, in, out any) error {
	b, err := json.Marshal(in)
	if err != nil {
		return err
	}
	r, err := web.Post("http://"+addr+path, "application/json", bytes.NewReader(b))
	return read(r, err, out)
}

func get(addr, path string) error {
	r, err := web.Get("http://" + addr + path)
	return read(r, err, nil)
}

func read(r *http.Response, err error, out any) error {
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
			fmt.Fprintf(w, "%-10s %s pid %d zone %s door %s\n", p.Name, p.Addr, p.Pid, p.Zone, p.Door)
		}
	}
	fmt.Fprintf(w, "\nexport KEELSTAIR_DOORS=%s\n", strings.Join(f.doors(), ","))
}
