// Pages of directory that went round for a while.

package coordination

import (
	"testing"

	"github.com/stretchr/testify/require"

	"keelstair.example/host/simulated"
	"keelstair.example/ids"
)

// TestStalePage: of two pages of one epoch the one that has more of the log tells who the
// members are, whichever comes last; so does one that tells of none left.
func TestStalePage(t *testing.T) {
	record := Record{Epoch: 3, ClusterID: "f"}
	page := func(epoch ids.Epoch, seq ids.Seq, names ...ids.NodeID) *PeerExchange {
		p := &PeerExchange{Record: record, Seq: seq}
		p.Record.Epoch = epoch
		for _, n := range names {
			p.Members = append(p.Members, Member{Node: n, Addr: string(n) + ":1"})
		}
		return p
	}
	has := func(b *Directory, names ...ids.NodeID) {
		t.Helper()
		var got []ids.NodeID
		for _, m := range b.Exchange().Members {
			got = append(got, m.Node)
		}
		require.Equal(t, names, got)
	}
	p := simulated.NewWorld(1).Machine("10.0.0.1").Start()
	defer p.Kill()
	b := NewDirectory(p.Host(), nil, nil, Replica{Disk: "d", Addr: "d:1"})
	b.Merge(page(3, 5, "a", "b"))
	has(b, "a", "b")
	b.Merge(page(3, 4, "a", "gone"))
	has(b, "a", "b")
	b.Merge(page(4, 4, "a", "gone"))
	has(b, "a", "b")
	b.Merge(page(3, 6, "a", "b", "c"))
	has(b, "a", "b", "c")
	b.SetMembers(7, page(4, 7, "c").Members)
	has(b, "c")
	b.Merge(page(4, 6, "a", "b", "c"))
	has(b, "c")
	b.SetMembers(6, page(4, 6, "a", "b", "c").Members)
	has(b, "c")
	require.Equal(t, ids.Seq(7), b.Exchange().Seq)
	b.Merge(page(4, 8))
	has(b)
	b.Merge(page(4, 7, "c"))
	has(b)
}
