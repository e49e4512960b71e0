// This file sends heartbeats between router nodes. Several times a second, every node sends every
// other node the highest version that it knows, the time since the coordination service (the core)
// last confirmed the sender's lease, and the state of the sender's memory ledgers. A node that is
// partitioned from the core alone still learns of new versions, and nodes can distinguish a failure
// of the core from a failure of their own connection.

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

// confirmationTTL is how long a confirmation that this node knows the newest version is valid. It
// must not exceed the time that the core waits for silent nodes plus the 250 ms in which an older
// version may still be used.
const confirmationTTL = 500 * time.Millisecond

// peerStatus is the last heartbeat of a peer.
type peerStatus struct {
	receivedAt     ids.Tick
	requestedAt    ids.Tick // when the newest heartbeat request that it answered was sent
	sinceConfirmed time.Duration
	workers        []WorkerStatus
	leaving        []ids.WorkerID
}

// newHeartbeat returns this node's heartbeat.
func (n *Node) newHeartbeat() *Heartbeat {
	heartbeat := &Heartbeat{
		Node:           n.self.Node,
		Version:        n.view.HighestMentionedVersion(),
		SinceConfirmed: int64(n.agent.SinceConfirmed()),
	}
	now := n.now()
	if !now.Past(ids.Tick(n.endpointsListedAt.Load()), time.Second) {
		for id, endpoint := range *n.endpoints.Load() {
			if endpoint.Leaving {
				heartbeat.Leaving = append(heartbeat.Leaving, id)
			}
		}
	}
	n.duties.Range(func(k, v any) bool {
		d := v.(*workerDuty)
		if f, ok := n.agent.OwnsKey(fleetstate.WorkerKey(d.id)); ok && f == d.fence {
			st := d.ledger.State(now)
			heartbeat.Workers = append(heartbeat.Workers, WorkerStatus{
				ID:            d.id,
				Fence:         f,
				Role:          st.Role,
				Ready:         st.Ready,
				Free:          st.FreeBlocks,
				Capacity:      st.Capacity,
				InFlight:      st.Outstanding,
				Started:       st.Running,
				Used:          st.RunningBlocks,
				MaxConcurrent: st.MaxConcurrent,
				Block:         st.TokensPerBlock,
				Incarnation:   st.Incarnation,
			})
		}
		return true
	})
	return heartbeat
}

