// Whether the primary can be reached while it confirms nothing. A node whose view grows old must
// know which side is at fault: cut off from the primary, it is better off with what it has; with
// a way to the primary, it is late.

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
	// probeAfter is the age of the view from which the primary is probed: a renewal has failed by then.
	probeAfter = time.Second
	// starvedLag is by how much a timer goes off late where the process lacks processor time.
	starvedLag = 250 * time.Millisecond
)

// Reachability is what an agent knows of its way to the primary.
type Reachability struct {
	// Since is when the first of the probes was sent that the primary has all accepted; 0 if there is none.
	Since ids.Tick
	// Lost tells that the last probe was not accepted, though this process had time to see it.
	Lost bool
	// StarvedAt is when this process was last seen to lack processor time; 0 if never.
	StarvedAt ids.Tick
}

// prober keeps the outcomes of probes.
type prober struct {
	mu      sync.Mutex
	primary string
	known   Reachability
}

// Reachability tells what the probes of late have shown.
func (a *Agent) Reachability() Reachability {
	a.prober.mu.Lock()
	defer a.prober.mu.Unlock()
	return a.prober.known
}

// probeLoop probes the primary while the view is old, and notes whenever it is woken late.
func (a *Agent) probeLoop(ctx context.Context) {
	for {
		slept := a.options.Host.Clock.Now()
		if !host.Sleep(ctx, probeInterval) {
			return
		}
		now := a.options.Host.Clock.Now()
		if now.Past(slept, probeInterval+starvedLag) {
			a.prober.starved(now)
		}
		if !now.Past(a.CurrentAt(), probeAfter) {
			a.prober.forget()
			continue
		}
		a.probe(ctx, a.directory.Addr(a.directory.Record().Primary))
	}
}

// probe opens a connection to the primary and closes it. What a starved process sees proves nothing.
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
	if now.Past(began, probeTimeout+starvedLag) {
		a.prober.starved(now)
		return
	}
	a.prober.record(addr, began, err == nil)
}

func (p *prober) starved(now ids.Tick) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.known.StarvedAt = now
}

// forget drops the outcomes: the core is heard.
func (p *prober) forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.known.Since, p.known.Lost = 0, false
}

func (p *prober) record(primary string, at ids.Tick, accepted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case !accepted:
		p.known.Since = 0
	case p.known.Since == 0 || p.primary != primary:
		p.known.Since = at
	}
	p.primary, p.known.Lost = primary, !accepted
}
