// This file forwards requests that a certification regime governs. A node without a certificate for
// the regime does not handle them: it forwards a request unchanged to a certified node, or rejects
// it at once.

package router

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"keelstair.example/coordination"
	"keelstair.example/internal/api"
	"keelstair.example/internal/certification"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/workerclient"
	"keelstair.example/rpc"
)

const (
	forwardPath        = "/router/streams"
	forwardIdleTimeout = 10 * time.Second // longer than any step of a stream stays silent
)

// certifiedPeers returns, in random order, the nodes that sent a heartbeat within the last second,
// are in no evacuated zone, and are certified for a regime.
func (n *Node) certifiedPeers(s *fleetstate.Snapshot, regime string) []coordination.Member {
	now := n.now()
	var out []coordination.Member
	for _, m := range n.agent.Members() {
		v, ok := n.peers.Load(m.Node)
		if m.Node == n.self.Node || !ok || now.Past(v.(peerStatus).receivedAt, time.Second) || s.EvacuatedZones[m.Zone] {
			continue
		}
		if _, err := n.authorize(regime, certification.Subject{Node: fleetstate.NodeName(m.Node)}, ""); err == nil {
			out = append(out, m)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// forward has a certified node serve a request. It tries the next node only if the previous one
// certainly did nothing.
func (n *Node) forward(
	ctx context.Context,
	s *fleetstate.Snapshot,
	regime string,
	request *api.StreamRequest,
	out api.Sink,
) error {
	for _, m := range n.certifiedPeers(s, regime) {
		count, err := api.Forward(ctx, n.httpClient, m.Addr, forwardPath, request, forwardIdleTimeout, out)
		if err == nil {
			n.counts.Forwarded.Add(1)
			return nil
		}
		fault, rejected := err.(*api.Fault)
		switch {
		case rejected && mayServeElsewhere(fault), count == 0 && rpc.IsDialError(err):
			continue
		case rejected:
			n.counts.Forwarded.Add(1)
			return fault
		case count == 0 && s.Configuration.Kinds[request.Kind].Claimed:
			return n.rejectRetryable(
				http.StatusServiceUnavailable,
				"claim-unknown",
				"forwarding the request to another node failed; retry with the same key: %v",
				err,
			)
		case count == 0:
			return n.rejectForCapacity(
				http.StatusServiceUnavailable, "bounced", "forwarding the request to another node failed: %v", err,
			)
		}
		end := api.EndBroken
		if s.Configuration.Kinds[request.Kind].Claimed {
			end = api.EndUnknown
		}
		n.counts.Aborted.Add(1)
		return out.Put(api.StreamEvent{
			Index: count,
			End:   end,
			Count: count,
			Error: &workerclient.Rejection{Name: "broken", Detail: err.Error(), RetryAfterMs: n.retryDelay().Milliseconds()},
		})
	}
	return n.rejectRetryable(
		http.StatusServiceUnavailable,
		"not-certified",
		"this node is not certified for regime %q now, and reaches none that is",
		regime,
	)
}

// mayServeElsewhere reports whether another node may serve a request that a node rejected.
func mayServeElsewhere(fault *api.Fault) bool {
	return fault.Name == "not-ready" || fault.Name == "not-certified" || fault.Name == faultNoMemory
}

// serveForwarded serves a request that another node forwarded; it is not forwarded again.
func (n *Node) serveForwarded(ctx context.Context, request *api.StreamRequest, out api.Sink) error {
	return n.serve(ctx, request, out, true)
}
