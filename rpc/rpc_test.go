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

// textMessage is a message of the tests.
type textMessage struct{ Text string }

func (n *textMessage) MarshalMsg(b []byte) ([]byte, error) { return msgp.AppendString(b, n.Text), nil }

func (n *textMessage) UnmarshalMsg(b []byte) (rest []byte, err error) {
	n.Text, rest, err = msgp.ReadStringBytes(b)
	return rest, err
}

// loopback is the machine's own network. While torn is set, nothing can be written on the
// connections that it has made.
type loopback struct{ failWrites *atomic.Bool }

func (loopback) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

func (l loopback) Dial(ctx context.Context, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &failingConn{Conn: conn, failWrites: l.failWrites}, nil
}

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

// receivedCall is one call as the other process got it.
type receivedCall struct {
	text   string
	id     string
	conn   int
	header http.Header
}

// fakeServer is a process that speaks HTTP by hand, so that it can also speak it wrongly.
type fakeServer struct {
	addr           string
	mu             sync.Mutex
	received       []receivedCall
	behaviors      map[string]func(p *serverConn, a receivedCall) bool // by the call's text
	earlyResponder func(p *serverConn, q *http.Request) bool           // answers before the body is read
	omitCallIDs    bool                                                // it echoes no ids, as the release before
}

// serverConn is one connection to it.
type serverConn struct {
	*fakeServer
	conn   net.Conn
	reader *bufio.Reader
	number int
}

func startFakeServer(t *testing.T) *fakeServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	o := &fakeServer{addr: l.Addr().String(), behaviors: map[string]func(*serverConn, receivedCall) bool{}}
	t.Cleanup(func() { l.Close() })
	go func() {
		for no := 0; ; no++ {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go (&serverConn{o, conn, bufio.NewReader(conn), no}).serve()
		}
	}()
	return o
}

