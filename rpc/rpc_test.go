package rpc

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/tinylib/msgp/msgp"

	"keelstair.example/failure"
)

// textMessage is the request and response message of these tests.
type textMessage struct{ Text string }

func (m *textMessage) MarshalMsg(b []byte) ([]byte, error) { return msgp.AppendString(b, m.Text), nil }

func (m *textMessage) UnmarshalMsg(b []byte) (rest []byte, err error) {
	m.Text, rest, err = msgp.ReadStringBytes(b)
	return rest, err
}

// loopback listens and dials with the host's TCP stack. While failWrites is set, writes to the
// connections that it has dialed fail.
type loopback struct{ failWrites *atomic.Bool }

func (loopback) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

func (l loopback) Dial(ctx context.Context, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &failingConn{Conn: conn, failWrites: l.failWrites}, nil
}

// failingConn is a connection whose writes fail while failWrites is set.
type failingConn struct {
	net.Conn
	failWrites *atomic.Bool
}

func (c *failingConn) Write(p []byte) (int, error) {
	if c.failWrites.Load() {
		return 0, syscall.EPIPE
	}
	return c.Conn.Write(p)
}

// receivedCall is a call as the server received it.
type receivedCall struct {
	text       string
	id         string
	connNumber int
	header     http.Header
}

// fakeServer writes HTTP responses by hand, so that it can also violate the protocol.
type fakeServer struct {
	addr           string
	mu             sync.Mutex
	received       []receivedCall
	behaviors      map[string]func(s *serverConn, c receivedCall) bool // by the text of the call
	earlyResponder func(s *serverConn, request *http.Request) bool     // responds before the body is read; used once
	omitCallIDs    bool                                                // behaves like a release that had no call IDs
}

// serverConn is one connection to a fakeServer. Connections are numbered from 0.
type serverConn struct {
	*fakeServer
	conn   net.Conn
	reader *bufio.Reader
	number int
}

func startFakeServer(t *testing.T) *fakeServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &fakeServer{addr: l.Addr().String(), behaviors: map[string]func(*serverConn, receivedCall) bool{}}
	t.Cleanup(func() { l.Close() })
	go func() {
		for number := 0; ; number++ {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go (&serverConn{server, conn, bufio.NewReader(conn), number}).serve()
		}
	}()
	return server
}

func (s *serverConn) serve() {
	defer s.conn.Close()
	for {
		request, err := http.ReadRequest(s.reader)
		if err != nil {
			return
		}
		s.mu.Lock()
		earlyResponder := s.earlyResponder
		s.earlyResponder = nil
		s.mu.Unlock()
		if earlyResponder != nil {
			if !earlyResponder(s, request) {
				return
			}
			continue
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		text, _, _ := msgp.ReadStringBytes(body)
		c := receivedCall{text, request.Header.Get(callIDHeader), s.number, request.Header}
		s.mu.Lock()
		s.received = append(s.received, c)
		behavior := s.behaviors[text]
		s.mu.Unlock()
		if behavior == nil {
			behavior = respond
		}
		if !behavior(s, c) {
			return
		}
	}
}

// callsWithText returns the calls received with the text.
func (s *fakeServer) callsWithText(text string) []receivedCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []receivedCall
	for _, c := range s.received {
		if c.text == text {
			out = append(out, c)
		}
	}
	return out
}

// response returns a complete response to the call with the text and ID.
func (s *fakeServer) response(text, id string) string {
	body, _ := (&textMessage{"response to " + text}).MarshalMsg(nil)
	echo := ""
	if id != "" && !s.omitCallIDs {
		echo = callIDHeader + ": " + id + "\r\n"
	}
	return fmt.Sprintf(
		"HTTP/1.1 200 OK\r\nContent-Type: application/msgp\r\n%sContent-Length: %d\r\n\r\n%s",
		echo,
		len(body),
		body,
	)
}

func (s *serverConn) write(text string) { io.WriteString(s.conn, text) }

func (s *serverConn) reset() bool {
	s.conn.(*net.TCPConn).SetLinger(0)
	s.conn.Close()
	return false
}

// Behaviors of a fakeServer on receiving a call. Each reports whether the connection continues.

func respond(s *serverConn, c receivedCall) bool {
	s.write(s.response(c.text, c.id))
	return true
}

