// Turning: the one holder of a service's duty looks at the workers' reports and has one
// change its part when the other part is pressed. The workers need not check fences, so
// the lease alone protects: a holder sends its first order only once any earlier one's
// lease has surely lapsed. All nodes hear of a turn before the order goes out, so that
// nothing new is sent to the worker meanwhile.

package proxy

import (
	"context"
	"sort"
	"sync"
	"time"

	"keelstair.example/coordination"
	"keelstair.example/failure"
	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
)

const (
	turnDwell = 1200 * time.Millisecond // between two turns of a service
	turnWait  = 8 * time.Second         // then a turn that shows no end is given up
	turnWarn  = 350 * time.Millisecond  // for all nodes to hear of it
	pressRead = 1.3                     // prompts at each reading worker
	pressEmit = 0.35                    // of the places of emitting workers
	easyEmit  = 0.25
	fullEmit  = 0.6 // pressed beyond what readers may weigh against it
	leastPart = 3   // one of so many workers keeps each part
	turnPart  = 12  // one of so many workers turns at once
)

type duty struct {
	fence  ids.Fence
	since  ids.Tick
	last   ids.Tick // when the last turn ended
	read   float64  // smoothed
	emit   float64
	looked ids.Tick
	turned map[ids.WorkerID]ids.Tick // when a worker was last told to turn
}

type turn struct {
	began ids.Tick
	sent  bool
	after int
}

// turner does the duties that are this node's.
func (n *Node) turner(ctx context.Context) {
	if n.opt.Turn < 0 {
		return
	}
	duties := map[string]*duty{}
	turns := map[ids.WorkerID]*turn{}
	for host.Sleep(ctx, n.opt.Turn) {
		s := n.sight()
		for name := range s.Configuration.Services {
			key := fleetstate.ServiceKey(name)
			fence, ok := n.agent.OwnsKey(key)
			if !ok {
				delete(duties, name)
				continue
			}
			d := duties[name]
			if d == nil || d.fence != fence {
				d = &duty{fence: fence, since: n.now(), last: n.now(), read: 0.5, emit: 0.2, turned: map[ids.WorkerID]ids.Tick{}}
				duties[name] = d
			}
			if n.now().Past(d.since, n.opt.Lease+n.opt.Lease/5) {
				svc := s.Configuration.Services[name]
				n.look(ctx, s, &svc, key, d, turns)
			}
		}
	}
}

func (n *Node) submitTurn(ctx context.Context, t *fleetstate.RoleChange) bool {
	cx, stop := context.WithTimeout(ctx, 700*time.Millisecond)
	defer stop()
	_, err := n.agent.Submit(cx, ids.OpID("turn/"+coordination.NewID()), fleetstate.RoleChangeKind, coordination.MustMarshal(t))
	return err == nil
}

type report struct {
	*Report
	w *Worker
}

