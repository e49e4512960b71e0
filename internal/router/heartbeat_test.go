// Which heartbeats tell that a node is not behind.

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

// TestRecentlyConfirmedByAnswers: with the core away, a peer that heartbeats by itself may tell of a
// time before a cut and counts for nothing, nor does an answer to what was asked too long
// ago; an answer to a late asking counts, also once a heartbeat came after it, for as long as from its asking.
func TestRecentlyConfirmedByAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		w := simulated.NewWorld(1)
		near, at := w.Machine("10.0.0.1").Start(), w.Machine("10.0.0.2").Start()
		defer func() { stop(); near.Kill(); at.Kill(); time.Sleep(10 * time.Second) }()
		b := coordination.Member{Node: "b", Addr: "10.0.0.1:1"}
		n := New(Options{Name: "n", Addr: "10.0.0.2:1", Host: at.Host()})
		img := &coordination.Snapshot{Seq: 1, Members: []coordination.Member{n.self, b, {Node: "c"}}, State: fleetstate.NewView(logging.Discard()).Snapshot()}
		mux := http.NewServeMux()
		rpc.Handle(mux, coordination.WatchMethod, func(context.Context, *coordination.WatchRequest) (*coordination.WatchResponse, error) {
			return &coordination.WatchResponse{Seq: 1, Snapshot: coordination.MustMarshal(img)}, nil
		})
		l, err := near.Host().Net.Listen(b.Addr)
		require.NoError(t, err)
		go rpc.Serve(ctx, l, mux)
		require.NoError(t, n.agent.Fetch(ctx, b.Addr))
		require.Len(t, n.agent.Members(), 3)
		heartbeat, slow := &Heartbeat{Node: "b"}, 200*time.Millisecond
		rpc.Handle(mux, heartbeatMethod, func(context.Context, *Heartbeat) (*Heartbeat, error) { time.Sleep(slow); return heartbeat, nil })
		hear := func() {
			_, err := n.handleHeartbeat(ctx, heartbeat)
			require.NoError(t, err)
		}

		hear()
		require.False(t, n.recentlyConfirmed(), "it came by itself")
		n.observePeer(ctx, b, heartbeat, n.now().Add(-confirmationTTL-time.Millisecond))
		require.False(t, n.recentlyConfirmed(), "asked too long ago")
		n.observePeer(ctx, b, heartbeat, n.now())
		require.True(t, n.recentlyConfirmed())
		hear()
		require.True(t, n.recentlyConfirmed(), "the answer still counts")
		time.Sleep(confirmationTTL + time.Millisecond)
		hear()
		require.False(t, n.recentlyConfirmed(), "it was asked too long ago by now")
		go n.heartbeatLoop(ctx)
		time.Sleep(n.options.HeartbeatInterval + slow + 50*time.Millisecond)
		require.True(t, n.recentlyConfirmed(), "it asks by itself")
		v, _ := n.peers.Load(b.Node)
		require.GreaterOrEqual(t, v.(peerStatus).receivedAt.Since(v.(peerStatus).requestedAt), slow, "from the asking on, not from the answer")
		n.caller.Close()
	})
}

// TestLongestUnconfirmedPeriod: with the core away and one of three members silent, a node whose other
// peer answers, however slowly within two heartbeats, never holds its picks; once that one
// is silent too, it holds within the span and goes on as soon as it is answered again.
func TestLongestUnconfirmedPeriod(t *testing.T) {
	for _, slow := range []time.Duration{0, 60 * time.Millisecond, 140 * time.Millisecond, 250 * time.Millisecond} {
		t.Run(slow.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(context.Background())
				w := simulated.NewWorld(1)
				near, at, away := w.Machine("10.0.0.1").Start(), w.Machine("10.0.0.2").Start(), w.Machine("10.0.0.3").Start()
				defer func() { stop(); near.Kill(); at.Kill(); away.Kill(); time.Sleep(10 * time.Second) }()
				b, c := coordination.Member{Node: "b", Addr: "10.0.0.1:1"}, coordination.Member{Node: "c", Addr: "10.0.0.3:1"}
				n := New(Options{Name: "n", Addr: "10.0.0.2:1", Host: at.Host()})
				img := &coordination.Snapshot{Seq: 1, Members: []coordination.Member{n.self, b, c}, State: fleetstate.NewView(logging.Discard()).Snapshot()}
				mux := http.NewServeMux()
				rpc.Handle(mux, coordination.WatchMethod, func(context.Context, *coordination.WatchRequest) (*coordination.WatchResponse, error) {
					return &coordination.WatchResponse{Seq: 1, Snapshot: coordination.MustMarshal(img)}, nil
				})
				rpc.Handle(mux, heartbeatMethod, func(context.Context, *Heartbeat) (*Heartbeat, error) {
					time.Sleep(slow)
					return &Heartbeat{Node: "b"}, nil
				})
				l, err := near.Host().Net.Listen(b.Addr)
				require.NoError(t, err)
				go rpc.Serve(ctx, l, mux)
				require.NoError(t, n.agent.Fetch(ctx, b.Addr))
				w.Partition([]string{"10.0.0.2"}, []string{"10.0.0.3"}, true)
				go n.heartbeatLoop(ctx)
				time.Sleep(2 * time.Second)
				longest := func(duration time.Duration) (limit time.Duration) {
					var since time.Time
					for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(time.Millisecond) {
						switch {
						case n.recentlyConfirmed():
							since = time.Time{}
						case since.IsZero():
							since = time.Now()
						default:
							limit = max(limit, time.Since(since))
						}
					}
					return limit
				}
				require.True(t, n.recentlyConfirmed())
				got := longest(20 * time.Second)
				t.Log("the longest hold:", got)
				require.Zero(t, got)
				w.Partition([]string{"10.0.0.2"}, []string{"10.0.0.1"}, true)
				time.Sleep(confirmationTTL + time.Millisecond)
				require.False(t, n.recentlyConfirmed(), "it might not have heard")
				require.Greater(t, longest(3*time.Second), 2900*time.Millisecond)
				w.Partition([]string{"10.0.0.2"}, []string{"10.0.0.1"}, false)
				got = longest(5 * time.Second)
				t.Log("after the cut:", got)
				require.Less(t, got, time.Second)
				require.True(t, n.recentlyConfirmed())
				n.caller.Close()
			})
		})
	}
}
