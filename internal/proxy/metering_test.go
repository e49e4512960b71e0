// Usage as a fleet reports it to a platform that is told apart from the fleet, over the network.

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
	usageIP     = "10.0.9.1"
	usageLease  = 3 * time.Second
	usageWindow = 5 * time.Second
	usageDelay  = 10 * time.Second // after its end, by which a window is to be reported
)

// usageCall is one call as the platform gets it.
type usageCall struct {
	Owner  ids.NodeID
	Fence  ids.Fence
	Window uint64
	Counts map[string]int
	From   string // address of the sender's machine
	At     time.Time
}

// usageJudge is a platform that takes usage reports, checks no fence, and keeps all calls.
type usageJudge struct {
	mu     sync.Mutex
	calls  []usageCall
	delay  time.Duration // before it answers
	refuse int           // calls that are refused next
}

func (j *usageJudge) serve(p *simulated.Process) {
	l, err := p.Host().Net.Listen(usageIP + ":1")
	if err != nil {
		panic(err)
	}
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go j.answer(conn)
	}
}

func (j *usageJudge) answer(conn net.Conn) {
	defer conn.Close()
	var c usageCall
	if json.NewDecoder(conn).Decode(&c) != nil {
		return
	}
	c.From, _, _ = net.SplitHostPort(conn.RemoteAddr().String())
	c.At = time.Now()
	j.mu.Lock()
	refused := j.refuse > 0
	if refused {
		j.refuse--
	} else {
		j.calls = append(j.calls, c)
	}
	delay := j.delay
	j.mu.Unlock()
	time.Sleep(delay)
	json.NewEncoder(conn).Encode(!refused)
}

func (j *usageJudge) all() []usageCall {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.calls)
}

func (j *usageJudge) at(do func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	do()
}

// usageLine sends a node's reports to the judge.
type usageLine struct{ net host.Net }

func (l *usageLine) ReportUsage(ctx context.Context, act *duty.Act, window uint64, counts map[string]int) error {
	conn, err := l.net.Dial(ctx, usageIP+":1")
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	body, _ := json.Marshal(usageCall{Owner: act.Owner, Fence: act.Fence, Window: window, Counts: counts})
	if !act.MayStart() {
		return errors.New("too late")
	}
	if _, err := conn.Write(body); err != nil {
		return err
	}
	var accepted bool
	if err := json.NewDecoder(conn).Decode(&accepted); err != nil || !accepted {
		return fmt.Errorf("not accepted: %w", err)
	}
	return nil
}

// oneReporter lists what breaks the rule that one node at a time reports: two contents of a window, a fence
// of two owners, a lower fence after a higher one, or owners that take turns within a lease.
func oneReporter(calls []usageCall, lease time.Duration) []string {
	var out []string
	contents := map[uint64]string{}
	owners := map[ids.Fence]ids.NodeID{}
	lastOf := map[ids.NodeID]int{}
	var top ids.Fence
	for i, c := range calls {
		body, _ := json.Marshal(c.Counts)
		if before, ok := contents[c.Window]; ok && before != string(body) {
			out = append(out, fmt.Sprintf("window %d: %s after %s", c.Window, body, before))
		}
		contents[c.Window] = string(body)
		if before, ok := owners[c.Fence]; ok && before != c.Owner {
			out = append(out, fmt.Sprintf("fence %d of %s and %s", c.Fence, before, c.Owner))
		}
		owners[c.Fence] = c.Owner
		if c.Fence < top {
			out = append(out, fmt.Sprintf("fence %d after %d", c.Fence, top))
		}
		top = max(top, c.Fence)
		if at, ok := lastOf[c.Owner]; ok && at < i-1 && c.At.Sub(calls[at].At) < lease {
			out = append(out, fmt.Sprintf("%s again %s after its last call", c.Owner, c.At.Sub(calls[at].At)))
		}
		lastOf[c.Owner] = i
	}
	return out
}

// TestOneReporterChecks: the check finds each of the faults that it is for.
func TestOneReporterChecks(t *testing.T) {
	at := func(seconds int, owner ids.NodeID, fence ids.Fence, window uint64, count int) usageCall {
		return usageCall{
			Owner: owner, Fence: fence, Window: window, Counts: map[string]int{"amber": count},
			At: time.Unix(int64(seconds), 0),
		}
	}
	lease := 3 * time.Second
	require.Empty(t, oneReporter([]usageCall{at(0, "a", 1, 1, 5), at(1, "a", 1, 1, 5), at(2, "b", 2, 1, 5)}, lease))
	require.NotEmpty(t, oneReporter([]usageCall{at(0, "a", 1, 1, 5), at(9, "b", 2, 1, 6)}, lease))
	require.NotEmpty(t, oneReporter([]usageCall{at(0, "a", 1, 1, 5), at(9, "b", 1, 2, 5)}, lease))
	require.NotEmpty(t, oneReporter([]usageCall{at(0, "a", 2, 1, 5), at(9, "a", 1, 2, 5)}, lease))
	require.NotEmpty(t, oneReporter([]usageCall{at(0, "a", 1, 1, 5), at(1, "b", 2, 2, 5), at(2, "a", 3, 3, 5)}, lease))
}

