// Tests of each mechanism that restricts governed requests, those of the kinds to which a regime applies, to
// certified routers and workers.

package simulation

import (
	"encoding/json"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/coordination"
	"keelstair.example/ids"
	"keelstair.example/internal/api"
	"keelstair.example/internal/certification"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/handoff"
	"keelstair.example/internal/router"
	"keelstair.example/internal/standin"
	"keelstair.example/rpc"
)

// TestOwnerChecks checks that the router that owns a worker sends it no order of a governed request if the worker
// has no certificate for the role, and no import whose source is not certified. Orders that end a run are sent
// to any worker.
func TestOwnerChecks(t *testing.T) {
	withRegimeInForce(t, (*CertificationModel).certifyAllButLast, func(t *testing.T, c *Cluster, m *CertificationModel) {
		for _, w := range []ids.WorkerID{"p4", "d4", "d1"} {
			require.True(t, c.WaitUntil(5*time.Second, func() bool {
				return slices.Contains(ownedKeys(ownerOf(c, w)), ids.Key("worker/"+w))
			}))
		}
		time.Sleep(2 * time.Second) // by then, owners accept reservations of memory
		sendOrder := func(order router.OrderRequest) error {
			order.Request, order.Attempt, order.Regime = "x", 1, "chair"
			order.Version = c.ProcessesOf("router")[0].Node.View().Current().Version
			if order.Body == nil {
				order.Body, _ = json.Marshal(map[string]any{})
			}
			caller := rpc.NewCaller(c.clientProcess.Host().Net)
			defer caller.Close()
			_, err := rpc.Call[router.OrderRequest, router.OrderResponse](
				c.ctx, caller, ownerOf(c, order.Worker).Addr, router.OrderMethod, &order,
			)
			return err
		}
		for _, verb := range []string{"reserve", "prefill", "export"} {
			require.ErrorContains(t, sendOrder(router.OrderRequest{
				Worker: "p4",
				Verb:   verb,
				Role:   ids.Prefill,
				Blocks: 1,
			}), "no certificate", verb)
		}
		for _, verb := range []string{"import", "resume"} {
			require.ErrorContains(t, sendOrder(router.OrderRequest{
				Worker: "d4",
				Verb:   verb,
				Role:   ids.Decode,
				Source: "p1",
			}), "no certificate", verb)
		}
		require.ErrorContains(t, sendOrder(router.OrderRequest{
			Worker: "d1",
			Verb:   "import",
			Role:   ids.Decode,
			Source: "p4",
		}), "worker p4", "the source has no certificate")
		require.ErrorContains(t, sendOrder(router.OrderRequest{
			Worker: "d1",
			Verb:   "reserve",
			Role:   ids.Prefill,
			Blocks: 1,
		}), "no certificate", "the certificate is for another role")
		require.NoError(t, sendOrder(router.OrderRequest{Worker: "d1", Verb: "reserve", Role: ids.Decode, Blocks: 1}))
		require.NoError(t, sendOrder(router.OrderRequest{Worker: "p4", Verb: "done"}))
		require.NoError(t, sendOrder(router.OrderRequest{Worker: "p4", Verb: "cancel"}))
	})
}

