// Connecting to peers. An opening packet that meets a machine which is not up yet is lost,
// and the system sends it again only after a second; so a connection that does not come up
// soon is tried once more beside the first, and whichever is up first is used.

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

// dial opens a connection, trying once more every while beside what is under way.
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
	again := host.NewTicker(redialInterval)
	defer again.Stop()
	for {
		select {
		case first := <-outcomes:
			return first.conn, first.err
		case <-again.C:
			go attempt()
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
		}
	}
}
