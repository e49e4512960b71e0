// The return of many nodes at once after a loss of all power.

package coordination_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/coordination"
)

// TestReturnTellsMembersToFew: after a loss of all power the list of members, which has a row for each
// node, goes to a node as often as it starts, and not with each question for the primary.
func TestReturnTellsMembersToFew(t *testing.T) {
	const nodes = 150
	// The change feed brings the list twice (snapshot and joins), a peer once; half goes to all other calls.
	const maxLists = 6
	synctest.Test(t, func(t *testing.T) {
		f := newCluster(7)
		defer f.close()
		start := func(life string) {
			for i := range nodes {
				a, v := f.startNamedAgent(fmt.Sprintf("10.0.2.%d", i+1), fmt.Sprintf("edge-zone-%d-%s-0123456789abcdef", i, life))
				f.agents, f.watchers = append(f.agents, a), append(f.watchers, v)
			}
		}
		start("first")
		time.Sleep(10 * time.Second)
		members := f.agents[2].Members()
		require.Len(t, members, nodes+2)
		var list coordination.PeerExchange
		list.Members = members
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
		start("second")
		time.Sleep(3 * time.Second)
		sent := -before
		for ip := range f.processes {
			sent += f.world.Machine(ip).BytesSent()
		}
		for _, a := range f.agents {
			require.True(t, a.CaughtUp(time.Second), "%s is confirmed", a.Self().Node)
		}
		require.Less(t, float64(sent)/nodes/float64(len(coordination.MustMarshal(&list))), float64(maxLists))
	})
}
