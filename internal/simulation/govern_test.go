// The single mechanisms that hold governed work to its regime, each by itself.

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

// TestOwnerChecks: a holder gives no governed order to an uncertified worker, and lets
// none import from one, whoever asks; what ends work is always given.
func TestOwnerChecks(t *testing.T) {
	withGovernedWork(t, (*AuditModel).usual, func(t *testing.T, c *Cluster, b *AuditModel) {
		for _, w := range []ids.WorkerID{"p4", "d4", "d1"} {
			require.True(t, c.WaitUntil(5*time.Second, func() bool {
				return slices.Contains(holds(holder(c, w)), ids.Key("worker/"+w))
			}))
		}
		time.Sleep(2 * time.Second) // ledgers are open by then
		ask := func(q router.OrderRequest) error {
			q.Request, q.Attempt, q.Regime = "x", 1, "chair"
			q.Version = c.Of("router")[0].Node.View().Current().Version
			if q.Body == nil {
				q.Body, _ = json.Marshal(map[string]any{})
			}
			call := rpc.NewCaller(c.clientProcess.Host().Net)
			defer call.Close()
			_, err := rpc.Call[router.OrderRequest, router.OrderResponse](
				c.ctx, call, holder(c, q.Worker).Addr, router.OrderMethod, &q,
			)
			return err
		}
		for _, verb := range []string{"reserve", "prefill", "export"} {
			require.ErrorContains(t, ask(router.OrderRequest{
				Worker: "p4",
				Verb:   verb,
				Role:   ids.Prefill,
				Blocks: 1,
			}), "no certificate", verb)
		}
		for _, verb := range []string{"import", "resume"} {
			require.ErrorContains(t, ask(router.OrderRequest{
				Worker: "d4",
				Verb:   verb,
				Role:   ids.Decode,
				Source: "p1",
			}), "no certificate", verb)
		}
		require.ErrorContains(t, ask(router.OrderRequest{
			Worker: "d1",
			Verb:   "import",
			Role:   ids.Decode,
			Source: "p4",
		}), "worker p4", "its source")
		require.ErrorContains(t, ask(router.OrderRequest{
			Worker: "d1",
			Verb:   "reserve",
			Role:   ids.Prefill,
			Blocks: 1,
		}), "no certificate", "another part")
		require.NoError(t, ask(router.OrderRequest{Worker: "d1", Verb: "reserve", Role: ids.Decode, Blocks: 1}))
		require.NoError(t, ask(router.OrderRequest{Worker: "p4", Verb: "done"}))
		require.NoError(t, ask(router.OrderRequest{Worker: "p4", Verb: "cancel"}))
	})
}

// TestRevokedMidStep: a long prefill on a worker that is revoked is left at once, not
// when it is done, and its memory freed.
func TestRevokedMidStep(t *testing.T) {
	withGovernedWork(t, (*AuditModel).usual, func(t *testing.T, c *Cluster, b *AuditModel) {
		rich(t, c)
		ask := long(speech)
		ask.Prompt, ask.PromptIDs = "", make([]int32, 18000)
		for i := range ask.PromptIDs {
			ask.PromptIDs[i] = int32(i%4000) + 1
		}
		done := c.startStream(node(c, "router-1"), ask)
		require.True(t, c.WaitUntil(3*time.Second, func() bool { return len(b.serves(handoff.Granted)) == 1 }))
		at := b.serves(handoff.Granted)[0]
		time.Sleep(100 * time.Millisecond)
		require.NoError(t, b.Revoke("c-"+at))
		acked := c.Recorder.Now()
		require.True(t, c.WaitUntil(3*time.Second, func() bool { return len(b.serves(handoff.Dropped)) >= 1 }))
		require.Less(t, c.Recorder.Now()-acked, 300*time.Millisecond)
		require.True(t, c.WaitUntil(3*time.Second, func() bool { return len(b.serves(handoff.Granted)) >= 2 }))
		require.NotEqual(t, at, b.serves(handoff.Granted)[1])
		got := <-done
		require.Equal(t, api.EndComplete, got[len(got)-1].End)
		require.Empty(t, b.Check(nil))
	})
}

