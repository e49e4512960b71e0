package proof

import (
	"os"
	"strconv"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"

	"keelstair.example/guise"
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

// TestScripts runs every script; odd seeds at one site, even ones at the other.
func TestScripts(t *testing.T) {
	for i, s := range append(append([]Script(nil), Machines...), Others...) {
		for _, seed := range seeds() {
			t.Run(s.Name+"/"+strconv.Itoa(int(seed)), func(t *testing.T) {
				t.Parallel()
				site := guise.Sites["vatuloa"]
				if (uint64(i)+seed)%2 == 0 {
					site = guise.Sites["almaty"]
				}
				synctest.Test(t, func(t *testing.T) {
					v := Trial(s, site, seed)
					assert.Empty(t, v.Faults)
					t.Logf("%s seed %d at %s: back %s, again %d, %v %v", s.Name, seed, site.Name, v.Back, v.Again, v.Sum.Ends, v.Sum.Details)
				})
			})
		}
	}
}
