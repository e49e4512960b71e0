// Tests of usage metering: one node at a time, the holder of the metering lease, reports the request counts of
// each tenant per time window, over the network to a platform outside the fleet.

package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/host"
	"keelstair.example/host/simulated"
	"keelstair.example/ids"
	"keelstair.example/internal/duty"
	"keelstair.example/internal/fleetstate"
)

const (
	meteringIP     = "10.0.9.1"
	usageLease     = 3 * time.Second
	usageWindow    = 5 * time.Second
	maxReportDelay = 10 * time.Second // from the end of a window to its first report
)

// usageCall is one usage report as the platform receives it.
type usageCall struct {
	Owner  ids.NodeID
	Fence  ids.Fence
	Window uint64
	Counts map[string]int
	From   string // address of the sender's machine
	At     time.Time
}

// usageRecorder is a platform that accepts usage reports without checking fencing tokens and records them.
type usageRecorder struct {
	mu         sync.Mutex
	calls      []usageCall
	delay      time.Duration // before each response
	rejectNext int           // number of next reports to reject
}

func (recorder *usageRecorder) serve(p *simulated.Process) {
	listener, err := p.Host().Net.Listen(meteringIP + ":1")
	if err != nil {
		panic(err)
	}
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go recorder.handle(conn)
	}
}

func (recorder *usageRecorder) handle(conn net.Conn) {
	defer conn.Close()
	var received usageCall
	if json.NewDecoder(conn).Decode(&received) != nil {
		return
	}
	received.From, _, _ = net.SplitHostPort(conn.RemoteAddr().String())
	received.At = time.Now()
	recorder.mu.Lock()
	rejected := recorder.rejectNext > 0
	if rejected {
		recorder.rejectNext--
	} else {
		recorder.calls = append(recorder.calls, received)
	}
	delay := recorder.delay
	recorder.mu.Unlock()
	time.Sleep(delay)
	json.NewEncoder(conn).Encode(!rejected)
}

func (recorder *usageRecorder) recordedCalls() []usageCall {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	return slices.Clone(recorder.calls)
}

// withLock runs a function while the recorder is locked.
func (recorder *usageRecorder) withLock(f func()) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	f()
}

// usageClient sends a node's reports to the usageRecorder.
type usageClient struct{ net host.Net }

func (client *usageClient) ReportUsage(ctx context.Context, action *duty.Action, window uint64, counts map[string]int) error {
	conn, err := client.net.Dial(ctx, meteringIP+":1")
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	body, _ := json.Marshal(usageCall{Owner: action.Owner, Fence: action.Fence, Window: window, Counts: counts})
	if !action.MayStart() {
		return errors.New("the lease was lost or too much time has passed to start the report")
	}
	if _, err := conn.Write(body); err != nil {
		return err
	}
	var accepted bool
	if err := json.NewDecoder(conn).Decode(&accepted); err != nil || !accepted {
		return fmt.Errorf("usage report not accepted: %w", err)
	}
	return nil
}

// checkSingleReporter returns violations of the rule that one node at a time reports: a window with two
// contents, a fencing token with two owners, a fencing token that is lower than an earlier one, and an owner
// that reports again less than a lease duration after its last report although another owner reported in
// between.
func checkSingleReporter(calls []usageCall, lease time.Duration) []string {
	var out []string
	contents := map[uint64]string{}
	owners := map[ids.Fence]ids.NodeID{}
	lastIndex := map[ids.NodeID]int{}
	var highest ids.Fence
	for i, call := range calls {
		body, _ := json.Marshal(call.Counts)
		if previous, ok := contents[call.Window]; ok && previous != string(body) {
			out = append(out, fmt.Sprintf("window %d: reported %s after %s", call.Window, body, previous))
		}
		contents[call.Window] = string(body)
		if previous, ok := owners[call.Fence]; ok && previous != call.Owner {
			out = append(out, fmt.Sprintf("fencing token %d has owners %s and %s", call.Fence, previous, call.Owner))
		}
		owners[call.Fence] = call.Owner
		if call.Fence < highest {
			out = append(out, fmt.Sprintf("fencing token %d follows %d", call.Fence, highest))
		}
		highest = max(highest, call.Fence)
		if at, ok := lastIndex[call.Owner]; ok && at < i-1 && call.At.Sub(calls[at].At) < lease {
			out = append(out, fmt.Sprintf("%s reported again %s after its last report", call.Owner, call.At.Sub(calls[at].At)))
		}
		lastIndex[call.Owner] = i
	}
	return out
}

