// Connecting to peers. An opening packet that meets a machine which is not up yet is lost,
// and the system sends it again only after a second; so a connection that does not come up
// soon is tried once more beside the first, and whichever is up first is used.

package rpc

import (
	"context"
	"net"
	"time"

	"keelstair.example/seam"
)

const redial = 200 * time.Millisecond

func dial(ctx context.Context, n seam.Net, addr string) (net.Conn, error) {
	ctx, stop := context.WithTimeout(ctx, time.Second)
	defer stop()
	type end struct {
		conn net.Conn
		err  error
	}
	ends := make(chan end)
	try := func() {
		c, err := n.Dial(ctx, addr)
		select {
		case ends <- end{c, err}:
		case <-ctx.Done():
			if err == nil {
				c.Close()
			}
		}
	}
	go try()
	again := time.NewTicker(redial)
	defer again.Stop()
	for {
		select {
		case e := <-ends:
			return e.conn, e.err
		case <-again.C:
			go try()
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
		}
	}
}
