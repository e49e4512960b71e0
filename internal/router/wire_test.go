// Tests that encodings and method names are compatible between releases.

package router

import (
	"testing"

	"github.com/stretchr/testify/require"

	"keelstair.example/internal/golden"
)

// TestEncodings checks that every message of this package has the encoding that it had in the first
// release with rolling upgrades. The names in the file are those of that release.
func TestEncodings(t *testing.T) {
	golden.Check(t, "testdata/encodings.txt", map[string]golden.Message{
		"Beat":       &Heartbeat{},
		"OrderAsk":   &OrderRequest{},
		"OrderReply": &OrderResponse{},
		"Spent":      &RetryTokenResponse{},
		"Stand":      &WorkerStatus{},
	})
}

// TestStatusJSON checks that the response of /v1/status has the field names of earlier releases.
func TestStatusJSON(t *testing.T) {
	golden.CheckJSON(t, "testdata/status.json", &NodeStatus{})
}

// TestMethodNames checks that the RPC methods have the names of earlier releases.
func TestMethodNames(t *testing.T) {
	require.Equal(t, []string{
		"verge/order", "verge/spend", "verge/beat",
	}, []string{OrderMethod, SpendMethod, heartbeatMethod})
}