// TestNextEvent: with pieces that come faster than a running step is looked at, the
// first one after the revocation was folded already comes from a certified worker.
func TestNextEvent(t *testing.T) {
	withGovernedWork(t, (*AuditModel).usual, func(t *testing.T, c *Cluster, b *AuditModel) {
		require.NoError(t, b.Settle())
		ask, n := long(speech), node(c, "router-1")
		done := c.startStream(n, ask)
		require.True(t, c.WaitUntil(3*time.Second, func() bool { return len(b.serves(handoff.Resumed)) == 1 }))
		at := b.serves(handoff.Resumed)[0]
		time.Sleep(30 * time.Millisecond)
		go b.Revoke("c-" + at)
		for !seen(n, "c-"+at) {
			time.Sleep(time.Millisecond)
		}
		folded := time.Now()
		require.True(t, c.WaitUntil(time.Second, func() bool { return len(b.serves(handoff.Dropped)) >= 1 }))
		require.Less(t, time.Since(folded), 45*time.Millisecond, "a step of the worker takes ten")
		whole(t, c, ask, <-done)
	})
}

func seen(b *Process, serial string) bool {
	_, ok := b.Node.View().Current().RevokedSerials[serial]
	return ok
}

// TestPlainFleet: without regimes no time is kept, nothing is recorded, and nobody is
// asked for a certificate.
func TestPlainFleet(t *testing.T) {
	skipUnderRace(t)
	withCluster(t, "almaty", nil, func(t *testing.T, c *Cluster) {
		all := c.Load(20, 4*time.Second, 1)
		require.Equal(t, len(all), standin.Summarize(all).Ends[api.EndComplete])
		st := c.Of("router")[0].Node.Status().(*router.NodeStatus)
		require.Zero(t, st.FleetTime)
		got, err := c.Of("router")[0].Node.AuditRows(c.ctx, 1, 10)
		require.NoError(t, err)
		require.Zero(t, got.Count)
	})
}

