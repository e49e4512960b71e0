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
func withGovernedWork(t *testing.T, prepare func(b *AuditModel), f func(t *testing.T, c *Cluster, b *AuditModel)) {
	skipUnderRace(t)
	synctest.Test(t, func(t *testing.T) {
		b := NewAuditModel()
		c := Build(1, governedWork, b.tune)
		defer c.Close()
		require.NoError(t, c.Bootstrap())
		prepare(b)
		require.NoError(t, b.Open())
		f(t, c, b)
	})
}

func node(c *Cluster, name string) *Process {
	list := c.Of("router")
	return list[slices.IndexFunc(list, func(b *Process) bool { return b.Name == name })]
}

var speech = api.StreamRequest{
	Kind:      "speech",
	Prompt:    "the chair gives the floor to the delegate of the fourth row",
	MaxTokens: 60,
	Seed:      9,
}

// long gives an asking whose answer has fifty tokens or more.
func long(ask api.StreamRequest) api.StreamRequest {
	ask.MaxTokens = 64
	for len(standin.ReferenceOutput(ask.Tokens(), ask.MaxTokens, ask.Seed, 0, governedWork.Model, standin.SiteWeights, nil)) < 50 {
		ask.Seed++
	}
	return ask
}

// whole checks a stream against a run that never moved.
func whole(t *testing.T, c *Cluster, ask api.StreamRequest, got []api.StreamEvent) {
	t.Helper()
	solo := standin.ReferenceOutput(ask.Tokens(), ask.MaxTokens, ask.Seed, 0, c.Site.Model, standin.SiteWeights, nil)
	require.Len(t, got, len(solo)+1, "%+v", got[len(got)-1].Error)
	for i, tok := range solo {
		require.Equal(t, tok, got[i].Token)
	}
	require.Equal(t, api.Complete, got[len(solo)].End)
}

// TestCertified: under a mixed load governed work is handled on certified nodes alone,
// whichever door it came to, and all of it is answered; other work uses all workers.
func TestCertified(t *testing.T) {
	withGovernedWork(t, (*AuditModel).usual, func(t *testing.T, c *Cluster, b *AuditModel) {
		all := c.Load(30, 10*time.Second, 1)
		require.Empty(t, b.Check(all))
		require.Empty(t, c.Recorder.Check(all))
		sum := standin.Summarize(all)
		require.Equal(t, len(all), sum.Ends[api.Complete], "%+v", sum)
		require.Greater(t, b.governed(), 100)
		require.Less(t, standin.Quantile(b.stays, 1), 200.0, "staged memory is freed once it is in")
		used := map[ids.WorkerID]bool{}
		for _, e := range c.Recorder.events {
			used[e.Worker] = true
		}
		require.Len(t, used, 8, "other work goes everywhere")
		passed := int64(0)
		for _, box := range c.Of("router") {
			passed += box.Node.Forwarded()
		}
		require.Positive(t, passed)
	})
}

