// Keys older than any answer that is kept, over a whole fleet.

package simulation

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/internal/api"
	"keelstair.example/internal/fleetstate"
)

// TestAgedKeys: long after its answer was forgotten, a key is still known: at the
// primary, after a takeover, after the machine that wrote it was replaced by an
// empty one, and after the whole core lost power.
func TestAgedKeys(t *testing.T) {
	skipUnderRace(t)
	withCluster(t, "vatuloa", func(c *Cluster) {
		c.Retention = fleetstate.Retention{
			FullRecords:  4,
			ChunkEntries: 8,
		}
	}, func(t *testing.T, c *Cluster) {
		node := func(i int) *Process { return c.Of("router")[i%len(c.Of("router"))] }
		ask := func(i int) api.StreamRequest {
			a := verdictRequest
			a.Key = fmt.Sprint("old-", i)
			return a
		}
		next := 0
		serve := func(n int) {
			for end := next + n; next < end; next++ {
				require.True(t, c.WaitUntil(8*time.Second, func() bool {
					got, err := c.stream(node(next), ask(next))
					return err == nil && got[len(got)-1].End == api.EndComplete
				}))
			}
		}
		previous := func() {
			for i := 0; i < next-4; i++ {
				var last error
				require.True(t, c.WaitUntil(8*time.Second, func() bool {
					_, last = c.stream(node(i), ask(i))
					r, ok := last.(*api.Fault)
					return ok && r.Code != 503
				}), "key %d of %d: %v", i, next, last)
				require.Equal(t, "answer-aged", last.(*api.Fault).Name, "key %d of %d", i, next)
			}
			other := ask(0)
			other.Seed++
			_, err := c.stream(node(1), other)
			require.Equal(t, "key-reused", err.(*api.Fault).Name)
		}
		serve(30)
		previous()
		b := c.Leader()
		c.PowerOff(b)
		b.Machine.WipeDisk()
		c.add(c.Controller("controller-new", "10.1.0.9:700", b.Zone))
		time.Sleep(9 * time.Second)
		serve(20)
		previous()
		b = c.Leader()
		c.PowerOff(b)
		require.True(t, c.WaitUntil(8*time.Second, func() bool { l := c.Leader(); return l != nil && l != b }))
		time.Sleep(time.Second)
		previous()
		for _, b := range c.Of("controller") {
			c.PowerOff(b)
		}
		for _, b := range c.Of("controller")[1:] {
			require.NoError(t, c.Start(b))
		}
		require.True(t, c.WaitUntil(8*time.Second, func() bool { return c.Leader() != nil }))
		time.Sleep(2 * time.Second)
		serve(4)
		previous()
		for i := range next {
			runs, records := countRuns(c, fmt.Sprint("verdict/old-", i))
			require.Equal(t, []int{1, 1}, []int{runs, records}, "key %d", i)
		}
	})
}
