// Tests that governed requests, those of the kinds to which a regime applies, are processed by certified
// routers and workers only, also while certificates are revoked or expire and while routers are partitioned
// or the leader fails.

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

// withRegimeInForce runs a test on a fleet with a regime in force. prepare signs the certificates.
func withRegimeInForce(t *testing.T, prepare func(m *CertificationModel), f func(t *testing.T, c *Cluster, m *CertificationModel)) {
	skipUnderRace(t)
	synctest.Test(t, func(t *testing.T) {
		m := NewCertificationModel()
		c := Build(1, governedSite, m.configure)
		defer c.Close()
		require.NoError(t, c.Bootstrap())
		prepare(m)
		require.NoError(t, m.ApplyRegimes())
		f(t, c, m)
	})
}

func routerNamed(c *Cluster, name string) *Process {
	routers := c.ProcessesOf("router")
	return routers[slices.IndexFunc(routers, func(p *Process) bool { return p.Name == name })]
}

var speechRequest = api.StreamRequest{
	Kind:      "speech",
	Prompt:    "the chair gives the floor to the delegate of the fourth row",
	MaxTokens: 60,
	Seed:      9,
}

// withLongOutput returns the request with a limit of 64 output tokens and a seed for which the output has at
// least 50.
func withLongOutput(request api.StreamRequest) api.StreamRequest {
	request.MaxTokens = 64
	for len(standin.ReferenceOutput(request.PromptTokens(), request.MaxTokens, request.Seed, 0, governedSite.Model, standin.SiteWeights, nil)) < 50 {
		request.Seed++
	}
	return request
}

// requireReferenceOutput requires that a stream completed with the output of a run that stays on one worker.
func requireReferenceOutput(t *testing.T, c *Cluster, request api.StreamRequest, got []api.StreamEvent) {
	t.Helper()
	reference := standin.ReferenceOutput(request.PromptTokens(), request.MaxTokens, request.Seed, 0, c.Site.Model, standin.SiteWeights, nil)
	require.Len(t, got, len(reference)+1, "%+v", got[len(got)-1].Error)
	for i, token := range reference {
		require.Equal(t, token, got[i].Token)
	}
	require.Equal(t, api.EndComplete, got[len(reference)].End)
}

// TestGovernedWorkOnCertifiedNodes checks that, under a mixed load, governed requests are processed by
// certified workers only, that some requests are forwarded to another router, and that all complete. Other
// requests use all workers.
func TestGovernedWorkOnCertifiedNodes(t *testing.T) {
	withRegimeInForce(t, (*CertificationModel).certifyAllButLast, func(t *testing.T, c *Cluster, m *CertificationModel) {
		outcomes := c.Load(30, 10*time.Second, 1)
		require.Empty(t, m.Check(outcomes))
		require.Empty(t, c.Recorder.Check(outcomes))
		sum := standin.Summarize(outcomes)
		require.Equal(t, len(outcomes), sum.Ends[api.EndComplete], "%+v", sum)
		require.Greater(t, m.countGoverned(), 100)
		require.Less(t, standin.Quantile(m.stagingTimes, 1), 200.0, "staged KV cache should be freed within 200 ms")
		used := map[ids.WorkerID]bool{}
		for _, e := range c.Recorder.events {
			used[e.Worker] = true
		}
		require.Len(t, used, 8, "requests that no regime governs should use all workers")
		forwarded := int64(0)
		for _, p := range c.ProcessesOf("router") {
			forwarded += p.Node.Forwarded()
		}
		require.Positive(t, forwarded)
	})
}

