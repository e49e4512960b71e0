// This file implements worker duties. The node that holds a worker's key polls the worker's reports,
// keeps the ledger of the worker's memory, and sends the worker all orders. Each order carries the
// fencing token and is sent only while this node holds the key.

package router

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"keelstair.example/failure"
	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/handoff"
	"keelstair.example/internal/workerclient"
	"keelstair.example/rpc"
)

// workerDuty is the state that this node keeps for a worker while it holds the worker's key under
// one fencing token.
type workerDuty struct {
	id         ids.WorkerID
	fence      ids.Fence
	ledger     *handoff.MemoryLedger
	fenceKnown bool // the worker has accepted the fencing token; used by pollReports only
	stop       context.CancelFunc
}

// These are the values of OrderRequest.Verb.
const (
	verbReserve    = "reserve"
	verbPrefill    = "prefill"
	verbExport     = "export"
	verbImport     = "import"
	verbResume     = "resume"
	verbCancel     = "cancel"
	verbDone       = "done"
	verbRoleChange = "turn"
)

// dutyLoop starts a duty for each worker whose key this node holds and stops the duties whose keys
// it no longer holds.
func (n *Node) dutyLoop(ctx context.Context) {
	var wg sync.WaitGroup
	for {
		limits := n.view.Current().Configuration.Limits
		held := map[ids.WorkerID]bool{}
		for id := range n.view.Current().Configuration.Workers {
			f, ok := n.agent.OwnsKey(fleetstate.WorkerKey(id))
			if !ok {
				continue
			}
			held[id] = true
			if previous, ok := n.duties.Load(id); ok {
				if d := previous.(*workerDuty); d.fence == f {
					d.ledger.Configure(limits.MaxReportLag(), limits.SlowStart(), limits.MaxQueued)
					continue
				}
				previous.(*workerDuty).stop()
			}
			dutyContext, stop := context.WithCancel(ctx)
			d := &workerDuty{
				id:     id,
				fence:  f,
				stop:   stop,
				ledger: handoff.NewMemoryLedger(limits.MaxReportLag(), limits.SlowStart(), limits.MaxQueued),
			}
			n.duties.Store(id, d)
			wg.Go(func() { n.pollReports(dutyContext, d) })
		}
		n.duties.Range(func(k, v any) bool {
			if !held[k.(ids.WorkerID)] {
				v.(*workerDuty).stop()
				n.duties.Delete(k)
			}
			return true
		})
		if !host.Sleep(ctx, 50*time.Millisecond) {
			break
		}
	}
	n.duties.Range(func(_, v any) bool { v.(*workerDuty).stop(); return true })
	wg.Wait()
}

// pollReports polls a worker's reports until the duty stops. It establishes the fencing token at the
// worker before it uses the first report.
func (n *Node) pollReports(ctx context.Context, d *workerDuty) {
	for {
		if endpoint, ok := (*n.endpoints.Load())[d.id]; ok {
			requestedAt := n.now()
			report, err := n.workerClient.Report(ctx, endpoint.Addr)
			if err == nil && !d.fenceKnown {
				err = n.establishFence(ctx, d, endpoint.Addr, report.Role)
			}
			if err == nil {
				d.ledger.SetReport(report, requestedAt)
				n.view.NoteVersion(report.Version)
			} else {
				d.ledger.MarkMissedReport()
			}
		}
		if !host.Sleep(ctx, n.options.PollInterval) {
			return
		}
	}
}

// establishFence orders the worker to keep its current role, under the new fencing token. From then
// on the worker refuses orders of earlier key holders. Orders of earlier key holders that the worker
// has already executed may be missing from its reports for up to the maximum report lag. The ledger
// counts that time from the end of establishFence.
func (n *Node) establishFence(ctx context.Context, d *workerDuty, addr string, role ids.Role) error {
	f, ok := n.agent.OwnsKey(fleetstate.WorkerKey(d.id))
	if !ok || f != d.fence {
		return failure.New(failure.Unavailable, "first order", n.self.Addr, "the key of %s moved to another node", d.id)
	}
	if !n.versionCurrent() {
		return failure.New(failure.Unavailable, "first order", n.self.Addr, "a newer version may be in force")
	}
	callContext, stop := context.WithTimeout(ctx, 800*time.Millisecond)
	defer stop()
	header := workerclient.OrderHeader{Fence: f, Version: n.view.Current().Version}
	if _, err := n.workerClient.SetRole(callContext, addr, &workerclient.RoleRequest{
		OrderHeader: header,
		Role:        role,
	}); err != nil {
		return err
	}
	d.fenceKnown = true
	d.ledger.SetExclusiveSince(n.now())
	return nil
}