// metered builds a fleet that reports its usage to a judge.
func metered(t *testing.T, seed uint64, nodes int) (*fleet, *usageJudge) {
	y := newFakePlatform(prefillAndDecodeWorkers("svc", 4, 4)...)
	y.metering = true
	j := &usageJudge{}
	f := startFleet(t, seed, nodes, y, tenantPolicy("amber", "cobalt"), func(o *Options) {
		o.RoleChangeInterval = -1
		o.UsageReporter, o.UsageWindow = &usageLine{o.Host.Net}, usageWindow
	})
	p := f.world.Machine(usageIP).Start()
	f.wg.Go(func() { j.serve(p) })
	return f, j
}

func (f *fleet) closeMetered() {
	f.world.Machine(usageIP).PowerOff()
	f.close()
}

// reporter gives the number of the node that holds the metering duty, or -1.
func (f *fleet) reporter() int {
	for i, b := range f.nodes {
		if _, ok := b.agent.OwnsKey(fleetstate.MeteringKey); ok && b.running {
			return i
		}
	}
	return -1
}

// tenantsLoad has two tenants' requests, three of amber to each of cobalt.
func (f *fleet) tenantsLoad(prefix string, rate float64, duration time.Duration) []*requestResult {
	return f.generateLoad(rate, duration, func(i int) *Request {
		tenant := "amber"
		if i%4 == 3 {
			tenant = "cobalt"
		}
		return f.keyed(fmt.Sprint(prefix, i), routePaths[i%4], tenant)
	})
}

// reported gives the counts and the time of the first report of each window.
func reported(calls []usageCall) map[uint64]usageCall {
	out := map[uint64]usageCall{}
	for _, c := range calls {
		if _, ok := out[c.Window]; !ok {
			out[c.Window] = c
		}
	}
	return out
}

// lateWindows lists windows between the first and the last reported one that were not reported in time.
func lateWindows(calls []usageCall) []string {
	first := reported(calls)
	if len(first) == 0 {
		return []string{"nothing was reported"}
	}
	windows := slices.Sorted(maps.Keys(first))
	var out []string
	for w := windows[0]; w <= windows[len(windows)-1]; w++ {
		c, ok := first[w]
		end := time.Unix(0, int64(w+1)*int64(usageWindow))
		if !ok || c.At.Sub(end) > usageDelay {
			out = append(out, fmt.Sprintf("window %d: reported %v, %s after its end", w, ok, c.At.Sub(end)))
		}
	}
	return out
}

// TestUsageReported: each window is reported once and soon, windows without requests too, and the counts
// add up to the requests that were run, tenant by tenant.
func TestUsageReported(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		f, j := metered(t, 71, 4)
		defer f.closeMetered()
		all := f.tenantsLoad("r", 20, 21*time.Second)
		time.Sleep(20 * time.Second)
		calls := j.all()
		require.Empty(t, oneReporter(calls, usageLease))
		require.Empty(t, lateWindows(calls))
		require.Len(t, reported(calls), len(calls), "no window is reported again")
		sums, empty := map[string]int{}, 0
		for _, c := range calls {
			for tenant, count := range c.Counts {
				sums[tenant] += count
			}
			if len(c.Counts) == 0 {
				empty++
			}
		}
		want := map[string]int{}
		for _, a := range all {
			require.NoError(t, a.err)
			want[a.Key[len("key-"):]]++
		}
		require.Equal(t, want, sums)
		require.Positive(t, empty, "windows without requests are reported")
	})
}

// TestUsageReportedAfterKill: the windows that the reporting node left are reported in time by another.
func TestUsageReportedAfterKill(t *testing.T) {
	forEachSeed(t, 6, func(t *testing.T, seed uint64) {
		f, j := metered(t, seed, 5)
		defer f.closeMetered()
		var load sync.WaitGroup
		defer load.Wait()
		load.Go(func() { f.tenantsLoad("r", 20, 40*time.Second) })
		for range 2 {
			require.True(t, f.waitUntil(15*time.Second, func() bool { return len(j.all()) > 0 && f.reporter() >= 0 }))
			before := len(j.all())
			f.waitUntil(8*time.Second, func() bool { return len(j.all()) > before })
			time.Sleep(time.Duration(seed) * 700 * time.Millisecond)
			if h := f.reporter(); h >= 0 {
				f.killNode(h)
			}
			time.Sleep(9 * time.Second)
		}
		time.Sleep(25 * time.Second)
		calls := j.all()
		require.Empty(t, oneReporter(calls, usageLease))
		require.Empty(t, lateWindows(calls))
		require.GreaterOrEqual(t, len(reported(calls)), 9)
	})
}

