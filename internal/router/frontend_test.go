// Tests of the memory for the bodies of requests.

package router

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"keelstair.example/host/simulated"
)

// post sends a request with a body of the given length to a handler.
func post(handler http.Handler, path string, body io.Reader, length int64) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodPost, path, body)
	request.ContentLength = length
	response := httptest.NewRecorder()
	handler.ServeHTTP(response, request)
	return response
}

// postPrompt sends a client's request with a body of about the given length.
func postPrompt(handler http.Handler, path string, length int) *httptest.ResponseRecorder {
	body := `{"kind":"a","prompt":"` + strings.Repeat("a", length) + `"}`
	return post(handler, path, strings.NewReader(body), int64(len(body)))
}

// TestLargeRequestsShareMemory guards against a router that goes over its memory because clients and other nodes send
// many large requests at the same time.
func TestLargeRequestsShareMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const memoryLimit, large, small = 16 << 20, 3 << 20, 10 << 10
		n := New(Options{
			Name:        "n",
			Host:        simulated.NewWorld(1).Machine("10.0.0.1").Start().Host(),
			MemoryLimit: memoryLimit,
		})
		frontend, peers := n.FrontendHandler(), http.NewServeMux()
		n.Mount(peers)
		unfinished, client := io.Pipe()
		ended := make(chan *httptest.ResponseRecorder)
		go func() { ended <- post(frontend, "/v1/streams", unfinished, large) }()
		synctest.Wait()
		for path, handler := range map[string]http.Handler{"/v1/streams": frontend, forwardPath: peers} {
			rejected := postPrompt(handler, path, large)
			require.Equal(t, http.StatusServiceUnavailable, rejected.Code, path)
			require.Contains(t, rejected.Body.String(), faultNoMemory, path)
			require.NotEmpty(t, rejected.Header().Get("Retry-After"), path)
			served := postPrompt(handler, path, small)
			require.Contains(t, served.Body.String(), "not-ready", "a small request passes")
		}
		client.CloseWithError(io.ErrUnexpectedEOF)
		require.Equal(t, http.StatusBadRequest, (<-ended).Code)
		require.Contains(t, postPrompt(frontend, "/v1/streams", large).Body.String(), "not-ready")
		require.Zero(t, n.bodies.Held())
	})
}

// TestTooLargeRequestsKeepTheirStatus checks the response to requests that are longer than any limit.
func TestTooLargeRequestsKeepTheirStatus(t *testing.T) {
	n := New(Options{Name: "n", Host: simulated.NewWorld(1).Machine("10.0.0.1").Start().Host()})
	for _, length := range []int{5 << 20, 9 << 20} {
		body := strings.Repeat(" ", length)
		for _, stated := range []int64{int64(length), -1} {
			response := post(n.FrontendHandler(), "/v1/streams", strings.NewReader(body), stated)
			require.Equal(t, http.StatusRequestEntityTooLarge, response.Code, "%d bytes, length %d", length, stated)
		}
	}
}
