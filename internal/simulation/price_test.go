// What regimes cost, on simulated time: first pieces with and without, and how long
// revocations take. Run by make compare.

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

func measured(t *testing.T) {
	if os.Getenv("KEELSTAIR_COMPARE") == "" {
		t.Skip("a measurement, run by make compare")
	}
}

// TestPrice: the same load with no regime, with all machines certified, and with three
// of four workers of each part and four of five nodes.
func TestPrice(t *testing.T) {
	measured(t)
	for _, way := range []string{"no regime", "all certified", "some certified"} {
		t.Run(way, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := NewAuditModel()
				c := Build(4, governedWork, b.tune)
				defer c.Close()
				require.NoError(t, c.Bootstrap())
				switch way {
				case "all certified":
					b.certify(append(upTo("p", 4), upTo("d", 4)...), upTo("router-", 5))
				case "some certified":
					b.usual()
				}
				if way != "no regime" {
					require.NoError(t, b.Open())
				}
				time.Sleep(5 * time.Second)
				all := c.Load(30, 30*time.Second, 4)
				sum := standin.Summarize(all)
				require.Equal(t, len(all), sum.Ends[api.Complete])
				for _, sh := range governedWork.Classes {
					k := sum.Kinds[sh.Kind]
					fmt.Printf(
						"| first piece, ms | %s | %s | %.1f / %.1f | %d |\n",
						way,
						sh.Kind,
						k.FirstP50,
						k.FirstP99,
						k.Complete,
					)
				}
			})
		})
	}
}

// TestRevocationTimes: many certificates of one worker are revoked one by one: with all
// well, with a node cut off shortly before, and with the leader killed shortly after.
func TestRevocationTimes(t *testing.T) {
	measured(t)
	for _, way := range []string{"all well", "a node cut off", "the leader killed"} {
		t.Run(way, func(t *testing.T) {
			n := map[string]int{"all well": 100}[way]
			if n == 0 {
				n = 20
			}
			synctest.Test(t, func(t *testing.T) {
				b := NewAuditModel()
				c := Build(5, governedWork, b.tune)
				defer c.Close()
				require.NoError(t, c.Bootstrap())
				b.usual()
				for i := range n {
					b.sign(fmt.Sprint("x", i), certification.Certificate{
						Worker: "d3",
						Roles:  []ids.Role{ids.Decode},
					}, 24*time.Hour)
				}
				require.NoError(t, b.Open())
				for i := range n {
					partitioned, lead := node(c, "router-2"), leader(c)
					peers := append(addresses(c.Of("controller")...), addresses(c.Of("router")...)...)
					switch way {
					case "a node cut off":
						c.World.Partition(addresses(partitioned), peers, true)
					case "the leader killed":
						go func() {
							time.Sleep(time.Duration(i) * 3 * time.Millisecond)
							c.Kill(lead)
						}()
					}
					require.NoError(t, b.Revoke(fmt.Sprint("x", i)))
					c.World.Partition(addresses(partitioned), peers, false)
					time.Sleep(2 * time.Second)
					require.NoError(t, c.Start(lead))
					time.Sleep(4*time.Second + time.Duration(i)*7*time.Millisecond)
				}
				fmt.Printf(
					"| revocation, ms | %s | %d | %.0f / %.0f / %.0f |\n",
					way,
					n,
					standin.Quantile(b.revoke, 0.5),
					standin.Quantile(b.revoke, 0.95),
					standin.Quantile(b.revoke, 1),
				)
			})
		})
	}
}
