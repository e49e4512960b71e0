// Package rpc implements remote procedure calls between keelstair processes with
// connect-go over HTTP/1.1 and a msgp codec. Handle registers a function under a
// method name; Call calls it on the process at an address. An error that the
// remote process returns keeps its kind; the method name and the remote address are
// added to it.
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
		return nil, fmt.Errorf("%T is not a msgp message", message)
	}
	return m.MarshalMsg(nil)
}

// Unmarshal decodes one message. Trailing bytes mean that the message is corrupt.
func (codec) Unmarshal(data []byte, message any) error {
	m, ok := message.(msgp.Unmarshaler)
	if !ok {
		return fmt.Errorf("%T is not a msgp message", message)
	}
	rest, err := m.UnmarshalMsg(data)
	if err != nil {
		return err
	}
	if len(rest) > 0 {
		return fmt.Errorf("%d trailing bytes after the message", len(rest))
	}
	return nil
}

// MaxMessageBytes is the largest size of a message.
const MaxMessageBytes = 64 << 20

const (
	minCompressBytes = 1024 // shorter responses are sent uncompressed

	defaultTimeout  = time.Second // of a call whose context has no deadline
	headerTimeout   = 5 * time.Second
	shutdownTimeout = 100 * time.Millisecond // for the responses to requests in progress when a server ends
	drainInterval   = 50 * time.Millisecond
)

// connectCodes maps the kinds of errors to the codes that represent them on the wire.
var connectCodes = map[failure.Kind]connect.Code{
	failure.NotExecuted:     connect.CodeResourceExhausted,
	failure.Stale:           connect.CodeAborted,
	failure.DataLost:        connect.CodeDataLoss,
	failure.InvalidArgument: connect.CodeInvalidArgument,
	failure.Unavailable:     connect.CodeFailedPrecondition,
	failure.OutcomeUnknown:  connect.CodeUnknown,
}

// Handle registers f with mux under a method name such as "coordination/append".
func Handle[Req, Resp any](mux *http.ServeMux, name string, f func(context.Context, *Req) (*Resp, error)) {
	handler := connect.NewUnaryHandler(
		"/"+name,
		func(ctx context.Context, request *connect.Request[Req]) (*connect.Response[Resp], error) {
			response, err := f(ctx, request.Msg)
			if err != nil {
				return nil, connect.NewError(connectCodes[failure.KindOf(err)], err)
			}
			return connect.NewResponse(response), nil
		},
		connect.WithCodec(codec{}),
		connect.WithReadMaxBytes(MaxMessageBytes),
		connect.WithCompressMinBytes(minCompressBytes),
	)
	mux.Handle("/"+name, echoCallID(handler))
}

// Caller makes calls to other processes and caches connections and typed clients. It sends
// each call once: a call of which any part may have arrived is never retried.
type Caller struct {
	httpClient *http.Client
	clients    sync.Map
}

// NewCaller returns a Caller that uses the network n.
func NewCaller(n host.Net) *Caller {
	base := newTransport(func(ctx context.Context, _, addr string) (net.Conn, error) {
		conn, err := dial(ctx, n, addr)
		if err != nil {
			return nil, err
		}
		return &callConn{Conn: conn}, nil
	})
	return &Caller{httpClient: &http.Client{Transport: &callIDTransport{base}, CheckRedirect: noRedirect}}
}

// noRedirect prevents an HTTP client from following a redirect to another address.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// NewHTTPClient returns an HTTP client that uses the network n.
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

// Close closes the connections that carry no call.
func (c *Caller) Close() { c.httpClient.CloseIdleConnections() }

// Call calls the named method of the process at addr. If ctx has no deadline, the
// call times out after defaultTimeout, which is one second.
func Call[Req, Resp any](ctx context.Context, c *Caller, addr, name string, request *Req) (*Resp, error) {
	if _, ok := ctx.Deadline(); !ok {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, defaultTimeout)
		defer stop()
	}
	return callUnary[Req, Resp](ctx, c, addr, name, request)
}

func callUnary[Req, Resp any](ctx context.Context, c *Caller, addr, name string, request *Req) (*Resp, error) {
	if addr == "" {
		return nil, failure.New(failure.NotExecuted, name, "nobody", "no address is known")
	}
	response, err := client[Req, Resp](c, addr, name).CallUnary(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, failure.As(err, kindOf(err), name, addr)
	}
	return response.Msg, nil
}

// client returns the cached typed client for a method at an address.
func client[Req, Resp any](c *Caller, addr, name string) *connect.Client[Req, Resp] {
	key := addr + "/" + name
	cached, ok := c.clients.Load(key)
	if !ok {
		cached, _ = c.clients.LoadOrStore(key, connect.NewClient[Req, Resp](c.httpClient, "http://"+key,
			connect.WithCodec(codec{}), connect.WithReadMaxBytes(MaxMessageBytes)))
	}
	return cached.(*connect.Client[Req, Resp])
}

// kindOf returns the kind of a call error: the kind that the other process returned,
// NotExecuted if no connection could be opened, else OutcomeUnknown.
func kindOf(err error) failure.Kind {
	if IsDialError(err) {
		return failure.NotExecuted
	}
	var remote *connect.Error
	if !errors.As(err, &remote) || !connect.IsWireError(err) {
		return failure.OutcomeUnknown
	}
	for kind, code := range connectCodes {
		if code == remote.Code() {
			return kind
		}
	}
	return failure.OutcomeUnknown
}

// IsDialError reports whether err means that no connection could be opened, so that no request
// was sent.
func IsDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// ServerListener is a listener that observes the connections of its server, for example to bound them.
type ServerListener interface {
	net.Listener
	// Configure changes a server before it serves the connections of the listener.
	Configure(server *http.Server)
}

// Serve serves HTTP requests on l, which may be a ServerListener, until ctx is done. The contexts of requests end with
// ctx. Serve returns when the responses to the requests in progress are sent, shutdownTimeout after the end of ctx at the
// latest.
func Serve(ctx context.Context, l net.Listener, handler http.Handler) error {
	srv := &http.Server{
		Handler:           echoCallID(handler),
		ReadHeaderTimeout: headerTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	if observer, ok := l.(ServerListener); ok {
		observer.Configure(srv)
	}
	ended := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(ended)
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		srv.Shutdown(shutdownCtx)
		srv.Close()
	})
	err := srv.Serve(l)
	if !stop() {
		<-ended
		return nil
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return failure.Wrap(err, "serve", l.Addr().String())
}

// Drain closes the listeners and idle connections of a server and waits until all requests have
// been answered. It calls Shutdown twice, because the first call can miss a connection that was
// only just accepted.
func Drain(ctx context.Context, s *http.Server) error {
	err := s.Shutdown(ctx)
	if err == nil && host.Sleep(ctx, drainInterval) {
		err = s.Shutdown(ctx)
	}
	return err
}
