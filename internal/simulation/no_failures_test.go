// Tests of a fleet in which nothing fails.

package simulation

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/internal/standin"
)

// TestStartupWithinTenSeconds checks that requests sent from ten seconds after the start of the machines all
// complete at the first attempt, although the disks of the controllers are slow, one controller and one router
// start four seconds late, and the configuration is applied as soon as a router accepts it.
func TestStartupWithinTenSeconds(t *testing.T) {
	skipUnderRace(t)
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		c := Build(7, standin.Sites["vatuloa"], nil)
		defer c.Close()
		for _, p := range c.ProcessesOf("controller") {
			p.Machine.SetDiskDelay(60 * time.Millisecond)
		}
		lateStarters := []*Process{c.ProcessesOf("controller")[1], c.ProcessesOf("router")[4]}
		for _, p := range lateStarters {
			c.Kill(p)
		}
		go func() {
			time.Sleep(4 * time.Second)
			for _, p := range lateStarters {
				c.Start(p)
			}
		}()
		require.NoError(t, c.Bootstrap())
		require.Less(t, time.Since(start), 10*time.Second)
		time.Sleep(10*time.Second - time.Since(start))
		outcomes := c.Load(40, 5*time.Second, 7)
		sum := standin.Summarize(outcomes)
		require.Equal(t, len(outcomes), sum.Ends["complete"], "%+v", sum)
		for _, o := range outcomes {
			require.Equal(t, 1, o.Attempts, "no request should be refused")
		}
		require.Empty(t, c.Recorder.Check(outcomes))
	})
}

// TestNoFailures checks that, without failures, every request completes with the expected tokens at each site.
func TestNoFailures(t *testing.T) {
	skipUnderRace(t)
	for name, site := range standin.Sites {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := Build(1, site, nil)
				defer c.Close()
				require.NoError(t, c.Bootstrap())
				outcomes := c.Load(20, 10*time.Second, 1)
				sum := standin.Summarize(outcomes)
				require.Equal(t, len(outcomes), sum.Ends["complete"], "%+v", sum)
				require.Empty(t, c.Recorder.Check(outcomes))
				t.Logf("%+v", sum)
			})
		})
	}
}
