// The holder's side of a worker's duty: it polls the worker's reports, keeps
// the ledger, and gives the orders, each under the fence and each only while
// this node holds the key.

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

// workerDuty is the duty for one worker under one grant.
type workerDuty struct {
	id         ids.WorkerID
	fence      ids.Fence
	ledger     *handoff.MemoryLedger
	fenceKnown bool // the worker knows the fence; the poll alone reads and sets it
	stop       context.CancelFunc
}

// Verbs of orders.
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

// dutyLoop opens a desk for each worker whose key falls here and shuts those that
// went elsewhere.
func (n *Node) dutyLoop(ctx context.Context) {
	var wg sync.WaitGroup
	for {
		lim := n.view.Current().Configuration.Limits
		mine := map[ids.WorkerID]bool{}
		for id := range n.view.Current().Configuration.Workers {
			f, ok := n.agent.OwnsKey(fleetstate.WorkerKey(id))
			if !ok {
				continue
			}
			mine[id] = true
			if previous, ok := n.duties.Load(id); ok {
				if d := previous.(*workerDuty); d.fence == f {
					d.ledger.Configure(lim.Lag(), lim.SlowStart(), lim.Queue)
					continue
				}
				previous.(*workerDuty).stop()
			}
			callContext, stop := context.WithCancel(ctx)
			d := &workerDuty{
				id:     id,
				fence:  f,
				stop:   stop,
				ledger: handoff.NewMemoryLedger(lim.Lag(), lim.SlowStart(), lim.Queue),
			}
			n.duties.Store(id, d)
			wg.Go(func() { n.pollReports(callContext, d) })
		}
		n.duties.Range(func(k, v any) bool {
			if !mine[k.(ids.WorkerID)] {
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

func (n *Node) pollReports(ctx context.Context, d *workerDuty) {
	for {
		if l, ok := (*n.endpoints.Load())[d.id]; ok {
			asked := n.now()
			r, err := n.workerClient.Report(ctx, l.Addr)
			if err == nil && !d.fenceKnown {
				err = n.establishFence(ctx, d, l.Addr, r.Role)
			}
			if err == nil {
				d.ledger.Report(r, asked)
				n.view.NoteVersion(r.Version)
			} else {
				d.ledger.Missed()
			}
		}
		if !host.Sleep(ctx, n.options.PollInterval) {
			return
		}
	}
}

// establishFence names the worker the part that it has, under the new fence. From
// then on it obeys no earlier holder, and only from then on is the time counted
// after which a report surely shows all that the earlier one had ordered.
func (n *Node) establishFence(ctx context.Context, d *workerDuty, addr string, part ids.Role) error {
	f, ok := n.agent.OwnsKey(fleetstate.WorkerKey(d.id))
	if !ok || f != d.fence {
		return failure.New(failure.Unavailable, "first order", n.self.Addr, "the key of %s went to other hands", d.id)
	}
	if !n.versionCurrent() {
		return failure.New(failure.Unavailable, "first order", n.self.Addr, "a newer version may be in force")
	}
	callContext, stop := context.WithTimeout(ctx, 800*time.Millisecond)
	defer stop()
	lead := workerclient.OrderHeader{Fence: f, Version: n.view.Current().Version}
	if _, err := n.workerClient.SetRole(callContext, addr, &workerclient.RoleRequest{
		OrderHeader: lead,
		Role:        part,
	}); err != nil {
		return err
	}
	d.fenceKnown = true
	d.ledger.Begin(n.now())
	return nil
}

// handleOrder answers an order that another node (or this one) asks the holder for.
func (n *Node) handleOrder(ctx context.Context, request *OrderRequest) (*OrderResponse, error) {
	a, err := n.executeOrder(ctx, request)
	if err != nil {
		return nil, failure.Wrap(err, request.Verb, string(request.Worker))
	}
	r := &OrderResponse{Version: n.view.HighestVersion()}
	if a != nil {
		r.Version = max(r.Version, a.Version)
		if r.Body, err = json.Marshal(a); err != nil {
			return nil, failure.As(err, failure.InvalidArgument, request.Verb, string(request.Worker))
		}
	}
	return r, nil
}

func (n *Node) executeOrder(ctx context.Context, request *OrderRequest) (*workerclient.OrderResponse, error) {
	fence, end, ok := n.agent.BeginOperation(fleetstate.WorkerKey(request.Worker))
	if !ok {
		return nil, failure.New(failure.Unavailable, "hold key", n.self.Addr, "not the holder of %s", request.Worker)
	}
	defer end()
	duty, err := n.dutyForFence(request.Worker, fence)
	if err != nil {
		return nil, err
	}
	led := duty.ledger
	if _, err := n.orderClearance(request); err != nil {
		return nil, err
	}
	id := workerclient.ID{Request: request.Request, Attempt: request.Attempt}
	l, ok := (*n.endpoints.Load())[request.Worker]
	if !ok {
		return nil, failure.New(failure.DataLost, "find worker", string(request.Worker), "the platform does not list it")
	}
	settled := n.view.NoteVersion(request.Version)
	lead := workerclient.OrderHeader{Fence: fence, Version: n.view.Current().Version}
	in, err := decodeIdentity(request)
	if err != nil {
		return nil, err
	}
	var a *workerclient.OrderResponse
	switch request.Verb {
	case verbReserve:
		return nil, n.reserveMemory(request, led, id, settled)
	case verbPrefill:
		if !led.Reserved(id) {
			return nil, notReservedError(request)
		}
		led.Moved(id, n.now())
		a, err = n.workerClient.Prefill(ctx, l.Addr, &workerclient.PrefillRequest{OrderHeader: lead, Identity: in})
	case verbExport:
		a, err = n.workerClient.Export(ctx, l.Addr, &workerclient.ExportRequest{OrderHeader: lead, ID: id})
	case verbImport:
		a, err = n.importMemory(ctx, request, led, l.Addr, &workerclient.ImportRequest{OrderHeader: lead, Identity: in})
	case verbResume:
		a, err = n.workerClient.Resume(ctx, l.Addr, &workerclient.IDRequest{OrderHeader: lead, ID: id})
	case verbCancel:
		a, err = n.workerClient.Cancel(ctx, l.Addr, &workerclient.IDRequest{OrderHeader: lead, ID: id})
		led.Ended(id, err == nil, n.now())
	case verbRoleChange:
		return n.handleRoleChange(ctx, duty, l.Addr, lead, ids.Role(request.Body))
	case verbDone:
		led.Ended(id, request.Blocks > 0, n.now())
		return nil, nil
	default:
		return nil, failure.New(failure.InvalidArgument, "read order", n.self.Addr, "no verb %q", request.Verb)
	}
	if err != nil {
		return nil, err
	}
	n.view.NoteVersion(a.Version)
	return a, nil
}

// dutyForFence gives this node's duty of a worker if it is at work under a fencing token.
func (n *Node) dutyForFence(worker ids.WorkerID, fence ids.Fence) (*workerDuty, error) {
	if v, ok := n.duties.Load(worker); ok && v.(*workerDuty).fence == fence {
		return v.(*workerDuty), nil
	}
	return nil, failure.New(failure.Unavailable, "hold key", n.self.Addr, "the duty of %s has not begun yet", worker)
}

// importMemory has a worker fetch memory from the source that the order names.
func (n *Node) importMemory(
	ctx context.Context,
	request *OrderRequest,
	memory *handoff.MemoryLedger,
	addr string,
	order *workerclient.ImportRequest,
) (*workerclient.OrderResponse, error) {
	id := workerclient.ID{Request: request.Request, Attempt: request.Attempt}
	source, ok := (*n.endpoints.Load())[request.Source]
	if !memory.Reserved(id) || !ok {
		return nil, notReservedError(request)
	}
	memory.Moved(id, n.now())
	order.Source = source.Addr
	return n.workerClient.Import(ctx, addr, order)
}

// notReservedError is the refusal of an order for which no memory was reserved.
func notReservedError(request *OrderRequest) error {
	return failure.New(failure.NotExecuted, request.Verb, string(request.Worker),
		"no memory is reserved for %s", request.Request)
}

// decodeIdentity reads the identity that an order carries, if it does.
func decodeIdentity(request *OrderRequest) (workerclient.Identity, error) {
	var identity workerclient.Identity
	if len(request.Body) == 0 || request.Verb == verbRoleChange {
		return identity, nil
	}
	err := json.Unmarshal(request.Body, &identity)
	return identity, failure.As(err, failure.InvalidArgument, "read order", string(request.Worker))
}

// reserveMemory books memory at a worker, unless the pick is stale or the worker gets no new work.
func (n *Node) reserveMemory(
	request *OrderRequest,
	memory *handoff.MemoryLedger,
	id workerclient.ID,
	upToDate bool,
) error {
	s := n.view.Current()
	if request.Version < s.Version {
		return failure.New(failure.Stale, "reserve", string(request.Worker),
			"picked under version %d, %d is in force", request.Version, s.Version)
	}
	if !n.acceptsWork(s, request.Worker) || !upToDate || !n.recentlyConfirmed() {
		return failure.New(failure.NotExecuted, "reserve", string(request.Worker), "it may get no new work")
	}
	keep := 0
	if request.Regime == "" {
		keep = s.Register.RetentionOf(request.Worker, memory.Role(), n.fleetTime())
	}
	return memory.ReserveBeside(id, request.Blocks, keep, n.now())
}

// sendOrder sends an order to the worker's holder, wherever that is now. While the
// key is between two hands nothing was done, and it asks again until its time
// is up; only a reservation is better made elsewhere.
func (n *Node) sendOrder(ctx context.Context, request *OrderRequest) (*workerclient.OrderResponse, error) {
	for {
		a, err := n.sendOrderOnce(ctx, request)
		if !failure.Is(err, failure.Unavailable) {
			return a, err
		}
		if request.Verb == verbReserve || request.Verb == verbDone || !host.Sleep(ctx, 60*time.Millisecond) {
			return nil, failure.As(err, failure.NotExecuted, request.Verb, string(request.Worker))
		}
	}
}

func (n *Node) sendOrderOnce(ctx context.Context, request *OrderRequest) (*workerclient.OrderResponse, error) {
	if request.Version = n.view.HighestVersion(); request.Verb == verbReserve {
		request.Version = n.view.Current().Version
	}
	m, _, ok := n.agent.KeyOwner(fleetstate.WorkerKey(request.Worker))
	if !ok {
		return nil, failure.New(failure.Unavailable, request.Verb, string(request.Worker), "nobody holds its key now")
	}
	if m.Node == n.self.Node {
		a, err := n.executeOrder(ctx, request)
		return a, failure.Wrap(err, request.Verb, string(request.Worker))
	}
	r, err := rpc.Call[OrderRequest, OrderResponse](ctx, n.caller, m.Addr, OrderMethod, request)
	if rpc.IsDialError(err) {
		return nil, failure.As(err, failure.Unavailable, request.Verb, string(request.Worker))
	}
	if err != nil {
		return nil, failure.Wrap(err, request.Verb, string(request.Worker))
	}
	n.view.NoteVersion(r.Version)
	a := &workerclient.OrderResponse{}
	if len(r.Body) > 0 {
		if err := json.Unmarshal(r.Body, a); err != nil {
			return nil, failure.As(err, failure.OutcomeUnknown, request.Verb, m.Addr)
		}
	}
	return a, nil
}
