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

// desk is the duty for one worker under one grant.
type desk struct {
	id     ids.WorkerID
	fence  ids.Fence
	ledger *handoff.Ledger
	known  bool // the worker knows the fence; the poll alone reads and sets it
	stop   context.CancelFunc
}

// Verbs of orders.
const (
	verbReserve = "reserve"
	verbPrefill = "prefill"
	verbExport  = "export"
	verbImport  = "import"
	verbResume  = "resume"
	verbCancel  = "cancel"
	verbDone    = "done"
	verbTurn    = "turn"
)

// desks opens a desk for each worker whose key falls here and shuts those that
// went elsewhere.
func (n *Node) desks(ctx context.Context) {
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
			if old, ok := n.ledgers.Load(id); ok {
				if d := old.(*desk); d.fence == f {
					d.ledger.Tune(lim.Lag(), lim.SlowStart(), lim.Queue)
					continue
				}
				old.(*desk).stop()
			}
			cx, stop := context.WithCancel(ctx)
			d := &desk{id: id, fence: f, stop: stop, ledger: handoff.NewLedger(lim.Lag(), lim.SlowStart(), lim.Queue)}
			n.ledgers.Store(id, d)
			wg.Go(func() { n.poll(cx, d) })
		}
		n.ledgers.Range(func(k, v any) bool {
			if !mine[k.(ids.WorkerID)] {
				v.(*desk).stop()
				n.ledgers.Delete(k)
			}
			return true
		})
		if !host.Sleep(ctx, 50*time.Millisecond) {
			break
		}
	}
	n.ledgers.Range(func(_, v any) bool { v.(*desk).stop(); return true })
	wg.Wait()
}

func (n *Node) poll(ctx context.Context, d *desk) {
	for {
		if l, ok := (*n.roster.Load())[d.id]; ok {
			asked := n.now()
			r, err := n.workerClient.Report(ctx, l.Addr)
			if err == nil && !d.known {
				err = n.firstOrder(ctx, d, l.Addr, r.Role)
			}
			if err == nil {
				d.ledger.Report(r, asked)
				n.view.NoteVersion(r.Version)
			} else {
				d.ledger.Missed()
			}
		}
		if !host.Sleep(ctx, n.opt.Poll) {
			return
		}
	}
}

// firstOrder names the worker the part that it has, under the new fence. From
// then on it obeys no earlier holder, and only from then on is the time counted
// after which a report surely shows all that the earlier one had ordered.
func (n *Node) firstOrder(ctx context.Context, d *desk, addr string, part ids.Role) error {
	f, ok := n.agent.OwnsKey(fleetstate.WorkerKey(d.id))
	if !ok || f != d.fence {
		return failure.New(failure.Unavailable, "first order", n.me.Addr, "the key of %s went to other hands", d.id)
	}
	if !n.sure() {
		return failure.New(failure.Unavailable, "first order", n.me.Addr, "a newer version may be in force")
	}
	cx, stop := context.WithTimeout(ctx, 800*time.Millisecond)
	defer stop()
	lead := workerclient.OrderHeader{Fence: f, Version: n.view.Current().Version}
	if _, err := n.workerClient.SetRole(cx, addr, &workerclient.RoleRequest{OrderHeader: lead, Role: part}); err != nil {
		return err
	}
	d.known = true
	d.ledger.Begin(n.now())
	return nil
}

// obey answers an order that another node (or this one) asks the holder for.
func (n *Node) obey(ctx context.Context, q *OrderAsk) (*OrderReply, error) {
	a, err := n.act(ctx, q)
	if err != nil {
		return nil, failure.Wrap(err, q.Verb, string(q.Worker))
	}
	r := &OrderReply{Version: n.view.HighestVersion()}
	if a != nil {
		r.Version = max(r.Version, a.Version)
		if r.Body, err = json.Marshal(a); err != nil {
			return nil, failure.As(err, failure.InvalidArgument, q.Verb, string(q.Worker))
		}
	}
	return r, nil
}

