// Package cli is what the thin programs share: signals, listeners, the ring.
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

// SignalContext ends the context on SIGTERM or an interrupt.
func SignalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}

// Leaver is what hands over before it ends.
type Leaver interface {
	Leave(ctx context.Context) error
}

// HandOverContext gives a context for a process that is to hand over when it is asked to end. It ends
// once that is done, or a span after the asking.
func HandOverContext(shutdown context.Context, leaver Leaver, timeout time.Duration) context.Context {
	ctx, end := context.WithCancel(context.Background())
	go func() {
		defer end()
		<-shutdown.Done()
		leaveCtx, stop := context.WithTimeout(context.Background(), timeout)
		defer stop()
		leaver.Leave(leaveCtx) // it logs what stood in its way; the process ends all the same
	}()
	return ctx
}

// ExitOnError prints one clear line and ends the process.
func ExitOnError(program string, err error) {
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
		os.Exit(1)
	}
}

// Serve listens and answers in the background until the context ends; fail gets
// what goes wrong.
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

// NewRing is the program's log: it pours to the error output when something goes
// wrong.
func NewRing(name string) *logging.Ring { return logging.NewRing(512, os.Stderr, name) }
