package host

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// SetReceiveBuffer sets the size in bytes of the receive buffer of a connection, or of each connection that a listener
// accepts from now on. The kernel may double it. Connections and listeners without such a buffer, as of a simulated
// host, stay as they are.
func SetReceiveBuffer(connOrListener any, size int) error {
	return controlSocket(connOrListener, func(descriptor int) error {
		return unix.SetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_RCVBUF, size)
	})
}

// SetAcceptQueue sets how many connections the kernel keeps for a listener that have not been accepted. Clients whose
// connections find no room try again. A listener without such a queue, as of a simulated host, stays as it is.
func SetAcceptQueue(listener net.Listener, conns int) error {
	return controlSocket(listener, func(descriptor int) error { return unix.Listen(descriptor, conns) })
}

// controlSocket calls control with the descriptor of a connection or listener that has one.
func controlSocket(connOrListener any, control func(descriptor int) error) error {
	socket, ok := connOrListener.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var controlErr error
	if err := raw.Control(func(descriptor uintptr) { controlErr = control(int(descriptor)) }); err != nil {
		return err
	}
	return controlErr
}