// TestProgramsSeeCleared: a routing program never sees a worker that is not cleared for
// a governed request; for others it sees all.
func TestProgramsSeeCleared(t *testing.T) {
	skipUnderRace(t)
	synctest.Test(t, func(t *testing.T) {
		b := NewAuditModel()
		c := Build(1, governedWork, func(c *Cluster) {
			b.tune(c)
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
		b.usual()
		require.NoError(t, b.Open())
		require.NoError(t, b.Settle())
		ask := speech
		for i := range 20 {
			ask.Seed = uint64(i)
			got, err := c.stream(node(c, "router-1"), ask)
			require.NoError(t, err)
			require.Equal(t, api.EndComplete, got[len(got)-1].End)
		}
		score := node(c, "router-1").Node.Status().(*router.NodeStatus).Programs["spy"]
		require.GreaterOrEqual(t, score["picks"], int64(20), "%v", score)
		require.Zero(t, score["fallbacks"], "%v", score)
	})
}

// TestStaging: a source that is revoked while its memory is on the way to another worker
// keeps none of it: the attempt ends, the staging is freed, another source is taken.
func TestStaging(t *testing.T) {
	withGovernedWork(t, func(b *AuditModel) {
		b.usual()
		b.c.slow(40_000)
	}, func(t *testing.T, c *Cluster, b *AuditModel) {
		rich(t, c)
		ask := long(speech)
		ask.Prompt, ask.PromptIDs = "", make([]int32, 1000)
		for i := range ask.PromptIDs {
			ask.PromptIDs[i] = int32(i) + 1
		}
		done := c.startStream(node(c, "router-1"), ask)
		require.True(t, c.WaitUntil(3*time.Second, func() bool { return len(b.serves(handoff.Imported)) == 1 }))
		from := b.serves(handoff.Granted)[0]
		require.NoError(t, b.Revoke("c-"+from))
		acked := c.Recorder.Now()
		require.True(t, c.WaitUntil(3*time.Second, func() bool { return len(b.serves(handoff.Dropped)) >= 1 }))
		require.Less(t, c.Recorder.Now()-acked, 300*time.Millisecond)
		require.True(t, c.WaitUntil(3*time.Second, func() bool { return len(b.serves(handoff.Granted)) >= 2 }))
		got := <-done
		require.Equal(t, api.EndComplete, got[len(got)-1].End)
		require.Empty(t, b.Check(nil))
		c.Recorder.mu.Lock()
		defer c.Recorder.mu.Unlock()
		for _, e := range c.Recorder.events {
			if e.Kind == "unstaged" && string(e.Worker) == from {
				require.Less(t, e.When-acked, time.Second)
				return
			}
		}
		require.Fail(t, "it was never freed")
	})
}

// slow has all workers send memory at so many bytes a second.
func (c *Cluster) slow(speed int) {
	for _, b := range c.Of("worker") {
		b.Worker.SetFaults(standin.Faults{TransferRate: speed})
	}
}

// TestCapacity: in a crowd of work that no regime governs, what a regime keeps free on its
// workers carries the governed work; without it most of that is bounced.
func TestCapacity(t *testing.T) {
	skipUnderRace(t)
	served := map[int]float64{}
	for _, keep := range []int{0, 50} {
		synctest.Test(t, func(t *testing.T) {
			b := NewAuditModel()
			b.keep = keep
			c := Build(1, governedWork, func(c *Cluster) {
				b.tune(c)
				c.TuneWorker = func(o *standin.WorkerOptions) {
					o.Capacity, o.StepTime, o.StagingTTL = 220, 20*time.Millisecond, 2*time.Second
				}
			})
			defer c.Close()
			require.NoError(t, c.Bootstrap())
			b.usual()
			require.NoError(t, b.Open())
			load := func(sh standin.StreamClass, rate float64, seed uint64) []standin.Outcome {
				sh.Percent = 100
				return standin.RunLoad(c.ctx, standin.LoadOptions{
					Host:     c.clientProcess.Host(),
					Nodes:    c.Platform.ReadyNodes,
					Zones:    c.Site.Zones,
					Classes:  []standin.StreamClass{sh},
					Rate:     rate,
					Duration: 4 * time.Second,
					Seed:     seed,
					Model:    c.Site.Model,
					Weights:  []string{standin.SiteWeights},
				})
			}
			other := make(chan []standin.Outcome, 1)
			go func() { other <- load(governedWork.Classes[2], 500, 2) }()
			all := load(governedWork.Classes[0], 15, 3)
			crowd := standin.Summarize(<-other)
			require.Positive(t, crowd.Ends["bounced"], "it is a crowd")
			require.Positive(t, crowd.Ends[api.EndComplete])
			require.Empty(t, b.Check(all))
			served[keep] = float64(standin.Summarize(all).Ends[api.EndComplete]) / float64(len(all))
		})
	}
	t.Logf("share of governed calls served at once: %v", served)
	require.Greater(t, served[50], 0.95)
	require.Less(t, served[0], 0.8)
}

// TestBadCertificates: a door refuses a bad first part, with file, line and reason, and
// nothing of it takes force; a revocation of nobody's certificate is refused.
func TestBadCertificates(t *testing.T) {
	skipUnderRace(t)
	synctest.Test(t, func(t *testing.T) {
		b := NewAuditModel()
		c := Build(1, governedWork, b.tune)
		defer c.Close()
		require.NoError(t, c.Bootstrap())
		b.usual()
		for says, spoil := range map[string]func(*certification.Certificate){
			"regimes.json:1:": func(one *certification.Certificate) { one.Worker = "p4" },
			"another subject": func(one *certification.Certificate) { one.Worker = "p4" },
			"it has expired": func(one *certification.Certificate) {
				*one = b.sign("c-p1", certification.Certificate{Worker: "p1", Roles: one.Roles}, -time.Minute)
			},
		} {
			good := b.certs["c-p1"]
			one := good
			spoil(&one)
			b.certs["c-p1"] = one
			err := c.Post("/v1/policy", &api.ApplyRequest{
				Op:          coordination.NewID(),
				BaseVersion: latestShown(c).Version,
				Partial:     true,
				Name:        "regimes.json",
				Source:      b.part(),
			}, nil)
			n, name, detail := faultFields(t, err)
			require.Equal(t, http.StatusBadRequest, n, detail)
			require.Equal(t, "bad", name)
			require.Contains(t, detail, says)
			require.Contains(t, detail, "certificates.c-p1.")
			b.certs["c-p1"] = good
		}
		require.Empty(t, c.Of("router")[0].Node.Regimes().Regimes)
		n, _, _ := faultFields(t, c.Post("/v1/certificates/c-p1", &api.MarkRequest{Op: "x", Out: true}, nil))
		require.Equal(t, http.StatusNotFound, n)
		require.NoError(t, b.Open())
	})
}

// rich waits until the shared retry budget has coins: in new hands it is empty, and what
// has not put a piece is then told at once to come back.
func rich(t *testing.T, c *Cluster) {
	call := rpc.NewCaller(c.clientProcess.Host().Net)
	defer call.Close()
	spend := func() bool {
		for _, b := range c.Of("router") {
			if r, err := rpc.Call[coordination.Empty, router.RetryTokenResponse](
				c.ctx, call, b.Addr, router.SpendMethod, &coordination.Empty{},
			); err == nil && r.OK {
				return true
			}
		}
		return false
	}
	require.True(t, c.WaitUntil(10*time.Second, spend))
	time.Sleep(2 * time.Second)
}