// heartbeatLoop sends a heartbeat to all peers at each interval, whether or not earlier ones have
// been answered: a silent peer must not delay the heartbeats to the others.
func (n *Node) heartbeatLoop(ctx context.Context) {
	var rounds sync.WaitGroup
	for host.Sleep(ctx, n.options.HeartbeatInterval) {
		heartbeat := n.newHeartbeat()
		n.recordPeer(heartbeat, 0)
		requestedAt := n.now()
		var wg sync.WaitGroup
		for _, m := range n.agent.Members() {
			if m.Node == n.self.Node {
				continue
			}
			wg.Go(func() {
				callContext, stop := context.WithTimeout(ctx, 2*n.options.HeartbeatInterval)
				defer stop()
				if r, err := rpc.Call[Heartbeat, Heartbeat](
					callContext, n.caller, m.Addr, heartbeatMethod, heartbeat,
				); err == nil {
					n.observePeer(ctx, m, r, requestedAt)
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

// handleHeartbeat records a member's heartbeat and answers with this node's own. The received
// heartbeat answers no request of this node, so it confirms no version.
func (n *Node) handleHeartbeat(ctx context.Context, heartbeat *Heartbeat) (*Heartbeat, error) {
	for _, m := range n.agent.Members() {
		if m.Node == heartbeat.Node {
			n.observePeer(context.WithoutCancel(ctx), m, heartbeat, 0)
		}
	}
	return n.newHeartbeat(), nil
}

// recordPeer stores a heartbeat. requestedAt is when this node sent the request that it answers,
// or 0 if it answers none.
func (n *Node) recordPeer(heartbeat *Heartbeat, requestedAt ids.Tick) {
	if v, ok := n.peers.Load(heartbeat.Node); ok {
		requestedAt = max(requestedAt, v.(peerStatus).requestedAt)
	}
	n.peers.Store(heartbeat.Node, peerStatus{
		n.now(), requestedAt, time.Duration(heartbeat.SinceConfirmed), heartbeat.Workers, heartbeat.Leaving,
	})
}

// observePeer processes a peer's heartbeat. It notes the version before it records the heartbeat,
// so that the heartbeat never counts as a confirmation while its version is unknown. If a version
// newer than the one that this node uses has been mentioned, the node immediately fetches updates
// from that peer.
func (n *Node) observePeer(ctx context.Context, m coordination.Member, heartbeat *Heartbeat, requestedAt ids.Tick) {
	if !n.view.NoteVersion(heartbeat.Version) {
		go n.agent.Fetch(ctx, m.Addr)
	}
	n.recordPeer(heartbeat, requestedAt)
}

// mergePeerStatus merges the heartbeats of the last second: for each worker the status under the
// highest fencing token, and the set of leaving workers, which this node may not learn from the
// platform while it is partitioned from it.
func (n *Node) mergePeerStatus() {
	now := n.now()
	live := map[ids.NodeID]bool{}
	for _, m := range n.agent.Members() {
		live[m.Node] = true
	}
	statuses, leaving := map[ids.WorkerID]WorkerStatus{}, map[ids.WorkerID]bool{}
	n.peers.Range(func(k, v any) bool {
		peer := v.(peerStatus)
		if now.Past(peer.receivedAt, 5*time.Second) && !live[k.(ids.NodeID)] {
			n.peers.Delete(k)
		}
		if now.Past(peer.receivedAt, time.Second) {
			return true
		}
		for _, id := range peer.leaving {
			leaving[id] = true
		}
		for _, st := range peer.workers {
			if previous, ok := statuses[st.ID]; !ok || previous.Fence < st.Fence {
				statuses[st.ID] = st
			}
		}
		return true
	})
	n.workerStatuses.Store(&statuses)
	n.leaving.Store(&leaving)
}

// coreUnreachable reports whether the core itself is unreachable, and not only from this node:
// a majority of the members, counting this node, exchange heartbeats, and the core has confirmed
// none of the others within the last half lease.
func (n *Node) coreUnreachable() bool {
	now := n.now()
	members := n.agent.Members()
	unconfirmed := 0
	for _, m := range members {
		if m.Node == n.self.Node {
			continue
		}
		v, ok := n.peers.Load(m.Node)
		if !ok {
			continue
		}
		peer := v.(peerStatus)
		if now.Past(peer.receivedAt, time.Second) {
			continue
		}
		if peer.sinceConfirmed < n.options.LeaseDuration/2 {
			return false
		}
		unconfirmed++
	}
	return len(members) > 1 && (unconfirmed+1)*2 > len(members)
}

// watchEndpoints polls the platform's list of workers. While the platform does not answer, the last
// list stays in use.
func (n *Node) watchEndpoints(ctx context.Context) {
	for {
		if list, err := n.workerClient.Workers(ctx, n.options.Platform); err == nil {
			endpoints := make(map[ids.WorkerID]workerclient.ListedWorker, len(list))
			for _, endpoint := range list {
				endpoints[endpoint.ID] = endpoint
			}
			n.endpoints.Store(&endpoints)
			n.endpointsListedAt.Store(int64(n.now()))
		}
		if !host.Sleep(ctx, n.options.ListInterval) {
			return
		}
	}
}

// versionCurrent reports whether this node uses the newest version that it knows and has recently
// received a confirmation, so that it would know of a newer version. recentlyConfirmed describes
// what counts as a confirmation.
func (n *Node) versionCurrent() bool { return n.view.UpToDate() && n.recentlyConfirmed() }

// recentlyConfirmed reports whether this node would have learned of a newer version. Within the
// last half second (confirmationTTL) either the core confirmed it and it has applied every update
// up to then, or a majority of the members, counting itself, answered heartbeat requests that it
// sent within that time. A heartbeat that a peer sends on its own does not count: it may have been
// delayed by a partition and describe the time before the partition. A prepared version waits
// nearly as long for silent nodes before it is in force anywhere.
func (n *Node) recentlyConfirmed() bool {
	if n.agent.CaughtUp(confirmationTTL) {
		return true
	}
	members := n.agent.Members()
	now, confirming := n.now(), 1
	for _, m := range members {
		if v, ok := n.peers.Load(m.Node); ok && m.Node != n.self.Node &&
			!now.Past(v.(peerStatus).requestedAt, confirmationTTL) {
			confirming++
		}
	}
	return confirming*2 > len(members)
}
