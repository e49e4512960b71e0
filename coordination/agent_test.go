// Tests an agent against a fake core that only answers renewals.

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

// nullWatcher is a Watcher that ignores everything.
type nullWatcher struct{}

func (nullWatcher) Restore([]byte) error                 { return nil }
func (nullWatcher) Observe(ids.Seq, string, []byte) bool { return false }
func (nullWatcher) Snapshot() []byte                     { return nil }

// TestRenewedLeaseWaitsForFeed checks that after an expired lease is renewed, the agent owns no key until it
// has applied the change feed up to the renewal, since the key may have been reassigned.
func TestRenewedLeaseWaitsForFeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := simulated.NewWorld(1)
		core, node := w.Machine("10.0.0.1").Start(), w.Machine("10.0.0.2").Start()
		ctx, stop := context.WithCancel(context.Background())
		defer func() { stop(); core.Kill(); node.Kill(); time.Sleep(10 * time.Second) }()
		mux := http.NewServeMux()
		rpc.Handle(mux, RenewMethod, func(context.Context, *RenewRequest) (*RenewResponse, error) {
			return &RenewResponse{Seq: 9}, nil
		})
		l, err := core.Host().Net.Listen("10.0.0.1:1")
		require.NoError(t, err)
		go rpc.Serve(ctx, l, mux)
		a := NewAgent(AgentOptions{
			Self:    Member{Node: "n", Addr: "10.0.0.2:1"},
			Host:    node.Host(),
			Watcher: nullWatcher{},
		})
		a.directory.Merge(&PeerExchange{Record: Record{
			Epoch:     1,
			ClusterID: "f",
			Primary:   Replica{Disk: "d", Addr: "10.0.0.1:1"},
		}})
		setView := func(seq ids.Seq) {
			a.view.Store(&clusterView{seq: seq, grants: map[ids.Key]Grant{"k": {Key: "k", Node: "n", Fence: 3}}})
		}
		setView(5)
		_, ok := a.OwnsKey("k")
		require.False(t, ok, "no lease yet")
		require.NoError(t, a.renew(ctx))
		_, ok = a.OwnsKey("k")
		require.False(t, ok, "entries 6 to 9 may reassign the key")
		setView(9)
		_, ok = a.OwnsKey("k")
		require.True(t, ok)
		time.Sleep(800 * time.Millisecond)
		require.NoError(t, a.renew(ctx))
		setView(8)
		a.LeaseValid()
		time.Sleep(3500 * time.Millisecond)
		_, ok = a.OwnsKey("k")
		require.False(t, ok, "the lease has expired")
		a.caller.Close()
	})
}
