package simulated

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestCloseEndsReadBehindPartition guards against a Read that never returns after Close, because data is held back by a
// partition.
func TestCloseEndsReadBehindPartition(t *testing.T) {
	for _, peerCloses := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			w := NewWorld(1)
			client, server := w.Machine("10.0.0.1").Start(), w.Machine("10.0.0.2").Start()
			listener, err := server.Host().Net.Listen("10.0.0.2:1")
			require.NoError(t, err)
			conn, err := client.Host().Net.Dial(context.Background(), "10.0.0.2:1")
			require.NoError(t, err)
			peer, err := listener.Accept()
			require.NoError(t, err)
			w.Partition([]string{"10.0.0.1"}, []string{"10.0.0.2"}, true)
			_, err = peer.Write([]byte("held back"))
			require.NoError(t, err)
			if peerCloses {
				require.NoError(t, peer.Close())
			}
			ended := make(chan error, 1)
			go func() {
				_, err := conn.Read(make([]byte, 100))
				ended <- err
			}()
			synctest.Wait()
			require.Empty(t, ended)
			require.NoError(t, conn.Close())
			synctest.Wait()
			require.Len(t, ended, 1)
			require.ErrorIs(t, <-ended, net.ErrClosed)
			client.Kill()
			server.Kill()
			time.Sleep(time.Second)
		})
	}
}
