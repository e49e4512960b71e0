// The faults of run, by name.

package main

import (
	"context"
	"os"
	"syscall"
	"time"

	"keelstair.example/host"
)

var namedFaults = map[string]func(f *fleet, ctx context.Context){
	"controller": (*fleet).killPrimary,
	"wipe":       (*fleet).wipePrimary,
	"core":       (*fleet).killControllers,
	"router":     func(f *fleet, _ context.Context) { f.processes("router")[0].kill() },
	"worker":     func(f *fleet, _ context.Context) { f.processes("worker-d")[0].kill() },
	"freeze":     (*fleet).freezePrimaryAndRouter,
	"ack":        (*fleet).wipePrimaryAfterAcknowledgement,
	"race":       (*fleet).raceOperators,
	"evacuate":   (*fleet).evacuateZone,
	"roll":       (*fleet).replaceControllers,
	"revoke":     (*fleet).revokeCertificates,
	"stop":       (*fleet).restartRouters,
	"hall":       (*fleet).killZone,
	"all":        (*fleet).killControllersAndRouters,
}

// injectFault injects the fault with the given name.
func (f *fleet) injectFault(ctx context.Context, fault string) {
	logf("injecting fault: %s", fault)
	if inject := namedFaults[fault]; inject != nil {
		inject(f, ctx)
	}
}

// restartAfter starts a process again after a while, unless the context ends before.
func (f *fleet) restartAfter(ctx context.Context, p *process, wait time.Duration) {
	if !host.Sleep(ctx, wait) {
		return
	}
	if err := f.startProcess(p); err != nil {
		logf("%v", err)
	}
}

func (f *fleet) killPrimary(ctx context.Context) {
	primary := f.primaryController()
	primary.kill()
	f.restartAfter(ctx, primary, 5*time.Second)
}

func (f *fleet) wipePrimary(ctx context.Context) {
	primary := f.primaryController()
	primary.kill()
	os.RemoveAll(primary.DataDir)
	f.restartAfter(ctx, primary, 2*time.Second)
}

func (f *fleet) killControllers(ctx context.Context) {
	for _, p := range f.processes("controller") {
		p.kill()
	}
	for _, p := range f.processes("controller") {
		f.restartAfter(ctx, p, 300*time.Millisecond)
	}
}

func (f *fleet) freezePrimaryAndRouter(ctx context.Context) {
	frozen := []*process{f.primaryController(), f.processes("router")[0]}
	for _, p := range frozen {
		p.signal(syscall.SIGSTOP)
	}
	host.Sleep(ctx, 6*time.Second)
	for _, p := range frozen {
		p.signal(syscall.SIGCONT)
	}
}

// wipePrimaryAfterAcknowledgement kills the primary and deletes its data right after it acknowledged a change.
func (f *fleet) wipePrimaryAfterAcknowledgement(ctx context.Context) {
	primary := f.primaryController()
	if err := f.applyPartial(ctx, "ack", `{"limits":{"retryAfterMs":1234}}`); err != nil {
		logf("%v", err)
	}
	primary.kill()
	os.RemoveAll(primary.DataDir)
	host.Sleep(ctx, 3*time.Second)
	f.reportRetryAfter("limits.retryAfterMs", 1234)
	f.restartAfter(ctx, primary, 0)
}

func (f *fleet) restartRouters(ctx context.Context) {
	for _, p := range f.processes("router") {
		p.signal(syscall.SIGTERM)
		select {
		case <-p.exited:
		case <-ctx.Done():
			return
		}
		f.restartAfter(ctx, p, 200*time.Millisecond)
		f.retry(ctx, 8*time.Second, func() error { return get(p.Frontend, "/ready") })
	}
}

func (f *fleet) killZone(context.Context) {
	for _, p := range f.processes("") {
		if p.Zone == f.site.Zones[0] {
			p.signal(syscall.SIGKILL)
		}
	}
}

func (f *fleet) killControllersAndRouters(ctx context.Context) {
	killed := append(f.processes("controller"), f.processes("router")...)
	for _, p := range killed {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range killed {
		<-p.exited
		f.restartAfter(ctx, p, 0)
	}
}
