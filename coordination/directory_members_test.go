// Who is told the members.

package coordination

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/host/simulated"
	"keelstair.example/ids"
)

// TestSearchTellsNoMembers: a question for the primary and its answer stay small in a fleet of hundreds,
// while a process that is behind still comes by the members.
func TestSearchTellsNoMembers(t *testing.T) {
	const smallPage = 1024 // bytes
	p := simulated.NewWorld(1).Machine("10.0.0.1").Start()
	defer p.Kill()
	var members []Member
	for i := range 300 {
		node := ids.NodeID(fmt.Sprintf("edge-%d-0123456789abcdef", i))
		members = append(members, Member{Node: node, Addr: fmt.Sprintf("10.0.3.%d:1", i)})
	}
	known := NewDirectory(p.Host(), nil, nil, Replica{Disk: "d", Addr: "d:1"})
	known.SetMembers(9, members)
	asker := NewDirectory(p.Host(), nil, nil, Replica{Addr: "a:1"})
	require.Less(t, len(MustMarshal(known.newRequest())), smallPage)
	require.Less(t, len(MustMarshal(known.handleExchange(asker.newRequest()))), smallPage, "it has just started")
	behind := &PeerExchangeRequest{KnownSeq: 8}
	asker.Merge(known.handleExchange(behind))
	require.Equal(t, members, asker.Exchange().Members)
	require.Less(t, len(MustMarshal(known.handleExchange(&PeerExchangeRequest{KnownSeq: 9}))), smallPage, "it has them")
	asker.Merge(known.handleExchange(&PeerExchangeRequest{KnownSeq: 9}))
	require.Equal(t, members, asker.Exchange().Members, "a page without members takes none away")
	asker.membersRequestedAt = p.Host().Clock.Now().Add(-membersInterval - time.Millisecond)
	require.False(t, asker.newRequest().NoMembers)
	require.True(t, asker.newRequest().NoMembers, "one process is asked at a time")
}