// TestCertificateRevokedDuringPrefill checks that a long prefill is canceled within 300 ms after the revocation of
// its worker's certificate is acknowledged, not when it has finished, and that another worker is chosen.
func TestCertificateRevokedDuringPrefill(t *testing.T) {
	withRegimeInForce(t, (*CertificationModel).certifyAllButLast, func(t *testing.T, c *Cluster, m *CertificationModel) {
		waitForRetryBudget(t, c)
		request := withLongOutput(speechRequest)
		request.Prompt, request.PromptIDs = "", make([]int32, 18000)
		for i := range request.PromptIDs {
			request.PromptIDs[i] = int32(i%4000) + 1
		}
		done := c.startStream(routerNamed(c, "router-1"), request)
		require.True(t, c.WaitUntil(3*time.Second, func() bool { return len(m.workersWithStep(handoff.Granted)) == 1 }))
		worker := m.workersWithStep(handoff.Granted)[0]
		time.Sleep(100 * time.Millisecond)
		require.NoError(t, m.Revoke("c-"+worker))
		acked := c.Recorder.Now()
		require.True(t, c.WaitUntil(3*time.Second, func() bool { return len(m.workersWithStep(handoff.Dropped)) >= 1 }))
		require.Less(t, c.Recorder.Now()-acked, 300*time.Millisecond)
		require.True(t, c.WaitUntil(3*time.Second, func() bool { return len(m.workersWithStep(handoff.Granted)) >= 2 }))
		require.NotEqual(t, worker, m.workersWithStep(handoff.Granted)[1])
		got := <-done
		require.Equal(t, api.EndComplete, got[len(got)-1].End)
		require.Empty(t, m.Check(nil))
	})
}

// TestFirstTokenAfterRevocation checks that, once a router has applied a revocation, it leaves the worker at the
// next token, although tokens arrive more often than the certificates of running steps are checked. The stream
// delivers each token once.
func TestFirstTokenAfterRevocation(t *testing.T) {
	withRegimeInForce(t, (*CertificationModel).certifyAllButLast, func(t *testing.T, c *Cluster, m *CertificationModel) {
		require.NoError(t, m.WaitForOwners())
		request, p := withLongOutput(speechRequest), routerNamed(c, "router-1")
		done := c.startStream(p, request)
		require.True(t, c.WaitUntil(3*time.Second, func() bool { return len(m.workersWithStep(handoff.Resumed)) == 1 }))
		worker := m.workersWithStep(handoff.Resumed)[0]
		time.Sleep(30 * time.Millisecond)
		go m.Revoke("c-" + worker)
		for !sawRevocation(p, "c-"+worker) {
			time.Sleep(time.Millisecond)
		}
		applied := time.Now()
		require.True(t, c.WaitUntil(time.Second, func() bool { return len(m.workersWithStep(handoff.Dropped)) >= 1 }))
		require.Less(t, time.Since(applied), 45*time.Millisecond, "the router should leave the worker at the next token; a decode step takes 10 ms")
		requireReferenceOutput(t, c, request, <-done)
	})
}

func sawRevocation(p *Process, serial string) bool {
	_, ok := p.Node.View().Current().RevokedSerials[serial]
	return ok
}

// TestNoRegimes checks that, without regimes, routers keep no fleet time, write no audit records and require
// no certificates.
func TestNoRegimes(t *testing.T) {
	skipUnderRace(t)
	withCluster(t, "almaty", nil, func(t *testing.T, c *Cluster) {
		all := c.Load(20, 4*time.Second, 1)
		require.Equal(t, len(all), standin.Summarize(all).Ends[api.EndComplete])
		st := c.ProcessesOf("router")[0].Node.Status().(*router.NodeStatus)
		require.Zero(t, st.FleetTime)
		got, err := c.ProcessesOf("router")[0].Node.AuditRows(c.ctx, 1, 10)
		require.NoError(t, err)
		require.Zero(t, got.Count)
	})
}

// TestProgramsGetCertifiedWorkers checks that a routing program gets only certified workers for a governed
// request. The program fails if it gets one of the others, p4 and d4.
func TestProgramsGetCertifiedWorkers(t *testing.T) {
	skipUnderRace(t)
	synctest.Test(t, func(t *testing.T) {
		m := NewCertificationModel()
		c := Build(1, governedSite, func(c *Cluster) {
			m.configure(c)
			c.Programs = map[string]fleetstate.Program{"spy": {Share: 100, Source: `
def order(ask, workers):
    for w in workers:
        if ask.kind == "speech" and w.id in ("p4", "d4"):
            fail("seen")
    return [w.id for w in workers]
`}}
		})
		defer c.Close()
		require.NoError(t, c.Bootstrap())
		m.certifyAllButLast()
		require.NoError(t, m.ApplyRegimes())
		require.NoError(t, m.WaitForOwners())
		request := speechRequest
		for i := range 20 {
			request.Seed = uint64(i)
			got, err := c.stream(routerNamed(c, "router-1"), request)
			require.NoError(t, err)
			require.Equal(t, api.EndComplete, got[len(got)-1].End)
		}
		score := routerNamed(c, "router-1").Node.Status().(*router.NodeStatus).Programs["spy"]
		require.GreaterOrEqual(t, score["picks"], int64(20), "%v", score)
		require.Zero(t, score["fallbacks"], "%v", score)
	})
}

