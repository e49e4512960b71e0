package workerclient

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"keelstair.example/failure"
	"keelstair.example/ids"
)

// loopback is a host.Net on the TCP loopback interface.
type loopback struct{}

func (loopback) Dial(ctx context.Context, addr string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
}

func (loopback) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

// unresponsiveWorker starts a server that responds to the first request on each connection. It reads the second
// request completely, counts it and closes the connection without a response.
func unresponsiveWorker(t *testing.T) (addr string, unanswered *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	unanswered = new(atomic.Int64)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveOnce(conn, unanswered)
		}
	}()
	return listener.Addr().String(), unanswered
}

func serveOnce(conn net.Conn, unanswered *atomic.Int64) {
	defer conn.Close()
	requests := bufio.NewReader(conn)
	for n := 0; n < 2; n++ {
		request, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		io.Copy(io.Discard, request.Body)
		if n > 0 {
			unanswered.Add(1)
			return
		}
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}")
	}
}

// TestOrderNotRepeated checks that an order that was written but got no response is not sent again, even on a
// reused connection, and is reported as possibly executed.
func TestOrderNotRepeated(t *testing.T) {
	addr, unanswered := unresponsiveWorker(t)
	c := New(loopback{})
	defer c.Close()
	ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
	defer stop()
	if _, err := c.SetRole(ctx, addr, &RoleRequest{Role: ids.Decode}); err != nil {
		t.Fatal(err)
	}
	_, err := c.SetRole(ctx, addr, &RoleRequest{Role: ids.Decode})
	if !failure.Is(err, failure.OutcomeUnknown) {
		t.Errorf("kind %s of %v, not unknown", failure.KindOf(err), err)
	}
	if n := unanswered.Load(); n != 1 {
		t.Errorf("the order without a response was sent %d times on a reused connection", n)
	}
}

// TestOrderNotExecutedWithoutConnection checks that an order for which no connection could be established is
// reported as not executed.
func TestOrderNotExecutedWithoutConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	listener.Close()
	c := New(loopback{})
	defer c.Close()
	if _, err := c.SetRole(context.Background(), addr, &RoleRequest{}); !failure.Is(err, failure.NotExecuted) {
		t.Errorf("kind %s of %v, not bounced", failure.KindOf(err), err)
	}
	if _, err := c.Cancel(context.Background(), addr, &IDRequest{}); !failure.Is(err, failure.DataLost) {
		t.Errorf("kind %s of %v, not lost", failure.KindOf(err), err)
	}
}

// TestStreamOfLostWorkerIsNotComplete guards against a stream that seems complete at a killed worker's FIN.
func TestStreamOfLostWorkerIsNotComplete(t *testing.T) {
	for _, body := range []string{"", "{\"index\":0,\"token\":5}\n", "{\"index\":0,\"token\":5}\n{\"index\":1,\"tok"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"+body)
			}
		}()
		c := New(loopback{})
		err = c.Stream(t.Context(), listener.Addr().String(), ID{Request: "r", Attempt: 1}, 0, time.Second,
			func(TokenEvent) error { return nil })
		if !failure.Is(err, failure.DataLost) {
			t.Errorf("kind %s of %v after %q, not lost", failure.KindOf(err), err, body)
		}
		c.Close()
		listener.Close()
	}
}