// audited reads the whole audit record as keelstairctl does, checked.
func audited(t *testing.T, c *Cluster) []fleetstate.AuditRecord {
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

// TestAudited: each governed request that ran has its record, with the serial of each
// step, over a death of the leader; what is not governed has none.
func TestAudited(t *testing.T) {
	withGovernedWork(t, (*AuditModel).usual, func(t *testing.T, c *Cluster, b *AuditModel) {
		go func() {
			time.Sleep(4 * time.Second)
			l := leader(c)
			c.Kill(l)
			time.Sleep(3 * time.Second)
			c.Start(l)
		}()
		all := c.Load(20, 10*time.Second, 1)
		require.Empty(t, b.Check(all))
		time.Sleep(3 * time.Second)
		ends, begun := map[string]fleetstate.AuditRecord{}, map[string]bool{}
		for _, r := range audited(t, c) {
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
		for _, o := range all {
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

// TestPassed: a node without a certificate passes governed requests on, untouched, and
// where it reaches no certified one says at once when to come back; it holds no key of a
// certified worker.
func TestPassed(t *testing.T) {
	withGovernedWork(t, (*AuditModel).usual, func(t *testing.T, c *Cluster, b *AuditModel) {
		require.NoError(t, b.Settle())
		lone := node(c, "router-5")
		got, err := c.stream(lone, speech)
		require.NoError(t, err)
		whole(t, c, speech, got)
		ask := verdictRequest
		first, err := c.stream(lone, ask)
		require.NoError(t, err)
		again, err := c.stream(lone, ask)
		require.NoError(t, err)
		require.True(t, again[0].Replay)
		require.Equal(t, first[0].Token, again[0].Token)
		_, err = c.stream(lone, api.StreamRequest{Kind: "verdict", Key: "q1", Prompt: "another body", MaxTokens: 2})
		require.Equal(t, "key-reused", err.(*api.Fault).Name, "a refusal comes back as it was")
		require.True(t, c.WaitUntil(10*time.Second, func() bool {
			for _, k := range holds(lone) {
				for _, w := range append(upTo("p", 3), upTo("d", 3)...) {
					if k == ids.Key("worker/"+w) {
						return false
					}
				}
			}
			return true
		}), "%v", holds(lone))
		for _, n := range upTo("router-", 4) {
			require.NoError(t, b.Revoke("c-"+n))
		}
		begun := time.Now()
		_, err = c.stream(lone, speech)
		f, ok := err.(*api.Fault)
		require.True(t, ok, "%v", err)
		require.Equal(t, "not-certified", f.Name)
		require.Positive(t, f.After)
		require.Less(t, time.Since(begun), 300*time.Millisecond)
		_, err = c.stream(lone, api.StreamRequest{Kind: "clarification", Prompt: "may I speak", MaxTokens: 3})
		require.NoError(t, err, "other work goes on")
	})
}

// TestRevokedMidStream: a speech whose decode worker is revoked goes on at a certified
// one, each piece once; within two seconds of the acknowledgement the worker has none.
func TestRevokedMidStream(t *testing.T) {
	withGovernedWork(t, (*AuditModel).usual, func(t *testing.T, c *Cluster, b *AuditModel) {
		require.NoError(t, b.Settle())
		ask := long(speech)
		done := c.startStream(node(c, "router-1"), ask)
		require.True(t, c.WaitUntil(3*time.Second, func() bool { return len(b.serves(handoff.Resumed)) == 1 }))
		at := b.serves(handoff.Resumed)[0]
		time.Sleep(100 * time.Millisecond)
		require.NoError(t, b.Revoke("c-"+at))
		require.Less(t, b.revoke[0], time.Second, "all nodes are well")
		whole(t, c, ask, <-done)
		resumed := b.serves(handoff.Resumed)
		require.Len(t, resumed, 2, "it moved: %v, revoked in %v", b.steps, b.revoke)
		require.NotEqual(t, at, resumed[1])
		time.Sleep(3 * time.Second)
		require.Empty(t, b.Check(nil))
	})
}

// TestRevokedVerdict: a claimed run on a worker that is revoked is never run again: it
// ends whole, or as unknown, and its key says so later.
func TestRevokedVerdict(t *testing.T) {
	withGovernedWork(t, (*AuditModel).usual, func(t *testing.T, c *Cluster, b *AuditModel) {
		require.NoError(t, b.Settle())
		ask := long(verdictRequest)
		done := c.startStream(node(c, "router-1"), ask)
		require.True(t, c.WaitUntil(3*time.Second, func() bool { return len(b.serves(handoff.Resumed)) == 1 }))
		time.Sleep(50 * time.Millisecond)
		require.NoError(t, b.Revoke("c-"+b.serves(handoff.Resumed)[0]))
		got := <-done
		require.Equal(t, api.Unknown, got[len(got)-1].End)
		// A key between two hands has it bounced at first; the caller comes back.
		name := ""
		c.WaitUntil(5*time.Second, func() bool {
			_, err := c.stream(node(c, "router-2"), ask)
			name = err.(*api.Fault).Name
			return name != "bounced"
		})
		require.Equal(t, "may-have-run", name)
		runs, _ := countRuns(c, "verdict/q1")
		require.Equal(t, 1, runs)
		time.Sleep(3 * time.Second)
		require.Empty(t, b.Check(nil))
	})
}

// TestRevokedWhilePartitioned: a revocation is not acknowledged while a node that has not heard
// of it may still act on its word; that node's own governed work is over by then.
func TestRevokedWhilePartitioned(t *testing.T) {
	withGovernedWork(t, (*AuditModel).usual, func(t *testing.T, c *Cluster, b *AuditModel) {
		partitioned := node(c, "router-1")
		peers := append(addresses(c.Of("controller")...), addresses(c.Of("router")...)...)
		ask := long(speech)
		go func() {
			for range 40 {
				go c.stream(partitioned, ask)
				time.Sleep(150 * time.Millisecond)
			}
		}()
		time.Sleep(time.Second)
		c.World.Partition(addresses(partitioned), peers, true)
		time.Sleep(50 * time.Millisecond)
		require.NoError(t, b.Revoke("c-d1"))
		require.NoError(t, b.Revoke("c-d2"))
		require.Greater(t, b.revoke[0], 2*time.Second, "it waited for the lease of the one cut off")
		require.Less(t, b.revoke[0], 5*time.Second)
		_, err := partitioned.Node.Clearance("chair", certification.Subject{Worker: "d3"}, ids.Decode)
		require.Error(t, err, "its word is too old for anybody")
		time.Sleep(4 * time.Second)
		require.Empty(t, b.Check(nil))
		c.World.Partition(addresses(partitioned), peers, false)
		require.True(t, c.WaitUntil(8*time.Second, func() bool {
			got, err := c.stream(partitioned, speech)
			return err == nil && got[len(got)-1].End == api.Complete
		}), "it serves again")
		require.Empty(t, b.Check(nil))
	})
}

// TestExpired: certificates end by the fleet's time, without a message, also while
// clocks of nodes and of the leader leap; streams move on in time.
func TestExpired(t *testing.T) {
	withGovernedWork(t, func(b *AuditModel) {
		b.usual()
		b.sign("c-d1", certification.Certificate{Worker: "d1", Roles: []ids.Role{ids.Decode}}, 20*time.Second)
		b.sign("c-p2", certification.Certificate{Worker: "p2", Roles: []ids.Role{ids.Prefill}}, 20*time.Second)
	}, func(t *testing.T, c *Cluster, b *AuditModel) {
		go func() {
			for _, box := range []*Process{node(c, "router-1"), node(c, "router-2"), leader(c)} {
				time.Sleep(4 * time.Second)
				box.Machine.JumpClock(48 * time.Hour)
			}
		}()
		all := c.Load(30, 24*time.Second, 1)
		require.Empty(t, b.Check(all))
		require.Empty(t, c.Recorder.Check(all))
		sum := standin.Summarize(all)
		require.Equal(t, len(all), sum.Ends[api.Complete]+sum.Ends[api.Unknown], "%+v", sum)
		last := map[string]time.Duration{}
		for _, e := range c.Recorder.events {
			if b.work[e.ID.Request] != "" && e.What == "resumed" || e.What == "import" {
				last[string(e.Worker)] = e.When
			}
		}
		require.Greater(t, last["d1"], b.spans["c-d1"].until-5*time.Second, "it was used nearly to its end: %v", last)
	})
}
