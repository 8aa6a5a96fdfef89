package gateway

import (
	"net"
	"syscall"
)

// hasUnread reports whether the caller has sent data that is still in the connection's
// receive buffer.
func hasUnread(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false // the connection is closed
	}
	unread := false
	// An error means that the connection is closed.
	_ = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return unread
}