// look asks the workers, ends turns that are over, and begins one where it helps.
func (n *Node) look(ctx context.Context, s *fleetstate.Snapshot, svc *fleetstate.Service, key ids.Key, d *duty, turns map[ids.WorkerID]*turn) {
	ros := n.roster.Load()
	listed := map[ids.WorkerID]*Worker{}
	mine := false
	for i := range ros.all {
		if w := &ros.all[i]; w.Service == svc.Name {
			listed[w.ID] = w
			if _, on := s.RoleChanges[w.ID]; on {
				mine = true
			}
		}
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	for id, to := range s.RoleChanges {
		w, t := listed[id], turns[id]
		if t == nil { // an earlier holder began it
			t = &turn{began: n.now(), sent: true}
			turns[id] = t
		}
		wg.Go(func() {
			if w == nil && !n.elsewhere(id) || w != nil && n.over(ctx, w, to, key, d, t) {
				if n.submitTurn(ctx, &fleetstate.RoleChange{Worker: id, Done: true}) {
					mu.Lock()
					defer mu.Unlock()
					delete(turns, id)
					d.last = n.now()
				}
			}
		})
	}
	wg.Wait()
	if mine || !n.now().Past(d.looked, 2*n.opt.Turn-50*time.Millisecond) {
		return
	}
	d.looked = n.now()
	rows := n.reports(ctx, s, listed)
	n.reported(svc.Name, d.looked, rows)
	read, emit := d.weigh(rows, svc)
	if !n.now().Past(d.last, turnDwell) {
		return
	}
	for id := range d.turned {
		if listed[id] == nil {
			delete(d.turned, id)
		}
	}
	some, to := choose(rows, read, emit, n.opt.Rest)
	some, to = n.wish(n.deal(s), svc, d, rows, some, to)
	for _, w := range some {
		if n.submitTurn(ctx, &fleetstate.RoleChange{Worker: w.w.ID, To: to}) {
			turns[w.w.ID] = &turn{began: n.now(), after: w.Orders}
			d.turned[w.w.ID] = n.now()
			n.opt.Ring.Info().Str("worker", string(w.w.ID)).Str("to", string(to)).Float64("read", read).Float64("emit", emit).Msg("turns a worker")
		}
	}
}

// elsewhere tells that another service's worker, or one whose list is not known, has it.
func (n *Node) elsewhere(id ids.WorkerID) bool {
	ros := n.roster.Load()
	return len(ros.all) == 0 || ros.find(id) != nil
}

// over sends the order of a turn once all have heard of it, and tells when it is done.
func (n *Node) over(ctx context.Context, w *Worker, to ids.Role, key ids.Key, d *duty, t *turn) bool {
	now := n.now()
	switch {
	case w.Part == to, now.Past(t.began, turnWait), w.Leaving:
		return true
	case t.sent || !now.Past(t.began, turnWarn):
		return false
	}
	t.sent = true
	fence, end, ok := n.agent.BeginOperation(key)
	if !ok || fence != d.fence {
		if ok {
			end()
		}
		return true
	}
	defer end()
	cx, stop := context.WithTimeout(ctx, 600*time.Millisecond)
	defer stop()
	err := n.opt.Back.Order(cx, *w, &Order{To: to, Owner: n.me.Node, Fence: fence, After: t.after})
	return failure.Is(err, failure.NotExecuted)
}

// reports asks all workers that may be counted on, side by side.
func (n *Node) reports(ctx context.Context, s *fleetstate.Snapshot, listed map[ids.WorkerID]*Worker) []report {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var out []report
	for _, w := range listed {
		if !fit(s, w) || w.Part == "" {
			continue
		}
		wg.Go(func() {
			cx, stop := context.WithTimeout(ctx, 400*time.Millisecond)
			defer stop()
			r, err := n.opt.Back.Report(cx, *w)
			if err != nil || r.Turning || r.Part != w.Part {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, report{r, w})
		})
	}
	wg.Wait()
	sort.Slice(out, func(i, j int) bool { return out[i].w.ID < out[j].w.ID })
	return out
}

// weigh gives the smoothed prompts at each reading worker, and the part of the emitting
// workers' places or memory that is taken.
func (d *duty) weigh(rows []report, svc *fleetstate.Service) (read, emit float64) {
	var readers, emitters, prompts, streams, used, room int
	for _, r := range rows {
		if r.Part == ids.Prefill {
			readers, prompts = readers+1, prompts+r.Running+r.Waiting
		} else {
			emitters, streams, used, room = emitters+1, streams+r.Running+r.Waiting, used+r.Used, room+r.Room
		}
	}
	if readers > 0 {
		d.read += 0.4 * (float64(prompts)/float64(readers) - d.read)
	}
	if emitters > 0 && room > 0 {
		taken := max(float64(streams)/float64(emitters*max(1, svc.Concurrency)), float64(used)/float64(room))
		d.emit += 0.4 * (taken - d.emit)
	}
	return d.read, d.emit
}

// least is how many of so many workers keep each part.
func least(all int) int { return max(1, (all+leastPart-1)/leastPart) }

// choose names the workers that should turn: more at once where there are many, the least
// busy of the part that can spare them, from the zones that have the most of it. While
// nothing is under way, rest is the part of the workers that reads.
func choose(rows []report, read, emit, rest float64) ([]*report, ids.Role) {
	var readers, emitters, busy int
	zones := map[ids.Zone]int{}
	for _, r := range rows {
		busy += r.Running + r.Waiting
		if r.Part == ids.Prefill {
			readers++
		} else {
			emitters++
		}
	}
	all := readers + emitters
	keep := least(all)
	from, to, want := ids.Decode, ids.Prefill, max(1, all/turnPart)
	spare := func(load float64, have, by int) float64 { return load * float64(have) / float64(max(1, have-by)) }
	switch {
	case all < 2:
		return nil, ""
	case readers == 0:
		want = min(want, emitters-1)
	case emitters == 0:
		from, to, want = ids.Prefill, ids.Decode, min(want, readers-1)
	case busy == 0 && float64(readers+1) <= rest*float64(all):
		want = min(want, int(rest*float64(all))-readers, emitters-keep)
	case read > pressRead:
		for want = min(want, emitters-keep); want > 0 && spare(emit, emitters, want) >= easyEmit; want-- {
		}
	case emit > pressEmit:
		from, to = ids.Prefill, ids.Decode
		for want = min(want, readers-keep); want > 0 && emit <= fullEmit && spare(read, readers, want) >= pressRead; want-- {
		}
	default:
		return nil, ""
	}
	var some []*report
	for i := range rows {
		if rows[i].Part == from {
			some = append(some, &rows[i])
			zones[rows[i].w.Zone]++
		}
	}
	var out []*report
	for len(out) < want && len(some) > 0 {
		best := 0
		for i, r := range some {
			a, b := zones[r.w.Zone], zones[some[best].w.Zone]
			if a > b || a == b && r.Running+r.Waiting < some[best].Running+some[best].Waiting {
				best = i
			}
		}
		zones[some[best].w.Zone]--
		out = append(out, some[best])
		some = append(some[:best], some[best+1:]...)
	}
	return out, to
}
