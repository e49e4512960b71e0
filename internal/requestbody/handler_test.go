package requestbody

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// newTestHandler returns a Handler whose next handler takes a second for a request and answers with the body's length.
func newTestHandler() *Handler {
	return &Handler{
		Next: http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			text, err := io.ReadAll(request.Body)
			var tooLarge *http.MaxBytesError
			if errors.As(err, &tooLarge) {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			time.Sleep(time.Second)
			w.Write(text)
		}),
		Memory:   NewMemory(testLimit),
		MaxBytes: 400 << 10,
		Wait:     500 * time.Millisecond,
		Timeout:  10 * time.Second,
		Reject:   func(w http.ResponseWriter, _ error) { w.WriteHeader(http.StatusServiceUnavailable) },
	}
}

// TestConcurrentRequestsShareMemory guards against a process that goes over its memory because many large requests to
// its operators' API arrive at the same time.
func TestConcurrentRequestsShareMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTestHandler()
		statuses := make(chan int, 20)
		for range cap(statuses) {
			go func() {
				response := httptest.NewRecorder()
				h.ServeHTTP(response, httptest.NewRequest("PUT", "/", bytes.NewReader(content(300<<10))))
				if response.Code == http.StatusOK {
					assert.True(t, bytes.Equal(content(300<<10), response.Body.Bytes()))
				}
				statuses <- response.Code
			}()
		}
		synctest.Wait()
		require.LessOrEqual(t, h.Memory.Held(), int64(testLimit))
		served := 0
		for range cap(statuses) {
			if <-statuses == http.StatusOK {
				served++
			}
		}
		require.Equal(t, 2, served, "as many as the memory holds")
		require.Zero(t, h.Memory.Held())
	})
}

// TestHandlerPassesErrorsOn checks that the next handler sees bodies that are empty or too long as it would without the
// Handler.
func TestHandlerPassesErrorsOn(t *testing.T) {
	h := newTestHandler()
	for size, status := range map[int]int{0: http.StatusOK, 400 << 10: http.StatusOK, 400<<10 + 1: http.StatusBadRequest} {
		for _, length := range []int64{int64(size), -1} {
			synctest.Test(t, func(t *testing.T) {
				request := httptest.NewRequest("PUT", "/", bytes.NewReader(content(size)))
				request.ContentLength = length
				response := httptest.NewRecorder()
				h.ServeHTTP(response, request)
				require.Equal(t, status, response.Code, "%d bytes, length %d", size, length)
				require.Zero(t, h.Memory.Held())
			})
		}
	}
}

// TestImpossibleLengthHoldsNoMemory guards against a request that keeps others out by stating a length beyond MaxBytes.
func TestImpossibleLengthHoldsNoMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTestHandler()
		idle := newIdleSource()
		defer idle.interrupt()
		rejected := httptest.NewRecorder()
		go func() {
			request := httptest.NewRequest("PUT", "/", idle)
			request.ContentLength = 1 << 40
			h.ServeHTTP(rejected, request)
		}()
		synctest.Wait()
		require.Zero(t, h.Memory.Held())
		require.Equal(t, http.StatusBadRequest, rejected.Code)
		response := httptest.NewRecorder()
		h.ServeHTTP(response, httptest.NewRequest("PUT", "/", bytes.NewReader(content(300<<10))))
		require.Equal(t, http.StatusOK, response.Code)
	})
}

// TestRejectedClientGetsResponse guards against clients that lose the response to a body that was not read, because its
// connection is reset.
func TestRejectedClientGetsResponse(t *testing.T) {
	h := newTestHandler()
	h.Wait = 0
	held := requireRead(t, h.Memory, 800<<10)
	server := httptest.NewServer(h)
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	put := func() int {
		request, err := http.NewRequest("PUT", server.URL, bytes.NewReader(content(int(h.MaxBytes))))
		require.NoError(t, err)
		require.NoError(t, request.Write(conn))
		response, err := http.ReadResponse(reader, request)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		return response.StatusCode
	}
	require.Equal(t, http.StatusServiceUnavailable, put())
	held.Release()
	require.Equal(t, http.StatusOK, put(), "on the same connection")
}

// TestRestOfRejectedBodyEnds guards against clients that keep a connection for good by not sending the rest of a body
// that was rejected, and against a part of it that is taken for another request.
func TestRestOfRejectedBodyEnds(t *testing.T) {
	h := newTestHandler()
	h.Wait, h.Timeout = 0, time.Hour
	defer requireRead(t, h.Memory, 800<<10).Release()
	server := httptest.NewServer(h)
	defer server.Close()
	for _, framing := range []string{"Content-Length: 300000", "Transfer-Encoding: chunked"} {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		require.NoError(t, err)
		defer conn.Close()
		fmt.Fprintf(conn, "PUT / HTTP/1.1\r\nHost: a.example\r\n%s\r\n\r\n", framing)
		if framing == "Transfer-Encoding: chunked" {
			fmt.Fprintf(conn, "%x\r\n%s\r\n40000\r\n", 64<<10, content(64<<10))
		}
		reader := bufio.NewReader(conn)
		conn.SetReadDeadline(time.Now().Add(5 * UnreadTimeout))
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		time.Sleep(UnreadTimeout - time.Second/2)
		io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n")
		rest, err := io.ReadAll(reader)
		require.Empty(t, rest)
		require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
	}
}

// TestLateBodyIsRejected guards against a body that is refused as invalid for good, though only its time was over.
func TestLateBodyIsRejected(t *testing.T) {
	h := newTestHandler()
	response := httptest.NewRecorder()
	late := io.MultiReader(bytes.NewReader(content(300<<10)), iotest.ErrReader(os.ErrDeadlineExceeded))
	h.ServeHTTP(response, httptest.NewRequest("PUT", "/", late))
	require.Equal(t, http.StatusServiceUnavailable, response.Code)
	require.Zero(t, h.Memory.Held())
}
