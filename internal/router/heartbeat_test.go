// Tests of the heartbeats that confirm that a node knows the newest version.

package router

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/coordination"
	"keelstair.example/host/simulated"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/logging"
	"keelstair.example/rpc"
)

// TestRecentlyConfirmedByAnswers checks which heartbeats count while the core is unreachable. One
// that a peer sends on its own may describe the time before a partition and must not count, nor
// must the answer to a request sent too long ago. The answer to a recent request counts for
// confirmationTTL after the request was sent, even if another heartbeat arrives after it.
func TestRecentlyConfirmedByAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		w := simulated.NewWorld(1)
		peer, node := w.Machine("10.0.0.1").Start(), w.Machine("10.0.0.2").Start()
		defer func() { stop(); peer.Kill(); node.Kill(); time.Sleep(10 * time.Second) }()
		b := coordination.Member{Node: "b", Addr: "10.0.0.1:1"}
		n := New(Options{Name: "n", Addr: "10.0.0.2:1", Host: node.Host()})
		snapshot := &coordination.Snapshot{Seq: 1, Members: []coordination.Member{n.self, b, {Node: "c"}}, State: fleetstate.NewView(logging.Discard()).Snapshot()}
		mux := http.NewServeMux()
		rpc.Handle(mux, coordination.WatchMethod, func(context.Context, *coordination.WatchRequest) (*coordination.WatchResponse, error) {
			return &coordination.WatchResponse{Seq: 1, Snapshot: coordination.MustMarshal(snapshot)}, nil
		})
		l, err := peer.Host().Net.Listen(b.Addr)
		require.NoError(t, err)
		go rpc.Serve(ctx, l, mux)
		require.NoError(t, n.agent.Fetch(ctx, b.Addr))
		require.Len(t, n.agent.Members(), 3)
		heartbeat, delay := &Heartbeat{Node: "b"}, 200*time.Millisecond
		rpc.Handle(mux, heartbeatMethod, func(context.Context, *Heartbeat) (*Heartbeat, error) { time.Sleep(delay); return heartbeat, nil })
		receiveHeartbeat := func() {
			_, err := n.handleHeartbeat(ctx, heartbeat)
			require.NoError(t, err)
		}

		receiveHeartbeat()
		require.False(t, n.recentlyConfirmed(), "the peer sent the heartbeat on its own")
		n.observePeer(ctx, b, heartbeat, n.now().Add(-confirmationTTL-time.Millisecond))
		require.False(t, n.recentlyConfirmed(), "the request was sent too long ago")
		n.observePeer(ctx, b, heartbeat, n.now())
		require.True(t, n.recentlyConfirmed())
		receiveHeartbeat()
		require.True(t, n.recentlyConfirmed(), "the answer still counts after another heartbeat")
		time.Sleep(confirmationTTL + time.Millisecond)
		receiveHeartbeat()
		require.False(t, n.recentlyConfirmed(), "the request is too old by now")
		go n.heartbeatLoop(ctx)
		time.Sleep(n.options.HeartbeatInterval + delay + 50*time.Millisecond)
		require.True(t, n.recentlyConfirmed(), "the heartbeat loop sends requests")
		v, _ := n.peers.Load(b.Node)
		require.GreaterOrEqual(t, v.(peerStatus).receivedAt.Since(v.(peerStatus).requestedAt), delay, "time counts from the request, not from the answer")
		n.caller.Close()
	})
}

// TestLongestUnconfirmedPeriod checks when a node stops picking workers while the core is
// unreachable and one of three members is silent. While the other peer answers within two heartbeat
// intervals, the node is always confirmed. When that peer falls silent too, the node is unconfirmed
// after confirmationTTL, and confirmed again within a second after the peer answers again.
func TestLongestUnconfirmedPeriod(t *testing.T) {
	for _, delay := range []time.Duration{0, 60 * time.Millisecond, 140 * time.Millisecond, 250 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(context.Background())
				w := simulated.NewWorld(1)
				peer, node, silent := w.Machine("10.0.0.1").Start(), w.Machine("10.0.0.2").Start(), w.Machine("10.0.0.3").Start()
				defer func() { stop(); peer.Kill(); node.Kill(); silent.Kill(); time.Sleep(10 * time.Second) }()
				b, c := coordination.Member{Node: "b", Addr: "10.0.0.1:1"}, coordination.Member{Node: "c", Addr: "10.0.0.3:1"}
				n := New(Options{Name: "n", Addr: "10.0.0.2:1", Host: node.Host()})
				snapshot := &coordination.Snapshot{Seq: 1, Members: []coordination.Member{n.self, b, c}, State: fleetstate.NewView(logging.Discard()).Snapshot()}
				mux := http.NewServeMux()
				rpc.Handle(mux, coordination.WatchMethod, func(context.Context, *coordination.WatchRequest) (*coordination.WatchResponse, error) {
					return &coordination.WatchResponse{Seq: 1, Snapshot: coordination.MustMarshal(snapshot)}, nil
				})
				rpc.Handle(mux, heartbeatMethod, func(context.Context, *Heartbeat) (*Heartbeat, error) {
					time.Sleep(delay)
					return &Heartbeat{Node: "b"}, nil
				})
				l, err := peer.Host().Net.Listen(b.Addr)
				require.NoError(t, err)
				go rpc.Serve(ctx, l, mux)
				require.NoError(t, n.agent.Fetch(ctx, b.Addr))
				w.Partition([]string{"10.0.0.2"}, []string{"10.0.0.3"}, true)
				go n.heartbeatLoop(ctx)
				time.Sleep(2 * time.Second)
				longestUnconfirmed := func(duration time.Duration) (longest time.Duration) {
					var since time.Time
					for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(time.Millisecond) {
						switch {
						case n.recentlyConfirmed():
							since = time.Time{}
						case since.IsZero():
							since = time.Now()
						default:
							longest = max(longest, time.Since(since))
						}
					}
					return longest
				}
				require.True(t, n.recentlyConfirmed())
				got := longestUnconfirmed(20 * time.Second)
				t.Log("longest unconfirmed period:", got)
				require.Zero(t, got)
				w.Partition([]string{"10.0.0.2"}, []string{"10.0.0.1"}, true)
				time.Sleep(confirmationTTL + time.Millisecond)
				require.False(t, n.recentlyConfirmed(), "the node might have missed a newer version")
				require.Greater(t, longestUnconfirmed(3*time.Second), 2900*time.Millisecond)
				w.Partition([]string{"10.0.0.2"}, []string{"10.0.0.1"}, false)
				got = longestUnconfirmed(5 * time.Second)
				t.Log("longest unconfirmed period after the partition:", got)
				require.Less(t, got, time.Second)
				require.True(t, n.recentlyConfirmed())
				n.caller.Close()
			})
		})
	}
}