// TestCheckSingleReporter: checkSingleReporter finds each kind of violation.
func TestCheckSingleReporter(t *testing.T) {
	at := func(seconds int, owner ids.NodeID, fence ids.Fence, window uint64, count int) usageCall {
		return usageCall{
			Owner: owner, Fence: fence, Window: window, Counts: map[string]int{"amber": count},
			At: time.Unix(int64(seconds), 0),
		}
	}
	lease := 3 * time.Second
	require.Empty(t, checkSingleReporter([]usageCall{at(0, "a", 1, 1, 5), at(1, "a", 1, 1, 5), at(2, "b", 2, 1, 5)}, lease))
	require.NotEmpty(t, checkSingleReporter([]usageCall{at(0, "a", 1, 1, 5), at(9, "b", 2, 1, 6)}, lease))
	require.NotEmpty(t, checkSingleReporter([]usageCall{at(0, "a", 1, 1, 5), at(9, "b", 1, 2, 5)}, lease))
	require.NotEmpty(t, checkSingleReporter([]usageCall{at(0, "a", 2, 1, 5), at(9, "a", 1, 2, 5)}, lease))
	require.NotEmpty(t, checkSingleReporter([]usageCall{at(0, "a", 1, 1, 5), at(1, "b", 2, 2, 5), at(2, "a", 3, 3, 5)}, lease))
}

// startMeteredFleet starts a fleet of nodes that report their usage to a usageRecorder.
func startMeteredFleet(t *testing.T, seed uint64, nodes int) (*fleet, *usageRecorder) {
	platform := newFakePlatform(prefillAndDecodeWorkers("svc", 4, 4)...)
	platform.metering = true
	recorder := &usageRecorder{}
	f := startFleet(t, seed, nodes, platform, tenantConfiguration("amber", "cobalt"), func(o *Options) {
		o.RoleCheckInterval = -1
		o.UsageReporter, o.UsageWindow = &usageClient{o.Host.Net}, usageWindow
	})
	process := f.world.Machine(meteringIP).Start()
	f.wg.Go(func() { recorder.serve(process) })
	return f, recorder
}

// closeMeteredFleet stops the recorder and the fleet.
func (f *fleet) closeMeteredFleet() {
	f.world.Machine(meteringIP).PowerOff()
	f.close()
}

// meteringHolder returns the index of the running node that holds the metering lease, or -1.
func (f *fleet) meteringHolder() int {
	for i, node := range f.nodes {
		if _, ok := node.agent.OwnsKey(fleetstate.MeteringKey); ok && node.running {
			return i
		}
	}
	return -1
}

// generateTenantLoad sends requests of two tenants, three of amber for each one of cobalt.
func (f *fleet) generateTenantLoad(prefix string, rate float64, duration time.Duration) []*requestResult {
	return f.generateLoad(rate, duration, func(i int) *Request {
		tenant := "amber"
		if i%4 == 3 {
			tenant = "cobalt"
		}
		return f.newTenantRequest(fmt.Sprint(prefix, i), routePaths[i%4], tenant)
	})
}

// firstReports returns the first report of each window.
func firstReports(calls []usageCall) map[uint64]usageCall {
	out := map[uint64]usageCall{}
	for _, call := range calls {
		if _, ok := out[call.Window]; !ok {
			out[call.Window] = call
		}
	}
	return out
}

// lateWindows lists windows between the first and the last reported one that were not reported in time.
func lateWindows(calls []usageCall) []string {
	first := firstReports(calls)
	if len(first) == 0 {
		return []string{"no window was reported"}
	}
	windows := slices.Sorted(maps.Keys(first))
	var out []string
	for window := windows[0]; window <= windows[len(windows)-1]; window++ {
		call, ok := first[window]
		end := time.Unix(0, int64(window+1)*int64(usageWindow))
		if !ok || call.At.Sub(end) > maxReportDelay {
			out = append(out, fmt.Sprintf("window %d: reported=%v, %s after its end", window, ok, call.At.Sub(end)))
		}
	}
	return out
}

