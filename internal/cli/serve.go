// Package cli contains code that the programs share: signal handling, servers, logging, and the requests of
// the operators' programs.
package cli

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"keelstair.example/host"
	"keelstair.example/logging"
	"keelstair.example/rpc"
)

// SignalContext returns a context that ends on SIGTERM or an interrupt.
func SignalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}

// Leaver hands over its roles to other processes before it shuts down.
type Leaver interface {
	Leave(ctx context.Context) error
}

// ShutdownContext returns the context for a process that hands over its roles before it shuts down. It
// calls Leave when shutdown ends, and the returned context ends when Leave returns. Leave's context has
// the given timeout.
func ShutdownContext(shutdown context.Context, leaver Leaver, timeout time.Duration) context.Context {
	ctx, end := context.WithCancel(context.Background())
	go func() {
		defer end()
		<-shutdown.Done()
		leaveCtx, stop := context.WithTimeout(context.Background(), timeout)
		defer stop()
		leaver.Leave(leaveCtx) // Leave logs its error; the process shuts down regardless
	}()
	return ctx
}

// ExitOnError prints an error on one line and exits with code 1. It does nothing if err is nil.
func ExitOnError(program string, err error) {
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
		os.Exit(1)
	}
}

// Serve listens on addr and serves requests in the background until the context ends. It passes errors
// to fail.
func Serve(ctx context.Context, host host.Host, addr string, mux *http.ServeMux, fail func(error)) {
	listener, err := host.Net.Listen(addr)
	if err != nil {
		fail(err)
		return
	}
	go func() {
		if err := rpc.Serve(ctx, listener, mux); err != nil {
			fail(err)
		}
	}()
}

// NewRing returns the program's logger. It keeps the newest 512 lines in memory and writes them to
// standard error when an error is logged. Warnings are written immediately.
func NewRing(name string) *logging.Ring { return logging.NewRing(512, os.Stderr, name) }
