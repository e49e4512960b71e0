// The node's hands: how its controller picks cleared workers and reaches them.

package router

import (
	"context"
	"encoding/json"
	"time"

	"keelstair.example/coordination"
	"keelstair.example/failure"
	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/handoff"
	"keelstair.example/internal/routing"
	"keelstair.example/internal/workerclient"
	"keelstair.example/rpc"
)

// hands act for one request under the sight it began with; whether a worker may
// get new work is always asked of the newest.
type hands struct {
	n      *Node
	sight  *fleetstate.Snapshot
	deck   *routing.ProgramSet
	prefix uint64
	picked ids.Version
	kind   string
	regime string       // that the request is bound to, if any
	part   ids.Role     // that was picked for last
	source ids.WorkerID // where the memory that moves lies staged
	steps  []fleetstate.AuditStep
	begun  bool // its first row stands
}

func (h *hands) Pick(q *routing.PickRequest, on workerclient.Model, shun map[ids.WorkerID]bool) []handoff.Picked {
	n := h.n
	// While a newer version is heard of and not had yet, or could not be heard of,
	// picks are held.
	for end := n.now().Add(time.Second); !n.sure(); {
		if !n.now().Before(end) || !host.Sleep(context.Background(), 20*time.Millisecond) {
			return nil
		}
	}
	s := n.view.Current()
	h.picked, h.part = s.Version, q.Role
	regime := h.bound(s)
	cleared := func(st Stand) bool {
		if regime == "" {
			return true
		}
		_, err := n.allows(regime, st.ID, st.Part)
		return err == nil
	}
	by := map[ids.WorkerID]handoff.Picked{}
	var list, last []routing.Candidate
	both := map[string]map[ids.Role]bool{}
	for id, st := range *n.stands.Load() {
		w, ok := s.Configuration.Workers[id]
		if !ok || !st.Ready || !n.fit(s, id) || !cleared(st) {
			continue
		}
		if both[w.Weights] == nil {
			both[w.Weights] = map[ids.Role]bool{}
		}
		both[w.Weights][st.Part] = true
	}
	for id, st := range *n.stands.Load() {
		w, ok := s.Configuration.Workers[id]
		m := workerclient.Model{Name: w.Model, Weights: w.Weights, Adapters: w.Adapters}
		want := on
		if want.Weights == "" {
			want.Weights = w.Weights
		}
		need := ids.Blocks(q.Need, st.Block)
		if !ok || st.Part != q.Role || !st.Ready || !n.fit(s, id) || !cleared(st) || regime == "" && !n.free(s, st, need) || !m.Offers(want) || st.Busy >= st.Cap ||
			!both[w.Weights][ids.Prefill] || !both[w.Weights][ids.Decode] || st.Free < need {
			continue
		}
		by[id] = handoff.Picked{ID: id, Model: m, Block: st.Block, Life: st.Life}
		c := routing.Candidate{ID: id, Zone: w.Zone, Weights: w.Weights, Adapters: w.Adapters, Free: st.Free, Capacity: st.Room, Busy: st.Busy, MaxConcurrent: st.Cap, Affinity: routing.Affinity(h.prefix, id)}
		if shun[id] || n.blamed(id) {
			last = append(last, c)
		} else {
			list = append(list, c)
		}
	}
	if len(list) == 0 {
		list = last
	}
	out := make([]handoff.Picked, 0, len(list))
	for _, id := range h.deck.Order(q, list) {
		out = append(out, by[id])
	}
	return out
}

func (h *hands) ask(ctx context.Context, verb string, w ids.WorkerID, id workerclient.ID, q OrderAsk, m *workerclient.Identity, span time.Duration) (*workerclient.OrderResponse, error) {
	cx, stop := context.WithTimeout(ctx, span)
	defer stop()
	q.Worker, q.Verb, q.Request, q.Attempt = w, verb, id.Request, id.Attempt
	if m != nil {
		var err error
		if q.Body, err = json.Marshal(m); err != nil {
			return nil, failure.As(err, failure.InvalidArgument, verb, string(w))
		}
	}
	// Cancelling and freeing may go on beside the next attempt, and need no regime.
	if q.Part == "" || h.regime == "" {
		q.Part = ""
		return h.n.order(cx, &q)
	}
	q.Regime = h.regime
	serial, err := h.n.check(&q)
	if err != nil {
		return nil, err
	}
	h.saw(verb, w, id, serial)
	source := h.source
	if verb != verbImport && verb != verbResume {
		source = ""
	}
	cx, end := h.guard(cx, w, q.Part, source)
	a, err := h.n.order(cx, &q)
	return a, end(err)
}

