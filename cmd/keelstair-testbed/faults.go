// What a run can do to its fleet of real processes.

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"keelstair.example/coordination"
	"keelstair.example/host"
	"keelstair.example/internal/api"
	"keelstair.example/internal/cli"
	"keelstair.example/internal/standin"
)

// change applies a part over what is in force, as keelstairctl does, and tells how long it
// took until it was in force.
func (f *fleet) change(ctx context.Context, name, part string) error {
	var sh api.ActivePolicy
	if err := cli.Ask(f.doors(), http.MethodGet, "/v1/policy", nil, &sh); err != nil {
		return err
	}
	begun := time.Now()
	var got api.ApplyResponse
	a := api.ApplyRequest{Op: coordination.NewID(), BaseVersion: sh.Newest, Partial: true, Name: name, Source: part}
	if err := cli.Ask(f.doors(), http.MethodPost, "/v1/policy", a, &got); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	logf("%s: version %d, in force %v after %.2f s", name, got.Version, got.Active, time.Since(begun).Seconds())
	return nil
}

// expect looks at every node for a limit that was acknowledged.
func (f *fleet) expect(what string, want int) {
	if err := f.lagging(what, want); err != nil {
		logf("LOST: %v", err)
		return
	}
	logf("every node has %s %d", what, want)
}

// lagging gives the first node that lacks a limit that was acknowledged, as an error.
func (f *fleet) lagging(what string, want int) error {
	for _, p := range f.of("router") {
		var sh api.ActivePolicy
		var v struct{ Limits struct{ RetryAfterMs int } }
		err := cli.Ask([]string{p.Door}, http.MethodGet, "/v1/policy", nil, &sh)
		if err == nil {
			err = json.Unmarshal(sh.Policy, &v)
		}
		if err != nil || v.Limits.RetryAfterMs != want {
			return fmt.Errorf("at %s %s is %d, %d was acknowledged (%v)", p.Name, what, v.Limits.RetryAfterMs, want, err)
		}
	}
	return nil
}

// race lets two operators change one version at once, several times: one must win.
func (f *fleet) race(ctx context.Context) {
	for n := range 6 {
		var wg sync.WaitGroup
		var mu sync.Mutex
		won := 0
		for k := range 2 {
			wg.Go(func() {
				err := f.change(
					ctx,
					fmt.Sprintf("race %d, operator %d", n, k),
					fmt.Sprintf(`{"limits":{"retryAfterMs":%d}}`, 2000+10*n+k),
				)
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					won++
				}
			})
		}
		wg.Wait()
		logf("round %d: %d won", n, won)
		if !host.Sleep(ctx, 500*time.Millisecond) {
			return
		}
	}
}

// empty evacuates a zone, counts what its workers still begin, and takes it back.
func (f *fleet) empty(ctx context.Context) {
	z := f.site.Zones[1]
	path := "/v1/zones/" + string(z)
	begun := time.Now()
	if err := cli.Ask(f.doors(), http.MethodPost, path, api.MarkRequest{
		Op:  coordination.NewID(),
		Out: true,
	}, nil); err != nil {
		logf("%v", err)
	}
	reads := func() (n int) {
		for _, p := range f.of("worker-") {
			var book map[string]standin.RequestCounts
			r, err := web.Get("http://" + p.Addr + "/tally")
			if p.Zone == z && read(r, err, &book) == nil {
				for _, t := range book {
					n += t.Prefills + t.Runs
				}
			}
		}
		return n
	}
	last, at := reads(), time.Since(begun)
	for time.Since(begun) < 6*time.Second && host.Sleep(ctx, 100*time.Millisecond) {
		if n := reads(); n > last {
			last, at = n, time.Since(begun)
		}
	}
	logf("the zone's workers last began something %.2f s after the asking", at.Seconds())
	if err := cli.Ask(f.doors(), http.MethodPost, path, api.MarkRequest{Op: coordination.NewID()}, nil); err != nil {
		logf("%v", err)
	}
}

// roll replaces each controller by an empty one at a new address, and looks for what was
// acknowledged before.
func (f *fleet) roll(ctx context.Context) {
	for i, previous := range f.of("controller") {
		want := 1300 + i
		if err := f.change(
			ctx, fmt.Sprint("roll ", i), fmt.Sprintf(`{"limits":{"retryAfterMs":%d}}`, want),
		); err != nil {
			logf("%v", err)
		}
		previous.kill()
		os.RemoveAll(previous.Data)
		free, err := ports(1)
		if err != nil {
			logf("%v", err)
			return
		}
		p := f.controller(fmt.Sprintf("controller-new-%d", i), free[0], previous.Zone)
		if err := f.begin(p); err != nil {
			logf("%v", err)
			return
		}
		f.mu.Lock()
		f.procs = append(f.procs, p)
		f.mu.Unlock()
		if !host.Sleep(ctx, 8*time.Second) {
			return
		}
		f.expect("limits.retryAfterMs", want)
	}
}

// injectFault breaks the fleet once, as asked.
func (f *fleet) injectFault(ctx context.Context, how string) {
	lead := f.leadingController()
	logf("breaking: %s", how)
	back := func(p *proc, wait time.Duration) {
		if host.Sleep(ctx, wait) {
			if err := f.begin(p); err != nil {
				logf("%v", err)
			}
		}
	}
	switch how {
	case "controller":
		lead.kill()
		back(lead, 5*time.Second)
	case "wipe":
		lead.kill()
		os.RemoveAll(lead.Data)
		back(lead, 2*time.Second)
	case "core":
		for _, p := range f.of("controller") {
			p.kill()
		}
		for _, p := range f.of("controller") {
			back(p, 300*time.Millisecond)
		}
	case "router":
		f.of("router")[0].kill()
	case "worker":
		f.of("worker-d")[0].kill()
	case "freeze":
		lead.signal(syscall.SIGSTOP)
		v := f.of("router")[0]
		v.signal(syscall.SIGSTOP)
		host.Sleep(ctx, 6*time.Second)
		lead.signal(syscall.SIGCONT)
		v.signal(syscall.SIGCONT)
	case "ack":
		// Killed right after it acknowledged a change, and wiped.
		if err := f.change(ctx, "ack", `{"limits":{"retryAfterMs":1234}}`); err != nil {
			logf("%v", err)
		}
		lead.kill()
		os.RemoveAll(lead.Data)
		host.Sleep(ctx, 3*time.Second)
		f.expect("limits.retryAfterMs", 1234)
		back(lead, 0)
	case "race":
		f.race(ctx)
	case "evacuate":
		f.empty(ctx)
	case "roll":
		f.roll(ctx)
	case "revoke":
		f.revoke(ctx)
	case "stop":
		for _, p := range f.of("router") {
			p.signal(syscall.SIGTERM)
			select {
			case <-p.gone:
			case <-ctx.Done():
				return
			}
			back(p, 200*time.Millisecond)
			f.until(ctx, 8*time.Second, func() error { return get(p.Door, "/ready") })
		}
	case "hall":
		for _, p := range f.procs {
			if p.Zone == f.site.Zones[0] {
				p.signal(syscall.SIGKILL)
			}
		}
	case "all":
		for _, p := range append(f.of("controller"), f.of("router")...) {
			p.signal(syscall.SIGKILL)
		}
		for _, p := range append(f.of("controller"), f.of("router")...) {
			<-p.gone
			back(p, 0)
		}
	}
}
