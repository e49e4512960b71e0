// Package rpc carries messages between keelstair's own processes: connect-go
// over HTTP/1.1 with a msgp codec. Handle puts a function behind a name, Call
// asks it of an address. An error keeps its kind across the wire and gains the
// step and the peer.
package rpc

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/tinylib/msgp/msgp"

	"keelstair.example/failure"
	"keelstair.example/host"
)

// codec is connect's codec for msgp messages.
type codec struct{}

func (codec) Name() string { return "msgp" }

func (codec) Marshal(message any) ([]byte, error) {
	m, ok := message.(msgp.Marshaler)
	if !ok {
		return nil, fmt.Errorf("%T is no msgp message", message)
	}
	return m.MarshalMsg(nil)
}

// Unmarshal reads one message. Bytes behind it mean that it was spoilt.
func (codec) Unmarshal(text []byte, message any) error {
	m, ok := message.(msgp.Unmarshaler)
	if !ok {
		return fmt.Errorf("%T is no msgp message", message)
	}
	rest, err := m.UnmarshalMsg(text)
	if err != nil {
		return err
	}
	if len(rest) > 0 {
		return fmt.Errorf("%d bytes stand behind the message", len(rest))
	}
	return nil
}

const (
	maxBody      = 64 << 20
	compressFrom = 1024 // bytes; shorter answers go as they are

	defaultTimeout = time.Second // for an answer, where the context has no deadline
	headerTimeout  = 5 * time.Second
	drainInterval  = 50 * time.Millisecond
)

// codes carry the kinds of errors across the wire.
var codes = map[failure.Kind]connect.Code{
	failure.NotExecuted:     connect.CodeResourceExhausted,
	failure.Stale:           connect.CodeAborted,
	failure.DataLost:        connect.CodeDataLoss,
	failure.InvalidArgument: connect.CodeInvalidArgument,
	failure.Unavailable:     connect.CodeFailedPrecondition,
	failure.OutcomeUnknown:  connect.CodeUnknown,
}

// Handle serves f under a name such as "coordination/append".
func Handle[Q, A any](mux *http.ServeMux, name string, f func(context.Context, *Q) (*A, error)) {
	h := connect.NewUnaryHandler(
		"/"+name,
		func(ctx context.Context, q *connect.Request[Q]) (*connect.Response[A], error) {
			a, err := f(ctx, q.Msg)
			if err != nil {
				return nil, connect.NewError(codes[failure.KindOf(err)], err)
			}
			return connect.NewResponse(a), nil
		},
		connect.WithCodec(codec{}),
		connect.WithReadMaxBytes(maxBody),
		connect.WithCompressMinBytes(compressFrom),
	)
	mux.Handle("/"+name, echoCallID(h))
}

// Caller asks other processes; it keeps connections and typed clients. Each call is sent
// once: nothing repeats it where any part of it may have arrived.
type Caller struct {
	httpClient *http.Client
	clients    sync.Map
}

// NewCaller makes a caller over the host's network.
func NewCaller(n host.Net) *Caller {
	base := newTransport(func(ctx context.Context, _, addr string) (net.Conn, error) {
		conn, err := dial(ctx, n, addr)
		if err != nil {
			return nil, err
		}
		return &callConn{Conn: conn}, nil
	})
	return &Caller{httpClient: &http.Client{Transport: &idTransport{base}, CheckRedirect: noRedirect}}
}

// noRedirect keeps a client from sending a call to another address by itself.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// NewHTTPClient is an HTTP client over the host's network.
func NewHTTPClient(n host.Net) *http.Client {
	return &http.Client{Transport: newTransport(func(ctx context.Context, _, addr string) (net.Conn, error) {
		return dial(ctx, n, addr)
	})}
}

const (
	maxIdlePerHost = 64
	idleTimeout    = 20 * time.Second
)

func newTransport(dial func(ctx context.Context, network, addr string) (net.Conn, error)) *http.Transport {
	return &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// Close closes the connections on which no call waits.
func (c *Caller) Close() { c.httpClient.CloseIdleConnections() }

// Call asks the process at addr. Without a deadline of the context it waits
// one second.
func Call[Q, A any](ctx context.Context, c *Caller, addr, name string, q *Q) (*A, error) {
	if _, ok := ctx.Deadline(); !ok {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, defaultTimeout)
		defer stop()
	}
	return callUnary[Q, A](ctx, c, addr, name, q)
}

func callUnary[Q, A any](ctx context.Context, c *Caller, addr, name string, q *Q) (*A, error) {
	if addr == "" {
		return nil, failure.New(failure.NotExecuted, name, "nobody", "no address is known")
	}
	a, err := client[Q, A](c, addr, name).CallUnary(ctx, connect.NewRequest(q))
	if err != nil {
		return nil, failure.As(err, kindOf(err), name, addr)
	}
	return a.Msg, nil
}

// client gives the typed client of a name at an address.
func client[Q, A any](c *Caller, addr, name string) *connect.Client[Q, A] {
	key := addr + "/" + name
	got, ok := c.clients.Load(key)
	if !ok {
		got, _ = c.clients.LoadOrStore(key, connect.NewClient[Q, A](c.httpClient, "http://"+key,
			connect.WithCodec(codec{}), connect.WithReadMaxBytes(maxBody)))
	}
	return got.(*connect.Client[Q, A])
}

// kindOf is what an error promises: a kind that the other process gave, Bounced where the
// call never left, else Unknown.
func kindOf(err error) failure.Kind {
	if IsDialError(err) {
		return failure.NotExecuted
	}
	var remote *connect.Error
	if !errors.As(err, &remote) || !connect.IsWireError(err) {
		return failure.OutcomeUnknown
	}
	for kind, code := range codes {
		if code == remote.Code() {
			return kind
		}
	}
	return failure.OutcomeUnknown
}

// IsDialError tells that an asking never left, since nobody could be reached.
func IsDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Serve answers on a listener until the context ends.
func Serve(ctx context.Context, l net.Listener, h http.Handler) error {
	srv := &http.Server{Handler: echoCallID(h), ReadHeaderTimeout: headerTimeout}
	end := context.AfterFunc(ctx, func() { srv.Close() })
	defer end()
	err := srv.Serve(l)
	if ctx.Err() != nil || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return failure.Wrap(err, "serve", l.Addr().String())
}

// Drain closes a server's listeners and idle connections and waits until all others were
// answered. It looks twice, since a connection that was just let in is not known at first.
func Drain(ctx context.Context, s *http.Server) error {
	err := s.Shutdown(ctx)
	if err == nil && host.Sleep(ctx, drainInterval) {
		err = s.Shutdown(ctx)
	}
	return err
}