// handleOrder executes an order that a node sent to this node as the holder of the worker's key.
func (n *Node) handleOrder(ctx context.Context, request *OrderRequest) (*OrderResponse, error) {
	workerResponse, err := n.executeOrder(ctx, request)
	if err != nil {
		return nil, failure.Wrap(err, request.Verb, string(request.Worker))
	}
	response := &OrderResponse{Version: n.view.HighestMentionedVersion()}
	if workerResponse != nil {
		response.Version = max(response.Version, workerResponse.Version)
		if response.Body, err = json.Marshal(workerResponse); err != nil {
			return nil, failure.As(err, failure.InvalidArgument, request.Verb, string(request.Worker))
		}
	}
	return response, nil
}

// executeOrder executes an order under this node's fencing token. The response is nil for orders
// that only change the ledger.
func (n *Node) executeOrder(ctx context.Context, request *OrderRequest) (*workerclient.OrderResponse, error) {
	fence, end, ok := n.agent.BeginOperation(fleetstate.WorkerKey(request.Worker))
	if !ok {
		return nil, failure.New(failure.Unavailable, "hold key", n.self.Addr, "not the key holder of %s", request.Worker)
	}
	defer end()
	duty, err := n.dutyForFence(request.Worker, fence)
	if err != nil {
		return nil, err
	}
	ledger := duty.ledger
	if _, err := n.authorizeOrder(request); err != nil {
		return nil, err
	}
	id := workerclient.ID{Request: request.Request, Attempt: request.Attempt}
	endpoint, ok := (*n.endpoints.Load())[request.Worker]
	if !ok {
		return nil, failure.New(failure.DataLost, "find worker", string(request.Worker), "the platform does not list it")
	}
	upToDate := n.view.NoteVersion(request.Version) // whether this node knows of no version newer than the one it uses
	header := workerclient.OrderHeader{Fence: fence, Version: n.view.Current().Version}
	identity, err := decodeIdentity(request)
	if err != nil {
		return nil, err
	}
	var response *workerclient.OrderResponse
	switch request.Verb {
	case verbReserve:
		return nil, n.reserveMemory(request, ledger, id, upToDate)
	case verbPrefill:
		if !ledger.HasReservation(id) {
			return nil, notReservedError(request)
		}
		ledger.MarkSent(id, n.now())
		response, err = n.workerClient.Prefill(
			ctx, endpoint.Addr, &workerclient.PrefillRequest{OrderHeader: header, Identity: identity})
	case verbExport:
		response, err = n.workerClient.Export(ctx, endpoint.Addr, &workerclient.ExportRequest{OrderHeader: header, ID: id})
	case verbImport:
		response, err = n.importMemory(
			ctx, request, ledger, endpoint.Addr, &workerclient.ImportRequest{OrderHeader: header, Identity: identity})
	case verbResume:
		response, err = n.workerClient.Resume(ctx, endpoint.Addr, &workerclient.IDRequest{OrderHeader: header, ID: id})
	case verbCancel:
		response, err = n.workerClient.Cancel(ctx, endpoint.Addr, &workerclient.IDRequest{OrderHeader: header, ID: id})
		ledger.MarkEnded(id, err == nil, n.now())
	case verbRoleChange:
		return n.handleRoleChange(ctx, duty, endpoint.Addr, header, ids.Role(request.Body))
	case verbDone: // Release; a positive Blocks says that the worker freed the memory
		ledger.MarkEnded(id, request.Blocks > 0, n.now())
		return nil, nil
	default:
		return nil, failure.New(failure.InvalidArgument, "read order", n.self.Addr, "no verb %q", request.Verb)
	}
	if err != nil {
		return nil, err
	}
	n.view.NoteVersion(response.Version)
	return response, nil
}

// dutyForFence returns this node's duty for a worker if it has started under the given fencing
// token.
func (n *Node) dutyForFence(worker ids.WorkerID, fence ids.Fence) (*workerDuty, error) {
	if v, ok := n.duties.Load(worker); ok && v.(*workerDuty).fence == fence {
		return v.(*workerDuty), nil
	}
	return nil, failure.New(failure.Unavailable, "hold key", n.self.Addr, "the duty for %s has not started yet", worker)
}

