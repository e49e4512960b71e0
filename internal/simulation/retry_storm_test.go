// Tests of overload, and of a fleet in which all controllers that were configured as seeds have been replaced.

package simulation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/internal/api"
	"keelstair.example/internal/standin"
)

// TestRetryStorm sends 700 requests per second, far more than the fleet can serve, for three seconds and without
// retries. It checks that each request either completes or is refused ("bounced"), that more than one in twelve
// requests of each kind complete, that the Recorder reports no violation, and that all requests complete again
// after the overload.
func TestRetryStorm(t *testing.T) {
	skipUnderRace(t)
	withCluster(t, "almaty", func(c *Cluster) {
		c.TuneWorker = func(o *standin.WorkerOptions) { o.Capacity = 220; o.StepTime = 20 * time.Millisecond }
	}, func(t *testing.T, c *Cluster) {
		before := c.Load(20, 2*time.Second, 1)
		require.Equal(t, len(before), standin.Summarize(before).Ends[api.EndComplete])
		overload := standin.RunLoad(c.ctx, standin.LoadOptions{
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
			require.Greater(t, k.Complete*12, k.Sent, "more than one in twelve requests of kind %s should complete", kind)
		}
		for _, o := range overload {
			require.Contains(t, []string{"complete", "bounced"}, o.End, o.Detail)
		}
		time.Sleep(3 * time.Second)
		after := c.Load(20, 3*time.Second, 3)
		require.Equal(t, len(after), standin.Summarize(after).Ends[api.EndComplete], "%+v", standin.Summarize(after))
	})
}

// TestAllSeedsReplaced replaces each controller by one with an empty disk at another address. It then starts a
// router whose seed addresses are those of a running router and of two removed controllers, and checks that it
// joins the fleet and that all requests complete.
func TestAllSeedsReplaced(t *testing.T) {
	skipUnderRace(t)
	withCluster(t, "vatuloa", nil, func(t *testing.T, c *Cluster) {
		for i, p := range append([]*Process(nil), c.ProcessesOf("controller")...) {
			c.PowerOff(p)
			p.Machine.WipeDisk()
			c.add(c.Controller("controller-"+string(rune('x'+i)), "10.1.0.3"+string(rune('0'+i))+":700", p.Zone))
			time.Sleep(9 * time.Second)
		}
		require.True(t, c.WaitUntil(5*time.Second, func() bool { return c.Leader() != nil }))
		c.Kill(c.ProcessesOf("router")[0])
		c.Seeds = []string{c.ProcessesOf("router")[1].Addr, "10.1.0.1:700", "10.1.0.2:700"}
		late := c.add(c.Router("router-late", "10.2.0.40", c.Site.Zones[0]))
		require.True(t, c.WaitUntil(6*time.Second, func() bool { ok, _ := late.Node.Ready(); return ok }))
		require.NoError(t, changeRetryAfter(c, "seedless", 2300))
		all := c.Load(30, 4*time.Second, 9)
		require.Equal(t, len(all), standin.Summarize(all).Ends[api.EndComplete], "%+v", standin.Summarize(all))
		require.Empty(t, c.Recorder.Check(all))
		require.Empty(t, c.checkConfigurations())
	})
}

// TestRefusedClientsRetry checks that, under an overload of 450 requests per second for three seconds, more than 90
// percent of all requests complete, because refused clients retry. The retry delays should spread the retries over
// the seconds in which the fleet can serve them, so that most requests need only a few attempts; the number of
// attempts is logged and not checked.
func TestRefusedClientsRetry(t *testing.T) {
	skipUnderRace(t)
	withCluster(t, "almaty", func(c *Cluster) {
		c.TuneWorker = func(o *standin.WorkerOptions) { o.Capacity = 220; o.StepTime = 20 * time.Millisecond }
	}, func(t *testing.T, c *Cluster) {
		c.Load(20, 2*time.Second, 1)
		outcomes := c.Load(450, 3*time.Second, 2)
		attempts, maxAttempts := 0, 0
		lastEnd := time.Duration(0)
		for _, o := range outcomes {
			attempts, maxAttempts = attempts+o.Attempts, max(maxAttempts, o.Attempts)
			lastEnd = max(lastEnd, o.At+o.Duration)
		}
		sum := standin.Summarize(outcomes)
		t.Logf(
			"%d requests, %v, %d attempts, at most %d of one request, the last ended after %s; %+v",
			len(outcomes),
			sum.Ends,
			attempts,
			maxAttempts,
			lastEnd,
			sum.Kinds,
		)
		require.Empty(t, c.Recorder.Check(outcomes))
		require.Greater(t, sum.Ends[api.EndComplete]*100, len(outcomes)*90)
	})
}