// TestUsageCountsSurviveHolder: what nodes had told a holder that was killed before its report is told
// anew to the next one, which has the killed node's own counts already.
func TestUsageCountsSurviveHolder(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		f, j := metered(t, 73, 4)
		defer f.closeMetered()
		require.True(t, f.waitUntil(20*time.Second, func() bool { return len(j.all()) > 0 }))
		f.waitUntil(10*time.Second, func() bool {
			return time.Duration(time.Now().UnixNano()%int64(usageWindow)) < 100*time.Millisecond
		})
		h := f.reporter()
		window := uint64(time.Now().UnixNano()) / uint64(usageWindow)
		asks := 0
		for i, b := range f.nodes {
			for k := range 5 {
				a := f.send(b, f.keyed(fmt.Sprint("w", i, "-", k), "/once/x", "amber"))
				require.NoError(t, a.err)
				asks++
			}
		}
		time.Sleep(1500 * time.Millisecond)
		f.killNode(h)
		time.Sleep(15 * time.Second)
		calls := j.all()
		require.Empty(t, oneReporter(calls, usageLease))
		require.Empty(t, lateWindows(calls))
		require.Equal(t, map[string]int{"amber": asks}, reported(calls)[window].Counts)
	})
}

// TestOneReporter: reporting nodes that are killed, stopped, frozen, cut off from the core one way or both,
// or from the platform, while that is slow or refuses, and a core that loses its primary: one node at a
// time reports, and no window gets two contents.
func TestOneReporter(t *testing.T) {
	forEachSeed(t, 12, func(t *testing.T, seed uint64) {
		f, j := metered(t, seed, 4)
		defer f.closeMetered()
		var load sync.WaitGroup
		defer load.Wait()
		load.Go(func() { f.tenantsLoad("r", 10, 60*time.Second) })
		for i := range 6 {
			f.waitUntil(12*time.Second, func() bool { return f.reporter() >= 0 })
			time.Sleep(time.Duration(seed*131%23+uint64(i)*7%11) * 170 * time.Millisecond)
			h := f.reporter()
			if h < 0 {
				continue
			}
			f.troubleReporter(j, h, (int(seed)+i)%9)
		}
		time.Sleep(30 * time.Second)
		calls := j.all()
		require.Empty(t, oneReporter(calls, usageLease))
		require.GreaterOrEqual(t, len(reported(calls)), 8)
	})
}

// troubleReporter brings one trouble to a node and heals it.
func (f *fleet) troubleReporter(j *usageJudge, h, kind int) {
	ip := []string{nodeIP(h)}
	switch kind {
	case 0:
		f.killNode(h)
		time.Sleep(1500 * time.Millisecond)
		f.startNode(h)
	case 1:
		f.setFrozen(h, true)
		time.Sleep(9 * time.Second)
		f.setFrozen(h, false)
	case 2:
		f.world.Partition(ip, coreIPs, true)
		time.Sleep(10 * time.Second)
		f.world.Partition(ip, coreIPs, false)
	case 3:
		f.world.Block(coreIPs, ip, true)
		time.Sleep(10 * time.Second)
		f.world.Block(coreIPs, ip, false)
	case 4:
		f.world.Block(ip, []string{usageIP}, true)
		time.Sleep(6 * time.Second)
		f.world.Block(ip, []string{usageIP}, false)
	case 5:
		j.at(func() { j.delay = 3 * time.Second })
		time.Sleep(4 * time.Second)
		f.killNode(h)
		time.Sleep(8 * time.Second)
		f.startNode(h)
		j.at(func() { j.delay = 0 })
	case 6:
		j.at(func() { j.refuse = 5 })
		f.world.Block(ip, coreIPs, true)
		time.Sleep(8 * time.Second)
		f.world.Block(ip, coreIPs, false)
	case 7:
		b := f.nodes[h]
		f.withLock(func() { b.running = false })
		b.cancel()
		<-b.done
		b.process.Kill()
		f.startNode(h)
	case 8:
		if primary := f.leader(); primary != "" {
			f.powerOffCore(primary)
			time.Sleep(500 * time.Millisecond)
			f.killNode(h)
			time.Sleep(6 * time.Second)
			f.startCore(primary)
			f.startNode(h)
		}
	}
}
