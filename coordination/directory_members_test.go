// Tests which exchanges contain the member list.

package coordination

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/host/simulated"
	"keelstair.example/ids"
)

// TestPrimarySearchOmitsMembers checks that a request for the primary and its response stay small in a
// cluster of hundreds of nodes, while a process with an older member list still gets the newer one.
func TestPrimarySearchOmitsMembers(t *testing.T) {
	const maxExchangeBytes = 1024
	p := simulated.NewWorld(1).Machine("10.0.0.1").Start()
	defer p.Kill()
	var members []Member
	for i := range 300 {
		node := ids.NodeID(fmt.Sprintf("edge-%d-0123456789abcdef", i))
		members = append(members, Member{Node: node, Addr: fmt.Sprintf("10.0.3.%d:1", i)})
	}
	known := NewDirectory(p.Host(), nil, nil, Replica{Disk: "d", Addr: "d:1"})
	known.SetMembers(9, members)
	searcher := NewDirectory(p.Host(), nil, nil, Replica{Addr: "a:1"})
	require.Less(t, len(MustMarshal(known.newRequest())), maxExchangeBytes)
	require.Less(
		t,
		len(MustMarshal(known.handleExchange(searcher.newRequest()))),
		maxExchangeBytes,
		"the response to a process that has just started",
	)
	behind := &PeerExchangeRequest{KnownSeq: 8}
	searcher.Merge(known.handleExchange(behind))
	require.Equal(t, members, searcher.Exchange().Members)
	require.Less(
		t,
		len(MustMarshal(known.handleExchange(&PeerExchangeRequest{KnownSeq: 9}))),
		maxExchangeBytes,
		"the response to a process with the newest members",
	)
	searcher.Merge(known.handleExchange(&PeerExchangeRequest{KnownSeq: 9}))
	require.Equal(t, members, searcher.Exchange().Members, "an exchange without members must not remove any")
	searcher.membersRequestedAt = p.Host().Clock.Now().Add(-membersInterval - time.Millisecond)
	require.False(t, searcher.newRequest().NoMembers)
	require.True(t, searcher.newRequest().NoMembers, "only one request per interval asks for the members")
}