// readAuditRecords reads the complete audit log as keelstairctl does and verifies its hash chain.
func readAuditRecords(t *testing.T, c *Cluster) []fleetstate.AuditRecord {
	var rows []fleetstate.AuditRow
	for {
		got, err := c.ProcessesOf("router")[0].Node.AuditRows(c.ctx, len(rows)+1, 500)
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

// TestAuditRecords checks, while the leader is killed, that each completed verdict has a final audit record,
// that there are as many records of completed speeches as completed speeches, and that other requests have
// none. Each step in a final record has the serial of the certificate of its worker.
func TestAuditRecords(t *testing.T) {
	withRegimeInForce(t, (*CertificationModel).certifyAllButLast, func(t *testing.T, c *Cluster, m *CertificationModel) {
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
		finalRecords, started := map[string]fleetstate.AuditRecord{}, map[string]bool{}
		for _, r := range readAuditRecords(t, c) {
			require.Equal(t, "chair", r.Regime)
			require.Contains(t, []string{"verdict", "speech"}, r.Kind)
			require.NotEmpty(t, r.Serial)
			if r.Outcome == fleetstate.OutcomeBegun {
				started[r.Request] = true
				continue
			}
			require.NotContains(t, finalRecords, r.Request, "a request should have one final record")
			finalRecords[r.Request] = r
			for _, step := range r.Steps {
				require.Equal(t, "c-"+step.Worker, step.Serial)
				require.Positive(t, step.At)
			}
		}
		completedSpeeches := 0
		for _, o := range outcomes {
			switch {
			case o.Kind == "verdict" && o.End == api.EndComplete:
				r := finalRecords[router.RequestIDForKey("verdict/"+o.Key)]
				require.Equal(t, fleetstate.OutcomeDone, r.Outcome, "%+v", o)
				require.Equal(t, "verdict/"+o.Key, r.Key)
				require.GreaterOrEqual(t, len(r.Steps), 4)
			case o.Kind == "speech" && o.End == api.EndComplete:
				completedSpeeches++
			}
		}
		completedSpeechRecords := 0
		for id, r := range finalRecords {
			if r.Kind == "speech" {
				require.True(t, started[id])
				if r.Outcome == api.EndComplete {
					completedSpeechRecords++
				}
			}
		}
		require.Equal(t, completedSpeeches, completedSpeechRecords)
	})
}

// TestForwardedToCertifiedNode checks that a router without a certificate forwards governed requests and
// passes on the responses unchanged, and that it does not own the ownership key of any certified worker. When
// no certified router is left, it refuses governed requests at once with a retry delay.
func TestForwardedToCertifiedNode(t *testing.T) {
	withRegimeInForce(t, (*CertificationModel).certifyAllButLast, func(t *testing.T, c *Cluster, m *CertificationModel) {
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
		require.Equal(t, "key-reused", err.(*api.Fault).Name, "a refusal should be passed on unchanged")
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
		start := time.Now()
		_, err = c.stream(uncertified, speechRequest)
		f, ok := err.(*api.Fault)
		require.True(t, ok, "%v", err)
		require.Equal(t, "not-certified", f.Name)
		require.Positive(t, f.RetryAfterMs)
		require.Less(t, time.Since(start), 300*time.Millisecond)
		_, err = c.stream(uncertified, api.StreamRequest{Kind: "clarification", Prompt: "may I speak", MaxTokens: 3})
		require.NoError(t, err, "requests that no regime governs should still be served")
	})
}

// TestForwardedStreamIsFinishedBeforeShutdown sends SIGTERM to a router while it forwards a governed request to a
// certified one. The client receives the complete stream.
func TestForwardedStreamIsFinishedBeforeShutdown(t *testing.T) {
	withRegimeInForce(t, (*CertificationModel).certifyAllButLast, func(t *testing.T, c *Cluster, m *CertificationModel) {
		require.NoError(t, m.WaitForOwners())
		uncertified := routerNamed(c, "router-5")
		request := withLongOutput(speechRequest)
		stream := c.startStream(uncertified, request)
		require.True(t, c.WaitUntil(3*time.Second, func() bool { return len(m.workersWithStep(handoff.Resumed)) == 1 }))
		uncertified.Shutdown()
		requireReferenceOutput(t, c, request, <-stream)
	})
}

// TestCertificateRevokedMidStream checks that a stream continues on another certified worker when the
// certificate of its decode worker is revoked, and delivers each token once. From two seconds after the
// acknowledgement of the revocation, no governed request is left on the worker.
func TestCertificateRevokedMidStream(t *testing.T) {
	withRegimeInForce(t, (*CertificationModel).certifyAllButLast, func(t *testing.T, c *Cluster, m *CertificationModel) {
		require.NoError(t, m.WaitForOwners())
		request := withLongOutput(speechRequest)
		stream := c.startStream(routerNamed(c, "router-1"), request)
		require.True(t, c.WaitUntil(3*time.Second, func() bool { return len(m.workersWithStep(handoff.Resumed)) == 1 }))
		worker := m.workersWithStep(handoff.Resumed)[0]
		time.Sleep(100 * time.Millisecond)
		require.NoError(t, m.Revoke("c-"+worker))
		require.Less(t, m.revocationTimes[0], time.Second, "a revocation should take under a second while all routers are reachable")
		requireReferenceOutput(t, c, request, <-stream)
		resumed := m.workersWithStep(handoff.Resumed)
		require.Len(t, resumed, 2, "the stream should have moved to another worker: %v, revocations took %v", m.handoffEvents, m.revocationTimes)
		require.NotEqual(t, worker, resumed[1])
		time.Sleep(3 * time.Second)
		require.Empty(t, m.Check(nil))
	})
}

// TestCertificateRevokedDuringRequestWithKey checks that a request with an idempotency key is not run a second
// time when the certificate of its decode worker is revoked. The stream ends with EndUnknown, and later
// requests with the key are refused because it may have run.
func TestCertificateRevokedDuringRequestWithKey(t *testing.T) {
	withRegimeInForce(t, (*CertificationModel).certifyAllButLast, func(t *testing.T, c *Cluster, m *CertificationModel) {
		require.NoError(t, m.WaitForOwners())
		request := withLongOutput(verdictRequest)
		stream := c.startStream(routerNamed(c, "router-1"), request)
		require.True(t, c.WaitUntil(3*time.Second, func() bool { return len(m.workersWithStep(handoff.Resumed)) == 1 }))
		time.Sleep(50 * time.Millisecond)
		require.NoError(t, m.Revoke("c-"+m.workersWithStep(handoff.Resumed)[0]))
		got := <-stream
		require.Equal(t, api.EndUnknown, got[len(got)-1].End)
		// While a key changes owners, requests with it are refused with the error "bounced", and clients retry.
		faultName := ""
		c.WaitUntil(5*time.Second, func() bool {
			_, err := c.stream(routerNamed(c, "router-2"), request)
			faultName = err.(*api.Fault).Name
			return faultName != "bounced"
		})
		require.Equal(t, "may-have-run", faultName)
		runs, _ := countRuns(c, "verdict/q1")
		require.Equal(t, 1, runs)
		time.Sleep(3 * time.Second)
		require.Empty(t, m.Check(nil))
	})
}

// TestCertificateRevokedWhilePartitioned checks that a revocation is not acknowledged while a router that has
// not received it may still rely on its older state. By the time of the acknowledgement, that router considers
// no worker certified. Once the partition has healed, it serves governed requests again.
func TestCertificateRevokedWhilePartitioned(t *testing.T) {
	withRegimeInForce(t, (*CertificationModel).certifyAllButLast, func(t *testing.T, c *Cluster, m *CertificationModel) {
		partitioned := routerNamed(c, "router-1")
		peers := append(addresses(c.ProcessesOf("controller")...), addresses(c.ProcessesOf("router")...)...)
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
		require.Greater(t, m.revocationTimes[0], 2*time.Second, "the revocation should wait until the lease of the partitioned router has expired")
		require.Less(t, m.revocationTimes[0], 5*time.Second)
		_, err := partitioned.Node.Authorize("chair", certification.Subject{Worker: "d3"}, ids.Decode)
		require.Error(t, err, "the state of the partitioned router should be too old to authorize any worker")
		time.Sleep(4 * time.Second)
		require.Empty(t, m.Check(nil))
		c.World.Partition(addresses(partitioned), peers, false)
		require.True(t, c.WaitUntil(8*time.Second, func() bool {
			got, err := c.stream(partitioned, speechRequest)
			return err == nil && got[len(got)-1].End == api.EndComplete
		}), "the router should serve governed requests again")
		require.Empty(t, m.Check(nil))
	})
}

// TestCertificatesExpire checks that certificates expire by the fleet time, which the leader keeps, and not by
// the wall clocks of the machines: those of two routers and of the leader jump forward by 48 hours. No governed
// request is left on a worker two seconds after its certificate expired, and the last use of d1 is less than
// five seconds before its certificate expires, or later.
func TestCertificatesExpire(t *testing.T) {
	withRegimeInForce(t, func(m *CertificationModel) {
		m.certifyAllButLast()
		m.sign("c-d1", certification.Certificate{Worker: "d1", Roles: []ids.Role{ids.Decode}}, 20*time.Second)
		m.sign("c-p2", certification.Certificate{Worker: "p2", Roles: []ids.Role{ids.Prefill}}, 20*time.Second)
	}, func(t *testing.T, c *Cluster, m *CertificationModel) {
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
		require.Equal(t, len(outcomes), sum.Ends[api.EndComplete]+sum.Ends[api.EndUnknown], "%+v", sum)
		lastUsed := map[string]time.Duration{}
		for _, e := range c.Recorder.events {
			if m.requestRegimes[e.ID.Request] != "" && e.Kind == "resumed" || e.Kind == "import" {
				lastUsed[string(e.Worker)] = e.RecordedAt
			}
		}
		require.Greater(t, lastUsed["d1"], m.validPeriods["c-d1"].until-5*time.Second, "the last use of d1 should be less than 5 s before its certificate expires: %v", lastUsed)
	})
}
