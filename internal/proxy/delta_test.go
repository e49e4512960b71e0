// Large configurations that change little.

package proxy

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
)

// TestLargeChanges: a configuration of many routes changes by one of them, again and again,
// while leaders lose their power and nodes are killed and rejoin: what is acknowledged is
// in force at all nodes within two seconds, byte for byte, and reads back whole.
func TestLargeChanges(t *testing.T) {
	eachSeed(t, 3, func(t *testing.T, seed uint64) {
		y := newCluster(both("svc", 2, 2)...)
		f := build(t, seed, 3, y, plain(), nil)
		defer f.close()
		text := func(mark int) []byte {
			rows := ways()
			for i := range 300 {
				r := fleetstate.Route{
					Name:        fmt.Sprint("x", i),
					Host:        fmt.Sprintf("h%d.example", i*7919),
					Prefix:      "/",
					Service:     "svc",
					MaxAttempts: 1,
					DeadlineMs:  900,
				}
				if i == mark*37%300 {
					r.DeadlineMs += mark
				}
				rows = append(rows, r)
			}
			return policy(rows, fleetstate.Service{Name: "svc", Concurrency: 16})
		}
		require.NoError(t, f.put("large", 1, 2, text(0)))
		for i := 1; i < 8; i++ {
			switch (int(seed) + i) % 3 {
			case 0:
				f.offCore(f.leader())
			case 1:
				f.kill(2)
			}
			v := ids.Version(i + 1)
			require.True(t, f.until(20*time.Second, func() bool {
				return f.put(ids.OpID(fmt.Sprint("op", i)), v, v+1, text(i)) == nil
			}))
			require.True(t, f.until(2*time.Second, func() bool { return f.inForce(v + 1) }))
			if !f.nodes[2].up {
				f.node(2)
			}
			for _, ip := range coreIps {
				if f.cores[ip] == nil {
					f.core(ip)
				}
			}
			require.True(t, f.until(10*time.Second, func() bool { return f.inForce(v + 1) }))
			for _, b := range f.up() {
				require.Equal(t, string(text(i)), string(b.view.Current().Text))
			}
			require.Equal(t, string(text(i)), string(f.newest(t).Text))
		}
		all := f.load(20, time.Second, func(i int) *Request { return f.req(fmt.Sprint("r", i), paths[i%4], 400, 3) })
		for _, a := range all {
			require.NoError(t, a.err)
		}
	})
}
