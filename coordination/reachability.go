// The agent's check whether the primary is reachable while it confirms no renewals. A node whose view
// grows old must know the cause: if it is partitioned from the primary, it should go on with its old
// view; if it can reach the primary, it is behind.

package coordination

import (
	"context"
	"sync"
	"time"

	"keelstair.example/host"
	"keelstair.example/ids"
)

const (
	probeInterval = 250 * time.Millisecond
	probeTimeout  = 500 * time.Millisecond
	// probeMinAge is the age of the view above which the primary is probed: a renewal has failed by then.
	probeMinAge = time.Second
	// starvationDelay is the delay of a timer from which the process counts as short of processor time.
	starvationDelay = 250 * time.Millisecond
)

// Reachability is what an agent knows of its connection to the primary.
type Reachability struct {
	// ReachableSince is when the first probe of the current run of accepted probes was sent; 0 if the
	// last probe failed or there was none.
	ReachableSince ids.Tick
	// Unreachable is set if the last probe was not accepted although this process was not starved.
	Unreachable bool
	// StarvedAt is when this process was last found to be short of processor time; 0 if never.
	StarvedAt ids.Tick
}

// prober stores the results of probes.
type prober struct {
	mu      sync.Mutex
	primary string
	result  Reachability
}

// Reachability returns the results of the latest probes.
func (a *Agent) Reachability() Reachability {
	a.prober.mu.Lock()
	defer a.prober.mu.Unlock()
	return a.prober.result
}

// probeLoop probes the primary while the view is old, and records whenever its timer fires late.
func (a *Agent) probeLoop(ctx context.Context) {
	for {
		sleepStart := a.options.Host.Clock.Now()
		if !host.Sleep(ctx, probeInterval) {
			return
		}
		now := a.options.Host.Clock.Now()
		if now.Past(sleepStart, probeInterval+starvationDelay) {
			a.prober.recordStarvation(now)
		}
		if !now.Past(a.CurrentAt(), probeMinAge) {
			a.prober.reset()
			continue
		}
		a.probe(ctx, a.directory.Addr(a.directory.Record().Primary))
	}
}

// probe opens a connection to the primary and closes it. A result obtained while the process was
// starved is discarded, since the failure may be its own.
func (a *Agent) probe(ctx context.Context, addr string) {
	if addr == "" {
		return
	}
	callContext, stop := context.WithTimeout(ctx, probeTimeout)
	defer stop()
	began := a.options.Host.Clock.Now()
	conn, err := a.options.Host.Net.Dial(callContext, addr)
	if err == nil {
		conn.Close()
	}
	now := a.options.Host.Clock.Now()
	if now.Past(began, probeTimeout+starvationDelay) {
		a.prober.recordStarvation(now)
		return
	}
	a.prober.recordProbe(addr, began, err == nil)
}

// recordStarvation records that the process was found to be short of processor time.
func (p *prober) recordStarvation(now ids.Tick) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.result.StarvedAt = now
}

// reset discards the results, since the core confirms renewals again.
func (p *prober) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.result.ReachableSince, p.result.Unreachable = 0, false
}

// recordProbe stores the result of a probe that was sent at the given tick.
func (p *prober) recordProbe(primary string, at ids.Tick, accepted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case !accepted:
		p.result.ReachableSince = 0
	case p.result.ReachableSince == 0 || p.primary != primary:
		p.result.ReachableSince = at
	}
	p.primary, p.result.Unreachable = primary, !accepted
}
