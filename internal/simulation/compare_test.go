// Compares routing programs, which order the workers for a request, in simulated time.

package simulation

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/routing"
	"keelstair.example/internal/standin"
)

// comparedPrograms returns the programs named in KEELSTAIR_COMPARE, or all of them if it is 1.
func comparedPrograms() []string {
	if list := os.Getenv("KEELSTAIR_COMPARE"); list != "1" {
		return strings.Split(list, ",")
	}
	return []string{routing.BuiltInName, "free", "prefix", "short"}
}

// TestCompare measures each routing program alone, on the same arrivals, at both sites with three seeds.
// make compare runs it, make test does not.
func TestCompare(t *testing.T) {
	if os.Getenv("KEELSTAIR_COMPARE") == "" {
		t.Skip("run by make compare")
	}
	for _, name := range []string{"vatuloa", "almaty"} {
		for _, program := range comparedPrograms() {
			for seed := uint64(1); seed <= 3; seed++ {
				t.Run(fmt.Sprintf("%s/%s/%d", name, program, seed), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						site := standin.Sites[name]
						c := Build(seed, site, func(c *Cluster) {
							if program != routing.BuiltInName {
								c.Programs = map[string]fleetstate.Program{program: {
									Source: routing.ShippedProgram(program),
									Share:  100,
								}}
							}
						})
						defer c.Close()
						require.NoError(t, c.Bootstrap())
						rate := 15.0 * float64(site.PrefillWorkers)
						classes := slices.Clone(site.Classes)
						prefixes, _ := strconv.Atoi(os.Getenv("KEELSTAIR_STEMS"))
						for i := range classes {
							classes[i].Prefixes = prefixes
						}
						sum := standin.Summarize(c.LoadClasses(classes, rate, 12*time.Second, seed))
						cached, total := 0, 0
						for _, p := range c.ProcessesOf("worker") {
							hits, tokens := p.Worker.PrefixHits()
							cached, total = cached+hits, total+tokens
						}
						first, second := sum.Kinds[site.Classes[0].Kind], sum.Kinds[site.Classes[1].Kind]
						fmt.Printf(
							"| %s | %s | %d | %d of %d | %.0f / %.0f | %.0f / %.0f | %.0f%% |\n",
							name,
							program,
							seed,
							sum.Ends["complete"],
							sum.Sent,
							first.FirstTokenP50,
							first.FirstTokenP99,
							second.FirstTokenP50,
							second.FirstTokenP99,
							100*float64(cached)/float64(max(total, 1)),
						)
						require.Empty(t, c.Recorder.Check(nil))
					})
				})
			}
		}
	}
}
