package coordination

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/host/simulated"
	"keelstair.example/ids"
	"keelstair.example/rpc"
)

// TestCurrentAt checks that the view is current as of the time a confirmed renewal was sent, once it
// has applied the log up to the sequence number in the confirmation.
func TestCurrentAt(t *testing.T) {
	a := &Agent{}
	at := func(seq ids.Seq) ids.Tick {
		a.view.Store(&clusterView{seq: seq})
		return a.CurrentAt()
	}
	require.Zero(t, at(7))
	a.confirmations.add(confirmation{sentAt: 100, seq: 5})
	a.confirmations.add(confirmation{sentAt: 200, seq: 9})
	require.EqualValues(t, 100, at(8))
	require.EqualValues(t, 200, at(9))
	for i := range ids.Seq(3 * maxPendingConfirmations) {
		a.confirmations.add(confirmation{sentAt: ids.Tick(300 + i), seq: 20 + i})
	}
	require.EqualValues(t, 200, at(19))
	require.EqualValues(t, 300+2*maxPendingConfirmations, at(20+2*maxPendingConfirmations))
	require.EqualValues(t, 300+3*maxPendingConfirmations-1, at(100))
}

// TestReachability checks the probe results for a primary that accepts connections but confirms
// nothing, one that is partitioned, and one that is down.
func TestReachability(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := simulated.NewWorld(1)
		core, node := w.Machine("10.0.0.1").Start(), w.Machine("10.0.0.2").Start()
		ctx, stop := context.WithCancel(context.Background())
		defer func() { stop(); core.Kill(); node.Kill(); time.Sleep(10 * time.Second) }()
		mux := http.NewServeMux()
		var silent atomic.Bool
		rpc.Handle(mux, RenewMethod, func(ctx context.Context, _ *RenewRequest) (*RenewResponse, error) {
			if silent.Load() {
				<-ctx.Done()
			}
			return &RenewResponse{}, nil
		})
		l, err := core.Host().Net.Listen("10.0.0.1:1")
		require.NoError(t, err)
		go rpc.Serve(ctx, l, mux)
		a := NewAgent(AgentOptions{Self: Member{Node: "n", Addr: "10.0.0.2:1"}, Host: node.Host(), Watcher: nullWatcher{}})
		a.directory.Merge(&PeerExchange{Record: Record{Epoch: 1, ClusterID: "f", Primary: Replica{Disk: "d", Addr: "10.0.0.1:1"}}})
		go a.Run(ctx)
		time.Sleep(5 * time.Second)
		require.Equal(t, Reachability{}, a.Reachability(), "no probe is sent while the core confirms renewals")
		silent.Store(true)
		time.Sleep(5 * time.Second)
		require.NotZero(t, a.Reachability().ReachableSince)
		require.False(t, a.Reachability().Unreachable)
		w.Partition([]string{"10.0.0.1"}, []string{"10.0.0.2"}, true)
		time.Sleep(2 * time.Second)
		require.Equal(t, Reachability{Unreachable: true}, a.Reachability())
		w.Partition([]string{"10.0.0.1"}, []string{"10.0.0.2"}, false)
		time.Sleep(2 * time.Second)
		require.False(t, a.Reachability().Unreachable)
		core.Kill()
		time.Sleep(2 * time.Second)
		require.Equal(t, Reachability{Unreachable: true}, a.Reachability())
	})
}
