// Tests the restart of many nodes at once after a power loss of the whole cluster.

package coordination_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/coordination"
)

// TestMassRestartSendsFewMemberLists checks that after a power loss of the whole cluster the member list,
// which has an entry for each node, is sent to a node only a few times per start, and not with each
// search for the primary.
func TestMassRestartSendsFewMemberLists(t *testing.T) {
	const nodes = 150
	// Per start, the change feed sends a node the list twice (in the snapshot and with the joins) and a peer
	// sends it once. The limit is twice that, to allow for all other calls.
	const maxLists = 6
	synctest.Test(t, func(t *testing.T) {
		f := newCluster(7)
		defer f.close()
		startNodes := func(generation string) {
			for i := range nodes {
				a, v := f.startNamedAgent(
					fmt.Sprintf("10.0.2.%d", i+1),
					fmt.Sprintf("edge-zone-%d-%s-0123456789abcdef", i, generation),
				)
				f.agents, f.watchers = append(f.agents, a), append(f.watchers, v)
			}
		}
		startNodes("first")
		time.Sleep(10 * time.Second)
		members := f.agents[2].Members()
		require.Len(t, members, nodes+2)
		var memberList coordination.PeerExchange
		memberList.Members = members
		for ip := range f.processes {
			f.powerOff(ip)
		}
		time.Sleep(1300 * time.Millisecond)
		before := 0
		for ip := range f.processes {
			before += f.world.Machine(ip).BytesSent()
		}
		for _, a := range f.seeds {
			f.startMember(a)
		}
		f.agents, f.watchers = nil, nil
		startNodes("second")
		time.Sleep(3 * time.Second)
		sent := -before
		for ip := range f.processes {
			sent += f.world.Machine(ip).BytesSent()
		}
		for _, a := range f.agents {
			require.True(t, a.CaughtUp(time.Second), "%s must be confirmed", a.Self().Node)
		}
		require.Less(t, float64(sent)/nodes/float64(len(coordination.MustMarshal(&memberList))), float64(maxLists))
	})
}