// importMemory has a worker import KV memory from the source that the order names.
func (n *Node) importMemory(
	ctx context.Context,
	request *OrderRequest,
	ledger *handoff.MemoryLedger,
	addr string,
	order *workerclient.ImportRequest,
) (*workerclient.OrderResponse, error) {
	id := workerclient.ID{Request: request.Request, Attempt: request.Attempt}
	source, ok := (*n.endpoints.Load())[request.Source]
	if !ledger.HasReservation(id) || !ok {
		return nil, notReservedError(request)
	}
	ledger.MarkSent(id, n.now())
	order.Source = source.Addr
	return n.workerClient.Import(ctx, addr, order)
}

// notReservedError is the error for an order for which no memory is reserved or whose source worker
// is not in the worker list.
func notReservedError(request *OrderRequest) error {
	return failure.New(failure.NotExecuted, request.Verb, string(request.Worker),
		"no memory is reserved for %s, or the source worker is not listed", request.Request)
}

// decodeIdentity returns the request identity that an order carries, or a zero one if it carries
// none.
func decodeIdentity(request *OrderRequest) (workerclient.Identity, error) {
	var identity workerclient.Identity
	if len(request.Body) == 0 || request.Verb == verbRoleChange {
		return identity, nil
	}
	err := json.Unmarshal(request.Body, &identity)
	return identity, failure.As(err, failure.InvalidArgument, "read order", string(request.Worker))
}

// reserveMemory reserves memory at a worker. It refuses if the worker was picked under an older
// version or must not get new work, or if this node might not know the newest version.
func (n *Node) reserveMemory(
	request *OrderRequest,
	ledger *handoff.MemoryLedger,
	id workerclient.ID,
	upToDate bool,
) error {
	s := n.view.Current()
	if request.Version < s.Version {
		return failure.New(failure.Stale, "reserve", string(request.Worker),
			"picked under version %d, %d is in force", request.Version, s.Version)
	}
	if !n.acceptsWork(s, request.Worker) || !upToDate || !n.recentlyConfirmed() {
		return failure.New(failure.NotExecuted, "reserve", string(request.Worker),
			"the worker must not get new work now, or this node may not know the newest version")
	}
	// Requests without a regime must leave headroom, the share of the worker that is kept free for
	// requests under a regime.
	headroomPercent := 0
	if request.Regime == "" {
		headroomPercent = s.Register.ReservedPercent(request.Worker, ledger.Role(), n.fleetTime())
	}
	return ledger.ReserveWithHeadroom(id, request.Blocks, headroomPercent, n.now())
}

// sendOrder sends an order to the node that holds the worker's key. If the key is moving between
// nodes, the order has not been executed, so it is sent again until the context ends. A reservation
// is not repeated, since another worker can be picked instead, and neither is a "done" order.
func (n *Node) sendOrder(ctx context.Context, request *OrderRequest) (*workerclient.OrderResponse, error) {
	for {
		response, err := n.sendOrderOnce(ctx, request)
		if !failure.Is(err, failure.Unavailable) {
			return response, err
		}
		if request.Verb == verbReserve || request.Verb == verbDone || !host.Sleep(ctx, 60*time.Millisecond) {
			return nil, failure.As(err, failure.NotExecuted, request.Verb, string(request.Worker))
		}
	}
}

// sendOrderOnce sends an order to the current holder of the worker's key, which may be this node. It
// returns Unavailable if the holder is unknown or was not reached.
func (n *Node) sendOrderOnce(ctx context.Context, request *OrderRequest) (*workerclient.OrderResponse, error) {
	if request.Version = n.view.HighestMentionedVersion(); request.Verb == verbReserve {
		request.Version = n.view.Current().Version
	}
	m, _, ok := n.agent.KeyOwner(fleetstate.WorkerKey(request.Worker))
	if !ok {
		return nil, failure.New(failure.Unavailable, request.Verb, string(request.Worker), "no node holds its key now")
	}
	if m.Node == n.self.Node {
		response, err := n.executeOrder(ctx, request)
		return response, failure.Wrap(err, request.Verb, string(request.Worker))
	}
	reply, err := rpc.Call[OrderRequest, OrderResponse](ctx, n.caller, m.Addr, OrderMethod, request)
	if rpc.IsDialError(err) {
		return nil, failure.As(err, failure.Unavailable, request.Verb, string(request.Worker))
	}
	if err != nil {
		return nil, failure.Wrap(err, request.Verb, string(request.Worker))
	}
	n.view.NoteVersion(reply.Version)
	response := &workerclient.OrderResponse{}
	if len(reply.Body) > 0 {
		if err := json.Unmarshal(reply.Body, response); err != nil {
			return nil, failure.As(err, failure.OutcomeUnknown, request.Verb, m.Addr)
		}
	}
	return response, nil
}
