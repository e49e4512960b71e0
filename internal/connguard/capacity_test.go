package connguard

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// patience is how long a test waits for what must happen in the end.
const patience = 20 * time.Second

// guardedServer is a server behind a guard. A request with the path /held is answered when the test ends, one with the
// path /large by more than the buffers between the server and a client hold.
type guardedServer struct {
	*testing.T
	guard *Guard
	addr  string
	held  chan struct{}
}

func startGuardedServer(t *testing.T, capacity Capacity) *guardedServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &guardedServer{T: t, guard: New(Limits{}, capacity), addr: listener.Addr().String(), held: make(chan struct{})}
	server := &http.Server{}
	s.guard.Install(server)
	server.Handler = s.guard.Handler(http.HandlerFunc(s.serve))
	served := make(chan error, 1)
	go func() { served <- server.Serve(s.guard.Listener(listener)) }()
	t.Cleanup(func() {
		close(s.held)
		server.Close()
		assert.ErrorIs(t, <-served, http.ErrServerClosed)
	})
	return s
}

func (s *guardedServer) serve(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	switch r.URL.Path {
	case "/held":
		<-s.held
	case "/large":
		for range 1000 {
			if _, err := w.Write(make([]byte, 1<<16)); err != nil {
				return
			}
		}
	}
}

// connect opens a connection and writes text on it.
func (s *guardedServer) connect(text string) net.Conn {
	conn, err := net.Dial("tcp", s.addr)
	require.NoError(s, err)
	s.Cleanup(func() { conn.Close() })
	io.WriteString(conn, text)
	return conn
}

// get returns a request for a path without a body.
func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\n\r\n" }

// requireAnswer requires that a connection carries an answer.
func requireAnswer(t *testing.T, conn net.Conn) {
	t.Helper()
	conn.SetReadDeadline(time.Now().Add(patience))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
}

// requireClosed requires that a connection is closed without an answer.
func requireClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	conn.SetReadDeadline(time.Now().Add(patience))
	_, err := conn.Read(make([]byte, 1))
	require.Error(t, err)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
}

// awaitConns waits until the guard has a number of connections that fit.
func (s *guardedServer) awaitConns(fits func(open, unfinished, kept int) bool) {
	s.Helper()
	require.Eventually(s, func() bool {
		s.guard.mu.Lock()
		defer s.guard.mu.Unlock()
		return fits(len(s.guard.open), s.guard.unfinished.Len(), s.guard.kept.Len())
	}, patience, time.Millisecond)
}

// TestUnfinishedRequestsGiveWay guards against clients that take all connections by leaving their requests incomplete.
func TestUnfinishedRequestsGiveWay(t *testing.T) {
	for name, text := range map[string]string{
		"silent":      "",
		"header":      "GET / HTTP/1.1\r\nHost: ",
		"body":        "POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\n\r\nx",
		"chunks":      "POST / HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n",
		"second":      get("/") + "GET / HTTP/1.1\r\n",
		"second body": get("/") + "POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\n\r\nx",
	} {
		t.Run(name, func(t *testing.T) {
			const conns = 8
			s := startGuardedServer(t, Capacity{Conns: conns})
			for range 3 * conns {
				conn := s.connect(text)
				if strings.HasPrefix(text, get("/")) {
					requireAnswer(t, conn)
				}
			}
			requireAnswer(t, s.connect(get("/")))
			s.awaitConns(func(open, _, _ int) bool { return open <= conns })
		})
	}
}

// TestUnfinishedRequestsHaveOwnBound guards against clients that fill the memory with incomplete requests where many
// connections are allowed.
func TestUnfinishedRequestsHaveOwnBound(t *testing.T) {
	const unfinished = 4
	s := startGuardedServer(t, Capacity{Conns: 100, Unfinished: unfinished})
	first := s.connect("GET /")
	s.awaitConns(func(open, _, _ int) bool { return open == 1 })
	for range 2 * unfinished {
		s.connect("GET /")
	}
	requireClosed(t, first)
	s.awaitConns(func(open, got, _ int) bool { return open == unfinished && got == unfinished })
	requireAnswer(t, s.connect(get("/")))
}

