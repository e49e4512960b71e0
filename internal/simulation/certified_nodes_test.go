// Certified nodes: governed work stays on them as they are revoked, expire, drain, fail
// and join.

package simulation

import (
	"encoding/json"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/ids"
	"keelstair.example/internal/api"
	"keelstair.example/internal/certification"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/handoff"
	"keelstair.example/internal/router"
	"keelstair.example/internal/standin"
)

// withGovernedWork runs a fleet with a regime in force.
func withGovernedWork(t *testing.T, prepare func(m *AuditModel), f func(t *testing.T, c *Cluster, m *AuditModel)) {
	skipUnderRace(t)
	synctest.Test(t, func(t *testing.T) {
		m := NewAuditModel()
		c := Build(1, governedWork, m.configure)
		defer c.Close()
		require.NoError(t, c.Bootstrap())
		prepare(m)
		require.NoError(t, m.ApplyRegimes())
		f(t, c, m)
	})
}

func routerNamed(c *Cluster, name string) *Process {
	routers := c.Of("router")
	return routers[slices.IndexFunc(routers, func(p *Process) bool { return p.Name == name })]
}

var speechRequest = api.StreamRequest{
	Kind:      "speech",
	Prompt:    "the chair gives the floor to the delegate of the fourth row",
	MaxTokens: 60,
	Seed:      9,
}

// withLongOutput gives an asking whose answer has fifty tokens or more.
func withLongOutput(request api.StreamRequest) api.StreamRequest {
	request.MaxTokens = 64
	for len(standin.ReferenceOutput(request.Tokens(), request.MaxTokens, request.Seed, 0, governedWork.Model, standin.SiteWeights, nil)) < 50 {
		request.Seed++
	}
	return request
}

// requireReferenceOutput checks a stream against a run that never moved.
func requireReferenceOutput(t *testing.T, c *Cluster, request api.StreamRequest, got []api.StreamEvent) {
	t.Helper()
	reference := standin.ReferenceOutput(request.Tokens(), request.MaxTokens, request.Seed, 0, c.Site.Model, standin.SiteWeights, nil)
	require.Len(t, got, len(reference)+1, "%+v", got[len(got)-1].Error)
	for i, token := range reference {
		require.Equal(t, token, got[i].Token)
	}
	require.Equal(t, api.Complete, got[len(reference)].End)
}

// TestGovernedWorkOnCertifiedNodes: under a mixed load governed work is handled on certified nodes alone,
// whichever door it came to, and all of it is answered; other work uses all workers.
func TestGovernedWorkOnCertifiedNodes(t *testing.T) {
	withGovernedWork(t, (*AuditModel).certifyMost, func(t *testing.T, c *Cluster, m *AuditModel) {
		outcomes := c.Load(30, 10*time.Second, 1)
		require.Empty(t, m.Check(outcomes))
		require.Empty(t, c.Recorder.Check(outcomes))
		sum := standin.Summarize(outcomes)
		require.Equal(t, len(outcomes), sum.Ends[api.Complete], "%+v", sum)
		require.Greater(t, m.countGoverned(), 100)
		require.Less(t, standin.Quantile(m.stagingTimes, 1), 200.0, "staged memory is freed once it is in")
		used := map[ids.WorkerID]bool{}
		for _, e := range c.Recorder.events {
			used[e.Worker] = true
		}
		require.Len(t, used, 8, "other work goes everywhere")
		forwarded := int64(0)
		for _, p := range c.Of("router") {
			forwarded += p.Node.Forwarded()
		}
		require.Positive(t, forwarded)
	})
}

// readAuditRecords reads the whole audit record as keelstairctl does, checked.
func readAuditRecords(t *testing.T, c *Cluster) []fleetstate.AuditRecord {
	var rows []fleetstate.AuditRow
	for {
		got, err := c.Of("router")[0].Node.AuditRows(c.ctx, len(rows)+1, 500)
		require.NoError(t, err)
		if len(got.Rows) == 0 {
			break
		}
		for _, l := range got.Rows {
			var r fleetstate.AuditRow
			require.NoError(t, json.Unmarshal(l, &r))
			rows = append(rows, r)
		}
	}
	require.NoError(t, fleetstate.VerifyChain(nil, rows))
	out := make([]fleetstate.AuditRecord, len(rows))
	for i, r := range rows {
		require.NoError(t, json.Unmarshal(r.Record, &out[i]))
	}
	return out
}

