// Crowds, and a fleet that has lost every seed it was started with.

package simulation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/internal/api"
	"keelstair.example/internal/standin"
)

// TestRetryStorm: far more callers than the fleet can carry come at once. Whoever is
// given up is told at once, with when to come back; both kinds get their part;
// what is carried is right; and when the crowd has gone all is as before.
func TestRetryStorm(t *testing.T) {
	skipUnderRace(t)
	withCluster(t, "almaty", func(c *Cluster) {
		c.TuneWorker = func(o *standin.WorkerOptions) { o.Capacity = 220; o.StepTime = 20 * time.Millisecond }
	}, func(t *testing.T, c *Cluster) {
		before := c.Load(20, 2*time.Second, 1)
		require.Equal(t, len(before), standin.Summarize(before).Ends[api.Complete])
		overload := standin.Load(c.ctx, standin.LoadOptions{
			Host:     c.clientProcess.Host(),
			Nodes:    c.Platform.ReadyNodes,
			Zones:    c.Site.Zones,
			Classes:  c.Site.Classes,
			Rate:     700,
			Duration: 3 * time.Second,
			Seed:     2,
			Model:    c.Site.Model,
			Weights:  []string{standin.SiteWeights},
			Retries:  0,
		})
		sum := standin.Summarize(overload)
		t.Logf("%+v", sum)
		require.Empty(t, c.Recorder.Check(overload))
		require.Positive(t, sum.Ends["bounced"])
		for kind, k := range sum.Kinds {
			require.Greater(t, k.Complete*12, k.Sent, "%s gets its part", kind)
		}
		for _, o := range overload {
			require.Contains(t, []string{"complete", "bounced"}, o.End, o.Detail)
		}
		time.Sleep(3 * time.Second)
		after := c.Load(20, 3*time.Second, 3)
		require.Equal(t, len(after), standin.Summarize(after).Ends[api.Complete], "%+v", standin.Summarize(after))
	})
}

// TestAllSeedsReplaced: every machine that the settings name as a seed is replaced by
// an empty one elsewhere; nodes that were running go on, and a node started
// later finds the fleet by one living address.
func TestAllSeedsReplaced(t *testing.T) {
	skipUnderRace(t)
	withCluster(t, "vatuloa", nil, func(t *testing.T, c *Cluster) {
		for i, p := range append([]*Process(nil), c.Of("controller")...) {
			c.PowerOff(p)
			p.Machine.WipeDisk()
			c.add(c.Controller("controller-"+string(rune('x'+i)), "10.1.0.3"+string(rune('0'+i))+":700", p.Zone))
			time.Sleep(9 * time.Second)
		}
		require.True(t, c.WaitUntil(5*time.Second, func() bool { return c.Leader() != nil }))
		c.Kill(c.Of("router")[0])
		c.Seeds = []string{c.Of("router")[1].Addr, "10.1.0.1:700", "10.1.0.2:700"}
		late := c.add(c.Router("router-late", "10.2.0.40", c.Site.Zones[0]))
		require.True(t, c.WaitUntil(6*time.Second, func() bool { ok, _ := late.Node.Ready(); return ok }))
		require.NoError(t, changeRetryAfter(c, "seedless", 2300))
		all := c.Load(30, 4*time.Second, 9)
		require.Equal(t, len(all), standin.Summarize(all).Ends[api.Complete], "%+v", standin.Summarize(all))
		require.Empty(t, c.Recorder.Check(all))
		require.Empty(t, c.checkConfigurations())
	})
}

// TestRefusedClientsRetry: a crowd that is bounced comes back when it was told, spread over
// the seconds in which it can be served; nearly all are served in the end, and few
// had to ask often.
func TestRefusedClientsRetry(t *testing.T) {
	skipUnderRace(t)
	withCluster(t, "almaty", func(c *Cluster) {
		c.TuneWorker = func(o *standin.WorkerOptions) { o.Capacity = 220; o.StepTime = 20 * time.Millisecond }
	}, func(t *testing.T, c *Cluster) {
		c.Load(20, 2*time.Second, 1)
		outcomes := c.Load(450, 3*time.Second, 2)
		attempts, most := 0, 0
		lastEnd := time.Duration(0)
		for _, o := range outcomes {
			attempts, most = attempts+o.Attempts, max(most, o.Attempts)
			lastEnd = max(lastEnd, o.At+o.Duration)
		}
		sum := standin.Summarize(outcomes)
		t.Logf(
			"%d calls, %v, %d askings, at most %d by one, the last ended after %s; %+v",
			len(outcomes),
			sum.Ends,
			attempts,
			most,
			lastEnd,
			sum.Kinds,
		)
		require.Empty(t, c.Recorder.Check(outcomes))
		require.Greater(t, sum.Ends[api.Complete]*100, len(outcomes)*90)
	})
}
