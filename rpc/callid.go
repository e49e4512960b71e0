// Call IDs match each response to its call. Without them, a response that arrives late, twice
// or for another call would be taken as the response to the next call on the connection.

package rpc

import (
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"keelstair.example/failure"
)

// callIDHeader carries the ID of a call. The response carries the same ID.
const callIDHeader = "Call-Id"

// callIDBytes is the length of a call ID before hex encoding.
const callIDBytes = 8

func newCallID() string {
	var id [callIDBytes]byte
	rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// callConn is a connection that records whether its peer echoes call IDs.
type callConn struct {
	net.Conn
	echoesCallIDs atomic.Bool
	progress      atomic.Pointer[progress] // of the current call; nil if it does not track progress
}

// Read reads from the connection and records the arrival of data for the current call.
func (c *callConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if p := c.progress.Load(); p != nil && n > 0 {
		p.recordArrival()
	}
	return n, err
}

// acceptsResponseID reports whether a response with the ID got may belong to the call with the
// ID want. Processes of releases that had no call IDs echo none. A process that has echoed one
// ID echoes all, so a response without an ID is accepted only on a connection on which no ID has
// been echoed yet.
func (c *callConn) acceptsResponseID(got, want string) bool {
	if got == want {
		c.echoesCallIDs.Store(true)
		return true
	}
	return got == "" && !c.echoesCallIDs.Load()
}

// callIDTransport sends each call with a unique ID and checks that the response carries it.
type callIDTransport struct {
	base http.RoundTripper
}

// RoundTrip sends one call. If the response carries another ID, RoundTrip closes the
// connection and returns an error.
func (t *callIDTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	id := newCallID()
	var conn *callConn
	callProgress, _ := request.Context().Value(progressContextKey{}).(*progress)
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn = info.Conn.(*callConn)
		conn.progress.Store(callProgress)
	}}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	request.Header = request.Header.Clone()
	request.Header.Set(callIDHeader, id)
	response, err := t.base.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if !conn.acceptsResponseID(response.Header.Get(callIDHeader), id) {
		conn.Close()
		response.Body.Close()
		return nil, failure.New(failure.OutcomeUnknown, "call", request.URL.Host, "the response belongs to another call")
	}
	return response, nil
}

// CloseIdleConnections closes the connections that carry no call.
func (t *callIDTransport) CloseIdleConnections() {
	if base, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}

// echoCallID copies the call ID of each request into its response.
func echoCallID(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if id := request.Header.Get(callIDHeader); id != "" {
			w.Header().Set(callIDHeader, id)
		}
		h.ServeHTTP(w, request)
	})
}
