// The fleet of one point: three controllers, processes that hold hollow nodes, and a stand-in
// for the platform's list. Every process is ended by its own id.

package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"keelstair.example/coordination"
	"keelstair.example/failure"
	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/proxy"
	"keelstair.example/internal/workerclient"
	"keelstair.example/platform"
	"keelstair.example/rpc"
)

type proc struct {
	name  string
	addr  string // controllers: where it answers; holders: where they are asked
	nodes int
	lost  bool // to be killed in the middle
	cmd   *exec.Cmd
	in    io.Closer
	gone  chan struct{}
}

type fleet struct {
	size        Size
	bin         string
	dir         string
	host        host.Host
	call        *rpc.Caller
	book        *coordination.Directory
	controllers []*proc
	holders     []*proc
	empty       *proc // holds no node: what the looking costs
	seeds       []string
	list        string
	shut        func()
	version     ids.Version
	turn        int
	next        int
}

var web = &http.Client{Timeout: 20 * time.Second}

func (f *fleet) begin(p *proc, program string, args ...string) (io.ReadCloser, error) {
	log, err := os.OpenFile(filepath.Join(f.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p.cmd = exec.Command(program, args...)
	p.cmd.Stderr = log
	// It ends with this process, however this one ends.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if p.in, err = p.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, in, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	defer in.Close()
	p.cmd.Stdout = in
	if err := p.cmd.Start(); err != nil {
		out.Close()
		return nil, failure.As(err, failure.DataLost, "start process", p.name)
	}
	p.gone = make(chan struct{})
	go func() { p.cmd.Wait(); close(p.gone) }()
	return out, nil
}

// end stops the process and waits for it.
func (p *proc) end() {
	if p.gone == nil {
		return
	}
	select {
	case <-p.gone:
		return
	default:
	}
	p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.gone
}

func (f *fleet) stop() {
	for _, p := range append(append(f.holders, f.controllers...), f.empties()...) {
		p.end()
	}
	if f.call != nil {
		f.call.Close()
	}
	if f.shut != nil {
		f.shut()
	}
}

func (f *fleet) empties() []*proc {
	if f.empty == nil {
		return nil
	}
	return []*proc{f.empty}
}

func free(n int) ([]string, error) {
	var out []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// lists stands in for the platform.
func (f *fleet) lists() error {
	l, err := f.host.Net.Listen("127.0.0.1:0")
	if err != nil {
		return err
	}
	f.list = l.Addr().String()
	mux := http.NewServeMux()
	at := map[ids.Role]string{}
	var ends []func() error
	for _, p := range []ids.Role{ids.Prefill, ids.Decode} {
		if !f.size.Turns {
			break
		}
		idle, err := f.host.Net.Listen("127.0.0.1:0")
		if err != nil {
			return err
		}
		at[p] = idle.Addr().String()
		srv := &http.Server{Handler: platform.Reporter(p), ReadHeaderTimeout: 5 * time.Second}
		ends = append(ends, srv.Close)
		go srv.Serve(idle)
	}
	list := f.size.workers(at)
	h, err := platform.Lister(list)
	if err != nil {
		return err
	}
	swap := &swapped{}
	if f.size.Sort == "router" {
		rows := []workerclient.ListedWorker{}
		for _, w := range list {
			rows = append(rows, workerclient.ListedWorker{ID: w.ID, Addr: w.Addr, Zone: w.Zone})
		}
		body, err := json.Marshal(rows)
		if err != nil {
			return err
		}
		h = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Write(body) })
	}
	swap.now.Store(&h)
	mux.Handle("GET /workers", swap)
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go srv.Serve(l)
	cx, still := context.WithCancel(context.Background())
	go f.churn(cx, swap, list)
	f.shut = func() {
		still()
		srv.Close()
		for _, end := range ends {
			end()
		}
	}
	return nil
}

// swapped is an answer that can be changed.
type swapped struct{ now atomic.Pointer[http.Handler] }

func (s *swapped) ServeHTTP(w http.ResponseWriter, r *http.Request) { (*s.now.Load()).ServeHTTP(w, r) }

// churn lets one worker after the other be marked as leaving, or not any more.
func (f *fleet) churn(ctx context.Context, to *swapped, list []proxy.Worker) {
	for i := 0; f.size.Churn > 0 && host.Sleep(ctx, time.Duration(float64(time.Second)/f.size.Churn)); i++ {
		w := &list[i*7919%len(list)]
		w.Leaving = !w.Leaving
		h, err := platform.Lister(list)
		if err != nil {
			return
		}
		to.now.Store(&h)
	}
}

// hold starts one process with so many nodes.
func (f *fleet) hold(ctx context.Context, nodes int, lost bool) error {
	me, err := os.Executable()
	if err != nil {
		return err
	}
	p := &proc{name: fmt.Sprintf("hold-%d-%d", f.next, nodes), nodes: nodes, lost: lost}
	args := []string{
		"hold", "--sort", f.size.Sort, "--nodes", fmt.Sprint(nodes), "--first", fmt.Sprint(f.next),
		"--list", f.list,
	}
	if f.size.Picks > 0 {
		args = append(args, "--picks", fmt.Sprint(f.size.Workers))
	}
	if f.size.Turns {
		args = append(args, "--turns")
	}
	if f.size.Rate > 0 {
		args = append(args, "--watch")
	}
	f.next += nodes
	out, err := f.begin(p, me, append(append(args, "--seeds"), f.seeds...)...)
	if err != nil {
		return err
	}
	defer out.Close()
	if nodes == 0 {
		f.empty = p
	} else {
		f.holders = append(f.holders, p)
	}
	defer context.AfterFunc(ctx, func() { p.cmd.Process.Signal(syscall.SIGKILL) })()
	row, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		return failure.As(err, failure.DataLost, "hear from process", p.name)
	}
	p.addr = strings.TrimSpace(row)
	return nil
}

