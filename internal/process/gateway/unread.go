package gateway

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// hasUnread reports whether the caller has sent data that is still in the connection's
// receive buffer.
func hasUnread(conn net.Conn) bool {
	return checkSocket(conn, func(fd int) bool {
		var one [1]byte
		n, _, err := unix.Recvfrom(fd, one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return err == nil && n > 0
	})
}

// hasWaitingConn reports whether a connection to the listener is still to be accepted.
func hasWaitingConn(listener net.Listener) bool {
	return checkSocket(listener, func(fd int) bool {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		return err == nil && n > 0
	})
}

// checkSocket returns the result of check, or false if the socket is closed.
func checkSocket(socket any, check func(fd int) bool) bool {
	opened, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := opened.SyscallConn()
	if err != nil {
		return false
	}
	result := false
	if err := raw.Control(func(fd uintptr) { result = check(int(fd)) }); err != nil {
		return false
	}
	return result
}
