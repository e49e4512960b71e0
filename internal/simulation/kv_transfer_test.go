// Measures how much the transfer of the KV cache over the network adds to the time to first token.

package simulation

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/ids"
	"keelstair.example/internal/handoff"
	"keelstair.example/internal/standin"
	"keelstair.example/internal/workerclient"
)

// TestKVTransfer measures the time from the grant of a hand-off to each of its later steps, at which a first
// token could be sent. The KV cache has the size named in the design (256 MiB for 2048 tokens), and the
// links have 1 and 10 Gbit/s. It runs only if KEELSTAIR_COMPARE is set.
func TestKVTransfer(t *testing.T) {
	if os.Getenv("KEELSTAIR_COMPARE") == "" {
		t.Skip("a measurement, run with KEELSTAIR_COMPARE set")
	}
	for _, link := range []struct {
		name  string
		speed int
	}{{"1 Gbit", 125_000_000}, {"10 Gbit", 1_250_000_000}} {
		t.Run(link.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var mu sync.Mutex
				granted := map[workerclient.ID]ids.Tick{}
				durations := map[string]map[handoff.Step][]time.Duration{"claimed": {}, "other": {}}
				c := Build(3, standin.Sites["vatuloa"], func(c *Cluster) {
					c.TuneWorker = func(o *standin.WorkerOptions) { o.WireBytesPerToken, o.TransferRate = 128<<10, link.speed }
					c.OnHandoffEvent = func(e handoff.Event) {
						mu.Lock()
						defer mu.Unlock()
						kind := "other"
						if strings.HasPrefix(e.ID.Request, "k-") {
							kind = "claimed"
						}
						if e.Step == handoff.Granted {
							granted[e.ID] = e.At
						} else if at, ok := granted[e.ID]; ok {
							durations[kind][e.Step] = append(durations[kind][e.Step], e.At.Since(at))
						}
					}
				})
				defer c.Close()
				require.NoError(t, c.Bootstrap())
				outcomes := c.Load(20, 12*time.Second, 3)
				sum := standin.Summarize(outcomes)
				require.Equal(t, len(outcomes), sum.Ends["complete"], "%+v", sum)
				mu.Lock()
				defer mu.Unlock()
				for kind, steps := range durations {
					for _, step := range []handoff.Step{handoff.Prefilled, handoff.Imported, handoff.Resumed} {
						fmt.Printf(
							"| %s | %s | %s | %.0f / %.0f |\n",
							link.name,
							kind,
							step,
							standin.Quantile(steps[step], 0.5),
							standin.Quantile(steps[step], 0.99),
						)
					}
				}
			})
		})
	}
}