func (h *hands) Reserve(ctx context.Context, w ids.WorkerID, id workerclient.ID, blocks int) error {
	_, err := h.ask(ctx, verbReserve, w, id, OrderAsk{Need: blocks, Part: h.part}, nil, 400*time.Millisecond)
	return err
}

func (h *hands) Prefill(ctx context.Context, w ids.WorkerID, m workerclient.Identity) (*workerclient.OrderResponse, error) {
	return h.ask(ctx, verbPrefill, w, m.ID, OrderAsk{Part: ids.Prefill}, &m, 6*time.Second)
}

func (h *hands) Export(ctx context.Context, w ids.WorkerID, id workerclient.ID) (*workerclient.OrderResponse, error) {
	return h.ask(ctx, verbExport, w, id, OrderAsk{Part: ids.Prefill}, nil, 1500*time.Millisecond)
}

func (h *hands) Import(ctx context.Context, w ids.WorkerID, m workerclient.Identity, src ids.WorkerID) (*workerclient.OrderResponse, error) {
	h.source = src
	return h.ask(ctx, verbImport, w, m.ID, OrderAsk{Source: src, Part: ids.Decode}, &m, 1500*time.Millisecond)
}

func (h *hands) Resume(ctx context.Context, w ids.WorkerID, id workerclient.ID) (*workerclient.OrderResponse, error) {
	return h.ask(ctx, verbResume, w, id, OrderAsk{Part: ids.Decode}, nil, 3*time.Second)
}

func (h *hands) Cancel(ctx context.Context, w ids.WorkerID, id workerclient.ID) (*workerclient.OrderResponse, error) {
	return h.ask(ctx, verbCancel, w, id, OrderAsk{}, nil, time.Second)
}

// Done gives the room back without waiting; a lost one is found by reports.
func (h *hands) Done(w ids.WorkerID, id workerclient.ID, sure bool) {
	q := OrderAsk{}
	if sure {
		q.Need = 1
	}
	go h.ask(context.Background(), verbDone, w, id, q, nil, time.Second)
}

func (h *hands) Stream(ctx context.Context, w ids.WorkerID, id workerclient.ID, from int, put func(workerclient.TokenEvent) error) error {
	l, ok := (*h.n.roster.Load())[w]
	if !ok {
		return failure.New(failure.DataLost, "stream", string(w), "the platform does not list it")
	}
	ctx, end := h.guard(ctx, w, ids.Decode, "")
	return end(h.n.workerClient.Stream(ctx, l.Addr, id, from, h.n.opt.Pulse, func(p workerclient.TokenEvent) error {
		if _, err := h.n.allows(h.regime, w, ids.Decode); err != nil {
			return failure.As(err, failure.DataLost, "stream", string(w))
		}
		return put(p)
	}))
}

// Spend asks the budget's holder for one recompute, until it has one or the
// patience is over.
func (h *hands) Spend(ctx context.Context, wait time.Duration) bool {
	n := h.n
	for end := n.now().Add(wait); ; {
		if m, _, ok := n.agent.KeyOwner(fleetstate.RetryBudgetKey); ok {
			cx, stop := context.WithTimeout(ctx, 400*time.Millisecond)
			r, err := rpc.Call[coordination.Empty, Spent](cx, n.call, m.Addr, "verge/spend", &coordination.Empty{})
			stop()
			if err == nil && r.Ok {
				return true
			}
		}
		if !n.now().Before(end) || !host.Sleep(ctx, 150*time.Millisecond) {
			return false
		}
	}
}

// Stale: what was picked may be outdated by now.
func (h *hands) Stale() bool {
	return !h.n.sure() || h.n.view.Current().Version != h.picked
}

// blame is how often hand-overs were lost at a worker of late.
type blame struct {
	count int
	at    ids.Tick
}

const blameSpan = 3 * time.Second

// Blame notes a lost hand-over. Which of its two workers was at fault is not
// known; the one that is at fault again and again stands out.
func (h *hands) Blame(w ids.WorkerID) {
	n := h.n
	now := n.now()
	b := blame{1, now}
	if v, ok := n.blames.Load(w); ok && !now.Past(v.(blame).at, blameSpan) {
		b.count += v.(blame).count
	}
	n.blames.Store(w, b)
}

// blamed workers are picked last for a while.
func (n *Node) blamed(w ids.WorkerID) bool {
	v, ok := n.blames.Load(w)
	return ok && v.(blame).count >= 2 && !n.now().Past(v.(blame).at, blameSpan)
}
