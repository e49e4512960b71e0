// Tests that run every script, and scripts composed at random, with one or more seeds.

package simulation

import (
	"os"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"keelstair.example/ids"
	"keelstair.example/internal/standin"
)

// testSeeds returns KEELSTAIR_SEEDS consecutive seeds, 1 by default, starting after KEELSTAIR_FROM.
func testSeeds() []uint64 {
	n, _ := strconv.Atoi(os.Getenv("KEELSTAIR_SEEDS"))
	from, _ := strconv.Atoi(os.Getenv("KEELSTAIR_FROM"))
	var out []uint64
	for i := range max(n, 1) {
		out = append(out, uint64(from+i+1))
	}
	return out
}

// smallSite is a small fleet for runs under the race detector, with which a fleet of the usual size takes about
// twenty times as long.
var smallSite = standin.Site{
	Name:           "hamlet",
	Zones:          []ids.Zone{"a", "b", "c"},
	Nodes:          3,
	PrefillWorkers: 2,
	DecodeWorkers:  2,
	Model:          "m",
	Classes: []standin.StreamClass{
		{Kind: "verdict", KeyRequired: true, Percent: 45, SharedPrefixTokens: 64, SuffixTokensRange: 64, MaxTokens: 2},
		{Kind: "clarification", Percent: 55, SharedPrefixTokens: 64, SuffixTokensRange: 16, MaxTokens: 16},
	},
}

func skipUnderRace(t *testing.T) {
	if raceEnabled {
		t.Skip("make test also runs this test without the race detector")
	}
}

// TestScripts runs every script at one of two sites, which alternate with the script and the seed. Under the race
// detector it runs three of the scripts, with a lower load and at smallSite.
func TestScripts(t *testing.T) {
	plan := LoadPlan{40, 14 * time.Second, 14 * time.Second}
	if raceEnabled {
		plan = LoadPlan{10, 7 * time.Second, 2 * time.Second}
	}
	for i, s := range slices.Concat(MachineScripts, NetworkAndWorkerScripts, OperatorScripts) {
		if raceEnabled && !slices.Contains([]string{"leader-killed", "workers-crash", "operators-race"}, s.Name) {
			continue
		}
		for _, seed := range testSeeds() {
			t.Run(s.Name+"/"+strconv.Itoa(int(seed)), func(t *testing.T) {
				t.Parallel()
				site := standin.Sites["vatuloa"]
				if (uint64(i)+seed)%2 == 0 {
					site = standin.Sites["almaty"]
				}
				if raceEnabled {
					site = smallSite
				}
				synctest.Test(t, func(t *testing.T) {
					result := RunTrial(s, site, seed, plan)
					assert.Empty(t, result.Violations)
					t.Logf(
						"%s seed %d at %s: longest outage %s, without primary %.2fs, recomputes %d, %v %v %v",
						s.Name,
						seed,
						site.Name,
						longestOutage(result.Outages),
						result.WithoutPrimary.Seconds(),
						result.Recomputes,
						result.Summary.Ends,
						result.Summary.Details,
						result.Outages,
					)
					t.Logf(
						"last new work after leaving %v, after evacuation %v; apply times %v; stale orders %v",
						result.AfterLeave,
						result.AfterEvacuation,
						result.ApplyTimes,
						result.StaleOrders,
					)
				})
			})
		}
	}
}

// TestTogether runs composed scripts, in which failures and operators' changes chosen by the seed overlap. It runs
// the seeds 1 to 6 unless several seeds are requested.
func TestTogether(t *testing.T) {
	skipUnderRace(t)
	list := testSeeds()
	if len(list) == 1 {
		list = []uint64{1, 2, 3, 4, 5, 6}
	}
	for _, seed := range list {
		t.Run(strconv.Itoa(int(seed)), func(t *testing.T) {
			t.Parallel()
			site := standin.Sites["vatuloa"]
			if seed%2 == 0 {
				site = standin.Sites["almaty"]
			}
			synctest.Test(t, func(t *testing.T) {
				s := ComposedScript(seed)
				result := RunTrial(s, site, seed, LoadPlan{40, 14 * time.Second, 14 * time.Second})
				assert.Empty(t, result.Violations, s.Name)
				t.Logf(
					"composed script, seed %d at %s: longest outage %s, without primary %.2fs, recomputes %d, %v %v [%s]",
					seed,
					site.Name,
					longestOutage(result.Outages),
					result.WithoutPrimary.Seconds(),
					result.Recomputes,
					result.Summary.Ends,
					result.Summary.Details,
					s.Name,
				)
			})
		})
	}
}
