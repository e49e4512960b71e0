// Settling the claims of nodes that died: one node holds the duty, seizes each
// such claim under its fence, cancels the request on every worker, and records
// what the workers say became of it. And the retry tokens: the retry budget that all
// nodes share, kept by one, empty in new hands.

package router

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"keelstair.example/coordination"
	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/internal/certification"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/workerclient"
)

func (n *Node) resolutionLoop(ctx context.Context) {
	for host.Sleep(ctx, 300*time.Millisecond) {
		fence, end, ok := n.agent.BeginOperation(fleetstate.ResolutionKey)
		if !ok {
			continue
		}
		live := map[ids.NodeID]bool{}
		for _, m := range n.agent.Members() {
			live[m.Node] = true
		}
		for _, d := range n.view.OpenClaims() {
			if !live[d.Owner] {
				n.close(ctx, d, fence)
			}
		}
		end()
	}
}

func (n *Node) close(ctx context.Context, d fleetstate.IdempotencyRecord, fence ids.Fence) {
	callContext, stop := context.WithTimeout(ctx, 2*time.Second)
	defer stop()
	seize := &fleetstate.TakeOver{Key: d.Key, From: d.Owner, To: n.self.Node, Fence: fence}
	r, err := n.agent.Submit(callContext, "", fleetstate.TakeOverKind, coordination.MustMarshal(seize))
	if err != nil {
		return
	}
	// The core's own word of where it may run; the view here may be behind.
	if _, err := d.UnmarshalMsg(r.Body); err != nil {
		return
	}
	fate, out := n.queryOutcome(ctx, &d)
	s := &fleetstate.Resolve{Key: d.Key, Owner: n.self.Node, Outcome: fate, Answer: out, Audit: n.takenOver(&d, fate)}
	if err := n.resolve(s); err != nil {
		n.options.Ring.Warn().AnErr("cause", err).Str("key", d.Key).Msg("claim of a dead node not resolved yet")
	}
}

// queryOutcome cancels a request for good at the one worker at which it may run, and
// takes that worker's word. A worker that cannot be asked, or has begun a new life
// since, may have run it.
func (n *Node) queryOutcome(ctx context.Context, d *fleetstate.IdempotencyRecord) (string, []byte) {
	if _, ok := (*n.endpoints.Load())[d.Worker]; !ok {
		return fleetstate.OutcomeMayHaveRun, nil
	}
	h := &transport{node: n, snapshot: n.view.Current()}
	for range 4 {
		a, err := h.Cancel(ctx, d.Worker, workerclient.ID{Request: Request(d.Key), Attempt: 1 << 20})
		switch {
		case err != nil:
			if !host.Sleep(ctx, 500*time.Millisecond) {
				return fleetstate.OutcomeMayHaveRun, nil
			}
		case a.Incarnation != d.Incarnation:
			return fleetstate.OutcomeMayHaveRun, nil
		case a.Done && !n.mayRead(d.Key):
			return fleetstate.OutcomeMayHaveRun, nil
		case a.Done:
			texts := append(a.Texts, make([]string, len(a.Output))...)
			out, _ := json.Marshal(record{a.Output, texts[:len(a.Output)]})
			return fleetstate.OutcomeDone, out
		case a.Fate == workerclient.FateNever:
			return fleetstate.OutcomeNotRun, nil
		default:
			return fleetstate.OutcomeMayHaveRun, nil
		}
	}
	return fleetstate.OutcomeMayHaveRun, nil
}

// mayRead tells whether this node may read the outcome of an idempotency record: of a governed one only
// if it is certified.
func (n *Node) mayRead(key string) bool {
	kind, _, _ := strings.Cut(key, "/")
	g := n.view.Current().Register.Governs(kind)
	if g == "" {
		return true
	}
	_, err := n.clears(g, certification.Subject{Node: n.options.Name}, "")
	return err == nil
}

type retryTokens struct {
	mu     sync.Mutex
	fence  ids.Fence
	at     ids.Tick
	tokens float64
}

func (n *Node) handleSpend(_ context.Context, _ *coordination.Empty) (*RetrySpent, error) {
	fence, end, ok := n.agent.BeginOperation(fleetstate.RetryBudgetKey)
	if !ok {
		return &RetrySpent{}, nil
	}
	defer end()
	lim := n.view.Current().Configuration.Limits
	p := &n.retryTokens
	p.mu.Lock()
	defer p.mu.Unlock()
	now := n.now()
	if p.fence != fence {
		p.fence, p.at, p.tokens = fence, now, 0
	}
	p.tokens = min(float64(lim.RetryBurst), p.tokens+lim.RetryRate*now.Since(p.at).Seconds())
	p.at = now
	if p.tokens < 1 {
		return &RetrySpent{}, nil
	}
	p.tokens--
	return &RetrySpent{OK: true}, nil
}
