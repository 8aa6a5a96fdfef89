package soak

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"

	"github.com/rotisserie/eris"
)

// hasClientSocket reports whether a process has the other socket of an accepted loopback
// connection. A port alone does not tell: processes may use the same port towards
// different addresses.
func hasClientSocket(pid int, accepted net.Conn) (bool, error) {
	inode, err := socketInode(accepted.RemoteAddr().(*net.TCPAddr), accepted.LocalAddr().(*net.TCPAddr))
	if err != nil || inode == 0 {
		return false, err
	}
	descriptors, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil {
		return false, eris.Wrap(err, "descriptors")
	}
	name := fmt.Sprintf("socket:[%d]", inode)
	for _, descriptor := range descriptors {
		// A descriptor that was closed meanwhile has no target.
		if target, _ := os.Readlink(descriptor); target == name {
			return true, nil
		}
	}
	return false, nil
}

// Parts of the kernel's interface sock_diag(7).
const (
	sockDiagByFamily = 20
	netlinkSockDiag  = 4
	// diagLength is the length of a request: a netlink header and an inet_diag_req_v2.
	diagLength = syscall.NLMSG_HDRLEN + 56
	// diagInodeAt is the position of the inode in a message with an inet_diag_msg.
	diagInodeAt = syscall.NLMSG_HDRLEN + 68
	// diagNoCookie selects a socket by its addresses only.
	diagNoCookie = ^uint64(0)
)

// socketInode returns the inode of the IPv4 TCP socket with the given addresses, or 0 if
// there is none. The kernel's text table would be slow on a machine with many sockets.
func socketInode(local, remote *net.TCPAddr) (uint32, error) {
	request := binary.NativeEndian.AppendUint32(nil, diagLength)
	request = binary.NativeEndian.AppendUint16(request, sockDiagByFamily)
	request = binary.NativeEndian.AppendUint16(request, syscall.NLM_F_REQUEST)
	request = append(request, make([]byte, 8)...) // sequence number and port
	request = append(request, syscall.AF_INET, syscall.IPPROTO_TCP, 0, 0)
	request = binary.NativeEndian.AppendUint32(request, ^uint32(0)) // all states
	request = binary.BigEndian.AppendUint16(request, uint16(local.Port))
	request = binary.BigEndian.AppendUint16(request, uint16(remote.Port))
	for _, address := range []*net.TCPAddr{local, remote} {
		request = append(append(request, address.IP.To4()...), make([]byte, 12)...)
	}
	request = binary.NativeEndian.AppendUint32(request, 0) // interface
	request = binary.NativeEndian.AppendUint64(request, diagNoCookie)

	fd, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_RAW|syscall.SOCK_CLOEXEC, netlinkSockDiag)
	if err != nil {
		return 0, eris.Wrap(err, "socket for diagnoses")
	}
	defer syscall.Close(fd)
	if err := syscall.Sendto(fd, request, 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return 0, eris.Wrap(err, "ask for a socket")
	}
	buffer := make([]byte, syscall.Getpagesize())
	n, _, err := syscall.Recvfrom(fd, buffer, 0)
	if err != nil {
		return 0, eris.Wrap(err, "read a socket")
	}
	if n < syscall.NLMSG_HDRLEN+4 {
		return 0, eris.Errorf("%d bytes about a socket", n)
	}
	if binary.NativeEndian.Uint16(buffer[4:]) == syscall.NLMSG_ERROR {
		code := syscall.Errno(-int32(binary.NativeEndian.Uint32(buffer[syscall.NLMSG_HDRLEN:])))
		if errors.Is(code, syscall.ENOENT) {
			return 0, nil
		}
		return 0, eris.Wrap(code, "find a socket")
	}
	if n < diagInodeAt+4 {
		return 0, eris.Errorf("%d bytes about a socket", n)
	}
	return binary.NativeEndian.Uint32(buffer[diagInodeAt:]), nil
}
