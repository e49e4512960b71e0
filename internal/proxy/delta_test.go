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
	forEachSeed(t, 3, func(t *testing.T, seed uint64) {
		y := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 2)...)
		f := startFleet(t, seed, 3, y, defaultConfiguration(), nil)
		defer f.close()
		text := func(mark int) []byte {
			rows := defaultRoutes()
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
			return encodeConfiguration(rows, fleetstate.Service{Name: "svc", Concurrency: 16})
		}
		require.NoError(t, f.putConfiguration("large", 1, 2, text(0)))
		for i := 1; i < 8; i++ {
			switch (int(seed) + i) % 3 {
			case 0:
				f.powerOffCore(f.leader())
			case 1:
				f.killNode(2)
			}
			v := ids.Version(i + 1)
			require.True(t, f.waitUntil(20*time.Second, func() bool {
				return f.putConfiguration(ids.OpID(fmt.Sprint("op", i)), v, v+1, text(i)) == nil
			}))
			require.True(t, f.waitUntil(2*time.Second, func() bool { return f.currentOnAllNodes(v + 1) }))
			if !f.nodes[2].running {
				f.startNode(2)
			}
			for _, ip := range coreIPs {
				if f.cores[ip] == nil {
					f.startCore(ip)
				}
			}
			require.True(t, f.waitUntil(10*time.Second, func() bool { return f.currentOnAllNodes(v + 1) }))
			for _, b := range f.runningNodes() {
				require.Equal(t, string(text(i)), string(b.view.Current().Text))
			}
			require.Equal(t, string(text(i)), string(f.newest(t).Text))
		}
		all := f.generateLoad(20, time.Second, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), routePaths[i%4], 400, 3) })
		for _, a := range all {
			require.NoError(t, a.err)
		}
	})
}
