// Connecting to peers. A SYN packet to a machine that is not up yet is lost, and the operating
// system retransmits it only after a second. While no attempt has finished, dial therefore
// starts further attempts in parallel, and uses the result of the first one that finishes.

package rpc

import (
	"context"
	"net"
	"time"

	"keelstair.example/host"
)

const (
	redialInterval = 200 * time.Millisecond
	dialTimeout    = time.Second
)

// dial opens a connection and starts another parallel attempt every redialInterval. The first
// attempt to finish decides the result, even if it fails.
func dial(ctx context.Context, n host.Net, addr string) (net.Conn, error) {
	ctx, stop := context.WithTimeout(ctx, dialTimeout)
	defer stop()
	type outcome struct {
		conn net.Conn
		err  error
	}
	outcomes := make(chan outcome)
	attempt := func() {
		conn, err := n.Dial(ctx, addr)
		select {
		case outcomes <- outcome{conn, err}:
		case <-ctx.Done():
			if err == nil {
				conn.Close()
			}
		}
	}
	go attempt()
	redial := host.NewTicker(redialInterval)
	defer redial.Stop()
	for {
		select {
		case first := <-outcomes:
			return first.conn, first.err
		case <-redial.C:
			go attempt()
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
		}
	}
}
