package soak

import (
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// While a proxy finds out which connections to cut off, it forwards on the others. It did
// not, and requests reached endpoints seconds after their hosts had sent them.
func TestCutOffHoldsUpNoOtherConnection(t *testing.T) {
	proxy := newEchoProxy(t)
	conn := dial(t, proxy)
	_, err := conn.Write([]byte("a"))
	assert.NilError(t, err)
	assert.Assert(t, isEchoed(t, conn, time.Second))
	checking, checked := make(chan struct{}), make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		proxy.CutOff(func(net.Conn) bool {
			close(checking)
			<-checked
			return false
		})
	}()
	<-checking
	_, err = conn.Write([]byte("b"))
	assert.NilError(t, err)
	assert.Assert(t, isEchoed(t, conn, time.Second))
	close(checked)
	<-done
}

// A process is known by both addresses of its connection. Another connection with the same
// port, towards another address, was taken for it.
func TestSocketsOfAProcess(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	client, err := net.Dial("tcp4", listener.Addr().String())
	assert.NilError(t, err)
	defer client.Close()
	accepted, err := listener.Accept()
	assert.NilError(t, err)
	defer accepted.Close()

	found, err := hasClientSocket(os.Getpid(), accepted)
	assert.NilError(t, err)
	assert.Assert(t, found)
	found, err = hasClientSocket(os.Getppid(), accepted)
	assert.NilError(t, err)
	assert.Assert(t, !found)
	local, remote := client.LocalAddr().(*net.TCPAddr), client.RemoteAddr().(*net.TCPAddr)
	inode, err := socketInode(local, remote)
	assert.NilError(t, err)
	assert.Assert(t, inode != 0)
	inode, err = socketInode(local, &net.TCPAddr{IP: remote.IP, Port: remote.Port + 1})
	assert.NilError(t, err)
	assert.Assert(t, inode == 0)
}