// TestKeptConnectionsStay guards against clients with incomplete requests that cost others the connections that they
// keep.
func TestKeptConnectionsStay(t *testing.T) {
	const conns = 8
	s := startGuardedServer(t, Capacity{Conns: conns})
	var kept []net.Conn
	for range conns / 2 {
		kept = append(kept, s.connect(get("/")))
		requireAnswer(t, kept[len(kept)-1])
	}
	s.awaitConns(func(_, _, kept int) bool { return kept == conns/2 })
	for range 5 * conns {
		s.connect("GET /")
	}
	s.awaitConns(func(open, unfinished, _ int) bool { return open == conns && unfinished == conns/2 })
	for _, conn := range kept {
		io.WriteString(conn, get("/"))
		requireAnswer(t, conn)
	}
}

// TestKeptConnectionsGiveWay guards against clients that take all connections by keeping them after one request.
func TestKeptConnectionsGiveWay(t *testing.T) {
	const conns = 8
	s := startGuardedServer(t, Capacity{Conns: conns})
	for range 3 * conns {
		requireAnswer(t, s.connect(get("/")))
	}
	s.awaitConns(func(open, _, _ int) bool { return open <= conns })
}

// TestServedRequestsStay checks that a connection is refused where requests are served on all others, and that these then
// end with their requests.
func TestServedRequestsStay(t *testing.T) {
	const conns = 4
	s := startGuardedServer(t, Capacity{Conns: conns})
	var served []net.Conn
	for range conns - 1 {
		served = append(served, s.connect(get("/held")))
	}
	s.awaitConns(func(open, unfinished, _ int) bool { return open == conns-1 && unfinished == 0 })
	last := s.connect("POST /held HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\n\r\nx")
	s.awaitConns(func(open, _, _ int) bool { return open == conns })
	io.WriteString(last, "y")
	s.awaitConns(func(_, unfinished, _ int) bool { return unfinished == 0 })
	requireClosed(t, s.connect(get("/")))
	for range conns {
		s.held <- struct{}{}
	}
	for _, conn := range append(served, last) {
		reader := bufio.NewReader(conn)
		_, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		_, err = reader.ReadByte()
		require.Error(t, err, "it gives others a turn")
	}
}

// TestUnreadAnswersGiveWay guards against clients that take all connections by not reading their answers.
func TestUnreadAnswersGiveWay(t *testing.T) {
	const conns = 4
	s := startGuardedServer(t, Capacity{Conns: conns})
	for range conns {
		s.connect(get("/large"))
	}
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp", s.addr)
		require.NoError(t, err)
		defer conn.Close()
		io.WriteString(conn, get("/"))
		_, err = http.ReadResponse(bufio.NewReader(conn), nil)
		return err == nil
	}, patience, stallTime/10)
}

// TestUnreadAnswerEnds guards against a client that keeps its connection for good by not reading its answer.
func TestUnreadAnswerEnds(t *testing.T) {
	s := startGuardedServer(t, Capacity{})
	s.guard.SetLimits(Limits{Write: 100 * time.Millisecond})
	s.connect(get("/large"))
	s.awaitConns(func(open, _, _ int) bool { return open == 1 })
	s.awaitConns(func(open, _, _ int) bool { return open == 0 })
}