// raiseFleet starts all and waits until each node has the configuration, the list and
// all members.
func raiseFleet(ctx context.Context, c *runCmd, dir string, size Size) (*fleet, error) {
	f := &fleet{size: size, bin: c.Bin, dir: dir}
	var err error
	if f.host, err = host.Real(""); err != nil {
		return f, err
	}
	if f.seeds, err = free(cores); err != nil {
		return f, err
	}
	f.call = rpc.NewCaller(f.host.Net)
	f.book = coordination.NewDirectory(f.host, f.call, f.seeds, coordination.Replica{})
	if err := f.lists(); err != nil {
		return f, err
	}
	for i, a := range f.seeds {
		p := &proc{name: fmt.Sprintf("controller-%d", i), addr: a}
		f.controllers = append(f.controllers, p)
		args := append([]string{
			"--addr", a, "--zone", string(halls[2*i]), "--data", filepath.Join(dir, p.name), "--seeds",
		}, f.seeds...)
		out, err := f.begin(p, filepath.Join(c.Bin, "keelstair-controller"), args...)
		if err != nil {
			return f, err
		}
		out.Close()
	}
	if err := f.until(ctx, 15*time.Second, "a core leads", func() (bool, string) {
		f.book.Query(ctx, 3)
		return f.book.Record().Primary.Addr != "", "none does"
	}); err != nil {
		return f, err
	}
	if _, err := f.apply(ctx); err != nil {
		return f, err
	}
	if err := f.hold(ctx, 0, false); err != nil {
		return f, err
	}
	parts := size.split()
	for i, n := range parts {
		if err := f.hold(ctx, n, size.Lost > 0 && sum(parts[:i]) >= size.Nodes-size.Lost); err != nil {
			return f, err
		}
	}
	return f, f.settled(ctx, 60*time.Second, size.Nodes)
}

func sum(list []int) (n int) {
	for _, x := range list {
		n += x
	}
	return n
}

// settled waits until all nodes are in and know what there is.
func (f *fleet) settled(ctx context.Context, duration time.Duration, nodes int) error {
	return f.until(ctx, duration, "all nodes are in", func() (bool, string) {
		// Members are asked for last, since that is a snapshot of each node.
		for _, query := range []string{"", "?members"} {
			in, ready, least, known := 0, 0, f.version, [2]int{nodes, nodes}
			for _, p := range f.holders {
				s, err := f.stand(p, query)
				if err != nil {
					return false, err.Error()
				}
				in, ready, least = in+s.Nodes, ready+s.Ready, min(least, s.Least)
				known[0], known[1] = min(known[0], s.Members[0]), max(known[1], s.Members[1])
			}
			at := fmt.Sprintf(
				"%d of %d nodes run, %d ready, version %d of %d, %d to %d members known",
				in,
				nodes,
				ready,
				least,
				f.version,
				known[0],
				known[1],
			)
			if in != nodes || ready != nodes || least != f.version || query != "" && known != [2]int{nodes, nodes} {
				return false, at
			}
		}
		return true, ""
	})
}

func (f *fleet) until(ctx context.Context, duration time.Duration, what string, done func() (bool, string)) error {
	for end := time.Now().Add(duration); ; {
		ok, at := done()
		if ok {
			return nil
		}
		if time.Now().After(end) {
			return failure.New(failure.Unavailable, "wait until "+what, "fleet", "not after %s: %s", duration, at)
		}
		if !host.Sleep(ctx, 50*time.Millisecond) {
			return ctx.Err()
		}
	}
}

// apply puts the next configuration, and tells when the core had it.
func (f *fleet) apply(ctx context.Context) (time.Duration, error) {
	cx, stop := context.WithTimeout(ctx, 10*time.Second)
	defer stop()
	f.turn++
	body, err := f.size.body(f.turn)
	if err != nil {
		return 0, err
	}
	from := time.Now()
	v, err := fleetstate.Put(
		cx, f.call, f.book, ids.OpID("keelstair-measure/"+coordination.NewID()), f.version, 0, body,
	)
	if err != nil {
		return 0, err
	}
	f.version = v
	return time.Since(from), nil
}

func (f *fleet) get(addr, path string, into any) error {
	r, err := web.Get("http://" + addr + path)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	return json.NewDecoder(r.Body).Decode(into)
}

func (f *fleet) stand(p *proc, query string) (*Stand, error) {
	s := &Stand{}
	return s, f.get(p.addr, "/stand"+query, s)
}