func resetConnection(s *serverConn, _ receivedCall) bool { return s.reset() }

func closeConnection(*serverConn, receivedCall) bool { return false }

func neverRespond(s *serverConn, _ receivedCall) bool {
	io.Copy(io.Discard, s.reader)
	return false
}

func truncateHeader(s *serverConn, c receivedCall) bool {
	s.write(s.response(c.text, c.id)[:40])
	return false
}

func truncateBody(s *serverConn, c receivedCall) bool {
	complete := s.response(c.text, c.id)
	s.write(complete[:len(complete)-5])
	return false
}

func truncateBodyAndReset(s *serverConn, c receivedCall) bool {
	complete := s.response(c.text, c.id)
	s.write(complete[:len(complete)-5])
	time.Sleep(20 * time.Millisecond)
	return s.reset()
}

func sendGarbage(s *serverConn, _ receivedCall) bool {
	s.write("\x16\x03\x01 what is this\r\n\r\n")
	return false
}

// sendOtherResponseFirst sends another call's response before the response to this one.
func sendOtherResponseFirst(s *serverConn, c receivedCall) bool {
	s.write(s.response("another", "00000000deadbeef") + s.response(c.text, c.id))
	return true
}

// sendResponseWithoutIDFirst sends a response without an ID before the response to this call.
func sendResponseWithoutIDFirst(s *serverConn, c receivedCall) bool {
	s.write(s.response("another", "") + s.response(c.text, c.id))
	return true
}

// sendOtherErrorFirst sends an error response to another call before the response to this one.
func sendOtherErrorFirst(s *serverConn, c receivedCall) bool {
	body := `{"code":"resource_exhausted","message":"not done"}`
	s.write(fmt.Sprintf(
		"HTTP/1.1 429 Too Many Requests\r\nContent-Type: application/json\r\n%s: 00000000deadbeef\r\nContent-Length: %d\r\n\r\n%s",
		callIDHeader,
		len(body),
		body,
	))
	return respond(s, c)
}

// sendOtherEmptyError sends an error response without a body to another call, and nothing else.
func sendOtherEmptyError(s *serverConn, _ receivedCall) bool {
	s.write("HTTP/1.1 503 Service Unavailable\r\n" + callIDHeader + ": 00000000deadbeef\r\nContent-Length: 0\r\n\r\n")
	return true
}

// redirect redirects the call to another URL.
func redirect(s *serverConn, c receivedCall) bool {
	s.write("HTTP/1.1 307 Temporary Redirect\r\nLocation: http://" + s.addr + "/elsewhere\r\n" + callIDHeader + ": " +
		c.id + "\r\nContent-Length: 0\r\n\r\n")
	return true
}

// Timeouts of calls in tests: short if no response is expected, long if one is.
const (
	noResponseTimeout = 300 * time.Millisecond
	responseTimeout   = 30 * time.Second
)

// call makes a call that may get no response.
func call(c *Caller, addr, text string) (string, error) {
	return callWithin(c, addr, text, noResponseTimeout)
}

// mustCall makes a call that must succeed, however slow the machine is.
func mustCall(t *testing.T, c *Caller, addr, text string) string {
	got, err := callWithin(c, addr, text, responseTimeout)
	require.NoError(t, err)
	return got
}

func callWithin(c *Caller, addr, text string, timeout time.Duration) (string, error) {
	ctx, stop := context.WithTimeout(context.Background(), timeout)
	defer stop()
	got, err := Call[textMessage, textMessage](ctx, c, addr, "test/note", &textMessage{text})
	if err != nil {
		return "", err
	}
	return got.Text, nil
}