// TestAuditRecords: each governed request that ran has its record, with the serial of each
// step, over a death of the leader; what is not governed has none.
func TestAuditRecords(t *testing.T) {
	withGovernedWork(t, (*AuditModel).certifyMost, func(t *testing.T, c *Cluster, m *AuditModel) {
		go func() {
			time.Sleep(4 * time.Second)
			previousLeader := leader(c)
			c.Kill(previousLeader)
			time.Sleep(3 * time.Second)
			c.Start(previousLeader)
		}()
		outcomes := c.Load(20, 10*time.Second, 1)
		require.Empty(t, m.Check(outcomes))
		time.Sleep(3 * time.Second)
		ends, begun := map[string]fleetstate.AuditRecord{}, map[string]bool{}
		for _, r := range readAuditRecords(t, c) {
			require.Equal(t, "chair", r.Regime)
			require.Contains(t, []string{"verdict", "speech"}, r.Kind)
			require.NotEmpty(t, r.Serial)
			if r.Outcome == fleetstate.OutcomeBegun {
				begun[r.Request] = true
				continue
			}
			require.NotContains(t, ends, r.Request, "once")
			ends[r.Request] = r
			for _, step := range r.Steps {
				require.Equal(t, "c-"+step.Worker, step.Serial)
				require.Positive(t, step.At)
			}
		}
		speeches := 0
		for _, o := range outcomes {
			switch {
			case o.Kind == "verdict" && o.End == api.Complete:
				r := ends[router.RequestIDForKey("verdict/"+o.Key)]
				require.Equal(t, fleetstate.OutcomeDone, r.Outcome, "%+v", o)
				require.Equal(t, "verdict/"+o.Key, r.Key)
				require.GreaterOrEqual(t, len(r.Steps), 4)
			case o.Kind == "speech" && o.End == api.Complete:
				speeches++
			}
		}
		done := 0
		for id, r := range ends {
			if r.Kind == "speech" {
				require.True(t, begun[id])
				if r.Outcome == api.Complete {
					done++
				}
			}
		}
		require.Equal(t, speeches, done)
	})
}

// TestForwardedToCertifiedNode: a node without a certificate passes governed requests on, untouched, and
// where it reaches no certified one says at once when to come back; it holds no key of a
// certified worker.
func TestForwardedToCertifiedNode(t *testing.T) {
	withGovernedWork(t, (*AuditModel).certifyMost, func(t *testing.T, c *Cluster, m *AuditModel) {
		require.NoError(t, m.WaitForOwners())
		uncertified := routerNamed(c, "router-5")
		got, err := c.stream(uncertified, speechRequest)
		require.NoError(t, err)
		requireReferenceOutput(t, c, speechRequest, got)
		request := verdictRequest
		first, err := c.stream(uncertified, request)
		require.NoError(t, err)
		again, err := c.stream(uncertified, request)
		require.NoError(t, err)
		require.True(t, again[0].Replay)
		require.Equal(t, first[0].Token, again[0].Token)
		_, err = c.stream(uncertified, api.StreamRequest{Kind: "verdict", Key: "q1", Prompt: "another body", MaxTokens: 2})
		require.Equal(t, "key-reused", err.(*api.Fault).Name, "a refusal comes back as it was")
		require.True(t, c.WaitUntil(10*time.Second, func() bool {
			for _, k := range ownedKeys(uncertified) {
				for _, w := range append(numbered("p", 3), numbered("d", 3)...) {
					if k == ids.Key("worker/"+w) {
						return false
					}
				}
			}
			return true
		}), "%v", ownedKeys(uncertified))
		for _, n := range numbered("router-", 4) {
			require.NoError(t, m.Revoke("c-"+n))
		}
		begun := time.Now()
		_, err = c.stream(uncertified, speechRequest)
		f, ok := err.(*api.Fault)
		require.True(t, ok, "%v", err)
		require.Equal(t, "not-certified", f.Name)
		require.Positive(t, f.After)
		require.Less(t, time.Since(begun), 300*time.Millisecond)
		_, err = c.stream(uncertified, api.StreamRequest{Kind: "clarification", Prompt: "may I speak", MaxTokens: 3})
		require.NoError(t, err, "other work goes on")
	})
}

// TestRevokedMidStream: a speech whose decode worker is revoked goes on at a certified
// one, each piece once; within two seconds of the acknowledgement the worker has none.
func TestRevokedMidStream(t *testing.T) {
	withGovernedWork(t, (*AuditModel).certifyMost, func(t *testing.T, c *Cluster, m *AuditModel) {
		require.NoError(t, m.WaitForOwners())
		request := withLongOutput(speechRequest)
		done := c.startStream(routerNamed(c, "router-1"), request)
		require.True(t, c.WaitUntil(3*time.Second, func() bool { return len(m.workersAt(handoff.Resumed)) == 1 }))
		worker := m.workersAt(handoff.Resumed)[0]
		time.Sleep(100 * time.Millisecond)
		require.NoError(t, m.Revoke("c-"+worker))
		require.Less(t, m.revocationTimes[0], time.Second, "all nodes are well")
		requireReferenceOutput(t, c, request, <-done)
		resumed := m.workersAt(handoff.Resumed)
		require.Len(t, resumed, 2, "it moved: %v, revoked in %v", m.handoffEvents, m.revocationTimes)
		require.NotEqual(t, worker, resumed[1])
		time.Sleep(3 * time.Second)
		require.Empty(t, m.Check(nil))
	})
}

