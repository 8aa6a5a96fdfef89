// Package upstream carries requests to endpoints over pooled connections.
//
// Unlike http.Transport it never repeats a request by itself, and it tells for
// each failure whether the endpoint may have seen the request.
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
	// dialTimeout bounds the opening of a connection; a lost opening packet
	// is sent again after a second.
	dialTimeout = 1500 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged, and how
	// long a silent peer may leave keep-alive probes unanswered.
	unackedTimeout = 2500 * time.Millisecond
	probeInterval  = time.Second
	probeCount     = 2
)

var dialer = net.Dialer{
	Timeout:         dialTimeout,
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount},
	Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		if err := raw.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
		}); err != nil {
			return eris.Wrap(err, "socket options")
		}
		return eris.Wrap(optionErr, "TCP_USER_TIMEOUT")
	},
}

// Dial opens a TCP connection whose peer is known to be lost after some
// seconds of silence.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return dialer.DialContext(ctx, network, address)
}