// TestFailedCallIsNotRetried checks that a call whose response is missing or wrong arrives only
// once and fails with OutcomeUnknown, that its connection is not reused except after a
// redirect, and that later calls receive their own responses.
func TestFailedCallIsNotRetried(t *testing.T) {
	for name, behavior := range map[string]func(*serverConn, receivedCall) bool{
		"connection reset":  resetConnection,
		"connection closed": closeConnection,
		"no response":       neverRespond,
		"truncated header":  truncateHeader, "truncated body": truncateBody, "truncated body, reset": truncateBodyAndReset,
		"garbage":                 sendGarbage,
		"another call's response": sendOtherResponseFirst,
		"response without an ID":  sendResponseWithoutIDFirst,
		"another call's error":    sendOtherErrorFirst, "another call's empty error": sendOtherEmptyError, "redirect": redirect,
	} {
		for _, reuseConnection := range []bool{true, false} {
			if name == "response without an ID" && !reuseConnection {
				// On a new connection, a response without an ID is accepted, because the peer may
				// be of a release that had no call IDs.
				continue
			}
			t.Run(fmt.Sprint(name, ", connection reused: ", reuseConnection), func(t *testing.T) {
				server := startFakeServer(t)
				c := NewCaller(loopback{new(atomic.Bool)})
				defer c.Close()
				if reuseConnection {
					got := mustCall(t, c, server.addr, "before")
					require.Equal(t, "response to before", got)
				}
				server.behaviors["this"] = behavior
				_, err := call(c, server.addr, "this")
				require.True(t, failure.Is(err, failure.OutcomeUnknown), "%v", err)
				for i := range 3 {
					text := fmt.Sprint("after", i)
					got := mustCall(t, c, server.addr, text)
					require.Equal(t, "response to "+text, got)
					if name != "redirect" {
						require.NotEqual(t, server.callsWithText("this")[0].connNumber, server.callsWithText(text)[0].connNumber)
					}
				}
				require.Len(t, server.callsWithText("this"), 1)
				if reuseConnection {
					require.Equal(t, server.callsWithText("before")[0].connNumber, server.callsWithText("this")[0].connNumber,
						"the call must use the earlier connection")
				}
			})
		}
	}
}

// TestDuplicateResponseDuringNextCall checks that if a duplicate response to a call arrives during
// the next call, the next call fails with OutcomeUnknown instead of taking it as its own response,
// and that later calls succeed.
func TestDuplicateResponseDuringNextCall(t *testing.T) {
	server := startFakeServer(t)
	c := NewCaller(loopback{new(atomic.Bool)})
	defer c.Close()
	mustCall(t, c, server.addr, "first")
	server.behaviors["second"] = func(s *serverConn, received receivedCall) bool {
		s.write(s.response("first", server.callsWithText("first")[0].id))
		return respond(s, received)
	}
	got, err := call(c, server.addr, "second")
	require.True(t, failure.Is(err, failure.OutcomeUnknown), "%q %v", got, err)
	require.Len(t, server.callsWithText("second"), 1)
	got = mustCall(t, c, server.addr, "third")
	require.Equal(t, "response to third", got)
}

// TestImmediateDuplicateResponse checks that a duplicate response sent directly after the first
// one is not taken as the response to a later call.
func TestImmediateDuplicateResponse(t *testing.T) {
	server := startFakeServer(t)
	c := NewCaller(loopback{new(atomic.Bool)})
	defer c.Close()
	server.behaviors["twice"] = func(s *serverConn, received receivedCall) bool {
		s.write(s.response(received.text, received.id) + s.response(received.text, received.id))
		return true
	}
	for i := range 20 {
		got, err := call(c, server.addr, "twice")
		require.True(
			t,
			err == nil && got == "response to twice" || failure.Is(err, failure.OutcomeUnknown),
			"%q %v",
			got,
			err,
		)
		text := fmt.Sprint("next", i)
		got, err = call(c, server.addr, text)
		require.True(
			t,
			err == nil && got == "response to "+text || failure.Is(err, failure.OutcomeUnknown),
			"%q %v",
			got,
			err,
		)
		require.LessOrEqual(t, len(server.callsWithText(text)), 1)
	}
}

// TestCallAfterFailedWrites checks that a call whose connection accepts no writes does not arrive,
// and that the same call made again arrives once, without an Idempotency-Key header, which would
// allow net/http to retry the call on its own.
func TestCallAfterFailedWrites(t *testing.T) {
	failWrites := new(atomic.Bool)
	server := startFakeServer(t)
	c := NewCaller(loopback{failWrites})
	defer c.Close()
	mustCall(t, c, server.addr, "before")
	failWrites.Store(true)
	_, err := call(c, server.addr, "this")
	require.Error(t, err)
	require.Empty(t, server.callsWithText("this"))
	failWrites.Store(false)
	mustCall(t, c, server.addr, "this")
	require.Len(t, server.callsWithText("this"), 1)
	require.Empty(t, server.callsWithText("this")[0].header.Get("Idempotency-Key"))
}

