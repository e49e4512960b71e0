// A soak test: the routers and controllers of a fleet under load are repeatedly signaled and restarted while
// its configuration changes. The faults overlap.

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
	Seed        uint64  `arg:"--seed" default:"1"`
	Nodes       int     `arg:"--nodes" default:"0" help:"number of router nodes; 0 for the site's number"`
	Rate        float64 `arg:"--rate" default:"40" help:"requests per second"`
	LoadSeconds int     `arg:"--load" default:"30" help:"duration of the load in seconds"`
}

const (
	terminationGrace    = 8 * time.Second        // from SIGTERM to SIGKILL, for a process that has not exited
	restartDelay        = 300 * time.Millisecond // from a process's exit to its restart
	recoveryTimeout     = 12 * time.Second       // for the final configuration change, and for its activation
	initialRetryAfterMs = 1000                   // the soak test raises limits.retryAfterMs from this value
	keyedRequestPrefix  = "k-"                   // starts the request id of each request with an idempotency key
	notRunSuffix        = "+"                    // a client appends it to its key after a "not-run" response
)

// soak is the state of one soak test.
type soak struct {
	*fleet
	rng               *rand.Rand
	restarts          sync.WaitGroup
	ackedRetryAfterMs atomic.Int64 // the newest acknowledged value of limits.retryAfterMs
}

func runSoak(ctx context.Context, c *soakCmd) error {
	f, err := startFleet(ctx, &c.upCmd, c.Nodes)
	defer f.stop()
	if err != nil {
		return err
	}
	clientHost, err := host.Real("")
	if err != nil {
		return err
	}
	s := &soak{fleet: f, rng: rand.New(rand.NewPCG(c.Seed, 0))}
	s.ackedRetryAfterMs.Store(initialRetryAfterMs)
	duration := time.Duration(c.LoadSeconds) * time.Second
	faultCtx, stopFaults := context.WithTimeout(ctx, duration*2/3)
	defer stopFaults()
	var injectors sync.WaitGroup
	injectors.Go(func() { s.sendSignals(faultCtx) })
	injectors.Go(func() { s.raiseRetryAfter(faultCtx) })
	outcomes := f.runLoad(ctx, clientHost, c.Seed, c.Rate, duration)
	injectors.Wait()
	s.restarts.Wait()
	return s.check(ctx, c.Seed, outcomes)
}

// gracefulOnly reports whether router i is never chosen for SIGKILL. Its streams must not be cut. It receives
// SIGKILL only if it has not exited terminationGrace after a SIGTERM.
func gracefulOnly(i int) bool { return i%2 == 1 }

// sendSignals repeatedly signals and restarts random processes until the context ends. It does not wait for
// processes that are still stopping or restarting.
func (s *soak) sendSignals(ctx context.Context) {
	for host.Sleep(ctx, time.Duration(100+s.rng.IntN(1500))*time.Millisecond) {
		routers, controllers := s.processes("router"), s.processes("controller")
		switch i := s.rng.IntN(len(routers)); s.rng.IntN(6) {
		case 0, 1:
			s.terminateAndRestart(routers[i])
		case 2:
			for n, p := range routers {
				if n%4 == i%4 {
					s.terminateAndRestart(p)
				}
			}
		case 3:
			if !gracefulOnly(i) {
				s.signalAndRestart(routers[i], syscall.SIGKILL)
			}
		case 4:
			s.terminateAndRestart(controllers[s.rng.IntN(len(controllers))])
		case 5:
			s.signalAndRestart(controllers[s.rng.IntN(len(controllers))], syscall.SIGKILL)
		}
	}
}

// terminateAndRestart sends SIGTERM, and SIGKILL if the process has not exited after terminationGrace. The
// process is restarted once it has exited.
func (s *soak) terminateAndRestart(p *process) {
	exited := s.signalAndRestart(p, syscall.SIGTERM)
	if exited == nil {
		return
	}
	s.restarts.Go(func() {
		select {
		case <-exited:
		case <-time.After(terminationGrace):
			logf("%s had not exited %v after SIGTERM", p.Name, terminationGrace)
			s.signalAndRestart(p, syscall.SIGKILL)
		}
	})
}

