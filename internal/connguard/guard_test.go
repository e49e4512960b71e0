package connguard

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// oneConn is a listener that accepts one connection.
type oneConn struct {
	conns chan net.Conn
	addr  net.Addr
}

func (l *oneConn) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (l *oneConn) Close() error   { return nil }
func (l *oneConn) Addr() net.Addr { return l.addr }

// acceptGuarded returns a guarded connection and the client's end of it.
func acceptGuarded(t *testing.T, g *Guard) (*conn, net.Conn) {
	client, server := net.Pipe()
	l := &oneConn{conns: make(chan net.Conn, 1)}
	l.conns <- server
	c, err := g.Listener(l).Accept()
	require.NoError(t, err)
	return c.(*conn), client
}

// TestExpiredIsNotServed checks that a request does not reach the handler if its header is complete
// only when its connection has already received a 408.
func TestExpiredIsNotServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(Limits{Header: time.Second}, Capacity{})
		c, client := acceptGuarded(t, g)
		go client.Write([]byte("G"))
		_, err := c.Read(make([]byte, 1))
		require.NoError(t, err)
		got, err := io.ReadAll(client)
		require.NoError(t, err)
		require.True(t, strings.HasPrefix(string(got), "HTTP/1.1 408 "))
		c.serverState(http.StateActive)
		handler := g.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("it was served") }))
		request := httptest.NewRequest(http.MethodGet, "/", nil)
		require.PanicsWithValue(t, http.ErrAbortHandler, func() {
			handler.ServeHTTP(nil, request.WithContext(context.WithValue(t.Context(), connKey{}, c)))
		})
		c.serverState(http.StateClosed)
		require.Empty(t, g.open)
	})
}

// TestServingHasNoLimit checks that a connection stays open while a request is served and while no limit is
// set, and that a new limit also applies to an open connection.
func TestServingHasNoLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(Limits{Header: time.Second, Idle: time.Second}, Capacity{})
		c, client := acceptGuarded(t, g)
		c.serverState(http.StateActive)
		time.Sleep(time.Hour)
		require.False(t, c.timedOut())
		g.SetLimits(Limits{})
		c.serverState(http.StateIdle)
		time.Sleep(time.Hour)
		require.False(t, c.timedOut())
		g.SetLimits(Limits{Idle: time.Minute})
		time.Sleep(time.Millisecond) // an overdue timer fires after 1 ns, not immediately
		require.True(t, c.timedOut())
		client.Close()
	})
}
