// Tests address changes while old directory exchanges are still being delivered.

package coordination_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/coordination"
	"keelstair.example/rpc"
)

// TestStaleExchanges replaces the seeds one by one by empty machines at new addresses, lets nodes leave
// and join at new addresses, and after each step sends all earlier exchanges to every process again. No
// process may go back to them: all must keep the members in the log and the current record.
func TestStaleExchanges(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		f := newCluster(seed)
		defer f.close()
		require.NoError(t, f.submitNumber(1, "first", 10*time.Second))
		directories := func() map[string]*coordination.Directory {
			out := map[string]*coordination.Directory{}
			for ip, c := range f.cores {
				out[ip] = c.Directory()
			}
			for _, a := range f.agents {
				out[string(a.Self().Node)] = a.Directory()
			}
			return out
		}
		disagreement := func() string {
			if f.leader() == "" {
				return "there is no primary"
			}
			want := f.cores[f.leader()].Directory().Exchange()
			for ip, d := range directories() {
				p := d.Exchange()
				if p.Record.Epoch != want.Record.Epoch || fmt.Sprint(p.Members) != fmt.Sprint(want.Members) {
					return fmt.Sprintf(
						"%s has members %v in epoch %d, the primary has %v in epoch %d",
						ip,
						p.Members,
						p.Record.Epoch,
						want.Members,
						want.Record.Epoch,
					)
				}
			}
			if len(want.Members) != len(f.agents) {
				return fmt.Sprintf("members %v for %d nodes", want.Members, len(f.agents))
			}
			return ""
		}
		requireAgreement := func(when string) {
			t.Helper()
			end := time.Now().Add(40 * time.Second)
			for disagreement() != "" && time.Now().Before(end) {
				time.Sleep(100 * time.Millisecond)
			}
			require.Empty(t, disagreement(), when)
		}
		sender := f.world.Machine("10.0.2.1").Start()
		caller := rpc.NewCaller(sender.Host().Net)
		defer func() { caller.Close(); sender.Kill() }()
		var previous []*coordination.PeerExchange
		sendPrevious := func() {
			for _, p := range previous {
				for ip := range directories() {
					ctx, stop := context.WithTimeout(context.Background(), time.Second)
					rpc.Call[coordination.PeerExchange, coordination.PeerExchange](
						ctx, caller, ip+":1", coordination.ExchangeMethod, p,
					)
					stop()
					require.Empty(t, disagreement(), "after an old exchange of epoch %d", p.Record.Epoch)
				}
			}
		}
		requireAgreement("at the start")
		for i := range 3 {
			for _, d := range directories() {
				p := d.Exchange()
				p.Self = coordination.Replica{}
				previous = append(previous, p)
			}
			switch k := (int(seed) + i) % 3; k {
			case 0: // a node leaves, another joins at a new address
				f.agents[1].Leave()
				f.stops[string(f.agents[1].Self().Node)]()
				time.Sleep(time.Second)
				f.agents[1], f.watchers[1] = f.startAgent(fmt.Sprintf("10.0.1.%d", 7+i))
			case 1: // one more node
				a, v := f.startAgent(fmt.Sprintf("10.0.1.%d", 7+i))
				f.agents, f.watchers = append(f.agents, a), append(f.watchers, v)
			case 2: // a seed is replaced by an empty machine
				out := f.seeds[i][:8]
				f.powerOff(out)
				f.world.Machine(out).WipeDisk()
				f.seeds[i] = fmt.Sprintf("10.0.0.%d:1", 7+i)
				f.startMember(f.seeds[i])
				for _, d := range directories() {
					d.SetSeeds(f.seeds)
				}
				end := time.Now().Add(40 * time.Second)
				for voter := false; !voter && time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
					if l := f.leader(); l != "" {
						for _, s := range f.cores[l].Directory().Record().Voters {
							voter = voter || s.Addr == f.seeds[i]
						}
					}
				}
			}
			requireAgreement(fmt.Sprint("after step ", i))
			sendPrevious()
			time.Sleep(6 * time.Second)
			require.Empty(t, disagreement(), "6 s after the old exchanges")
			require.NoError(t, f.submitNumber(1, fmt.Sprint("op", i), 10*time.Second))
			requireAgreement("after another command")
			for _, s := range f.cores[f.leader()].Directory().Record().Voters {
				require.NotNil(t, f.cores[s.Addr[:8]], "voter %s must be a running core", s.Addr)
			}
		}
		time.Sleep(time.Second)
		for _, v := range f.watchers {
			require.EqualValues(t, 4, v.sum.Load())
		}
	})
}
