// Call ids pair each answer with its call. A connection that carries an answer late, twice
// or for another call would otherwise hand it to whoever asks next.

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

// callIDHeader carries the id of a call; the answer to it bears the same.
const callIDHeader = "Call-Id"

// callIDBytes is the length of an id before it is written in hex.
const callIDBytes = 8

func newCallID() string {
	var id [callIDBytes]byte
	rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// callConn is a connection that knows whether its other end echoes call ids.
type callConn struct {
	net.Conn
	echoes   atomic.Bool
	progress atomic.Pointer[progress] // of the call that the connection carries, if it wants to know
}

// Read notes what arrives.
func (c *callConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if p := c.progress.Load(); p != nil && n > 0 {
		p.note()
	}
	return n, err
}

// answers tells whether an answer that bears an id may be the one to a call. Processes of
// the release before call ids echo none. One that has echoed always does, so an answer
// without an id counts only on a connection where none has come yet.
func (c *callConn) answers(got, want string) bool {
	if got == want {
		c.echoes.Store(true)
		return true
	}
	return got == "" && !c.echoes.Load()
}

// idTransport sends each call under an id of its own and checks that the answer bears it.
type idTransport struct {
	base http.RoundTripper
}

// RoundTrip sends one call. An answer that bears another id is an error, and its connection
// is closed.
func (t *idTransport) RoundTrip(q *http.Request) (*http.Response, error) {
	id := newCallID()
	var conn *callConn
	wanted, _ := q.Context().Value(progressKey{}).(*progress)
	trace := &httptrace.ClientTrace{GotConn: func(got httptrace.GotConnInfo) {
		conn = got.Conn.(*callConn)
		conn.progress.Store(wanted)
	}}
	q = q.WithContext(httptrace.WithClientTrace(q.Context(), trace))
	q.Header = q.Header.Clone()
	q.Header.Set(callIDHeader, id)
	a, err := t.base.RoundTrip(q)
	if err != nil {
		return nil, err
	}
	if !conn.answers(a.Header.Get(callIDHeader), id) {
		conn.Close()
		a.Body.Close()
		return nil, failure.New(failure.OutcomeUnknown, "call", q.URL.Host, "the answer belongs to another call")
	}
	return a, nil
}

// CloseIdleConnections closes the connections on which no call waits.
func (t *idTransport) CloseIdleConnections() {
	if base, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}

// echoCallID has answers bear the ids of their calls.
func echoCallID(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if id := q.Header.Get(callIDHeader); id != "" {
			w.Header().Set(callIDHeader, id)
		}
		h.ServeHTTP(w, q)
	})
}
