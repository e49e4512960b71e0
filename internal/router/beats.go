// Beats: every node tells every other, several times a second, which version it
// has heard of, how fresh its word from the core is, and how its ledgers stand.
// So a node cut from the core alone still learns, and nodes can tell the core's
// own trouble from theirs.

package router

import (
	"context"
	"sync"
	"time"

	"keelstair.example/coordination"
	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/workerclient"
	"keelstair.example/rpc"
)

// currentSpan is no more than the wait for silent nodes and the quarter second in
// which an older version may still be used.
const currentSpan = 500 * time.Millisecond

type mate struct {
	at     ids.Tick
	told   ids.Tick // when it was asked what it then answered
	fresh  time.Duration
	stands []Stand
	leave  []ids.WorkerID
}

func (n *Node) beat() *Beat {
	b := &Beat{Node: n.me.Node, Version: n.view.HighestVersion(), Fresh: int64(n.agent.SinceConfirmed())}
	now := n.now()
	if !now.Past(ids.Tick(n.listed.Load()), time.Second) {
		for id, l := range *n.roster.Load() {
			if l.Leaving {
				b.Leaving = append(b.Leaving, id)
			}
		}
	}
	n.ledgers.Range(func(k, v any) bool {
		d := v.(*desk)
		if f, ok := n.agent.OwnsKey(fleetstate.WorkerKey(d.id)); ok && f == d.fence {
			st := d.ledger.State(now)
			b.Workers = append(b.Workers, Stand{ID: d.id, Fence: f, Part: st.Part, Ready: st.Ready, Free: st.Free,
				Room: st.Room, Busy: st.Busy, Work: st.Work, Used: st.Used, Cap: st.Cap, Block: st.Block, Life: st.Life})
		}
		return true
	})
	return b
}

// beats asks all neighbours at each beat, whether or not the earlier askings are answered:
// one that is silent keeps nobody from being asked.
func (n *Node) beats(ctx context.Context) {
	var rounds sync.WaitGroup
	for host.Sleep(ctx, n.opt.Beat) {
		b := n.beat()
		n.note(b, 0)
		asked := n.now()
		var wg sync.WaitGroup
		for _, m := range n.agent.Members() {
			if m.Node == n.me.Node {
				continue
			}
			wg.Go(func() {
				cx, stop := context.WithTimeout(ctx, 2*n.opt.Beat)
				defer stop()
				if r, err := rpc.Call[Beat, Beat](cx, n.call, m.Addr, "verge/beat", b); err == nil {
					n.learn(ctx, m, r, asked)
				}
			})
		}
		rounds.Go(func() {
			wg.Wait()
			n.sum()
		})
	}
	rounds.Wait()
}

func (n *Node) hearBeat(ctx context.Context, b *Beat) (*Beat, error) {
	for _, m := range n.agent.Members() {
		if m.Node == b.Node {
			n.learn(context.WithoutCancel(ctx), m, b, 0)
		}
	}
	return n.beat(), nil
}

func (n *Node) note(b *Beat, told ids.Tick) {
	if v, ok := n.mates.Load(b.Node); ok {
		told = max(told, v.(mate).told)
	}
	n.mates.Store(b.Node, mate{n.now(), told, time.Duration(b.Fresh), b.Workers, b.Leaving})
}

// learn takes a neighbour's beat; it counts as heard once its version is noted. A newer version than is staged here is
// fetched from that neighbour at once.
func (n *Node) learn(ctx context.Context, m coordination.Member, b *Beat, told ids.Tick) {
	if !n.view.NoteVersion(b.Version) {
		go n.agent.Fetch(ctx, m.Addr)
	}
	n.note(b, told)
}

// sum joins what was told lately: the stands, where the highest fence speaks for a
// worker, and who leaves, since a node may be cut from the platform.
func (n *Node) sum() {
	now := n.now()
	live := map[ids.NodeID]bool{}
	for _, m := range n.agent.Members() {
		live[m.Node] = true
	}
	all, leave := map[ids.WorkerID]Stand{}, map[ids.WorkerID]bool{}
	n.mates.Range(func(k, v any) bool {
		m := v.(mate)
		if now.Past(m.at, 5*time.Second) && !live[k.(ids.NodeID)] {
			n.mates.Delete(k)
		}
		if now.Past(m.at, time.Second) {
			return true
		}
		for _, id := range m.leave {
			leave[id] = true
		}
		for _, st := range m.stands {
			if old, ok := all[st.ID]; !ok || old.Fence < st.Fence {
				all[st.ID] = st
			}
		}
		return true
	})
	n.stands.Store(&all)
	n.leave.Store(&leave)
}

// lonely tells that the core itself is away: with this node, most of the members
// are heard, and none has fresh word from the core.
func (n *Node) lonely() bool {
	now := n.now()
	ms := n.agent.Members()
	heard := 0
	for _, m := range ms {
		if m.Node == n.me.Node {
			continue
		}
		v, ok := n.mates.Load(m.Node)
		if !ok {
			continue
		}
		k := v.(mate)
		if now.Past(k.at, time.Second) {
			continue
		}
		if k.fresh < n.opt.Lease/2 {
			return false
		}
		heard++
	}
	return len(ms) > 1 && (heard+1)*2 > len(ms)
}

// rosters keeps asking the platform which workers there are. While it does not
// answer, the last list is kept.
func (n *Node) rosters(ctx context.Context) {
	for {
		if list, err := n.workerClient.Workers(ctx, n.opt.Platform); err == nil {
			all := make(map[ids.WorkerID]workerclient.ListedWorker, len(list))
			for _, l := range list {
				all[l.ID] = l
			}
			n.roster.Store(&all)
			n.listed.Store(int64(n.now()))
		}
		if !host.Sleep(ctx, n.opt.Roster) {
			return
		}
	}
}

// sure tells that no newer version than the one in force here was heard of, and that
// one would have been heard of.
func (n *Node) sure() bool { return n.view.UpToDate() && n.current() }

// current tells that this node would have heard of a newer version: within the last
// half second the core confirmed it, with all news up to then folded, or most members,
// with it, answered what they were asked since. (A beat that comes by itself may have
// waited behind a cut and tell of the time before it.) A staged
// version waits for silent nodes nearly as long before it is in force anywhere.
func (n *Node) current() bool {
	if n.agent.CaughtUp(currentSpan) {
		return true
	}
	ms := n.agent.Members()
	now, heard := n.now(), 1
	for _, m := range ms {
		if v, ok := n.mates.Load(m.Node); ok && m.Node != n.me.Node && !now.Past(v.(mate).told, currentSpan) {
			heard++
		}
	}
	return heard*2 > len(ms)
}
