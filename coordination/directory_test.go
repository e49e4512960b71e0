// Tests directory exchanges that arrive out of order.

package coordination

import (
	"testing"

	"github.com/stretchr/testify/require"

	"keelstair.example/host/simulated"
	"keelstair.example/ids"
)

// TestStaleMembersIgnored checks that the members with the highest sequence number win, whatever the epoch
// and the order in which exchanges arrive, and also if that list is empty.
func TestStaleMembersIgnored(t *testing.T) {
	record := Record{Epoch: 3, ClusterID: "f"}
	exchange := func(epoch ids.Epoch, seq ids.Seq, names ...ids.NodeID) *PeerExchange {
		p := &PeerExchange{Record: record, Seq: seq}
		p.Record.Epoch = epoch
		for _, n := range names {
			p.Members = append(p.Members, Member{Node: n, Addr: string(n) + ":1"})
		}
		return p
	}
	requireMembers := func(d *Directory, names ...ids.NodeID) {
		t.Helper()
		var got []ids.NodeID
		for _, m := range d.Exchange().Members {
			got = append(got, m.Node)
		}
		require.Equal(t, names, got)
	}
	p := simulated.NewWorld(1).Machine("10.0.0.1").Start()
	defer p.Kill()
	d := NewDirectory(p.Host(), nil, nil, Replica{Disk: "d", Addr: "d:1"})
	d.Merge(exchange(3, 5, "a", "b"))
	requireMembers(d, "a", "b")
	d.Merge(exchange(3, 4, "a", "gone"))
	requireMembers(d, "a", "b")
	d.Merge(exchange(4, 4, "a", "gone"))
	requireMembers(d, "a", "b")
	d.Merge(exchange(3, 6, "a", "b", "c"))
	requireMembers(d, "a", "b", "c")
	d.SetMembers(7, exchange(4, 7, "c").Members)
	requireMembers(d, "c")
	d.Merge(exchange(4, 6, "a", "b", "c"))
	requireMembers(d, "c")
	d.SetMembers(6, exchange(4, 6, "a", "b", "c").Members)
	requireMembers(d, "c")
	require.Equal(t, ids.Seq(7), d.Exchange().Seq)
	d.Merge(exchange(4, 8))
	requireMembers(d)
	d.Merge(exchange(4, 7, "c"))
	requireMembers(d)
}