// TestUsageReportedOncePerWindow: each window, even one without requests, is reported exactly once and within
// maxReportDelay after its end, and the counts of each tenant add up to its executed requests.
func TestUsageReportedOncePerWindow(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		f, recorder := startMeteredFleet(t, 71, 4)
		defer f.closeMeteredFleet()
		results := f.generateTenantLoad("r", 20, 21*time.Second)
		time.Sleep(20 * time.Second)
		calls := recorder.recordedCalls()
		require.Empty(t, checkSingleReporter(calls, usageLease))
		require.Empty(t, lateWindows(calls))
		require.Len(t, firstReports(calls), len(calls), "no window is reported twice")
		sums, empty := map[string]int{}, 0
		for _, call := range calls {
			for tenant, count := range call.Counts {
				sums[tenant] += count
			}
			if len(call.Counts) == 0 {
				empty++
			}
		}
		want := map[string]int{}
		for _, result := range results {
			require.NoError(t, result.err)
			want[result.Key[len("key-"):]]++
		}
		require.Equal(t, want, sums)
		require.Positive(t, empty, "windows without requests are reported")
	})
}

// TestUsageReportedAfterKill: when the reporting node is killed, another node reports its remaining windows
// in time.
func TestUsageReportedAfterKill(t *testing.T) {
	forEachSeed(t, 6, func(t *testing.T, seed uint64) {
		f, recorder := startMeteredFleet(t, seed, 5)
		defer f.closeMeteredFleet()
		var load sync.WaitGroup
		defer load.Wait()
		load.Go(func() { f.generateTenantLoad("r", 20, 40*time.Second) })
		for range 2 {
			require.True(t, f.waitUntil(15*time.Second, func() bool { return len(recorder.recordedCalls()) > 0 && f.meteringHolder() >= 0 }))
			before := len(recorder.recordedCalls())
			f.waitUntil(8*time.Second, func() bool { return len(recorder.recordedCalls()) > before })
			time.Sleep(time.Duration(seed) * 700 * time.Millisecond)
			if holder := f.meteringHolder(); holder >= 0 {
				f.killNode(holder)
			}
			time.Sleep(9 * time.Second)
		}
		time.Sleep(25 * time.Second)
		calls := recorder.recordedCalls()
		require.Empty(t, checkSingleReporter(calls, usageLease))
		require.Empty(t, lateWindows(calls))
		require.GreaterOrEqual(t, len(firstReports(calls)), 9)
	})
}

// TestUsageCountsSurviveHolderLoss: the holder of the metering lease is killed before it reports a window. The
// next holder reports all counts: the other nodes send theirs again, and it already has those of the killed
// node.
func TestUsageCountsSurviveHolderLoss(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		f, recorder := startMeteredFleet(t, 73, 4)
		defer f.closeMeteredFleet()
		require.True(t, f.waitUntil(20*time.Second, func() bool { return len(recorder.recordedCalls()) > 0 }))
		f.waitUntil(10*time.Second, func() bool {
			return time.Duration(time.Now().UnixNano()%int64(usageWindow)) < 100*time.Millisecond
		})
		holder := f.meteringHolder()
		window := uint64(time.Now().UnixNano()) / uint64(usageWindow)
		requests := 0
		for i, node := range f.nodes {
			for n := range 5 {
				result := f.send(node, f.newTenantRequest(fmt.Sprint("w", i, "-", n), "/once/x", "amber"))
				require.NoError(t, result.err)
				requests++
			}
		}
		time.Sleep(1500 * time.Millisecond)
		f.killNode(holder)
		time.Sleep(15 * time.Second)
		calls := recorder.recordedCalls()
		require.Empty(t, checkSingleReporter(calls, usageLease))
		require.Empty(t, lateWindows(calls))
		require.Equal(t, map[string]int{"amber": requests}, firstReports(calls)[window].Counts)
	})
}

// TestUsageOfNodeInShutdownIsReported: a node receives SIGTERM right after it has served requests, once as the holder
// of the metering lease and once as another node. Its counts are reported.
func TestUsageOfNodeInShutdownIsReported(t *testing.T) {
	for _, asHolder := range []bool{false, true} {
		runInBubble(t, func(t *testing.T) {
			f, recorder := startMeteredFleet(t, 77, 4)
			defer f.closeMeteredFleet()
			require.True(t, f.waitUntil(20*time.Second, func() bool { return len(recorder.recordedCalls()) > 0 }))
			f.waitUntil(10*time.Second, func() bool {
				return time.Duration(time.Now().UnixNano()%int64(usageWindow)) < 100*time.Millisecond
			})
			stopped := f.meteringHolder()
			if !asHolder {
				stopped = (stopped + 1) % len(f.nodes)
			}
			node := f.nodes[stopped]
			window := uint64(time.Now().UnixNano()) / uint64(usageWindow)
			const requests = 5
			for n := range requests {
				result := f.send(node, f.newTenantRequest(fmt.Sprint("s", n), "/once/x", "amber"))
				require.NoError(t, result.err)
			}
			node.cancel()
			<-node.done
			f.killNode(stopped)
			time.Sleep(15 * time.Second)
			calls := recorder.recordedCalls()
			require.Empty(t, checkSingleReporter(calls, usageLease))
			require.Equal(t, map[string]int{"amber": requests}, firstReports(calls)[window].Counts, "holder: %v", asHolder)
		})
	}
}

