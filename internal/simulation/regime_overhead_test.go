// Measurements of regimes, under which some kinds of requests need certified routers and workers, in simulated time:
// the time to first token with and without a regime, and how long revocations of certificates take. make compare
// runs them.

package simulation

import (
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/ids"
	"keelstair.example/internal/api"
	"keelstair.example/internal/certification"
	"keelstair.example/internal/standin"
)

func skipUnlessComparing(t *testing.T) {
	if os.Getenv("KEELSTAIR_COMPARE") == "" {
		t.Skip("a measurement, run by make compare")
	}
}

// TestRegimeOverhead measures the same load without a regime, with all routers and workers certified, and with
// certificates for three of the four workers of each role and four of the five routers.
func TestRegimeOverhead(t *testing.T) {
	skipUnlessComparing(t)
	for _, setup := range []string{"no regime", "all certified", "some certified"} {
		t.Run(setup, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := NewCertificationModel()
				c := Build(4, governedSite, m.configure)
				defer c.Close()
				require.NoError(t, c.Bootstrap())
				switch setup {
				case "all certified":
					m.certify(append(numbered("p", 4), numbered("d", 4)...), numbered("router-", 5))
				case "some certified":
					m.certifyAllButLast()
				}
				if setup != "no regime" {
					require.NoError(t, m.ApplyRegimes())
				}
				time.Sleep(5 * time.Second)
				outcomes := c.Load(30, 30*time.Second, 4)
				sum := standin.Summarize(outcomes)
				require.Equal(t, len(outcomes), sum.Ends[api.EndComplete])
				for _, class := range governedSite.Classes {
					summary := sum.Kinds[class.Kind]
					fmt.Printf(
						"| time to first token, ms | %s | %s | %.1f / %.1f | %d |\n",
						setup,
						class.Kind,
						summary.FirstTokenP50,
						summary.FirstTokenP99,
						summary.Complete,
					)
				}
			})
		})
	}
}

// TestRevocationTimes measures how long it takes to revoke a certificate of a worker: without a failure, with a
// router partitioned right before, and with the leader killed 0 to 57 ms after the start of the revocation. It
// revokes 100 certificates one by one without a failure and 20 with each failure.
func TestRevocationTimes(t *testing.T) {
	skipUnlessComparing(t)
	for _, failure := range []string{"no failure", "a node partitioned", "the leader killed"} {
		t.Run(failure, func(t *testing.T) {
			n := map[string]int{"no failure": 100}[failure]
			if n == 0 {
				n = 20
			}
			synctest.Test(t, func(t *testing.T) {
				m := NewCertificationModel()
				c := Build(5, governedSite, m.configure)
				defer c.Close()
				require.NoError(t, c.Bootstrap())
				m.certifyAllButLast()
				for i := range n {
					m.sign(fmt.Sprint("x", i), certification.Certificate{
						Worker: "d3",
						Roles:  []ids.Role{ids.Decode},
					}, 24*time.Hour)
				}
				require.NoError(t, m.ApplyRegimes())
				for i := range n {
					partitioned, currentLeader := routerNamed(c, "router-2"), leader(c)
					peers := append(addresses(c.ProcessesOf("controller")...), addresses(c.ProcessesOf("router")...)...)
					switch failure {
					case "a node partitioned":
						c.World.Partition(addresses(partitioned), peers, true)
					case "the leader killed":
						go func() {
							time.Sleep(time.Duration(i) * 3 * time.Millisecond)
							c.Kill(currentLeader)
						}()
					}
					require.NoError(t, m.Revoke(fmt.Sprint("x", i)))
					c.World.Partition(addresses(partitioned), peers, false)
					time.Sleep(2 * time.Second)
					require.NoError(t, c.Start(currentLeader))
					time.Sleep(4*time.Second + time.Duration(i)*7*time.Millisecond)
				}
				fmt.Printf(
					"| revocation, ms | %s | %d | %.0f / %.0f / %.0f |\n",
					failure,
					n,
					standin.Quantile(m.revocationTimes, 0.5),
					standin.Quantile(m.revocationTimes, 0.95),
					standin.Quantile(m.revocationTimes, 1),
				)
			})
		})
	}
}
