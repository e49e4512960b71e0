// Tests of idempotency keys whose answers are no longer retained, on a fleet with all types of processes.

package simulation

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/internal/api"
	"keelstair.example/internal/fleetstate"
)

// TestAgedKeys checks that an idempotency key is still recognized after its answer was dropped, and that its
// request does not run again: with an unchanged primary, after the primary was replaced by a controller with an
// empty disk, after another controller became primary, and after all controllers lost power.
func TestAgedKeys(t *testing.T) {
	skipUnderRace(t)
	withCluster(t, "vatuloa", func(c *Cluster) {
		c.Retention = fleetstate.Retention{
			FullRecords:  4,
			ChunkEntries: 8,
		}
	}, func(t *testing.T, c *Cluster) {
		node := func(i int) *Process { return c.ProcessesOf("router")[i%len(c.ProcessesOf("router"))] }
		request := func(i int) api.StreamRequest {
			request := verdictRequest
			request.Key = fmt.Sprint("old-", i)
			return request
		}
		nextKey := 0
		serveKeys := func(n int) {
			for end := nextKey + n; nextKey < end; nextKey++ {
				require.True(t, c.WaitUntil(8*time.Second, func() bool {
					got, err := c.stream(node(nextKey), request(nextKey))
					return err == nil && got[len(got)-1].End == api.EndComplete
				}))
			}
		}
		checkAgedKeys := func() {
			for i := 0; i < nextKey-4; i++ {
				var err error
				require.True(t, c.WaitUntil(8*time.Second, func() bool {
					_, err = c.stream(node(i), request(i))
					r, ok := err.(*api.Fault)
					return ok && r.Code != 503
				}), "key %d of %d: %v", i, nextKey, err)
				require.Equal(t, "answer-aged", err.(*api.Fault).Name, "key %d of %d", i, nextKey)
			}
			changed := request(0)
			changed.Seed++
			_, err := c.stream(node(1), changed)
			require.Equal(t, "key-reused", err.(*api.Fault).Name)
		}
		serveKeys(30)
		checkAgedKeys()
		p := c.Leader()
		c.PowerOff(p)
		p.Machine.WipeDisk()
		c.add(c.Controller("controller-new", "10.1.0.9:700", p.Zone))
		time.Sleep(9 * time.Second)
		serveKeys(20)
		checkAgedKeys()
		p = c.Leader()
		c.PowerOff(p)
		require.True(t, c.WaitUntil(8*time.Second, func() bool { l := c.Leader(); return l != nil && l != p }))
		time.Sleep(time.Second)
		checkAgedKeys()
		for _, p := range c.ProcessesOf("controller") {
			c.PowerOff(p)
		}
		for _, p := range c.ProcessesOf("controller")[1:] {
			require.NoError(t, c.Start(p))
		}
		require.True(t, c.WaitUntil(8*time.Second, func() bool { return c.Leader() != nil }))
		time.Sleep(2 * time.Second)
		serveKeys(4)
		checkAgedKeys()
		for i := range nextKey {
			runs, records := countRuns(c, fmt.Sprint("verdict/old-", i))
			require.Equal(t, []int{1, 1}, []int{runs, records}, "key %d", i)
		}
	})
}
