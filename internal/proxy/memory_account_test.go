// Tests of the free memory of workers, which a node estimates from delayed reports and its own reservations.
// The reports are distributed to all nodes, and the free memory is used to rank workers.

package proxy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/coordination"
	"keelstair.example/ids"
	"keelstair.example/internal/routing"
)

// tickMs converts n milliseconds to an ids.Tick.
func tickMs(n int) ids.Tick { return ids.Tick(time.Duration(n) * time.Millisecond) }

// TestMemoryAccount: memory that a report can't show yet counts as used. Memory that the report still shows
// although the request ended on this node is subtracted, unless other requests may share it. If a report may
// or may not show a request, the account assumes the higher use.
func TestMemoryAccount(t *testing.T) {
	load := reportedLoad{Used: 300, Capacity: 1000}
	requestedAt := 10_000
	lag := int(reportLag / time.Millisecond)
	for _, c := range []struct {
		name         string
		began, ended int // ended 0: still running
		want         int
	}{
		{"begun long before the report, running: shown", requestedAt - lag - 100, 0, 700},
		{"begun just before the report, running: may not be shown", requestedAt - lag + 100, 0, 600},
		{"begun after the report, running", requestedAt + 100, 0, 600},
		{"shown, ended after the report", requestedAt - lag - 100, requestedAt + 50, 740},
		{"ended before the report was requested: may no longer be shown", requestedAt - lag - 100, requestedAt - 100, 700},
		{"begun and ended just before the report: either state may be shown", requestedAt - lag + 100, requestedAt - 50, 700},
		{"begun and ended after the report", requestedAt + 50, requestedAt + 100, 700},
	} {
		for _, reportAfterEnd := range []bool{false, true} { // the report arrives before or after the end
			var account memoryAccount
			if !reportAfterEnd {
				account.report(load, tickMs(requestedAt))
			}
			reserved := account.reserve(100, 40, tickMs(c.began))
			if c.ended > 0 {
				account.release(reserved, true, tickMs(c.ended))
			}
			if reportAfterEnd {
				account.report(load, tickMs(requestedAt))
			}
			free, ok := account.free(tickMs(requestedAt + 200))
			require.True(t, ok, c.name)
			require.Equal(t, c.want, free, c.name)
		}
	}

	var account memoryAccount
	_, ok := account.free(tickMs(requestedAt))
	require.False(t, ok, "no report yet")
	account.report(load, tickMs(requestedAt))
	account.release(account.reserve(100, 40, tickMs(requestedAt)), false, tickMs(requestedAt+10))
	free, ok := account.free(tickMs(requestedAt + 20))
	require.True(t, ok)
	require.Equal(t, 700, free, "a rejected request never used memory")
	account.report(reportedLoad{Used: 900, Capacity: 1000}, tickMs(requestedAt-1000))
	free, _ = account.free(tickMs(requestedAt + 20))
	require.Equal(t, 700, free, "an older report that arrives late is ignored")
	_, ok = account.free(tickMs(requestedAt).Add(reportMaxAge + 1))
	require.False(t, ok, "the report is stale")
	account.report(reportedLoad{}, tickMs(requestedAt+1000))
	_, ok = account.free(tickMs(requestedAt + 1000))
	require.False(t, ok, "the report has no memory capacity")
	for i := range 10_000 {
		account.release(account.reserve(1, 1, tickMs(requestedAt+10*i)), true, tickMs(requestedAt+10*i+5))
	}
	require.Less(t, len(account.reservations), 600, "ended reservations expire without reports too")
}

// TestMemoryAccountOfRestartedWorker: nothing is known of a new incarnation of a worker; reports and
// reservations of the previous one don't count.
func TestMemoryAccountOfRestartedWorker(t *testing.T) {
	n, err := New(Options{Name: "n", Zone: "a", Host: newSimulatedHost()})
	require.NoError(t, err)
	now := n.now()
	previous := []Worker{{ID: "w.1", Service: "s", Zone: "a", Role: ids.Decode, Concurrency: 8}}
	n.installList(previous, now, now)
	n.publishLoads("s", now, map[ids.WorkerID]reportedLoad{"w.1": {Used: 999, Capacity: 1000, Running: 5}}, true)
	r := &Request{ID: "r", Prompt: 800, MaxTokens: 16}
	picks := n.decodeCandidates(n.startupPrograms.Set, n.view.Current(), newService("s"), r, nil, nil)
	require.Equal(t, 1, picks[0].freeBlocks)
	require.Greater(t, picks[0].cost, n.options.NoCapacityCost)
	picks[0].reserve(r, r.MaxTokens, now)
	n.installList([]Worker{{ID: "w.2", Service: "s", Zone: "a", Role: ids.Decode, Concurrency: 8}}, now, now)
	picks = n.decodeCandidates(n.startupPrograms.Set, n.view.Current(), newService("s"), r, nil, nil)
	require.Zero(t, picks[0].capacityBlocks, "nothing is known of the new incarnation")
	require.Less(t, picks[0].cost, n.options.NoCapacityCost)
	_, loads := n.loads.since(0, previous, now, everyService)
	require.Empty(t, loads[0].Rows, "loads of the previous incarnation aren't sent")
}

