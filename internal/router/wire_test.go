package router

import (
	"testing"

	"github.com/stretchr/testify/require"

	"keelstair.example/internal/golden"
)

// TestEncodings: every message and stored record of this package has the encoding that it had
// in the first release with a rolling upgrade. The names on file are those of that release.
func TestEncodings(t *testing.T) {
	golden.Check(t, "testdata/encodings.txt", map[string]golden.Message{
		"Beat":       &Heartbeat{},
		"OrderAsk":   &OrderRequest{},
		"OrderReply": &OrderResponse{},
		"Spent":      &RetryTokenResponse{},
		"Stand":      &WorkerStatus{},
	})
}

// TestStatusJSON: the answer of /v1/status has the names that it had in earlier releases.
func TestStatusJSON(t *testing.T) {
	golden.CheckJSON(t, "testdata/status.json", &NodeStatus{})
}

// TestMethodNames: the names of the RPC methods are those of earlier releases.
func TestMethodNames(t *testing.T) {
	require.Equal(t, []string{
		"verge/order", "verge/spend", "verge/beat",
	}, []string{OrderMethod, SpendMethod, heartbeatMethod})
}
