// Tests of the streams of clients' requests.

package api

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"keelstair.example/internal/requestbody"
)

// TestRunningStreamHoldsNoBody guards against a router that runs out of memory because it keeps the bodies of requests
// whose streams are running.
func TestRunningStreamHoldsNoBody(t *testing.T) {
	memory := requestbody.NewMemory(1 << 20)
	streams := http.NewServeMux()
	HandleStreams(streams, "/streams", func(_ context.Context, request *StreamRequest, out Sink) error {
		require.Equal(t, "prompt", request.Prompt)
		require.Zero(t, memory.Held(), "while the stream runs")
		return out.Put(StreamEvent{End: EndComplete})
	})
	handler := &requestbody.Handler{Next: streams, Memory: memory, MaxBytes: MaxBodyBytes}
	response := httptest.NewRecorder()
	handler.ServeHTTP(response, httptest.NewRequest(http.MethodPost, "/streams", strings.NewReader(`{"prompt":"prompt"}`)))
	require.Equal(t, http.StatusOK, response.Code)
}
