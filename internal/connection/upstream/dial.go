// Package upstream sends requests to endpoints over pooled connections.
//
// Unlike http.Transport it never retries a request itself, and each error
// tells whether the endpoint may have received the request.
package upstream

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the connection setup. It leaves time for one
	// retransmission of a lost SYN, which is sent after a second.
	dialTimeout = 1500 * time.Millisecond
	// kernelTimeout is how long sent data may remain unacknowledged, and how long a peer
	// may leave keep-alive probes unanswered, until the kernel gives up the connection. It
	// is longer than a connection is idle in the pool and maxUnacknowledged together.
	kernelTimeout = 7 * time.Second
	probeInterval = time.Second
	probeCount    = 6
)

var dialer = net.Dialer{
	Timeout:         dialTimeout,
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount},
	Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		if err := raw.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(kernelTimeout.Milliseconds()))
		}); err != nil {
			return eris.Wrap(err, "access socket options")
		}
		return eris.Wrap(optionErr, "TCP_USER_TIMEOUT")
	},
}

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial opens a TCP connection that detects the loss of its peer within some seconds. If
// this process did not run when the timeout passed, it tries again once.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	startedAt := time.Now()
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil && ctx.Err() == nil && time.Since(startedAt) > dialTimeout+maxTimerDelay {
		return dialer.DialContext(ctx, network, address)
	}
	return conn, err
}