// signalAndRestart sends a signal to a process and restarts the process once it has exited. It returns
// a channel that is closed when the process exits, or nil if the process is not running.
func (s *soak) signalAndRestart(p *process, signal syscall.Signal) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !p.running() {
		return nil
	}
	logf("%s: sending signal %d", p.Name, signal)
	p.signal(signal)
	exited := p.exited
	s.restarts.Go(func() { s.restartAfterExit(p, exited) })
	return exited
}

// restartAfterExit waits until the process has exited and restarts it after restartDelay, unless another call
// has restarted it by then.
func (s *soak) restartAfterExit(p *process, exited chan struct{}) {
	<-exited
	time.Sleep(restartDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.exited != exited {
		return
	}
	if err := s.startProcess(p); err != nil {
		logf("%v", err)
	}
}

// raiseRetryAfter repeatedly raises limits.retryAfterMs and records the newest acknowledged value.
func (s *soak) raiseRetryAfter(ctx context.Context) {
	for retryAfterMs := initialRetryAfterMs + 1; host.Sleep(ctx, 700*time.Millisecond); retryAfterMs++ {
		if s.applyPartial(ctx, "soak", fmt.Sprintf(`{"limits":{"retryAfterMs":%d}}`, retryAfterMs)) == nil {
			s.ackedRetryAfterMs.Store(int64(retryAfterMs))
		}
	}
}

// check verifies how often the workers ran each request and what the clients received. It then makes a final
// configuration change, which must succeed and become active at all nodes. It returns all violations.
func (s *soak) check(ctx context.Context, seed uint64, outcomes []standin.Outcome) error {
	gracefulRouters := map[string]string{}
	for i, p := range s.processes("router") {
		if gracefulOnly(i) {
			gracefulRouters[p.Frontend] = p.Name
		}
	}
	var violations []error
	completed := 0
	for _, o := range outcomes {
		switch {
		case o.End == "wrong":
			violations = append(violations, fmt.Errorf(
				"a client received a wrong response to a request of kind %s: %s", o.Kind, o.Detail,
			))
		case o.End == "cut" && o.Detail == "the stream stopped" && gracefulRouters[o.Node] != "":
			violations = append(violations, fmt.Errorf("%s cut a stream that it had started", gracefulRouters[o.Node]))
		case o.Kind != "" && o.Duration > 0:
			completed++
		}
	}
	runs, duplicates := s.countRuns()
	if duplicates > 0 {
		logf("%d requests, with or without an idempotency key, finished more than once", duplicates)
	}
	violations = append(violations, s.checkKeyedRequests(outcomes)...)
	finalRetryAfterMs := int(s.ackedRetryAfterMs.Load()) + 1
	if err := s.retry(ctx, recoveryTimeout, func() error {
		return s.applyPartial(ctx, coordination.NewID(), fmt.Sprintf(`{"limits":{"retryAfterMs":%d}}`, finalRetryAfterMs))
	}); err != nil {
		violations = append(violations, err)
	}
	if err := s.retry(ctx, recoveryTimeout, func() error {
		return s.checkRetryAfter("limits.retryAfterMs", finalRetryAfterMs)
	}); err != nil {
		violations = append(violations, err)
	}
	logf("seed %d: %d requests, %d completed, %d runs, final retryAfterMs %d, %d violations",
		seed, len(outcomes), completed, runs, finalRetryAfterMs, len(violations))
	return errors.Join(violations...)
}

// checkKeyedRequests checks, from the workers' counts, that no request with an idempotency key ran more than
// once, and that no request ran whose key was reported as "not-run" to a client.
func (s *soak) checkKeyedRequests(outcomes []standin.Outcome) []error {
	var violations []error
	counts := s.requestCounts()
	for id, t := range counts {
		if strings.HasPrefix(id, keyedRequestPrefix) && (t.Runs > 1 || t.Finished > 1) {
			violations = append(violations, fmt.Errorf(
				"request %s with an idempotency key started %d times and finished %d times", id, t.Runs, t.Finished,
			))
		}
	}
	for _, o := range outcomes {
		for key := o.Key; strings.HasSuffix(key, notRunSuffix); {
			key = strings.TrimSuffix(key, notRunSuffix)
			if n := counts[router.RequestIDForKey(key)].Runs; n > 0 {
				violations = append(violations, fmt.Errorf("key %s was reported as not run but ran %d times", key, n))
			}
		}
	}
	return violations
}
