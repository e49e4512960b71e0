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

// transport act for one request under the snapshot it began with; whether a worker may
// get new work is always asked of the newest.
type transport struct {
	node          *Node
	snapshot      *fleetstate.Snapshot
	programs      *routing.ProgramSet
	prefix        uint64
	pickedVersion ids.Version
	kind          string
	regime        string       // that the request is bound to, if any
	pickedRole    ids.Role     // that was picked for last
	memorySource  ids.WorkerID // where the memory that moves lies staged
	auditSteps    []fleetstate.AuditStep
	startRecorded bool // its first row stands
}

func (h *transport) Pick(
	request *routing.PickRequest,
	on workerclient.Model,
	excluded map[ids.WorkerID]bool,
) []handoff.Picked {
	n := h.node
	// While a newer version is heard of and not had yet, or could not be heard of,
	// picks are held.
	for end := n.now().Add(time.Second); !n.versionCurrent(); {
		if !n.now().Before(end) || !host.Sleep(context.Background(), 20*time.Millisecond) {
			return nil
		}
	}
	s := n.view.Current()
	h.pickedVersion, h.pickedRole = s.Version, request.Role
	regime := h.currentRegime(s)
	cleared := func(st WorkerStatus) bool {
		if regime == "" {
			return true
		}
		_, err := n.stepClearance(regime, st.ID, st.Role)
		return err == nil
	}
	by := map[ids.WorkerID]handoff.Picked{}
	var list, last []routing.Candidate
	both := map[string]map[ids.Role]bool{}
	for id, st := range *n.workerStatuses.Load() {
		w, ok := s.Configuration.Workers[id]
		if !ok || !st.Ready || !n.acceptsWork(s, id) || !cleared(st) {
			continue
		}
		if both[w.Weights] == nil {
			both[w.Weights] = map[ids.Role]bool{}
		}
		both[w.Weights][st.Role] = true
	}
	for id, st := range *n.workerStatuses.Load() {
		w, ok := s.Configuration.Workers[id]
		m := workerclient.Model{Name: w.Model, Weights: w.Weights, Adapters: w.Adapters}
		want := on
		if want.Weights == "" {
			want.Weights = w.Weights
		}
		need := ids.Blocks(request.Need, st.Block)
		if !ok || st.Role != request.Role || !st.Ready || !n.acceptsWork(s, id) || !cleared(st) ||
			regime == "" && !n.fitsBesideReserve(s, st, need) || !m.Offers(want) || st.InFlight >= st.MaxConcurrent ||
			!both[w.Weights][ids.Prefill] || !both[w.Weights][ids.Decode] || st.Free < need {
			continue
		}
		by[id] = handoff.Picked{ID: id, Model: m, Block: st.Block, Incarnation: st.Incarnation}
		c := routing.Candidate{
			ID:            id,
			Zone:          w.Zone,
			Weights:       w.Weights,
			Adapters:      w.Adapters,
			Free:          st.Free,
			Capacity:      st.Capacity,
			Busy:          st.InFlight,
			MaxConcurrent: st.MaxConcurrent,
			Affinity:      routing.Affinity(h.prefix, id),
		}
		if excluded[id] || n.recentlyFaulted(id) {
			last = append(last, c)
		} else {
			list = append(list, c)
		}
	}
	if len(list) == 0 {
		list = last
	}
	out := make([]handoff.Picked, 0, len(list))
	for _, id := range h.programs.Order(request, list) {
		out = append(out, by[id])
	}
	return out
}

func (h *transport) issueOrder(
	ctx context.Context,
	verb string,
	w ids.WorkerID,
	id workerclient.ID,
	request OrderRequest,
	m *workerclient.Identity,
	duration time.Duration,
) (*workerclient.OrderResponse, error) {
	callContext, stop := context.WithTimeout(ctx, duration)
	defer stop()
	request.Worker, request.Verb, request.Request, request.Attempt = w, verb, id.Request, id.Attempt
	if m != nil {
		var err error
		if request.Body, err = json.Marshal(m); err != nil {
			return nil, failure.As(err, failure.InvalidArgument, verb, string(w))
		}
	}
	// Cancelling and freeing may go on beside the next attempt, and need no regime.
	if request.Role == "" || h.regime == "" {
		request.Role = ""
		return h.node.sendOrder(callContext, &request)
	}
	request.Regime = h.regime
	serial, err := h.node.orderClearance(&request)
	if err != nil {
		return nil, err
	}
	h.recordStep(verb, w, id, serial)
	source := h.memorySource
	if verb != verbImport && verb != verbResume {
		source = ""
	}
	callContext, end := h.guardStep(callContext, w, request.Role, source)
	a, err := h.node.sendOrder(callContext, &request)
	return a, end(err)
}

