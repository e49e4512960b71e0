// Tests nodes whose process restarts at the same address.

package coordination_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/coordination"
	"keelstair.example/ids"
)

// startNamedAgent starts an agent with a node id that is not its address.
func (f *testCluster) startNamedAgent(ip, name string) (*coordination.Agent, *sumWatcher) {
	v := &sumWatcher{}
	p := f.world.Machine(ip).Start()
	a := coordination.NewAgent(coordination.AgentOptions{
		Self:    coordination.Member{Node: ids.NodeID(name), Addr: ip + ":1"},
		Host:    p.Host(),
		Seeds:   f.seeds,
		Watcher: v,
	})
	f.startProcess(ip, ip+":1", p, a.Mount, a.Run)
	return a, v
}

// memberIDs returns the ids of the members that a node knows.
func memberNames(a *coordination.Agent) []string {
	var out []string
	for _, m := range a.Members() {
		out = append(out, string(m.Node))
	}
	return out
}

// TestRestartedNodeIsOneMember checks that a node that restarts at its address is a single member from its
// first renewal on, and that the keys of its former process are reassigned once that process's lease has
// expired, also if the primary is lost in between.
func TestRestartedNodeIsOneMember(t *testing.T) {
	for _, loss := range []bool{false, true} {
		t.Run(fmt.Sprint("primary lost ", loss), func(t *testing.T) {
			forEachSeed(t, func(t *testing.T, seed uint64) {
				f := newCluster(seed)
				defer f.close()
				require.NoError(t, f.submitNumber(1, "first", 10*time.Second))
				time.Sleep(5 * time.Second)
				for i := range f.agents {
					ip := fmt.Sprintf("10.0.1.%d", i+1)
					f.powerOff(ip)
					f.agents[i], f.watchers[i] = f.startNamedAgent(ip, fmt.Sprint("second-", i))
				}
				killed := time.Now()
				time.Sleep(time.Second)
				if loss {
					f.powerOff(f.leader())
				}
				time.Sleep(1500 * time.Millisecond)
				for _, a := range f.agents {
					require.Equal(t, []string{"second-0", "second-1"}, memberNames(a))
					require.Empty(t, a.OwnedKeys(), "%s after the restart", time.Since(killed))
				}
				time.Sleep(5 * time.Second)
				require.Equal(t, 2, len(f.agents[0].OwnedKeys())+len(f.agents[1].OwnedKeys()))
			})
		})
	}
}
