// Every script as a test, with one seed or many.

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

// seeds gives the fixed handful, or as many as KEELSTAIR_SEEDS asks for.
func seeds() []uint64 {
	n, _ := strconv.Atoi(os.Getenv("KEELSTAIR_SEEDS"))
	from, _ := strconv.Atoi(os.Getenv("KEELSTAIR_FROM"))
	var out []uint64
	for i := range max(n, 1) {
		out = append(out, uint64(from+i+1))
	}
	return out
}

// smallSite is a site small enough for the race detector, under which a whole
// deployment takes some twenty times as long.
var smallSite = standin.Site{
	Name:    "hamlet",
	Zones:   []ids.Zone{"a", "b", "c"},
	Nodes:   3,
	Prefill: 2,
	Decode:  2,
	Model:   "m",
	Shapes: []standin.Shape{
		{Kind: "verdict", Claimed: true, Share: 45, Shared: 64, Own: 64, Max: 2},
		{Kind: "clarification", Share: 55, Shared: 64, Own: 16, Max: 16},
	},
}

func skipUnderRace(t *testing.T) {
	if raceEnabled {
		t.Skip("runs without the race detector in the same make test")
	}
}

// TestScripts runs every script; odd seeds at one site, even ones at the other.
func TestScripts(t *testing.T) {
	pace := LoadPlan{40, 14 * time.Second, 14 * time.Second}
	if raceEnabled {
		pace = LoadPlan{10, 7 * time.Second, 2 * time.Second}
	}
	for i, s := range slices.Concat(MachineScripts, OtherScripts, Duties) {
		if raceEnabled && !slices.Contains([]string{"leader-killed", "workers-crash", "operators-race"}, s.Name) {
			continue
		}
		for _, seed := range seeds() {
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
					v := RunTrial(s, site, seed, pace)
					assert.Empty(t, v.Violations)
					t.Logf(
						"%s seed %d at %s: back %s, lead %.2fs, again %d, %v %v %v",
						s.Name,
						seed,
						site.Name,
						worst(v.Outages),
						v.WithoutPrimary.Seconds(),
						v.Recomputes,
						v.Summary.Ends,
						v.Summary.Details,
						v.Outages,
					)
					t.Logf("bounds: left %v out %v laws %v old %v", v.AfterLeave, v.AfterEvacuation, v.ApplyTimes, v.StaleOrders)
				})
			})
		}
	}
}

// TestTogether: breakdowns and operators' acts drawn by a seed, overlapping.
func TestTogether(t *testing.T) {
	skipUnderRace(t)
	list := seeds()
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
				v := RunTrial(s, site, seed, LoadPlan{40, 14 * time.Second, 14 * time.Second})
				assert.Empty(t, v.Violations, s.Name)
				t.Logf(
					"together seed %d at %s: back %s, lead %.2fs, again %d, %v %v [%s]",
					seed,
					site.Name,
					worst(v.Outages),
					v.WithoutPrimary.Seconds(),
					v.Recomputes,
					v.Summary.Ends,
					v.Summary.Details,
					s.Name,
				)
			})
		})
	}
}
