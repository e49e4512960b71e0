// Tests of overload and of a fleet whose seed controllers have all been replaced.

package simulation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/internal/api"
	"keelstair.example/internal/standin"
)

// TestRetryStorm sends far more requests at once than the fleet can serve. It checks that each request either
// completes or is refused at once with a retry delay (bounced), that both kinds get a share of the capacity,
// that no rule is violated, and that all requests complete again after the overload.
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
			require.Greater(t, k.Complete*12, k.Sent, "%s gets its share", kind)
		}
		for _, o := range overload {
			require.Contains(t, []string{"complete", "bounced"}, o.End, o.Detail)
		}
		time.Sleep(3 * time.Second)
		after := c.Load(20, 3*time.Second, 3)
		require.Equal(t, len(after), standin.Summarize(after).Ends[api.EndComplete], "%+v", standin.Summarize(after))
	})
}

// TestAllSeedsReplaced replaces each controller that the settings name as a seed by an empty one at another
// address. It checks that running nodes continue to serve requests, and that a node started later joins the
// fleet through a single reachable address.
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

// TestRefusedClientsRetry checks that, after an overload, clients that were refused retry after the given delay,
// spread over the seconds in which they can be served, and that more than 90 percent of all requests complete.
// Most requests should need only a few attempts, whose number is logged.
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
			"%d requests, %v, %d attempts, at most %d of one request, the last ended after %s; %+v",
			len(outcomes),
			sum.Ends,
			attempts,
			most,
			lastEnd,
			sum.Kinds,
		)
		require.Empty(t, c.Recorder.Check(outcomes))
		require.Greater(t, sum.Ends[api.EndComplete]*100, len(outcomes)*90)
	})
}