// TestLoadBoard: a node gets each change once, and it doesn't get small changes or expired rounds. For a worker
// that sent no report in a complete round, it gets a row of zeros.
func TestLoadBoard(t *testing.T) {
	list := []Worker{{ID: "v"}, {ID: "w"}, {ID: "x"}}
	loads := func(v, w int) map[ids.WorkerID]reportedLoad {
		return map[ids.WorkerID]reportedLoad{"v": {Used: v, Capacity: 1000}, "w": {Used: w, Capacity: 1000}}
	}
	var board loadBoard
	require.NotNil(t, board.record("s", tickMs(1000), loads(100, 200), true))
	seq, got := board.since(0, list, tickMs(1300), everyService)
	require.Equal(t, []ServiceLoads{{"s", 300, []WorkerLoad{{0, 100, 1000, 0, 0}, {1, 200, 1000, 0, 0}}}}, got)
	_, got = board.since(seq, list, tickMs(1400), everyService)
	require.Empty(t, got, "no change")
	require.Nil(t, board.record("s", tickMs(1050), loads(1, 1), true), "the same round is recorded again")
	require.NotNil(t, board.record("s", tickMs(2000), loads(105, 300), true))
	seq, got = board.since(seq, list, tickMs(2000), everyService)
	require.Equal(t, []ServiceLoads{{
		"s", 0, []WorkerLoad{{1, 300, 1000, 0, 0}},
	}}, got, "only the changed load, and the age of the round")
	require.NotNil(t, board.record("s", tickMs(3000), map[ids.WorkerID]reportedLoad{"w": {Used: 300, Capacity: 1000}}, true))
	seq, got = board.since(seq, list, tickMs(3000), everyService)
	require.Equal(t, []ServiceLoads{{"s", 0, []WorkerLoad{{0, 0, 0, 0, 0}}}}, got, "v sent no report")
	require.NotNil(t, board.record("s", tickMs(4000), map[ids.WorkerID]reportedLoad{"v": {Used: 9, Capacity: 1000}}, false))
	_, got = board.since(seq, list, tickMs(4000), everyService)
	require.Equal(t, []ServiceLoads{{"s", 0, []WorkerLoad{{0, 9, 1000, 0, 0}}}}, got, "w is unchanged")
	_, got = board.since(0, list, tickMs(4000).Add(reportMaxAge+1), everyService)
	require.Empty(t, got, "an expired round isn't sent")
}

// TestFreeMemoryReachesAllNodes: every node knows the free memory of every worker within two seconds of a
// change, whichever nodes hold the leases, or within 20 s if the holder of the service's lease was killed just
// before. Without reports, no node assumes a value.
func TestFreeMemoryReachesAllNodes(t *testing.T) {
	forEachSeed(t, 4, func(t *testing.T, seed uint64) {
		workers := prefillAndDecodeWorkers("svc", 3, 3)
		for i, worker := range workers {
			worker.memoryCapacity, worker.memoryUsed = 160_000, 16_000*i
		}
		platform := newFakePlatform(workers...)
		f := startFleet(t, seed, 4, platform, defaultConfiguration(), withRoleChanges)
		defer f.close()
		knows := func(node *testNode, id ids.WorkerID, want int) bool {
			state := node.state(id)
			state.mu.Lock()
			defer state.mu.Unlock()
			free, ok := state.memory.free(node.now())
			return ok && free == want
		}
		allNodesKnow := func(used func(i int) int) func() bool {
			return func() bool {
				for _, node := range f.runningNodes() {
					for i, worker := range workers {
						if !knows(node, worker.ID, 10_000-used(i)) {
							return false
						}
					}
				}
				return true
			}
		}
		require.True(t, f.waitUntil(12*time.Second, allNodesKnow(func(i int) int { return 1000 * i })))
		platform.withLock(func() {
			for _, worker := range workers {
				worker.memoryUsed = 80_000
			}
		})
		require.True(t, f.waitUntil(2*time.Second, allNodesKnow(func(int) int { return 5000 })), "a change doesn't reach all nodes")
		separate := f.roleLeaseHolder() >= 0 && f.roleLeaseHolder() != f.listHolder()
		t.Log("the leases have different holders:", separate)
		f.killNode(f.roleLeaseHolder())
		platform.withLock(func() {
			for _, worker := range workers {
				worker.memoryUsed = 32_000
			}
		})
		require.True(t, f.waitUntil(20*time.Second, allNodesKnow(func(int) int { return 2000 })), "the next holder doesn't request reports")
		platform.withLock(func() {
			for _, worker := range workers {
				worker.silent = true
			}
		})
		require.True(t, f.waitUntil(6*time.Second, func() bool {
			for _, node := range f.runningNodes() {
				for _, worker := range workers {
					state := node.state(worker.ID)
					state.mu.Lock()
					_, ok := state.memory.free(node.now())
					state.mu.Unlock()
					if ok {
						return false
					}
				}
			}
			return true
		}), "a node assumes a value without reports")
	})
}