func (p *serverConn) serve() {
	defer p.conn.Close()
	for {
		q, err := http.ReadRequest(p.reader)
		if err != nil {
			return
		}
		p.mu.Lock()
		early := p.earlyResponder
		p.earlyResponder = nil
		p.mu.Unlock()
		if early != nil {
			if !early(p, q) {
				return
			}
			continue
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		text, _, _ := msgp.ReadStringBytes(body)
		a := receivedCall{text, q.Header.Get(callIDHeader), p.number, q.Header}
		p.mu.Lock()
		p.received = append(p.received, a)
		fault := p.behaviors[text]
		p.mu.Unlock()
		if fault == nil {
			fault = respond
		}
		if !fault(p, a) {
			return
		}
	}
}

// callsWithText lists the arrivals of a call.
func (o *fakeServer) callsWithText(text string) []receivedCall {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []receivedCall
	for _, a := range o.received {
		if a.text == text {
			out = append(out, a)
		}
	}
	return out
}

// response is a whole answer to a call, under an id.
func (o *fakeServer) response(text, id string) string {
	body, _ := (&textMessage{"answer to " + text}).MarshalMsg(nil)
	echo := ""
	if id != "" && !o.omitCallIDs {
		echo = callIDHeader + ": " + id + "\r\n"
	}
	return fmt.Sprintf(
		"HTTP/1.1 200 OK\r\nContent-Type: application/msgp\r\n%sContent-Length: %d\r\n\r\n%s",
		echo,
		len(body),
		body,
	)
}

func (p *serverConn) write(text string) { io.WriteString(p.conn, text) }

func (p *serverConn) reset() bool {
	p.conn.(*net.TCPConn).SetLinger(0)
	p.conn.Close()
	return false
}

// What an other process may do with a call; each tells whether the connection goes on.

func respond(p *serverConn, a receivedCall) bool {
	p.write(p.response(a.text, a.id))
	return true
}

func resetConnection(p *serverConn, _ receivedCall) bool { return p.reset() }

func closeConnection(*serverConn, receivedCall) bool { return false }

func neverRespond(p *serverConn, _ receivedCall) bool {
	io.Copy(io.Discard, p.reader)
	return false
}

func truncateHeader(p *serverConn, a receivedCall) bool {
	p.write(p.response(a.text, a.id)[:40])
	return false
}

func truncateBody(p *serverConn, a receivedCall) bool {
	complete := p.response(a.text, a.id)
	p.write(complete[:len(complete)-5])
	return false
}

func truncateBodyAndReset(p *serverConn, a receivedCall) bool {
	complete := p.response(a.text, a.id)
	p.write(complete[:len(complete)-5])
	time.Sleep(20 * time.Millisecond)
	return p.reset()
}

func sendGarbage(p *serverConn, _ receivedCall) bool {
	p.write("\x16\x03\x01 what is this\r\n\r\n")
	return false
}

// sendOtherResponseFirst sends another call's answer in the place of this one's, and then this one's.
func sendOtherResponseFirst(p *serverConn, a receivedCall) bool {
	p.write(p.response("another", "00000000deadbeef") + p.response(a.text, a.id))
	return true
}

// sendResponseWithoutID sends an answer that bears no id.
func sendResponseWithoutID(p *serverConn, a receivedCall) bool {
	p.write(p.response("another", "") + p.response(a.text, a.id))
	return true
}

// sendOtherRefusalFirst sends the refusal of another call in the place of the answer.
func sendOtherRefusalFirst(p *serverConn, a receivedCall) bool {
	body := `{"code":"resource_exhausted","message":"not done"}`
	p.write(fmt.Sprintf(
		"HTTP/1.1 429 Too Many Requests\r\nContent-Type: application/json\r\n%s: 00000000deadbeef\r\nContent-Length: %d\r\n\r\n%s",
		callIDHeader,
		len(body),
		body,
	))
	return respond(p, a)
}

// sendOtherEmptyRefusal sends the refusal of another call, which has no body, and nothing behind it.
func sendOtherEmptyRefusal(p *serverConn, _ receivedCall) bool {
	p.write("HTTP/1.1 503 Service Unavailable\r\n" + callIDHeader + ": 00000000deadbeef\r\nContent-Length: 0\r\n\r\n")
	return true
}

// redirect answers that the call is to be sent to another place.
func redirect(p *serverConn, a receivedCall) bool {
	p.write("HTTP/1.1 307 Temporary Redirect\r\nLocation: http://" + p.addr + "/elsewhere\r\n" + callIDHeader + ": " +
		a.id + "\r\nContent-Length: 0\r\n\r\n")
	return true
}

// Bounds of calls in tests: short where no answer is to come, long where one is.
const (
	unansweredTimeout = 300 * time.Millisecond
	answeredTimeout   = 30 * time.Second
)

// call makes a call that may get no answer.
func call(c *Caller, addr, text string) (string, error) {
	return callWithin(c, addr, text, unansweredTimeout)
}

// mustCall makes a call that has to be answered, however slow the machine is.
func mustCall(t *testing.T, c *Caller, addr, text string) string {
	got, err := callWithin(c, addr, text, answeredTimeout)
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

// TestCallOnce: whatever becomes of a call, it arrives once at most, its error says that it
// may have been done, its connection is not used again, and the calls after it have their
// own answers.
func TestCallOnce(t *testing.T) {
	for name, fault := range map[string]func(*serverConn, receivedCall) bool{
		"reset":   resetConnection,
		"closed":  closeConnection,
		"silence": neverRespond, "half a head": truncateHeader, "half a body": truncateBody, "half a body, reset": truncateBodyAndReset,
		"garbage":                 sendGarbage,
		"another's answer":        sendOtherResponseFirst,
		"an answer without an id": sendResponseWithoutID,
		"another's refusal":       sendOtherRefusalFirst, "another's empty refusal": sendOtherEmptyRefusal, "redirect": redirect,
	} {
		for _, used := range []bool{true, false} {
			if name == "an answer without an id" && !used {
				continue // TestOlderRelease
			}
			t.Run(fmt.Sprint(name, " ", used), func(t *testing.T) {
				o := startFakeServer(t)
				c := NewCaller(loopback{new(atomic.Bool)})
				defer c.Close()
				if used {
					got := mustCall(t, c, o.addr, "before")
					require.Equal(t, "answer to before", got)
				}
				o.behaviors["this"] = fault
				_, err := call(c, o.addr, "this")
				require.True(t, failure.Is(err, failure.OutcomeUnknown), "%v", err)
				for i := range 3 {
					text := fmt.Sprint("after", i)
					got := mustCall(t, c, o.addr, text)
					require.Equal(t, "answer to "+text, got)
					if name != "redirect" {
						require.NotEqual(t, o.callsWithText("this")[0].conn, o.callsWithText(text)[0].conn)
					}
				}
				require.Len(t, o.callsWithText("this"), 1)
				if used {
					require.Equal(t, o.callsWithText("before")[0].conn, o.callsWithText("this")[0].conn, "the connection was used before")
				}
			})
		}
	}
}

// TestAnsweredTwice: a second answer to a call, which comes as the next call is under way, is
// not that one's: it ends as one that may have been done, and the calls after it are sound.
func TestAnsweredTwice(t *testing.T) {
	o := startFakeServer(t)
	c := NewCaller(loopback{new(atomic.Bool)})
	defer c.Close()
	mustCall(t, c, o.addr, "first")
	o.behaviors["second"] = func(p *serverConn, a receivedCall) bool {
		p.write(p.response("first", o.callsWithText("first")[0].id))
		return respond(p, a)
	}
	got, err := call(c, o.addr, "second")
	require.True(t, failure.Is(err, failure.OutcomeUnknown), "%q %v", got, err)
	require.Len(t, o.callsWithText("second"), 1)
	got = mustCall(t, c, o.addr, "third")
	require.Equal(t, "answer to third", got)
}

// TestAnsweredTwiceAtOnce: the same with the second answer right behind the first.
func TestAnsweredTwiceAtOnce(t *testing.T) {
	o := startFakeServer(t)
	c := NewCaller(loopback{new(atomic.Bool)})
	defer c.Close()
	o.behaviors["twice"] = func(p *serverConn, a receivedCall) bool {
		p.write(p.response(a.text, a.id) + p.response(a.text, a.id))
		return true
	}
	for i := range 20 {
		got, err := call(c, o.addr, "twice")
		require.True(
			t,
			err == nil && got == "answer to twice" || failure.Is(err, failure.OutcomeUnknown),
			"%q %v",
			got,
			err,
		)
		text := fmt.Sprint("next", i)
		got, err = call(c, o.addr, text)
		require.True(
			t,
			err == nil && got == "answer to "+text || failure.Is(err, failure.OutcomeUnknown),
			"%q %v",
			got,
			err,
		)
		require.LessOrEqual(t, len(o.callsWithText(text)), 1)
	}
}

// TestCallNeverLeft: a connection on which nothing could be written carried nothing, so the
// call may go out on another one; it arrives once.
func TestCallNeverLeft(t *testing.T) {
	torn := new(atomic.Bool)
	o := startFakeServer(t)
	c := NewCaller(loopback{torn})
	defer c.Close()
	mustCall(t, c, o.addr, "before")
	torn.Store(true)
	_, err := call(c, o.addr, "this")
	require.Error(t, err)
	require.Empty(t, o.callsWithText("this"))
	torn.Store(false)
	mustCall(t, c, o.addr, "this")
	require.Len(t, o.callsWithText("this"), 1)
	require.Empty(t, o.callsWithText("this")[0].header.Get("Idempotency-Key"))
}

// TestAnsweredEarly: an answer that comes before a long call is read leaves the rest of its
// place in the connection to that call: no other call's bytes stand there.
func TestAnsweredEarly(t *testing.T) {
	o := startFakeServer(t)
	c := NewCaller(loopback{new(atomic.Bool)})
	defer c.Close()
	rest := make(chan string, 1)
	var begun atomic.Bool
	o.earlyResponder = func(p *serverConn, q *http.Request) bool {
		begun.Store(true)
		p.write(p.response("long", q.Header.Get(callIDHeader)))
		time.Sleep(100 * time.Millisecond)
		p.conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		got, _ := io.ReadAll(p.reader)
		rest <- string(got)
		return false
	}
	long := strings.Repeat("l", 32<<20)
	for range 20 { // on a busy machine a call may be over before any of it was sent
		call(c, o.addr, long)
		if begun.Load() {
			break
		}
	}
	require.True(t, begun.Load(), "the long call reached the peer")
	for i := range 3 {
		got := mustCall(t, c, o.addr, fmt.Sprint("next", i))
		require.Equal(t, fmt.Sprint("answer to next", i), got)
	}
	require.NotContains(t, <-rest, "next")
}

// TestOlderRelease: a process of the release before echoes no ids, and is understood.
func TestOlderRelease(t *testing.T) {
	o := startFakeServer(t)
	o.omitCallIDs = true
	c := NewCaller(loopback{new(atomic.Bool)})
	defer c.Close()
	for i := range 3 {
		text := fmt.Sprint("n", i)
		got := mustCall(t, c, o.addr, text)
		require.Equal(t, "answer to "+text, got)
	}
	require.Equal(t, 0, o.callsWithText("n2")[0].conn, "one connection")
}

// TestEcho: a process echoes the ids of calls, also of those that fail or that it does not
// know, and answers one that bears none.
func TestEcho(t *testing.T) {
	mux := http.NewServeMux()
	Handle(mux, "test/note", func(_ context.Context, q *textMessage) (*textMessage, error) {
		if q.Text == "bad" {
			return nil, failure.New(failure.Stale, "test", "", "stale")
		}
		return &textMessage{"answer to " + q.Text}, nil
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- Serve(ctx, l, mux) }()
	c := NewCaller(loopback{new(atomic.Bool)})
	got := mustCall(t, c, l.Addr().String(), "this")
	require.Equal(t, "answer to this", got)
	_, err = call(c, l.Addr().String(), "bad")
	require.True(t, failure.Is(err, failure.Stale), "%v", err)
	for _, row := range []struct{ path, id string }{
		{"/test/note", "abc"},
		{"/test/note", ""},
		{"/test/unknown", "abc"},
	} {
		body, _ := (&textMessage{"this"}).MarshalMsg(nil)
		q, err := http.NewRequest(
			http.MethodPost, "http://"+l.Addr().String()+row.path, strings.NewReader(string(body)),
		)
		require.NoError(t, err)
		q.Header.Set("Content-Type", "application/msgp")
		if row.id != "" {
			q.Header.Set(callIDHeader, row.id)
		}
		a, err := http.DefaultClient.Do(q)
		require.NoError(t, err)
		a.Body.Close()
		require.Equal(t, row.id, a.Header.Get(callIDHeader))
		require.Equal(t, row.path == "/test/note", a.StatusCode == http.StatusOK)
	}
	c.Close()
	http.DefaultClient.CloseIdleConnections()
	stop()
	require.NoError(t, <-ended)
}

// TestMessageTrailing: bytes behind a message, in a call or in an answer, mean that it was
// spoilt; it is not taken.
func TestMessageTrailing(t *testing.T) {
	spoilt, _ := (&textMessage{"this"}).MarshalMsg(nil)
	require.NoError(t, codec{}.Unmarshal(spoilt, &textMessage{}))
	for _, tail := range []string{"\x00", "this", string(spoilt)} {
		require.Error(t, codec{}.Unmarshal(append(spoilt[:len(spoilt):len(spoilt)], tail...), &textMessage{}), "%q", tail)
	}
	for truncated := range spoilt {
		require.Error(t, codec{}.Unmarshal(spoilt[:truncated], &textMessage{}), "%d bytes", truncated)
	}
}