func (h *transport) Reserve(ctx context.Context, w ids.WorkerID, id workerclient.ID, blocks int) error {
	_, err := h.issueOrder(ctx, verbReserve, w, id, OrderRequest{Blocks: blocks, Role: h.pickedRole}, nil, 400*time.Millisecond)
	return err
}

func (h *transport) Prefill(
	ctx context.Context,
	w ids.WorkerID,
	m workerclient.Identity,
) (*workerclient.OrderResponse, error) {
	return h.issueOrder(ctx, verbPrefill, w, m.ID, OrderRequest{Role: ids.Prefill}, &m, 6*time.Second)
}

func (h *transport) Export(
	ctx context.Context,
	w ids.WorkerID,
	id workerclient.ID,
) (*workerclient.OrderResponse, error) {
	return h.issueOrder(ctx, verbExport, w, id, OrderRequest{Role: ids.Prefill}, nil, 1500*time.Millisecond)
}

func (h *transport) Import(
	ctx context.Context,
	w ids.WorkerID,
	m workerclient.Identity,
	src ids.WorkerID,
) (*workerclient.OrderResponse, error) {
	h.memorySource = src
	return h.issueOrder(ctx, verbImport, w, m.ID, OrderRequest{Source: src, Role: ids.Decode}, &m, 1500*time.Millisecond)
}

func (h *transport) Resume(
	ctx context.Context,
	w ids.WorkerID,
	id workerclient.ID,
) (*workerclient.OrderResponse, error) {
	return h.issueOrder(ctx, verbResume, w, id, OrderRequest{Role: ids.Decode}, nil, 3*time.Second)
}

func (h *transport) Cancel(
	ctx context.Context,
	w ids.WorkerID,
	id workerclient.ID,
) (*workerclient.OrderResponse, error) {
	return h.issueOrder(ctx, verbCancel, w, id, OrderRequest{}, nil, time.Second)
}

// Done gives the room back without waiting; a lost one is found by reports.
func (h *transport) Done(w ids.WorkerID, id workerclient.ID, sure bool) {
	request := OrderRequest{}
	if sure {
		request.Blocks = 1
	}
	go h.issueOrder(context.Background(), verbDone, w, id, request, nil, time.Second)
}

func (h *transport) Stream(
	ctx context.Context,
	w ids.WorkerID,
	id workerclient.ID,
	from int,
	put func(workerclient.TokenEvent) error,
) error {
	l, ok := (*h.node.endpoints.Load())[w]
	if !ok {
		return failure.New(failure.DataLost, "stream", string(w), "the platform does not list it")
	}
	ctx, end := h.guardStep(ctx, w, ids.Decode, "")
	return end(
		h.node.workerClient.Stream(ctx, l.Addr, id, from, h.node.options.StreamTimeout, func(p workerclient.TokenEvent) error {
			if _, err := h.node.stepClearance(h.regime, w, ids.Decode); err != nil {
				return failure.As(err, failure.DataLost, "stream", string(w))
			}
			return put(p)
		}),
	)
}

// SpendRetry asks the budget's holder for one recompute, until it has one or the
// patience is over.
func (h *transport) SpendRetry(ctx context.Context, wait time.Duration) bool {
	n := h.node
	for end := n.now().Add(wait); ; {
		if m, _, ok := n.agent.KeyOwner(fleetstate.RetryBudgetKey); ok {
			callContext, stop := context.WithTimeout(ctx, 400*time.Millisecond)
			r, err := rpc.Call[coordination.Empty, RetryTokenResponse](
				callContext, n.caller, m.Addr, SpendMethod, &coordination.Empty{},
			)
			stop()
			if err == nil && r.OK {
				return true
			}
		}
		if !n.now().Before(end) || !host.Sleep(ctx, 150*time.Millisecond) {
			return false
		}
	}
}

// PickedUnderStaleVersion: what was picked may be outdated by now.
func (h *transport) PickedUnderStaleVersion() bool {
	return !h.node.versionCurrent() || h.node.view.Current().Version != h.pickedVersion
}

// faultCount is how often hand-overs were lost at a worker of late.
type faultCount struct {
	count  int
	lastAt ids.Tick
}

const faultTTL = 3 * time.Second

// ReportFault notes a lost hand-over. Which of its two workers was at fault is not
// known; the one that is at fault again and again stands out.
func (h *transport) ReportFault(w ids.WorkerID) {
	n := h.node
	now := n.now()
	b := faultCount{1, now}
	if v, ok := n.faults.Load(w); ok && !now.Past(v.(faultCount).lastAt, faultTTL) {
		b.count += v.(faultCount).count
	}
	n.faults.Store(w, b)
}

// recentlyFaulted workers are picked last for a while.
func (n *Node) recentlyFaulted(w ids.WorkerID) bool {
	v, ok := n.faults.Load(w)
	return ok && v.(faultCount).count >= 2 && !n.now().Past(v.(faultCount).lastAt, faultTTL)
}
