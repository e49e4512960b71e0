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

// TestKVTransfer measures the times from the grant of a handoff to the end of the prefill, to the import of the KV
// cache and to the start of decoding, for requests with and without an idempotency key. The first token could be
// sent at each of these steps. The KV cache has 256 MiB for 2048 tokens, and the workers send it at 1 or
// 10 Gbit/s. The test runs only if KEELSTAIR_COMPARE is set.
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
				durations := map[string]map[handoff.Step][]time.Duration{"with key": {}, "without key": {}}
				c := Build(3, standin.Sites["vatuloa"], func(c *Cluster) {
					c.TuneWorker = func(o *standin.WorkerOptions) { o.WireBytesPerToken, o.TransferRate = 128<<10, link.speed }
					c.OnHandoffEvent = func(e handoff.Event) {
						mu.Lock()
						defer mu.Unlock()
						kind := "without key"
						if strings.HasPrefix(e.ID.Request, "k-") {
							kind = "with key"
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
