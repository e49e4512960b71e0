// Package cli contains code that the programs share: signal handling, servers, logging, and the requests of
// the operators' programs.
package cli

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"keelstair.example/host"
	"keelstair.example/internal/connguard"
	"keelstair.example/logging"
	"keelstair.example/rpc"
)

// SignalContext returns a context that ends on SIGTERM or an interrupt.
func SignalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}

// unreadAnswerTimeout is how long a caller may leave an answer unread.
const unreadAnswerTimeout = 20 * time.Second

// Leaver hands over its roles to other processes before it shuts down.
type Leaver interface {
	Leave(ctx context.Context) error
}

// requestDrainTimeout limits how long a process that shuts down waits for the requests in progress at its gate.
const requestDrainTimeout = time.Second

// ShutdownContext returns the context for a process that hands over its roles before it shuts down. When shutdown
// ends, it calls Leave with the given timeout, unless leaver is nil, and then closes the gate. The
// returned context ends after both.
func ShutdownContext(shutdown context.Context, leaver Leaver, timeout time.Duration, gate *RequestGate) context.Context {
	ctx, end := context.WithCancel(context.Background())
	go func() {
		defer end()
		<-shutdown.Done()
		if leaver != nil {
			leave(leaver, timeout)
		}
		drainCtx, stop := context.WithTimeout(context.Background(), requestDrainTimeout)
		defer stop()
		gate.Close(drainCtx)
	}()
	return ctx
}

// leave hands over the roles. The process shuts down even if that fails; Leave logs its error.
func leave(leaver Leaver, timeout time.Duration) {
	ctx, stop := context.WithTimeout(context.Background(), timeout)
	defer stop()
	leaver.Leave(ctx)
}

// ExitOnError prints an error on one line and exits with code 1. It does nothing if err is nil.
func ExitOnError(program string, err error) {
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
		os.Exit(1)
	}
}

// Servers are the HTTP servers of a process.
type Servers struct {
	host    host.Host
	fail    func(error)
	running sync.WaitGroup
}

// NewServers returns servers on a host, which pass their errors to fail.
func NewServers(host host.Host, fail func(error)) *Servers { return &Servers{host: host, fail: fail} }

// Serve listens on addr and serves requests in the background until the context ends. The capacity bounds its
// connections.
func (s *Servers) Serve(ctx context.Context, addr string, handler http.Handler, capacity connguard.Capacity) {
	listener, err := s.host.Net.Listen(addr)
	if err != nil {
		s.fail(err)
		return
	}
	guard := connguard.New(connguard.Limits{Write: unreadAnswerTimeout}, capacity)
	s.running.Go(func() {
		if err := rpc.Serve(ctx, guard.Listener(listener), handler); err != nil {
			s.fail(err)
		}
	})
}

// Wait returns when all servers have ended and their last responses are sent.
func (s *Servers) Wait() { s.running.Wait() }

// NewRing returns the program's logger. It keeps the newest 512 lines in memory and writes them to
// standard error when an error is logged. Warnings are written immediately.
func NewRing(name string) *logging.Ring { return logging.NewRing(512, os.Stderr, name) }
