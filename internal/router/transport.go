// This file implements the transport of the handoff controller, which picks eligible workers and
// sends them orders.

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
	"keelstair.example/internal/routing"
	"keelstair.example/internal/workerclient"
	"keelstair.example/rpc"
)

// transport picks workers and sends orders for one request. It uses the routing programs of the
// snapshot that the request started with; whether a worker may get new work is always decided by
// the newest snapshot.
type transport struct {
	node          *Node
	snapshot      *fleetstate.Snapshot
	programs      *routing.ProgramSet
	prefix        uint64
	pickedVersion ids.Version
	kind          string
	regime        string       // the certification regime that governs the request; empty if it needs no certified worker
	pickedRole    ids.Role     // the role for which workers were last picked
	memorySource  ids.WorkerID // the worker that the KV memory is imported from
	auditSteps    []fleetstate.AuditStep
	startRecorded bool // the audit row of the start has been appended
}

// issueOrder sends an order to a worker through the node that holds the worker's key. If a regime
// governs the request, issueOrder first checks that the regime authorizes this node and the worker for
// the order, records the order for the audit, and cancels it when the authorization ends.
func (t *transport) issueOrder(
	ctx context.Context,
	verb string,
	w ids.WorkerID,
	id workerclient.ID,
	request OrderRequest,
	identity *workerclient.Identity,
	timeout time.Duration,
) (*workerclient.OrderResponse, error) {
	callContext, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	request.Worker, request.Verb, request.Request, request.Attempt = w, verb, id.Request, id.Attempt
	if identity != nil {
		var err error
		if request.Body, err = json.Marshal(identity); err != nil {
			return nil, failure.As(err, failure.InvalidArgument, verb, string(w))
		}
	}
	// Orders without a role cancel an attempt or free its memory. They may run concurrently with
	// the next attempt and need no authorization. Neither do orders for a request without a regime;
	// their role is not sent.
	if request.Role == "" || t.regime == "" {
		request.Role = ""
		return t.node.sendOrder(callContext, &request)
	}
	request.Regime = t.regime
	serial, err := t.node.authorizeOrder(&request)
	if err != nil {
		return nil, err
	}
	t.recordStep(verb, w, id, serial)
	source := t.memorySource
	if verb != verbImport && verb != verbResume {
		source = ""
	}
	callContext, endStep := t.guardStep(callContext, w, request.Role, source)
	response, err := t.node.sendOrder(callContext, &request)
	return response, endStep(err)
}

// Reserve reserves blocks of memory at a worker.
func (t *transport) Reserve(ctx context.Context, w ids.WorkerID, id workerclient.ID, blocks int) error {
	_, err := t.issueOrder(
		ctx, verbReserve, w, id, OrderRequest{Blocks: blocks, Role: t.pickedRole}, nil, 400*time.Millisecond,
	)
	return err
}

// Prefill starts the prefill of a prompt at a worker.
func (t *transport) Prefill(
	ctx context.Context,
	w ids.WorkerID,
	identity workerclient.Identity,
) (*workerclient.OrderResponse, error) {
	return t.issueOrder(ctx, verbPrefill, w, identity.ID, OrderRequest{Role: ids.Prefill}, &identity, 6*time.Second)
}

// Export has a prefill worker export the KV memory of an attempt.
func (t *transport) Export(
	ctx context.Context,
	w ids.WorkerID,
	id workerclient.ID,
) (*workerclient.OrderResponse, error) {
	return t.issueOrder(ctx, verbExport, w, id, OrderRequest{Role: ids.Prefill}, nil, 1500*time.Millisecond)
}

// Import has a decode worker import the KV memory of an attempt from the source worker.
func (t *transport) Import(
	ctx context.Context,
	w ids.WorkerID,
	identity workerclient.Identity,
	source ids.WorkerID,
) (*workerclient.OrderResponse, error) {
	t.memorySource = source
	return t.issueOrder(
		ctx, verbImport, w, identity.ID, OrderRequest{Source: source, Role: ids.Decode}, &identity, 1500*time.Millisecond,
	)
}

