// Tests that the results of operations are retained separately for each class of operation, so that many
// evacuations do not displace the results of applies.

package simulation

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"keelstair.example/internal/api"
)

// TestApplyAmongEvacuations checks that an apply that is sent again, after more changes of evacuations than there
// are retained results, is acknowledged with the version that it created, and not refused.
func TestApplyAmongEvacuations(t *testing.T) {
	skipUnderRace(t)
	withCluster(t, "vatuloa", nil, func(t *testing.T, c *Cluster) {
		request := &api.ApplyRequest{Op: "once", BaseVersion: 1, Partial: true, Source: `{limits: {queue: 9}}`}
		first, err := c.Apply(request)
		require.NoError(t, err)
		zone := string(c.ProcessesOf("router")[0].Zone)
		const retained = 2048
		for i := range retained + 2 {
			require.NoError(t, c.SetDrained("/v1/zones/"+zone, fmt.Sprint("mark", i), i%2 == 0))
		}
		second, err := c.Apply(request)
		require.NoError(t, err)
		require.Equal(t, first.Version, second.Version)
	})
}
