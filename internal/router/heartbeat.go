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

// confirmationTTL is no more than the wait for silent nodes and the quarter second in
// which an older version may still be used.
const confirmationTTL = 500 * time.Millisecond

type peerStatus struct {
	receivedAt     ids.Tick
	requestedAt    ids.Tick // when it was asked what it then answered
	sinceConfirmed time.Duration
	workers        []WorkerStatus
	leaving        []ids.WorkerID
}

func (n *Node) newHeartbeat() *Heartbeat {
	b := &Heartbeat{Node: n.self.Node, Version: n.view.HighestVersion(), SinceConfirmed: int64(n.agent.SinceConfirmed())}
	now := n.now()
	if !now.Past(ids.Tick(n.endpointsListedAt.Load()), time.Second) {
		for id, l := range *n.endpoints.Load() {
			if l.Leaving {
				b.Leaving = append(b.Leaving, id)
			}
		}
	}
	n.duties.Range(func(k, v any) bool {
		d := v.(*workerDuty)
		if f, ok := n.agent.OwnsKey(fleetstate.WorkerKey(d.id)); ok && f == d.fence {
			st := d.ledger.State(now)
			b.Workers = append(b.Workers, WorkerStatus{
				ID:            d.id,
				Fence:         f,
				Role:          st.Role,
				Ready:         st.Ready,
				Free:          st.Free,
				Capacity:      st.Capacity,
				InFlight:      st.Busy,
				Started:       st.Work,
				Used:          st.Used,
				MaxConcurrent: st.MaxConcurrent,
				Block:         st.Block,
				Incarnation:   st.Incarnation,
			})
		}
		return true
	})
	return b
}

// heartbeatLoop asks all peers at each heartbeat, whether or not the earlier askings are answered:
// one that is silent keeps nobody from being asked.
func (n *Node) heartbeatLoop(ctx context.Context) {
	var rounds sync.WaitGroup
	for host.Sleep(ctx, n.options.HeartbeatInterval) {
		b := n.newHeartbeat()
		n.recordPeer(b, 0)
		asked := n.now()
		var wg sync.WaitGroup
		for _, m := range n.agent.Members() {
			if m.Node == n.self.Node {
				continue
			}
			wg.Go(func() {
				callContext, stop := context.WithTimeout(ctx, 2*n.options.HeartbeatInterval)
				defer stop()
				if r, err := rpc.Call[Heartbeat, Heartbeat](
					callContext, n.caller, m.Addr, heartbeatMethod, b,
				); err == nil {
					n.observePeer(ctx, m, r, asked)
				}
			})
		}
		rounds.Go(func() {
			wg.Wait()
			n.mergePeerStatus()
		})
	}
	rounds.Wait()
}

func (n *Node) handleHeartbeat(ctx context.Context, b *Heartbeat) (*Heartbeat, error) {
	for _, m := range n.agent.Members() {
		if m.Node == b.Node {
			n.observePeer(context.WithoutCancel(ctx), m, b, 0)
		}
	}
	return n.newHeartbeat(), nil
}

func (n *Node) recordPeer(b *Heartbeat, told ids.Tick) {
	if v, ok := n.peers.Load(b.Node); ok {
		told = max(told, v.(peerStatus).requestedAt)
	}
	n.peers.Store(b.Node, peerStatus{n.now(), told, time.Duration(b.SinceConfirmed), b.Workers, b.Leaving})
}

// observePeer takes a peer's heartbeat; it counts as heard once its version is noted. A newer version than is staged here is
// fetched from that peer at once.
func (n *Node) observePeer(ctx context.Context, m coordination.Member, b *Heartbeat, told ids.Tick) {
	if !n.view.NoteVersion(b.Version) {
		go n.agent.Fetch(ctx, m.Addr)
	}
	n.recordPeer(b, told)
}

// mergePeerStatus joins what was told lately: the stands, where the highest fence speaks for a
// worker, and who leaves, since a node may be cut from the platform.
func (n *Node) mergePeerStatus() {
	now := n.now()
	live := map[ids.NodeID]bool{}
	for _, m := range n.agent.Members() {
		live[m.Node] = true
	}
	all, leave := map[ids.WorkerID]WorkerStatus{}, map[ids.WorkerID]bool{}
	n.peers.Range(func(k, v any) bool {
		m := v.(peerStatus)
		if now.Past(m.receivedAt, 5*time.Second) && !live[k.(ids.NodeID)] {
			n.peers.Delete(k)
		}
		if now.Past(m.receivedAt, time.Second) {
			return true
		}
		for _, id := range m.leaving {
			leave[id] = true
		}
		for _, st := range m.workers {
			if previous, ok := all[st.ID]; !ok || previous.Fence < st.Fence {
				all[st.ID] = st
			}
		}
		return true
	})
	n.workerStatuses.Store(&all)
	n.leaving.Store(&leave)
}

// coreUnreachable tells that the core itself is away: with this node, most of the members
// are heard, and none has fresh word from the core.
func (n *Node) coreUnreachable() bool {
	now := n.now()
	ms := n.agent.Members()
	heard := 0
	for _, m := range ms {
		if m.Node == n.self.Node {
			continue
		}
		v, ok := n.peers.Load(m.Node)
		if !ok {
			continue
		}
		k := v.(peerStatus)
		if now.Past(k.receivedAt, time.Second) {
			continue
		}
		if k.sinceConfirmed < n.options.LeaseDuration/2 {
			return false
		}
		heard++
	}
	return len(ms) > 1 && (heard+1)*2 > len(ms)
}

// watchEndpoints keeps asking the platform which workers there are. While it does not
// answer, the last list is kept.
func (n *Node) watchEndpoints(ctx context.Context) {
	for {
		if list, err := n.workerClient.Workers(ctx, n.options.Platform); err == nil {
			all := make(map[ids.WorkerID]workerclient.ListedWorker, len(list))
			for _, l := range list {
				all[l.ID] = l
			}
			n.endpoints.Store(&all)
			n.endpointsListedAt.Store(int64(n.now()))
		}
		if !host.Sleep(ctx, n.options.ListInterval) {
			return
		}
	}
}

// versionCurrent tells that no newer version than the one in force here was heard of, and that
// one would have been heard of.
func (n *Node) versionCurrent() bool { return n.view.UpToDate() && n.recentlyConfirmed() }

// recentlyConfirmed tells that this node would have heard of a newer version: within the last
// half second the core confirmed it, with all news up to then folded, or most members,
// with it, answered what they were asked since. (A heartbeat that comes by itself may have
// waited behind a cut and tell of the time before it.) A staged
// version waits for silent nodes nearly as long before it is in force anywhere.
func (n *Node) recentlyConfirmed() bool {
	if n.agent.CaughtUp(confirmationTTL) {
		return true
	}
	ms := n.agent.Members()
	now, heard := n.now(), 1
	for _, m := range ms {
		if v, ok := n.peers.Load(m.Node); ok && m.Node != n.self.Node && !now.Past(v.(peerStatus).requestedAt, confirmationTTL) {
			heard++
		}
	}
	return heard*2 > len(ms)
}
