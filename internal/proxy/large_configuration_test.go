// Test of small changes to a large configuration, which are sent to the coordination service as deltas.

package proxy

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
)

// TestSmallChangesOfLargeConfiguration: one of many routes changes repeatedly while leaders lose power and
// nodes are killed and rejoin. An acknowledged version is current on all running nodes within two seconds,
// and on restarted ones within ten more. All of them have it byte for byte, and so does the version that is
// read back from the coordination service.
func TestSmallChangesOfLargeConfiguration(t *testing.T) {
	forEachSeed(t, 3, func(t *testing.T, seed uint64) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 2)...)
		f := startFleet(t, seed, 3, platform, defaultConfiguration(), nil)
		defer f.close()
		text := func(change int) []byte {
			routes := defaultRoutes()
			for i := range 300 {
				route := fleetstate.Route{
					Name:        fmt.Sprint("x", i),
					Host:        fmt.Sprintf("h%d.example", i*7919),
					Prefix:      "/",
					Service:     "svc",
					MaxAttempts: 1,
					DeadlineMs:  900,
				}
				if i == change*37%300 {
					route.DeadlineMs += change
				}
				routes = append(routes, route)
			}
			return encodeConfiguration(routes, fleetstate.Service{Name: "svc", Concurrency: 16})
		}
		require.NoError(t, f.putConfiguration("large", 1, 2, text(0)))
		for i := 1; i < 8; i++ {
			switch (int(seed) + i) % 3 {
			case 0:
				f.powerOffCore(f.leader())
			case 1:
				f.killNode(2)
			}
			version := ids.Version(i + 1)
			require.True(t, f.waitUntil(20*time.Second, func() bool {
				return f.putConfiguration(ids.OpID(fmt.Sprint("op", i)), version, version+1, text(i)) == nil
			}))
			require.True(t, f.waitUntil(2*time.Second, func() bool { return f.currentOnAllNodes(version + 1) }))
			if !f.nodes[2].running {
				f.startNode(2)
			}
			for _, ip := range coreIPs {
				if !f.coreRunning(ip) {
					f.startCore(ip)
				}
			}
			require.True(t, f.waitUntil(10*time.Second, func() bool { return f.currentOnAllNodes(version + 1) }))
			for _, node := range f.runningNodes() {
				require.Equal(t, string(text(i)), string(node.view.Current().Text))
			}
			require.Equal(t, string(text(i)), string(f.newestConfiguration(t).Text))
		}
		results := f.generateLoad(20, time.Second, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), routePaths[i%4], 400, 3) })
		for _, result := range results {
			require.NoError(t, result.err)
		}
	})
}
