package host

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// SetReceiveBuffer sets the size in bytes of the receive buffer of a connection, or of each connection that a listener
// accepts from now on. The kernel may double it. Connections and listeners without such a buffer, as of a simulated
// host, stay as they are.
func SetReceiveBuffer(connOrListener any, size int) error {
	socket, ok := connOrListener.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var setErr error
	err = raw.Control(func(descriptor uintptr) {
		setErr = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, size)
	})
	if err != nil {
		return err
	}
	return setErr
}
