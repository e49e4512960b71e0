// These tests check the bounds that an agent gives for the fleet's time, whether it regards its state as current,
// and which nodes are eligible for a key.

package coordination

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/host/simulated"
	"keelstair.example/ids"
	"keelstair.example/rpc"
)

// TestTimeBoundsAndCurrent checks that the time bounds hold whenever the core read its time between request
// and response, and that the upper bound never decreases while the clock runs steadily. Current
// must end with the lease and return only once the feed up to the renewal has been applied.
func TestTimeBoundsAndCurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := simulated.NewWorld(1)
		core, node := w.Machine("10.0.0.1").Start(), w.Machine("10.0.0.2").Start()
		ctx, stop := context.WithCancel(context.Background())
		defer func() { stop(); core.Kill(); node.Kill(); time.Sleep(10 * time.Second) }()
		mux := http.NewServeMux()
		coreTime := int64(0)
		rpc.Handle(mux, RenewMethod, func(context.Context, *RenewRequest) (*RenewResponse, error) {
			time.Sleep(100 * time.Millisecond)
			return &RenewResponse{Seq: 9, Time: coreTime}, nil
		})
		l, err := core.Host().Net.Listen("10.0.0.1:1")
		require.NoError(t, err)
		go rpc.Serve(ctx, l, mux)
		a := NewAgent(AgentOptions{
			Self:    Member{Node: "n", Addr: "10.0.0.2:1"},
			Host:    node.Host(),
			Watcher: nullWatcher{},
		})
		defer a.caller.Close()
		a.directory.Merge(&PeerExchange{Record: Record{
			Epoch:     1,
			ClusterID: "f",
			Primary:   Replica{Disk: "d", Addr: "10.0.0.1:1"},
		}})
		a.view.Store(&clusterView{seq: 5, grants: map[ids.Key]Grant{}})
		require.False(t, a.Current(), "no lease yet")
		require.NoError(t, a.renew(ctx))
		low, high := a.Time()
		require.Zero(t, low+high, "the core sent no time")
		require.False(t, a.Current(), "entries 6 to 9 may contain a revocation")
		a.view.Store(&clusterView{seq: 9, grants: map[ids.Key]Grant{}})
		require.True(t, a.Current())
		coreTime = int64(time.Hour)
		require.NoError(t, a.renew(ctx))
		low, high = a.Time()
		require.GreaterOrEqual(t, low, coreTime)
		require.GreaterOrEqual(t, high, coreTime+int64(100*time.Millisecond), "the core may have read it at once")
		require.Less(t, high, coreTime+int64(time.Second))
		begun := time.Now()
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			a.LeaseValid()
			low, high = a.Time()
			require.LessOrEqual(t, low, coreTime+int64(time.Since(begun)))
			require.GreaterOrEqual(t, high, coreTime+int64(time.Since(begun)))
		}
		// An earlier time from a new primary must not lower the upper bound.
		coreTime -= int64(time.Minute)
		require.NoError(t, a.renew(ctx))
		_, again := a.Time()
		require.GreaterOrEqual(t, again, high)
		w.Machine("10.0.0.2").JumpClock(time.Hour)
		a.LeaseValid()
		low, high = a.Time()
		require.Zero(t, low+high, "after a clock jump the earlier time is discarded")
		require.NoError(t, a.renew(ctx))
		_, high = a.Time()
		require.Less(t, high, coreTime+int64(time.Second))
		for range 40 {
			require.True(t, a.Current() || a.SinceConfirmed() > 2900*time.Millisecond)
			time.Sleep(100 * time.Millisecond)
			a.LeaseValid()
		}
		require.False(t, a.Current(), "the lease has expired")
		a.view.Store(&clusterView{seq: 8, grants: map[ids.Key]Grant{}})
		require.NoError(t, a.renew(ctx))
		require.False(t, a.Current(), "the feed up to the renewal is not applied yet")
	})
}

// eligibleSet is a Placer that allows only the nodes in it.
type eligibleSet map[ids.NodeID]bool

func (p eligibleSet) Eligible(_ ids.Key, n ids.NodeID) bool { return p[n] }

// TestEligibleNodes checks that a key may be assigned to its eligible live nodes, or to any live node if none
// of them is eligible.
func TestEligibleNodes(t *testing.T) {
	type machine struct {
		StateMachine
		eligibleSet
	}
	live := []ids.NodeID{"a", "b", "c"}
	require.Equal(t, live, eligibleNodes(struct{ StateMachine }{}, "k", live))
	require.Equal(t, []ids.NodeID{"b", "c"}, eligibleNodes(&machine{eligibleSet: eligibleSet{
		"b": true,
		"c": true,
		"d": true,
	}}, "k", live))
	require.Equal(t, live, eligibleNodes(&machine{eligibleSet: eligibleSet{}}, "k", live))
}
