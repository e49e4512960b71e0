// Tests of the memory for documents that operators send.

package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"keelstair.example/internal/cli"
	"keelstair.example/logging"
	"keelstair.example/platform"
)

// TestLargeDocumentsShareMemory guards against a control plane process that goes over its memory because operators send
// many large documents at the same time.
func TestLargeDocumentsShareMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const memoryBytes, largeDocument, smallDocument = 32 << 20, 1 << 20, 10 << 10
		handler := operatorAPIs(&platform.Settings{}, cli.NewLargeBodies(memoryBytes), nil, nil, logging.Discard())
		put := func(body io.Reader, length int64) *httptest.ResponseRecorder {
			request := httptest.NewRequest(http.MethodPut, "/configuration", body)
			request.ContentLength = length
			response := httptest.NewRecorder()
			handler.ServeHTTP(response, request)
			return response
		}
		unfinished, client := io.Pipe()
		ended := make(chan *httptest.ResponseRecorder)
		go func() { ended <- put(unfinished, largeDocument) }()
		synctest.Wait()
		large := put(strings.NewReader(strings.Repeat(" ", largeDocument)), largeDocument)
		require.Equal(t, http.StatusServiceUnavailable, large.Code, "another large document is being read")
		require.NotEmpty(t, large.Header().Get("Retry-After"))
		small := put(strings.NewReader(strings.Repeat(" ", smallDocument)), smallDocument)
		require.Equal(t, http.StatusBadRequest, small.Code, "it is read, and does not say what it changes")
		client.Write([]byte(strings.Repeat(" ", largeDocument)))
		client.Close()
		require.Equal(t, http.StatusBadRequest, (<-ended).Code)
		again := put(strings.NewReader(strings.Repeat(" ", largeDocument)), largeDocument)
		require.Equal(t, http.StatusBadRequest, again.Code)
	})
}