// TestCertificateRevokedDuringTransfer revokes the certificate of a prefill worker while its KV cache is
// transferred to a decode worker. It checks that the attempt ends, that the staged KV cache is freed within a
// second and that a prefill worker is chosen again.
func TestCertificateRevokedDuringTransfer(t *testing.T) {
	withRegimeInForce(t, func(m *CertificationModel) {
		m.certifyAllButLast()
		m.cluster.limitTransferRate(40_000)
	}, func(t *testing.T, c *Cluster, m *CertificationModel) {
		waitForRetryBudget(t, c)
		request := withLongOutput(speechRequest)
		request.Prompt, request.PromptIDs = "", make([]int32, 1000)
		for i := range request.PromptIDs {
			request.PromptIDs[i] = int32(i) + 1
		}
		done := c.startStream(routerNamed(c, "router-1"), request)
		require.True(t, c.WaitUntil(3*time.Second, func() bool { return len(m.workersWithStep(handoff.Imported)) == 1 }))
		source := m.workersWithStep(handoff.Granted)[0]
		require.NoError(t, m.Revoke("c-"+source))
		acked := c.Recorder.Now()
		require.True(t, c.WaitUntil(3*time.Second, func() bool { return len(m.workersWithStep(handoff.Dropped)) >= 1 }))
		require.Less(t, c.Recorder.Now()-acked, 300*time.Millisecond)
		require.True(t, c.WaitUntil(3*time.Second, func() bool { return len(m.workersWithStep(handoff.Granted)) >= 2 }))
		got := <-done
		require.Equal(t, api.EndComplete, got[len(got)-1].End)
		require.Empty(t, m.Check(nil))
		c.Recorder.mu.Lock()
		defer c.Recorder.mu.Unlock()
		for _, e := range c.Recorder.events {
			if e.Kind == "unstaged" && string(e.Worker) == source {
				require.Less(t, e.RecordedAt-acked, time.Second)
				return
			}
		}
		require.Fail(t, "the staged KV cache was not freed")
	})
}

// limitTransferRate makes all workers send KV cache at the given rate.
func (c *Cluster) limitTransferRate(bytesPerSecond int) {
	for _, p := range c.ProcessesOf("worker") {
		p.Worker.SetFaults(standin.Faults{TransferRate: bytesPerSecond})
	}
}

// TestReservedCapacity checks that, under an overload of requests that no regime governs, the capacity that
// a regime reserves on its workers serves the governed requests. Without a reservation, fewer than 80
// percent of them are served.
func TestReservedCapacity(t *testing.T) {
	skipUnderRace(t)
	served := map[int]float64{}
	for _, reservedPercent := range []int{0, 50} {
		synctest.Test(t, func(t *testing.T) {
			m := NewCertificationModel()
			m.reservedPercent = reservedPercent
			c := Build(1, governedSite, func(c *Cluster) {
				m.configure(c)
				c.TuneWorker = func(o *standin.WorkerOptions) {
					o.Capacity, o.StepTime, o.StagingTTL = 220, 20*time.Millisecond, 2*time.Second
				}
			})
			defer c.Close()
			require.NoError(t, c.Bootstrap())
			m.certifyAllButLast()
			require.NoError(t, m.ApplyRegimes())
			load := func(class standin.StreamClass, rate float64, seed uint64) []standin.Outcome {
				class.Percent = 100
				return standin.RunLoad(c.ctx, standin.LoadOptions{
					Host:     c.clientProcess.Host(),
					Nodes:    c.Platform.ReadyNodes,
					Zones:    c.Site.Zones,
					Classes:  []standin.StreamClass{class},
					Rate:     rate,
					Duration: 4 * time.Second,
					Seed:     seed,
					Model:    c.Site.Model,
					Weights:  []string{standin.SiteWeights},
				})
			}
			otherOutcomes := make(chan []standin.Outcome, 1)
			go func() { otherOutcomes <- load(governedSite.Classes[2], 500, 2) }()
			governed := load(governedSite.Classes[0], 15, 3)
			otherSummary := standin.Summarize(<-otherOutcomes)
			require.Positive(t, otherSummary.Ends["bounced"], "the other requests should overload the fleet")
			require.Positive(t, otherSummary.Ends[api.EndComplete])
			require.Empty(t, m.Check(governed))
			served[reservedPercent] = float64(standin.Summarize(governed).Ends[api.EndComplete]) / float64(len(governed))
		})
	}
	t.Logf("share of governed requests served without a retry: %v", served)
	require.Greater(t, served[50], 0.95)
	require.Less(t, served[0], 0.8)
}

