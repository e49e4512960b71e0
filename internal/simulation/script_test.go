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

// hamlet is a site small enough for the race detector, under which a whole
// deployment takes some twenty times as long.
var hamlet = standin.Site{
	Name:    "hamlet",
	Zones:   []ids.Zone{"a", "b", "c"},
	Nodes:   3,
	Prefill: 2,
	Decode:  2,
	Model:   "m",
	Classes: []standin.StreamClass{
		{Kind: "verdict", KeyRequired: true, Percent: 45, SharedPrefix: 64, SuffixRange: 64, MaxTokens: 2},
		{Kind: "clarification", Percent: 55, SharedPrefix: 64, SuffixRange: 16, MaxTokens: 16},
	},
}

func unraced(t *testing.T) {
	if raced {
		t.Skip("runs without the race detector in the same make test")
	}
}

// TestScripts runs every script; odd seeds at one site, even ones at the other.
func TestScripts(t *testing.T) {
	pace := Pace{40, 14 * time.Second, 14 * time.Second}
	if raced {
		pace = Pace{10, 7 * time.Second, 2 * time.Second}
	}
	for i, s := range slices.Concat(Machines, Others, Duties) {
		if raced && !slices.Contains([]string{"leader-killed", "workers-crash", "operators-race"}, s.Name) {
			continue
		}
		for _, seed := range seeds() {
			t.Run(s.Name+"/"+strconv.Itoa(int(seed)), func(t *testing.T) {
				t.Parallel()
				site := standin.Sites["vatuloa"]
				if (uint64(i)+seed)%2 == 0 {
					site = standin.Sites["almaty"]
				}
				if raced {
					site = hamlet
				}
				synctest.Test(t, func(t *testing.T) {
					v := Trial(s, site, seed, pace)
					assert.Empty(t, v.Faults)
					t.Logf(
						"%s seed %d at %s: back %s, lead %.2fs, again %d, %v %v %v",
						s.Name,
						seed,
						site.Name,
						worst(v.Back),
						v.Lead.Seconds(),
						v.Again,
						v.Sum.Ends,
						v.Sum.Details,
						v.Back,
					)
					t.Logf("bounds: left %v out %v laws %v old %v", v.Left, v.Out, v.Laws, v.Old)
				})
			})
		}
	}
}

// TestTogether: breakdowns and operators' acts drawn by a seed, overlapping.
func TestTogether(t *testing.T) {
	unraced(t)
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
				s := Together(seed)
				v := Trial(s, site, seed, Pace{40, 14 * time.Second, 14 * time.Second})
				assert.Empty(t, v.Faults, s.Name)
				t.Logf(
					"together seed %d at %s: back %s, lead %.2fs, again %d, %v %v [%s]",
					seed,
					site.Name,
					worst(v.Back),
					v.Lead.Seconds(),
					v.Again,
					v.Sum.Ends,
					v.Sum.Details,
					s.Name,
				)
			})
		})
	}
}
