package proxy

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/host/simulated"
	"keelstair.example/internal/fleetstate"
)

// TestLargeSnapshotOverSlowLinkArrives: a node gets the snapshot although its link needs longer for it (5 s)
// than any response timeout.
func TestLargeSnapshotOverSlowLinkArrives(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 2)...)
		routes := defaultRoutes()
		for i := range 1500 {
			sum := sha256.Sum256([]byte(fmt.Sprint(i)))
			routes = append(routes, fleetstate.Route{
				Name: hex.EncodeToString(sum[:]), Host: fmt.Sprint("h", i), Prefix: "/", Service: "svc", DeadlineMs: 3000,
			})
		}
		f := startFleet(t, 77, 2, platform, encodeConfiguration(routes, fleetstate.Service{Name: "svc", Concurrency: 16}), nil)
		defer f.close()
		size := len(f.nodes[0].view.Snapshot())
		for _, ip := range coreIPs {
			f.world.SetLink(ip, nodeIP(2), simulated.Link{Delay: time.Millisecond, BytesPerSecond: size / 5})
		}
		joining := f.startNode(2)
		require.True(t, f.waitUntil(15*time.Second, func() bool { return joining.view.Current().Version == 1 }), "%d bytes", size)
	})
}
