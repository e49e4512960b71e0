// A soak: a fleet under load whose routers and controllers get signals, are started again and
// change their configuration, in series that overlap.

package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"keelstair.example/coordination"
	"keelstair.example/host"
	"keelstair.example/internal/router"
	"keelstair.example/internal/standin"
)

type soakCmd struct {
	upCmd
	Seed  uint64  `arg:"--seed" default:"1"`
	Nodes int     `arg:"--nodes" default:"0" help:"router nodes; 0 for as many as the site has"`
	Rate  float64 `arg:"--rate" default:"40" help:"arrivals a second"`
	Load  int     `arg:"--load" default:"30" help:"seconds of load"`
}

const (
	soakGrace      = 8 * time.Second // from SIGTERM to SIGKILL
	soakRestart    = 300 * time.Millisecond
	soakRecovery   = 12 * time.Second
	firstRetryHint = 1000 // ms: the limit that the changes of a soak raise
	claimedPrefix  = "k-" // of the workers' names of claimed requests
	notRunSuffix   = "+"  // that a caller adds to its key once it was told that nothing ran
)

// soak is one run.
type soak struct {
	*fleet
	rng     *rand.Rand
	restart sync.WaitGroup
	acked   atomic.Int64 // the newest limit that was acknowledged
}

func runSoak(ctx context.Context, c *soakCmd) error {
	f, err := start(ctx, &c.upCmd, c.Nodes)
	defer f.stop()
	if err != nil {
		return err
	}
	machine, err := host.Real("")
	if err != nil {
		return err
	}
	s := &soak{fleet: f, rng: rand.New(rand.NewPCG(c.Seed, 0))}
	s.acked.Store(firstRetryHint)
	duration := time.Duration(c.Load) * time.Second
	disturbing, calm := context.WithTimeout(ctx, duration*2/3)
	defer calm()
	var running sync.WaitGroup
	running.Go(func() { s.disturb(disturbing) })
	running.Go(func() { s.changeOften(disturbing) })
	outcomes := f.load(ctx, machine, c.Seed, c.Rate, duration)
	running.Wait()
	s.restart.Wait()
	return s.judge(ctx, c.Seed, outcomes)
}

// keepsOrder tells that a process gets SIGTERM only, so that what it serves is never cut.
func keepsOrder(i int) bool { return i%2 == 1 }

// disturb sends signals until the context ends, without waiting for those before.
func (s *soak) disturb(ctx context.Context) {
	for host.Sleep(ctx, time.Duration(100+s.rng.IntN(1500))*time.Millisecond) {
		routers, controllers := s.of("router"), s.of("controller")
		switch i := s.rng.IntN(len(routers)); s.rng.IntN(6) {
		case 0, 1:
			s.terminate(routers[i])
		case 2:
			for n, p := range routers {
				if n%4 == i%4 {
					s.terminate(p)
				}
			}
		case 3:
			if !keepsOrder(i) {
				s.end(routers[i], syscall.SIGKILL)
			}
		case 4:
			s.terminate(controllers[s.rng.IntN(len(controllers))])
		case 5:
			s.end(controllers[s.rng.IntN(len(controllers))], syscall.SIGKILL)
		}
	}
}

// terminate sends SIGTERM, and SIGKILL after the grace time.
func (s *soak) terminate(p *proc) {
	gone := s.end(p, syscall.SIGTERM)
	if gone == nil {
		return
	}
	s.restart.Go(func() {
		select {
		case <-gone:
		case <-time.After(soakGrace):
			logf("%s had not ended %v after SIGTERM", p.Name, soakGrace)
			s.end(p, syscall.SIGKILL)
		}
	})
}

// end sends a signal and has the process started again once it is gone, as the channel that is
// given tells; nil if it does not run.
func (s *soak) end(p *proc, signal syscall.Signal) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !p.up() {
		return nil
	}
	logf("%s: %v", p.Name, signal)
	p.signal(signal)
	gone := p.gone
	s.restart.Go(func() { s.beginAgain(p, gone) })
	return gone
}

// beginAgain starts a process again after the end of a life, unless that was done.
func (s *soak) beginAgain(p *proc, gone chan struct{}) {
	<-gone
	time.Sleep(soakRestart)
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.gone != gone {
		return
	}
	if err := s.begin(p); err != nil {
		logf("%v", err)
	}
}

// changeOften changes a limit again and again and remembers what was acknowledged.
func (s *soak) changeOften(ctx context.Context) {
	for limit := firstRetryHint + 1; host.Sleep(ctx, 700*time.Millisecond); limit++ {
		if s.change(ctx, "soak", fmt.Sprintf(`{"limits":{"retryAfterMs":%d}}`, limit)) == nil {
			s.acked.Store(int64(limit))
		}
	}
}

// judge checks what the workers and the callers saw, and that the newest change is in force.
func (s *soak) judge(ctx context.Context, seed uint64, outcomes []standin.Outcome) error {
	ordered := map[string]string{}
	for i, p := range s.of("router") {
		if keepsOrder(i) {
			ordered[p.Door] = p.Name
		}
	}
	var faults []error
	complete := 0
	for _, o := range outcomes {
		switch {
		case o.End == "wrong":
			faults = append(faults, fmt.Errorf("a caller of %s got a wrong answer: %s", o.Kind, o.Detail))
		case o.End == "cut" && o.Detail == "the stream stopped" && ordered[o.Node] != "":
			faults = append(faults, fmt.Errorf("%s cut a stream that it had begun", ordered[o.Node]))
		case o.Kind != "" && o.Duration > 0:
			complete++
		}
	}
	runs, doubles := s.tallies()
	if doubles > 0 {
		logf("%d requests, also without a claim, have two records in the workers' books", doubles)
	}
	faults = append(faults, s.judgeClaims(outcomes)...)
	last := int(s.acked.Load()) + 1
	if err := s.until(ctx, soakRecovery, func() error {
		return s.change(ctx, coordination.NewID(), fmt.Sprintf(`{"limits":{"retryAfterMs":%d}}`, last))
	}); err != nil {
		faults = append(faults, err)
	}
	if err := s.until(ctx, soakRecovery, func() error { return s.lagging("limits.retryAfterMs", last) }); err != nil {
		faults = append(faults, err)
	}
	logf("seed %d: %d calls, %d answered whole, %d runs, newest limit %d, %d faults",
		seed, len(outcomes), complete, runs, last, len(faults))
	return errors.Join(faults...)
}

// judgeClaims checks by the workers' books that a claimed request ran once, and not at all under
// a key whose caller was told so.
func (s *soak) judgeClaims(outcomes []standin.Outcome) []error {
	var faults []error
	books := s.books()
	for id, t := range books {
		if strings.HasPrefix(id, claimedPrefix) && (t.Runs > 1 || t.Finished > 1) {
			faults = append(faults, fmt.Errorf("claimed request %s has %d runs and %d records", id, t.Runs, t.Finished))
		}
	}
	for _, o := range outcomes {
		for key := o.Key; strings.HasSuffix(key, notRunSuffix); {
			key = strings.TrimSuffix(key, notRunSuffix)
			if n := books[router.RequestIDForKey(key)].Runs; n > 0 {
				faults = append(faults, fmt.Errorf("%s was told not run, and ran %d times", key, n))
			}
		}
	}
	return faults
}