// TestLoadsReachNodesWithSeparateLeaseHolders: if one node holds the lease of the service and another that of
// the worker list, the first one sends the loads to the second, from which all nodes get them. The test uses
// the first seed with which the leases have different holders.
func TestLoadsReachNodesWithSeparateLeaseHolders(t *testing.T) {
	for seed := uint64(1); seed <= 12; seed++ {
		separate := false
		runInBubble(t, func(t *testing.T) {
			workers := prefillAndDecodeWorkers("svc", 2, 2)
			for _, worker := range workers {
				worker.memoryCapacity, worker.memoryUsed = 160_000, 80_000
			}
			f := startFleet(t, seed, 4, newFakePlatform(workers...), defaultConfiguration(), withRoleChanges)
			defer f.close()
			time.Sleep(8 * time.Second)
			if separate = f.roleLeaseHolder() >= 0 && f.listHolder() >= 0 && f.roleLeaseHolder() != f.listHolder(); !separate {
				return
			}
			for _, node := range f.runningNodes() {
				for _, worker := range workers {
					state := node.state(worker.ID)
					state.mu.Lock()
					free, ok := state.memory.free(node.now())
					state.mu.Unlock()
					require.True(t, ok)
					require.Equal(t, 5000, free)
				}
			}
		})
		if separate {
			return
		}
	}
	t.Fatal("no seed leads to different holders of the two leases")
}

// TestProgramsSeeFreeMemory: routing programs see the free memory of workers, in blocks.
func TestProgramsSeeFreeMemory(t *testing.T) {
	text := "def order(ask, workers):\n    return [w.id for w in sorted(workers, key = lambda w: -w.free)]\n"
	n, err := New(Options{
		Name:     "n",
		Zone:     "a",
		Host:     newSimulatedHost(),
		Programs: []routing.Source{{Name: "roomy", Share: 100, Text: text}},
	})
	require.NoError(t, err)
	now := n.now()
	var list []Worker
	loads := map[ids.WorkerID]reportedLoad{}
	for i := range 4 {
		list = append(list, Worker{ID: workerID(i), Service: "s", Zone: "a", Role: ids.Decode, Concurrency: 8})
		loads[workerID(i)] = reportedLoad{Used: 1000 - 100*i, Capacity: 4000}
	}
	n.installList(list, now, now)
	n.publishLoads("s", now, loads, true)
	picks := n.decodeCandidates(n.startupPrograms.Set, n.view.Current(), newService("s"), &Request{
		ID:        "r",
		Prompt:    800,
		MaxTokens: 16,
	}, nil, nil)
	for i, c := range picks {
		require.Equal(t, workerID(3-i), c.worker.ID)
		require.Equal(t, 4000-1000+100*(3-i), c.freeBlocks)
	}
}

// runMemoryShortageLoad sends load to decode workers that run out of memory before they run out of slots. It
// returns the numbers of rejected decode calls, of successful requests and of all requests, and the mean time
// to the first byte of the successful ones.
func runMemoryShortageLoad(t *testing.T, seed uint64, rate, noCapacityCost float64) (rejected, successful, total int, meanFirstByte time.Duration) {
	workers := prefillAndDecodeWorkers("svc", 4, 6)
	for i, worker := range workers {
		if worker.memoryCapacity = 400_000; worker.Role == ids.Decode {
			worker.memoryCapacity = 40_000 + 10_000*(i%3)
		}
	}
	platform := newFakePlatform(workers...)
	platform.reportedLoadAge, platform.queueLimit, platform.eventInterval = 300*time.Millisecond, 2, 50*time.Millisecond
	f := startFleet(t, seed, 6, platform, defaultConfiguration(), func(o *Options) {
		o.RoleCheckInterval, o.RetryAllowance, o.NoCapacityCost, o.IdlePrefillShare = 500*time.Millisecond, 60, noCapacityCost, -1
	})
	defer f.close()
	time.Sleep(5 * time.Second)
	rng := rand.New(rand.NewPCG(seed, 11))
	results := f.generateLoad(rate, 12*time.Second, func(i int) *Request {
		prompt, maxTokens := 900, 10
		if rng.IntN(4) == 0 {
			prompt, maxTokens = 9000, 24
		}
		return f.newRequest(fmt.Sprint("r", i), routePaths[i%4], prompt, maxTokens)
	})
	calls := platform.recordedCalls()
	require.Empty(t, checkExecutions(calls, results))
	require.Empty(t, checkCompletions(results, 8500*time.Millisecond))
	require.Empty(t, checkResponses(results))
	require.Empty(t, checkRetryBudget(calls, results, 0.2, 60, retryBudgetWindow))
	for _, call := range calls {
		if call.Kind == "emit" && !call.Accepted {
			rejected++
		}
	}
	for _, result := range results {
		if result.err == nil {
			successful++
			meanFirstByte += result.response.writeTimes[0]
		}
	}
	return rejected, successful, len(results), meanFirstByte / time.Duration(max(1, successful))
}

