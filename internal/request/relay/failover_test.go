package relay

import (
	"context"
	"net"
	"testing"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"mustarddoor/internal/connection/upstream"
	"mustarddoor/internal/version/routing"
)

// A silent endpoint was given up for another one although its bytes had arrived: the host
// looked at the other one's response, or at the end of the overlap, first.
func TestArrivedBytesGoBeforeAnotherResponse(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			_, _ = conn.Write([]byte("x"))
		}
	}()
	pool := upstream.NewPool(listener.Addr().String(), upstream.Dial, metrics.NewCounter())
	conn, err := pool.Get(context.Background())
	assert.NilError(t, err)
	defer conn.Close()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if conn.Arrived() != upstream.ArrivedData {
			return poll.Continue("nothing has arrived")
		}
		return poll.Success()
	})
	f := &failover{request: &serverRequest{route: &routing.Route{Kind: routing.KindStream}}, conn: conn}
	results := make(chan openResult, 1)
	results <- openResult{response: &openedResponse{}}
	_, verdict := f.awaitResponse(results, make(chan struct{}))
	assert.Equal(t, verdict, silentEndpointGoesOn)
	assert.Equal(t, len(results), 1)
}
