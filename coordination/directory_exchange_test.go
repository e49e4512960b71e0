// Whereabouts that change while old pages of them go round.

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

// TestStaleExchanges: the seeds are exchanged one by one for empty machines at new addresses,
// nodes leave and others join at new addresses, and at each step everyone is told the
// pages that were true before. Nobody goes back to them: all name the members that the
// log has, and the disk machines that hold the core. Many seeds.
func TestStaleExchanges(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		f := newCluster(seed)
		defer f.close()
		require.NoError(t, f.submitNumber(1, "first", 10*time.Second))
		books := func() map[string]*coordination.Directory {
			out := map[string]*coordination.Directory{}
			for ip, c := range f.cores {
				out[ip] = c.Directory()
			}
			for _, a := range f.agents {
				out[string(a.Self().Node)] = a.Directory()
			}
			return out
		}
		apart := func() string {
			if f.leader() == "" {
				return "nobody leads"
			}
			want := f.cores[f.leader()].Directory().Exchange()
			for ip, b := range books() {
				p := b.Exchange()
				if p.Record.Epoch != want.Record.Epoch || fmt.Sprint(p.Members) != fmt.Sprint(want.Members) {
					return fmt.Sprintf(
						"%s has %v in epoch %d, the leader %v in %d",
						ip,
						p.Members,
						p.Record.Epoch,
						want.Members,
						want.Record.Epoch,
					)
				}
			}
			if len(want.Members) != len(f.agents) {
				return fmt.Sprintf("%v for %d nodes", want.Members, len(f.agents))
			}
			return ""
		}
		agree := func(what string) {
			t.Helper()
			end := time.Now().Add(40 * time.Second)
			for apart() != "" && time.Now().Before(end) {
				time.Sleep(100 * time.Millisecond)
			}
			require.Empty(t, apart(), what)
		}
		teller := f.world.Machine("10.0.2.1").Start()
		call := rpc.NewCaller(teller.Host().Net)
		defer func() { call.Close(); teller.Kill() }()
		var previous []*coordination.PeerExchange
		tell := func() {
			for _, p := range previous {
				for ip := range books() {
					ctx, stop := context.WithTimeout(context.Background(), time.Second)
					rpc.Call[coordination.PeerExchange, coordination.PeerExchange](
						ctx, call, ip+":1", coordination.ExchangeMethod, p,
					)
					stop()
					require.Empty(t, apart(), "told by a page of epoch %d", p.Record.Epoch)
				}
			}
		}
		agree("at the start")
		for i := range 3 {
			for _, b := range books() {
				p := b.Exchange()
				p.Self = coordination.Replica{}
				previous = append(previous, p)
			}
			switch k := (int(seed) + i) % 3; k {
			case 0: // a node leaves, another joins elsewhere
				f.agents[1].Leave()
				f.stops[string(f.agents[1].Self().Node)]()
				time.Sleep(time.Second)
				f.agents[1], f.watchers[1] = f.startAgent(fmt.Sprintf("10.0.1.%d", 7+i))
			case 1: // one more node
				a, v := f.startAgent(fmt.Sprintf("10.0.1.%d", 7+i))
				f.agents, f.watchers = append(f.agents, a), append(f.watchers, v)
			case 2: // a seed is exchanged
				out := f.seeds[i][:8]
				f.powerOff(out)
				f.world.Machine(out).WipeDisk()
				f.seeds[i] = fmt.Sprintf("10.0.0.%d:1", 7+i)
				f.startMember(f.seeds[i])
				for _, b := range books() {
					b.SetSeeds(f.seeds)
				}
				end := time.Now().Add(40 * time.Second)
				for held := false; !held && time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
					if l := f.leader(); l != "" {
						for _, s := range f.cores[l].Directory().Record().Voters {
							held = held || s.Addr == f.seeds[i]
						}
					}
				}
			}
			agree(fmt.Sprint("after step ", i))
			tell()
			time.Sleep(6 * time.Second)
			require.Empty(t, apart(), "later")
			require.NoError(t, f.submitNumber(1, fmt.Sprint("op", i), 10*time.Second))
			agree("once more")
			for _, s := range f.cores[f.leader()].Directory().Record().Voters {
				require.NotNil(t, f.cores[s.Addr[:8]], "%s holds a register", s.Addr)
			}
		}
		time.Sleep(time.Second)
		for _, v := range f.watchers {
			require.EqualValues(t, 4, v.sum.Load())
		}
	})
}
