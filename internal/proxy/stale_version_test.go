// What a node does with versions that come late, or all at once.

package proxy

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
)

// largePolicy is the plain policy with so many routes besides.
func largePolicy(routes, deadline int) []byte {
	all := ways()
	for i := range routes {
		all = append(all, fleetstate.Route{
			Name: fmt.Sprint("x", i), Host: fmt.Sprintf("h%d.example", i), Prefix: "/", Service: "svc", DeadlineMs: deadline,
		})
	}
	return policy(all, fleetstate.Service{Name: "svc", Concurrency: 16, RoleChangeMs: 1000})
}

// TestSupersededVersionsAreNotParsed: a node that was held up while 40 versions were put parses the newest alone.
func TestSupersededVersionsAreNotParsed(t *testing.T) {
	bubble(t, func(t *testing.T) {
		const versions = 40
		var parsed [2]atomic.Int64
		y := newCluster(both("svc", 2, 2)...)
		f := build(t, 75, 2, y, plain(), func(o *Options) {
			count := &parsed[0]
			if o.Name == "n1" {
				count = &parsed[1]
			}
			o.ReadConfiguration = func(text []byte) (*fleetstate.Configuration, error) {
				count.Add(1)
				return fleetstate.ReadPlain(text)
			}
		})
		defer f.close()
		f.freeze(1, true)
		before := parsed[1].Load()
		for v := ids.Version(1); v < versions; v++ {
			require.NoError(t, f.put(ids.OpID(fmt.Sprint("storm", v)), v, v+1, largePolicy(200, 3000+int(v))))
		}
		f.freeze(1, false)
		require.True(t, f.until(5*time.Second, func() bool { return f.inForce(versions) }))
		require.LessOrEqual(t, parsed[1].Load()-before, int64(2))
	})
}