// TestResponseBeforeRequestIsSent checks that no later call is sent on a connection on which the
// response to a large call arrived before all of its request was sent. The peer would read the
// later call as part of the large request.
func TestResponseBeforeRequestIsSent(t *testing.T) {
	server := startFakeServer(t)
	c := NewCaller(loopback{new(atomic.Bool)})
	defer c.Close()
	rest := make(chan string, 1)
	var arrived atomic.Bool
	server.earlyResponder = func(s *serverConn, request *http.Request) bool {
		arrived.Store(true)
		s.write(s.response("large", request.Header.Get(callIDHeader)))
		time.Sleep(100 * time.Millisecond)
		s.conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		got, _ := io.ReadAll(s.reader)
		rest <- string(got)
		return false
	}
	large := strings.Repeat("l", 32<<20)
	for range 20 { // on a busy machine a call may time out before any of it is sent
		call(c, server.addr, large)
		if arrived.Load() {
			break
		}
	}
	require.True(t, arrived.Load(), "the large call must reach the peer")
	for i := range 3 {
		got := mustCall(t, c, server.addr, fmt.Sprint("next", i))
		require.Equal(t, fmt.Sprint("response to next", i), got)
	}
	require.NotContains(t, <-rest, "next")
}

// TestPeerWithoutCallIDs checks that calls to a process of a release that had no call IDs succeed,
// although it echoes none.
func TestPeerWithoutCallIDs(t *testing.T) {
	server := startFakeServer(t)
	server.omitCallIDs = true
	c := NewCaller(loopback{new(atomic.Bool)})
	defer c.Close()
	for i := range 3 {
		text := fmt.Sprint("n", i)
		got := mustCall(t, c, server.addr, text)
		require.Equal(t, "response to "+text, got)
	}
	require.Equal(t, 0, server.callsWithText("n2")[0].connNumber, "all calls must use one connection")
}

// TestServerEchoesCallIDs checks that a server echoes the IDs of calls, including failed calls and
// calls of unknown methods, and responds to a call without an ID.
func TestServerEchoesCallIDs(t *testing.T) {
	mux := http.NewServeMux()
	Handle(mux, "test/note", func(_ context.Context, request *textMessage) (*textMessage, error) {
		if request.Text == "bad" {
			return nil, failure.New(failure.Stale, "test", "", "stale")
		}
		return &textMessage{"response to " + request.Text}, nil
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	served := make(chan error)
	go func() { served <- Serve(ctx, l, mux) }()
	c := NewCaller(loopback{new(atomic.Bool)})
	got := mustCall(t, c, l.Addr().String(), "this")
	require.Equal(t, "response to this", got)
	_, err = call(c, l.Addr().String(), "bad")
	require.True(t, failure.Is(err, failure.Stale), "%v", err)
	for _, test := range []struct{ path, id string }{
		{"/test/note", "abc"},
		{"/test/note", ""},
		{"/test/unknown", "abc"},
	} {
		body, _ := (&textMessage{"this"}).MarshalMsg(nil)
		request, err := http.NewRequest(
			http.MethodPost, "http://"+l.Addr().String()+test.path, strings.NewReader(string(body)),
		)
		require.NoError(t, err)
		request.Header.Set("Content-Type", "application/msgp")
		if test.id != "" {
			request.Header.Set(callIDHeader, test.id)
		}
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		response.Body.Close()
		require.Equal(t, test.id, response.Header.Get(callIDHeader))
		require.Equal(t, test.path == "/test/note", response.StatusCode == http.StatusOK)
	}
	c.Close()
	http.DefaultClient.CloseIdleConnections()
	stop()
	require.NoError(t, <-served)
}

// TestUnmarshalRejectsCorruptMessages checks that the codec rejects truncated messages and messages
// with trailing bytes.
func TestUnmarshalRejectsCorruptMessages(t *testing.T) {
	message, _ := (&textMessage{"this"}).MarshalMsg(nil)
	require.NoError(t, codec{}.Unmarshal(message, &textMessage{}))
	for _, tail := range []string{"\x00", "this", string(message)} {
		require.Error(t, codec{}.Unmarshal(append(message[:len(message):len(message)], tail...), &textMessage{}), "%q", tail)
	}
	for size := range message {
		require.Error(t, codec{}.Unmarshal(message[:size], &textMessage{}), "%d bytes", size)
	}
}