// TestSingleUsageReporter: reporting nodes are killed, stopped, frozen, or partitioned from the core in one
// or both directions or from the platform, while the platform is slow or rejects reports, or after the core
// (the coordination service) lost its primary. One node at a time reports, and no window is reported with two
// contents.
func TestSingleUsageReporter(t *testing.T) {
	forEachSeed(t, 12, func(t *testing.T, seed uint64) {
		f, recorder := startMeteredFleet(t, seed, 4)
		defer f.closeMeteredFleet()
		var load sync.WaitGroup
		defer load.Wait()
		load.Go(func() { f.generateTenantLoad("r", 10, 60*time.Second) })
		for i := range 6 {
			f.waitUntil(12*time.Second, func() bool { return f.meteringHolder() >= 0 })
			time.Sleep(time.Duration(seed*131%23+uint64(i)*7%11) * 170 * time.Millisecond)
			holder := f.meteringHolder()
			if holder < 0 {
				continue
			}
			f.injectReporterFault(recorder, holder, (int(seed)+i)%9)
		}
		time.Sleep(30 * time.Second)
		calls := recorder.recordedCalls()
		require.Empty(t, checkSingleReporter(calls, usageLease))
		require.GreaterOrEqual(t, len(firstReports(calls)), 8)
	})
}

// injectReporterFault causes one kind of fault at the reporting node and ends it. Kinds 0 to 6 are: killed,
// frozen, partitioned from the core, no messages from the core, no messages to the platform, killed while the
// platform is slow, and no messages to the core while the platform rejects reports. Kind 7 is an orderly
// shutdown, and kind 8 a power loss of the core's primary followed by a kill of the node.
func (f *fleet) injectReporterFault(recorder *usageRecorder, holder, kind int) {
	holderIPs := []string{nodeIP(holder)}
	switch kind {
	case 0:
		f.killNode(holder)
		time.Sleep(1500 * time.Millisecond)
		f.startNode(holder)
	case 1:
		f.setFrozen(holder, true)
		time.Sleep(9 * time.Second)
		f.setFrozen(holder, false)
	case 2:
		f.world.Partition(holderIPs, coreIPs, true)
		time.Sleep(10 * time.Second)
		f.world.Partition(holderIPs, coreIPs, false)
	case 3:
		f.world.Block(coreIPs, holderIPs, true)
		time.Sleep(10 * time.Second)
		f.world.Block(coreIPs, holderIPs, false)
	case 4:
		f.world.Block(holderIPs, []string{meteringIP}, true)
		time.Sleep(6 * time.Second)
		f.world.Block(holderIPs, []string{meteringIP}, false)
	case 5:
		recorder.withLock(func() { recorder.delay = 3 * time.Second })
		time.Sleep(4 * time.Second)
		f.killNode(holder)
		time.Sleep(8 * time.Second)
		f.startNode(holder)
		recorder.withLock(func() { recorder.delay = 0 })
	case 6:
		recorder.withLock(func() { recorder.rejectNext = 5 })
		f.world.Block(holderIPs, coreIPs, true)
		time.Sleep(8 * time.Second)
		f.world.Block(holderIPs, coreIPs, false)
	case 7:
		node := f.nodes[holder]
		f.withLock(func() { node.running = false })
		node.cancel()
		<-node.done
		node.process.Kill()
		f.startNode(holder)
	case 8:
		if primary := f.leader(); primary != "" {
			f.powerOffCore(primary)
			time.Sleep(500 * time.Millisecond)
			f.killNode(holder)
			time.Sleep(6 * time.Second)
			f.startCore(primary)
			f.startNode(holder)
		}
	}
}