// TestLargeHeadersGiveWay guards against headers that fill the memory, many lines or few, and checks that ordinary
// requests pass them.
func TestLargeHeadersGiveWay(t *testing.T) {
	for name, line := range map[string]string{"short lines": "a:b\r\n", "long lines": "a:" + strings.Repeat("b", 1000) + "\r\n"} {
		t.Run(name, func(t *testing.T) {
			const headerBytes = 1 << 20
			s := startGuardedServer(t, Capacity{HeaderBytes: headerBytes})
			header := func(size int) string {
				return "GET / HTTP/1.1\r\nHost: a.example\r\n" + strings.Repeat(line, size/len(line))
			}
			for range 50 {
				s.connect(header(50 << 10))
				s.guard.mu.Lock()
				require.LessOrEqual(t, s.guard.headerBytes, int64(2*headerBytes))
				s.guard.mu.Unlock()
			}
			requireAnswer(t, s.connect(get("/")))
			require.Eventually(t, func() bool { return s.guard.ClosedForOthers() > 0 }, patience, time.Millisecond)
			conn := s.connect(header(8<<10) + "\r\n")
			requireAnswer(t, conn)
			require.Eventually(t, func() bool {
				s.guard.mu.Lock()
				defer s.guard.mu.Unlock()
				return s.guard.headerBytes <= headerBytes
			}, patience, time.Millisecond)
		})
	}
}

// TestClosedConnectionsHoldNothing guards against headers and places that stay counted.
func TestClosedConnectionsHoldNothing(t *testing.T) {
	s := startGuardedServer(t, Capacity{Conns: 4, HeaderBytes: 1 << 18})
	for i := range 40 {
		text := "GET / HTTP/1.1\r\nHost: a.example\r\n" + strings.Repeat("a:b\r\n", 100*i)
		if i%3 == 0 {
			text += "\r\n"
		}
		s.connect(text).Close()
	}
	s.awaitConns(func(open, unfinished, kept int) bool { return open+unfinished+kept == 0 })
	s.guard.mu.Lock()
	defer s.guard.mu.Unlock()
	require.Zero(t, s.guard.headerBytes)
}

// TestPublishedLimitsFit guards against a capacity that clients inside the published limits meet: on the smallest machine
// of a deployment, each of 300 clients may send the largest header and keep its connection.
func TestPublishedLimitsFit(t *testing.T) {
	const headerMaxBytes, lines, clients = 16 << 10, 30, 300
	for _, memory := range []int64{184 << 20, 284 << 20, 0} {
		capacity := Process{MemoryLimit: memory, DescriptorLimit: 4100}.Clients()
		require.Greater(t, capacity.Conns, 2*clients, fmt.Sprint(memory))
		header := headerMaxBytes*headerByteMemory + lines*headerLineMemory - headerAllotment
		require.Greater(t, capacity.HeaderBytes, int64(header)*clients/2, fmt.Sprint(memory))
	}
}

// TestServersFitTheProcess guards against servers of a router that are within their bounds and together over those of
// their process.
func TestServersFitTheProcess(t *testing.T) {
	for _, memory := range []int64{16 << 20, 64 << 20, 184 << 20, 284 << 20, 4 << 30, 0} {
		for _, descriptors := range []int{1000, 4100, 1 << 20} {
			process := Process{MemoryLimit: memory, DescriptorLimit: descriptors}
			var conns int
			var held int64
			for _, capacity := range []Capacity{process.Clients(), process.Peers(), process.Probes()} {
				conns += capacity.Conns
				unfinished := cmp.Or(capacity.Unfinished, capacity.Conns)
				held += int64(unfinished)*connMemory + capacity.HeaderBytes + int64(capacity.Queued)*queuedConnMemory
			}
			require.Positive(t, process.Probes().Unfinished, "%+v", process)
			require.Positive(t, process.Probes().Queued, "%+v", process)
			const bodies, largeMessages = 1.0 / 4, 1.0 / 16
			total := float64(cmp.Or(memory, DefaultMemory))
			require.LessOrEqual(t, float64(held), total*(7.0/8-bodies-largeMessages), "%+v", process)
			require.LessOrEqual(t, conns, (descriptors-reservedDescriptors)*2/3, "%+v", process)
		}
	}
}