// TestRevokedVerdict: a claimed run on a worker that is revoked is never run again: it
// ends whole, or as unknown, and its key says so later.
func TestRevokedVerdict(t *testing.T) {
	withGovernedWork(t, (*AuditModel).certifyMost, func(t *testing.T, c *Cluster, m *AuditModel) {
		require.NoError(t, m.WaitForOwners())
		request := withLongOutput(verdictRequest)
		done := c.startStream(routerNamed(c, "router-1"), request)
		require.True(t, c.WaitUntil(3*time.Second, func() bool { return len(m.workersAt(handoff.Resumed)) == 1 }))
		time.Sleep(50 * time.Millisecond)
		require.NoError(t, m.Revoke("c-"+m.workersAt(handoff.Resumed)[0]))
		got := <-done
		require.Equal(t, api.Unknown, got[len(got)-1].End)
		// A key between two hands has it bounced at first; the caller comes back.
		name := ""
		c.WaitUntil(5*time.Second, func() bool {
			_, err := c.stream(routerNamed(c, "router-2"), request)
			name = err.(*api.Fault).Name
			return name != "bounced"
		})
		require.Equal(t, "may-have-run", name)
		runs, _ := countRuns(c, "verdict/q1")
		require.Equal(t, 1, runs)
		time.Sleep(3 * time.Second)
		require.Empty(t, m.Check(nil))
	})
}

// TestRevokedWhilePartitioned: a revocation is not acknowledged while a node that has not heard
// of it may still act on its word; that node's own governed work is over by then.
func TestRevokedWhilePartitioned(t *testing.T) {
	withGovernedWork(t, (*AuditModel).certifyMost, func(t *testing.T, c *Cluster, m *AuditModel) {
		partitioned := routerNamed(c, "router-1")
		peers := append(addresses(c.Of("controller")...), addresses(c.Of("router")...)...)
		request := withLongOutput(speechRequest)
		go func() {
			for range 40 {
				go c.stream(partitioned, request)
				time.Sleep(150 * time.Millisecond)
			}
		}()
		time.Sleep(time.Second)
		c.World.Partition(addresses(partitioned), peers, true)
		time.Sleep(50 * time.Millisecond)
		require.NoError(t, m.Revoke("c-d1"))
		require.NoError(t, m.Revoke("c-d2"))
		require.Greater(t, m.revocationTimes[0], 2*time.Second, "it waited for the lease of the one cut off")
		require.Less(t, m.revocationTimes[0], 5*time.Second)
		_, err := partitioned.Node.Clearance("chair", certification.Subject{Worker: "d3"}, ids.Decode)
		require.Error(t, err, "its word is too old for anybody")
		time.Sleep(4 * time.Second)
		require.Empty(t, m.Check(nil))
		c.World.Partition(addresses(partitioned), peers, false)
		require.True(t, c.WaitUntil(8*time.Second, func() bool {
			got, err := c.stream(partitioned, speechRequest)
			return err == nil && got[len(got)-1].End == api.Complete
		}), "it serves again")
		require.Empty(t, m.Check(nil))
	})
}

// TestCertificatesExpire: certificates end by the fleet's time, without a message, also while
// clocks of nodes and of the leader leap; streams move on in time.
func TestCertificatesExpire(t *testing.T) {
	withGovernedWork(t, func(m *AuditModel) {
		m.certifyMost()
		m.sign("c-d1", certification.Certificate{Worker: "d1", Roles: []ids.Role{ids.Decode}}, 20*time.Second)
		m.sign("c-p2", certification.Certificate{Worker: "p2", Roles: []ids.Role{ids.Prefill}}, 20*time.Second)
	}, func(t *testing.T, c *Cluster, m *AuditModel) {
		go func() {
			for _, p := range []*Process{routerNamed(c, "router-1"), routerNamed(c, "router-2"), leader(c)} {
				time.Sleep(4 * time.Second)
				p.Machine.JumpClock(48 * time.Hour)
			}
		}()
		outcomes := c.Load(30, 24*time.Second, 1)
		require.Empty(t, m.Check(outcomes))
		require.Empty(t, c.Recorder.Check(outcomes))
		sum := standin.Summarize(outcomes)
		require.Equal(t, len(outcomes), sum.Ends[api.Complete]+sum.Ends[api.Unknown], "%+v", sum)
		last := map[string]time.Duration{}
		for _, e := range c.Recorder.events {
			if m.governedRequests[e.ID.Request] != "" && e.What == "resumed" || e.What == "import" {
				last[string(e.Worker)] = e.When
			}
		}
		require.Greater(t, last["d1"], m.validPeriods["c-d1"].until-5*time.Second, "it was used nearly to its end: %v", last)
	})
}
