package upstream

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A host that did not run while it opened a connection took the endpoint for unreachable.
func TestDialOfHostThatStandsStill(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	control, isFirst := dialer.Control, true
	defer func() { dialer.Control = control }()
	dialer.Control = func(network, address string, raw syscall.RawConn) error {
		if isFirst {
			isFirst = false
			time.Sleep(dialTimeout + time.Second)
		}
		return control(network, address, raw)
	}
	conn, err := Dial(context.Background(), "tcp4", listener.Addr().String())
	assert.NilError(t, err)
	assert.NilError(t, conn.Close())
}