// TestFreeMemoryReducesRejections: decode workers that are short of memory reject fewer requests, and more
// requests succeed, if nodes take the workers' free memory into account.
func TestFreeMemoryReducesRejections(t *testing.T) {
	const seeds = 2 // with one alone, chance can outweigh the effect
	var rejected, successful [2]int
	for _, rate := range []float64{85, 110} {
		for seed := uint64(1); seed <= seeds; seed++ {
			for k, noCapacityCost := range []float64{-1, 0} {
				runInBubble(t, func(t *testing.T) {
					rejectedInRun, successfulInRun, total, meanFirstByte := runMemoryShortageLoad(t, seed, rate, noCapacityCost)
					t.Logf(
						"%.0f requests/s, seed %d, free memory used %t: %d rejected, %d of %d successful, first byte after %s",
						rate,
						seed,
						k == 1,
						rejectedInRun,
						successfulInRun,
						total,
						meanFirstByte,
					)
					rejected[k], successful[k] = rejected[k]+rejectedInRun, successful[k]+successfulInRun
				})
			}
		}
	}
	require.Less(t, rejected[1], rejected[0])
	require.Greater(t, successful[1], successful[0])
}

// TestLoadUpdateSize: the workers' loads add fewer than 13 bytes per second and worker, plus 120, to the list
// requests and responses that a node exchanges anyway, even if all workers are busy and all loads change.
// While the workers are idle or have few requests, they add fewer than 6 bytes per second and worker, plus 120.
func TestLoadUpdateSize(t *testing.T) {
	for _, c := range []struct{ nodes, workers, slots int }{{10, 12, 64}, {72, 140, 24}} {
		for _, level := range []string{"no", "usual", "full"} {
			list := make([]Worker, c.workers)
			for i := range list {
				list[i].ID = workerID(i)
			}
			rng := rand.New(rand.NewPCG(1, 2))
			var board loadBoard
			var seq uint64
			added, rounds := 0, 20
			for round := range rounds {
				loads := map[ids.WorkerID]reportedLoad{}
				for i := range list {
					load := reportedLoad{Capacity: 18_000}
					switch level {
					case "usual":
						load.Running = rng.IntN(4)
					case "full":
						load.Running = c.slots/2 + rng.IntN(c.slots/2)
						load.Waiting = rng.IntN(3)
					}
					load.Used = load.Running * (400 + rng.IntN(100))
					loads[list[i].ID] = load
				}
				now := tickMs(1000 * (round + 1))
				board.record("minutes-llm", now, loads, true)
				for k := range 4 { // list requests per second
					withoutLoads := &ListResponse{Version: 7, Age: 1 << 29}
					withLoads := &ListResponse{Version: 7, Age: 1 << 29}
					request := &ListRequest{Node: "n", Version: 7, LoadSeq: seq}
					withLoads.LoadSeq, withLoads.Loads = board.since(
						seq, list, now.Add(time.Duration(250*k)*time.Millisecond), everyService,
					)
					seq = withLoads.LoadSeq
					added += len(coordination.MustMarshal(withLoads)) - len(coordination.MustMarshal(withoutLoads)) +
						len(coordination.MustMarshal(request)) - len(coordination.MustMarshal(&ListRequest{
						Node:    "n",
						Version: 7,
					}))
				}
			}
			bytesPerNode := added / rounds
			t.Logf(
				"%d nodes, %d workers, %s load: %d bytes/s per node, %d bytes/s for all",
				c.nodes,
				c.workers,
				level,
				bytesPerNode,
				bytesPerNode*(c.nodes-1),
			)
			require.Less(t, bytesPerNode, 120+13*c.workers)
			if level != "full" {
				require.Less(t, bytesPerNode, 120+6*c.workers)
			}
		}
	}
}