// Resume starts decoding at a worker once the KV memory that it imports has arrived.
func (t *transport) Resume(
	ctx context.Context,
	w ids.WorkerID,
	id workerclient.ID,
) (*workerclient.OrderResponse, error) {
	return t.issueOrder(ctx, verbResume, w, id, OrderRequest{Role: ids.Decode}, nil, 3*time.Second)
}

// Cancel cancels an attempt at a worker.
func (t *transport) Cancel(
	ctx context.Context,
	w ids.WorkerID,
	id workerclient.ID,
) (*workerclient.OrderResponse, error) {
	return t.issueOrder(ctx, verbCancel, w, id, OrderRequest{}, nil, time.Second)
}

// Release frees the memory reserved for an attempt without waiting for the answer. If the order is
// lost, the node that holds the worker's key sees from the worker's reports that the memory is free.
// The parameter confirmed says that the worker itself reported that it holds no more memory for
// the attempt.
func (t *transport) Release(w ids.WorkerID, id workerclient.ID, confirmed bool) {
	request := OrderRequest{}
	if confirmed {
		request.Blocks = 1 // in a "done" order, a positive value is this flag and no number of blocks
	}
	go t.issueOrder(context.Background(), verbDone, w, id, request, nil, time.Second)
}

// Stream passes the token events of an attempt to put, starting at index from.
func (t *transport) Stream(
	ctx context.Context,
	w ids.WorkerID,
	id workerclient.ID,
	from int,
	put func(workerclient.TokenEvent) error,
) error {
	endpoint, ok := (*t.node.endpoints.Load())[w]
	if !ok {
		return failure.New(failure.DataLost, "stream", string(w), "the platform does not list it")
	}
	ctx, endStep := t.guardStep(ctx, w, ids.Decode, "")
	return endStep(
		t.node.workerClient.Stream(ctx, endpoint.Addr, id, from, t.node.options.StreamTimeout, func(
			event workerclient.TokenEvent,
		) error {
			if _, err := t.node.authorizeStep(t.regime, w, ids.Decode); err != nil {
				return failure.As(err, failure.DataLost, "stream", string(w))
			}
			return put(event)
		}),
	)
}

// SpendRetry asks the node that keeps the retry budget for one retry until the node grants it or
// the wait time is over, and reports whether the retry was granted.
func (t *transport) SpendRetry(ctx context.Context, wait time.Duration) bool {
	n := t.node
	for deadline := n.now().Add(wait); ; {
		if m, _, ok := n.agent.KeyOwner(fleetstate.RetryBudgetKey); ok {
			callContext, stop := context.WithTimeout(ctx, 400*time.Millisecond)
			response, err := rpc.Call[coordination.Empty, RetryTokenResponse](
				callContext, n.caller, m.Addr, SpendMethod, &coordination.Empty{},
			)
			stop()
			if err == nil && response.OK {
				return true
			}
		}
		if !n.now().Before(deadline) || !host.Sleep(ctx, 150*time.Millisecond) {
			return false
		}
	}
}

// PickMayBeOutdated reports whether the last pick may be outdated, because a newer version is in
// force than the one it was made under or because this node might not know the newest version.
func (t *transport) PickMayBeOutdated() bool {
	return !t.node.versionCurrent() || t.node.view.Current().Version != t.pickedVersion
}

// faultCount counts the handoffs lost at a worker. It restarts after faultTTL without a loss.
type faultCount struct {
	count  int
	lastAt ids.Tick
}

const faultTTL = 3 * time.Second

// ReportFault counts a lost handoff against a worker. Which of the two workers of a handoff
// failed is not known, so the caller reports both; the faulty one accumulates counts.
func (t *transport) ReportFault(w ids.WorkerID) {
	n := t.node
	now := n.now()
	fault := faultCount{1, now}
	if v, ok := n.faults.Load(w); ok && !now.Past(v.(faultCount).lastAt, faultTTL) {
		fault.count += v.(faultCount).count
	}
	n.faults.Store(w, fault)
}

// recentlyFaulted reports whether a worker lost at least two handoffs, the last of them within
// faultTTL. Such a worker is picked only if there is no other.
func (n *Node) recentlyFaulted(w ids.WorkerID) bool {
	v, ok := n.faults.Load(w)
	return ok && v.(faultCount).count >= 2 && !n.now().Past(v.(faultCount).lastAt, faultTTL)
}