// TestBadCertificates checks that a frontend refuses an initial configuration that has an invalid certificate
// and reports the file, the line and the reason, and that none of it comes into force. Revoking an unknown
// certificate is refused too.
func TestBadCertificates(t *testing.T) {
	skipUnderRace(t)
	synctest.Test(t, func(t *testing.T) {
		m := NewCertificationModel()
		c := Build(1, governedSite, m.configure)
		defer c.Close()
		require.NoError(t, c.Bootstrap())
		m.certifyAllButLast()
		for wantDetail, corrupt := range map[string]func(*certification.Certificate){
			"regimes.json:1:": func(certificate *certification.Certificate) { certificate.Worker = "p4" },
			"another subject": func(certificate *certification.Certificate) { certificate.Worker = "p4" },
			"it has expired": func(certificate *certification.Certificate) {
				*certificate = m.sign("c-p1", certification.Certificate{Worker: "p1", Roles: certificate.Roles}, -time.Minute)
			},
		} {
			valid := m.certs["c-p1"]
			certificate := valid
			corrupt(&certificate)
			m.certs["c-p1"] = certificate
			err := c.Post("/v1/policy", &api.ApplyRequest{
				Op:          coordination.NewID(),
				BaseVersion: newestActivePolicy(c).Version,
				Partial:     true,
				Name:        "regimes.json",
				Source:      m.partialConfig(),
			}, nil)
			status, name, detail := faultFields(t, err)
			require.Equal(t, http.StatusBadRequest, status, detail)
			require.Equal(t, "bad", name)
			require.Contains(t, detail, wantDetail)
			require.Contains(t, detail, "certificates.c-p1.")
			m.certs["c-p1"] = valid
		}
		require.Empty(t, c.ProcessesOf("router")[0].Node.Regimes().Regimes)
		status, _, _ := faultFields(t, c.Post("/v1/certificates/c-p1", &api.MarkRequest{Op: "x", Out: true}, nil))
		require.Equal(t, http.StatusNotFound, status)
		require.NoError(t, m.ApplyRegimes())
	})
}

// waitForRetryBudget waits until the fleet's shared retry budget has tokens, and then for two seconds. A new
// owner of the budget starts with an empty one. While it is empty, a request that fails before its first output
// token is refused at once with a retry delay.
func waitForRetryBudget(t *testing.T, c *Cluster) {
	caller := rpc.NewCaller(c.clientProcess.Host().Net)
	defer caller.Close()
	spendToken := func() bool {
		for _, p := range c.ProcessesOf("router") {
			if response, err := rpc.Call[coordination.Empty, router.RetryTokenResponse](
				c.ctx, caller, p.Addr, router.SpendMethod, &coordination.Empty{},
			); err == nil && response.OK {
				return true
			}
		}
		return false
	}
	require.True(t, c.WaitUntil(10*time.Second, spendToken))
	time.Sleep(2 * time.Second)
}
