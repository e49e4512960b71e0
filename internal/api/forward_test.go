package api

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/failure"
)

// discardSink accepts all events.
type discardSink struct{}

func (discardSink) Put(StreamEvent) error { return nil }

// TestForwardedStreamWithoutEndIsNotComplete guards against a stream that seems complete at a killed node's FIN.
func TestForwardedStreamWithoutEndIsNotComplete(t *testing.T) {
	for _, body := range []string{"", `{"index":0,"token":5}`, `{"index":0,"token":5}{"index":1,"tok`} {
		node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer conn.Close()
			conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n" + body))
		}))
		addr := strings.TrimPrefix(node.URL, "http://")
		_, err := Forward(t.Context(), node.Client(), addr, "/forward", &StreamRequest{}, time.Second, discardSink{})
		require.True(t, failure.Is(err, failure.DataLost), "%v after %q", err, body)
		node.Close()
	}
}