func (n *Node) act(ctx context.Context, q *OrderAsk) (*workerclient.OrderResponse, error) {
	fence, end, ok := n.agent.BeginOperation(fleetstate.WorkerKey(q.Worker))
	if !ok {
		return nil, failure.New(failure.Unavailable, "hold key", n.me.Addr, "not the holder of %s", q.Worker)
	}
	defer end()
	v, ok := n.ledgers.Load(q.Worker)
	if !ok || v.(*desk).fence != fence {
		return nil, failure.New(failure.Unavailable, "hold key", n.me.Addr, "the desk of %s is not open yet", q.Worker)
	}
	led := v.(*desk).ledger
	if _, err := n.check(q); err != nil {
		return nil, err
	}
	id := workerclient.ID{Request: q.Request, Attempt: q.Attempt}
	l, ok := (*n.roster.Load())[q.Worker]
	if !ok {
		return nil, failure.New(failure.DataLost, "find worker", string(q.Worker), "the platform does not list it")
	}
	settled := n.view.NoteVersion(q.Version)
	lead := workerclient.OrderHeader{Fence: fence, Version: n.view.Current().Version}
	var in workerclient.Identity
	if len(q.Body) > 0 && q.Verb != verbTurn {
		if err := json.Unmarshal(q.Body, &in); err != nil {
			return nil, failure.As(err, failure.InvalidArgument, "read order", string(q.Worker))
		}
	}
	var a *workerclient.OrderResponse
	var err error
	switch q.Verb {
	case verbReserve:
		s := n.view.Current()
		if q.Version < s.Version {
			return nil, failure.New(failure.Stale, "reserve", string(q.Worker), "picked under version %d, %d is in force", q.Version, s.Version)
		}
		if !n.fit(s, q.Worker) || !settled || !n.current() {
			return nil, failure.New(failure.NotExecuted, "reserve", string(q.Worker), "it may get no new work")
		}
		keep := 0
		if q.Regime == "" {
			keep = s.Register.RetentionOf(q.Worker, led.Part(), n.clock())
		}
		return nil, led.ReserveBeside(id, q.Need, keep, n.now())
	case verbPrefill:
		if !led.Reserved(id) {
			return nil, failure.New(failure.NotExecuted, "prefill", string(q.Worker), "no room is booked for %s", id.Request)
		}
		led.Moved(id, n.now())
		a, err = n.workerClient.Prefill(ctx, l.Addr, &workerclient.PrefillRequest{OrderHeader: lead, Identity: in})
	case verbExport:
		a, err = n.workerClient.Export(ctx, l.Addr, &workerclient.ExportRequest{OrderHeader: lead, ID: id})
	case verbImport:
		src, ok := (*n.roster.Load())[q.Source]
		if !led.Reserved(id) || !ok {
			return nil, failure.New(failure.NotExecuted, "import", string(q.Worker), "no room is booked for %s", id.Request)
		}
		led.Moved(id, n.now())
		a, err = n.workerClient.Import(ctx, l.Addr, &workerclient.ImportRequest{OrderHeader: lead, Identity: in, Source: src.Addr})
	case verbResume:
		a, err = n.workerClient.Resume(ctx, l.Addr, &workerclient.IDRequest{OrderHeader: lead, ID: id})
	case verbCancel:
		a, err = n.workerClient.Cancel(ctx, l.Addr, &workerclient.IDRequest{OrderHeader: lead, ID: id})
		led.Ended(id, err == nil, n.now())
	case verbTurn:
		return n.turnHere(ctx, v.(*desk), l.Addr, lead, ids.Role(q.Body))
	case verbDone:
		led.Ended(id, q.Need > 0, n.now())
		return nil, nil
	default:
		return nil, failure.New(failure.InvalidArgument, "read order", n.me.Addr, "no verb %q", q.Verb)
	}
	if err != nil {
		return nil, err
	}
	n.view.NoteVersion(a.Version)
	return a, nil
}

// order sends an order to the worker's holder, wherever that is now. While the
// key is between two hands nothing was done, and it asks again until its time
// is up; only a reservation is better made elsewhere.
func (n *Node) order(ctx context.Context, q *OrderAsk) (*workerclient.OrderResponse, error) {
	for {
		a, err := n.ferry(ctx, q)
		if !failure.Is(err, failure.Unavailable) {
			return a, err
		}
		if q.Verb == verbReserve || q.Verb == verbDone || !host.Sleep(ctx, 60*time.Millisecond) {
			return nil, failure.As(err, failure.NotExecuted, q.Verb, string(q.Worker))
		}
	}
}

func (n *Node) ferry(ctx context.Context, q *OrderAsk) (*workerclient.OrderResponse, error) {
	if q.Version = n.view.HighestVersion(); q.Verb == verbReserve {
		q.Version = n.view.Current().Version
	}
	m, _, ok := n.agent.KeyOwner(fleetstate.WorkerKey(q.Worker))
	if !ok {
		return nil, failure.New(failure.Unavailable, q.Verb, string(q.Worker), "nobody holds its key now")
	}
	if m.Node == n.me.Node {
		a, err := n.act(ctx, q)
		return a, failure.Wrap(err, q.Verb, string(q.Worker))
	}
	r, err := rpc.Call[OrderAsk, OrderReply](ctx, n.call, m.Addr, "verge/order", q)
	if rpc.IsDialError(err) {
		return nil, failure.As(err, failure.Unavailable, q.Verb, string(q.Worker))
	}
	if err != nil {
		return nil, failure.Wrap(err, q.Verb, string(q.Worker))
	}
	n.view.NoteVersion(r.Version)
	a := &workerclient.OrderResponse{}
	if len(r.Body) > 0 {
		if err := json.Unmarshal(r.Body, a); err != nil {
			return nil, failure.As(err, failure.OutcomeUnknown, q.Verb, m.Addr)
		}
	}
	return a, nil
}
