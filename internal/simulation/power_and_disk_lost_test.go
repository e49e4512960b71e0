// Tests the loss of one controller's disk, which the replication tolerates, while every machine loses power.

package simulation

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/internal/api"
)

// TestPowerAndDiskLost cuts the power of all controllers, routers and workers right after a configuration, an
// evacuation and the answer to a request with an idempotency key were acknowledged. In each subtest, another
// controller also loses its disk. The test checks that the configuration and the evacuation are in force after
// the restart, and that the request is answered again from the record and not run a second time.
func TestPowerAndDiskLost(t *testing.T) {
	skipUnderRace(t)
	for lost := range 3 {
		t.Run(fmt.Sprintf("controller-%d", lost+1), func(t *testing.T) {
			withCluster(t, "almaty", nil, func(t *testing.T, c *Cluster) {
				request := verdictRequest
				request.Kind, request.Key = "ruling", "day-end"
				first, refusal := c.sendUntilAnswered(t, 0, request)
				require.Nil(t, refusal)
				zone := string(c.Site.Zones[0])
				require.NoError(t, c.SetDrained("/v1/zones/"+zone, "day-end-zone", true))
				applied, err := c.Apply(&api.ApplyRequest{
					Op:          "day-end",
					BaseVersion: newestActivePolicy(c).Version,
					Partial:     true,
					Source:      "{limits: queue: 12}",
				})
				require.NoError(t, err)
				text := newestActivePolicy(c).Policy

				for _, process := range c.Processes {
					c.PowerOff(process)
				}
				c.ProcessesOf("controller")[lost].Machine.WipeDisk()
				time.Sleep(time.Second)
				for _, process := range c.Processes {
					require.NoError(t, c.Start(process))
				}

				require.True(t, c.WaitUntil(20*time.Second, func() bool { return newestActivePolicy(c).Version == applied.Version }))
				state := newestActivePolicy(c)
				require.JSONEq(t, string(text), string(state.Policy))
				require.Equal(t, []string{zone}, state.EvacuatedZones)
				again, refusal := c.sendUntilAnswered(t, 1, request)
				require.Nil(t, refusal)
				require.Len(t, again, len(first))
				for i := range first[:len(first)-1] {
					require.Equal(t, first[i].Token, again[i].Token)
					require.True(t, again[i].Replay)
				}
			})
		})
	}
}
