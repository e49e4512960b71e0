// A node's word from the core, and who a key may fall to.

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

// TestCurrent: the bounds of the told time hold whenever it was told between asking and
// answer, and the upper never goes back; the word ends with the lease, and comes back
// only once the news up to the renewal is folded.
func TestCurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := simulated.NewWorld(1)
		core, node := w.Machine("10.0.0.1").Start(), w.Machine("10.0.0.2").Start()
		ctx, stop := context.WithCancel(context.Background())
		defer func() { stop(); core.Kill(); node.Kill(); time.Sleep(10 * time.Second) }()
		mux := http.NewServeMux()
		samples := int64(0)
		rpc.Handle(mux, RenewMethod, func(context.Context, *RenewRequest) (*RenewResponse, error) {
			time.Sleep(100 * time.Millisecond)
			return &RenewResponse{Seq: 9, Time: samples}, nil
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
		require.Zero(t, low+high, "none was told")
		require.False(t, a.Current(), "news 6 to 9 may be a revocation")
		a.view.Store(&clusterView{seq: 9, grants: map[ids.Key]Grant{}})
		require.True(t, a.Current())
		samples = int64(time.Hour)
		require.NoError(t, a.renew(ctx))
		low, high = a.Time()
		require.GreaterOrEqual(t, low, samples)
		require.GreaterOrEqual(t, high, samples+int64(100*time.Millisecond), "it may have been told at once")
		require.Less(t, high, samples+int64(time.Second))
		begun := time.Now()
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			a.LeaseValid()
			low, high = a.Time()
			require.LessOrEqual(t, low, samples+int64(time.Since(begun)))
			require.GreaterOrEqual(t, high, samples+int64(time.Since(begun)))
		}
		// A primary that knows of an earlier time moves nothing back.
		samples -= int64(time.Minute)
		require.NoError(t, a.renew(ctx))
		_, again := a.Time()
		require.GreaterOrEqual(t, again, high)
		w.Machine("10.0.0.2").JumpClock(time.Hour)
		a.LeaseValid()
		low, high = a.Time()
		require.Zero(t, low+high, "its clock leapt: what was told says nothing")
		require.NoError(t, a.renew(ctx))
		_, high = a.Time()
		require.Less(t, high, samples+int64(time.Second))
		for range 40 {
			require.True(t, a.Current() || a.SinceConfirmed() > 2900*time.Millisecond)
			time.Sleep(100 * time.Millisecond)
			a.LeaseValid()
		}
		require.False(t, a.Current(), "the lease has lapsed")
		a.view.Store(&clusterView{seq: 8, grants: map[ids.Key]Grant{}})
		require.NoError(t, a.renew(ctx))
		require.False(t, a.Current(), "what came meanwhile is not folded")
	})
}

type eligibleSet map[ids.NodeID]bool

func (p eligibleSet) Eligible(_ ids.Key, n ids.NodeID) bool { return p[n] }

// TestAmong: a key falls to those that may have it, or, if none may, to any.
func TestAmong(t *testing.T) {
	type app struct {
		StateMachine
		eligibleSet
	}
	live := []ids.NodeID{"a", "b", "c"}
	require.Equal(t, live, eligibleNodes(struct{ StateMachine }{}, "k", live))
	require.Equal(t, []ids.NodeID{"b", "c"}, eligibleNodes(&app{eligibleSet: eligibleSet{
		"b": true,
		"c": true,
		"d": true,
	}}, "k", live))
	require.Equal(t, live, eligibleNodes(&app{eligibleSet: eligibleSet{}}, "k", live))
}
