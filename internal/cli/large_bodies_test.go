package cli

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// TestLargeMessagesShareMemory guards against a process that goes over its memory because many large messages arrive at
// the same time, and checks that small messages and other requests pass them.
func TestLargeMessagesShareMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const memoryLimit, largeMessage = 16 << 20, 600 << 10
		messages := http.NewServeMux()
		messages.HandleFunc("/crux/a", func(w http.ResponseWriter, r *http.Request) { io.Copy(w, r.Body) })
		handler := NewLargeBodies(memoryLimit).LimitMessages(messages, http.NotFoundHandler())
		send := func(path string, body io.Reader, length int64) *httptest.ResponseRecorder {
			request := httptest.NewRequest(http.MethodPost, path, body)
			request.ContentLength = length
			response := httptest.NewRecorder()
			handler.ServeHTTP(response, request)
			return response
		}
		unfinished, client := io.Pipe()
		ended := make(chan *httptest.ResponseRecorder)
		go func() { ended <- send("/crux/a", unfinished, largeMessage) }()
		synctest.Wait()
		text := strings.Repeat("x", largeMessage)
		for _, length := range []int64{largeMessage, -1} {
			require.Equal(t, http.StatusServiceUnavailable, send("/crux/a", strings.NewReader(text), length).Code)
		}
		small := send("/crux/a", strings.NewReader("small"), 5)
		require.Equal(t, "small", small.Body.String())
		require.Equal(t, http.StatusNotFound, send("/other", strings.NewReader(text), largeMessage).Code)
		client.Write([]byte(text))
		client.Close()
		require.Equal(t, text, (<-ended).Body.String())
		require.Equal(t, text, send("/crux/a", strings.NewReader(text), -1).Body.String())
		whole := send("/crux/a", strings.NewReader(strings.Repeat("x", memoryLimit/8)), memoryLimit/8)
		require.Equal(t, memoryLimit/8, whole.Body.Len(), "larger than the memory for all, alone")
		excess := send("/crux/a", strings.NewReader(strings.Repeat("x", memoryLimit/8+1)), memoryLimit/8+1)
		require.Empty(t, excess.Body.String(), "larger than the process can hold several times")
	})
}
