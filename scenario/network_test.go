package scenario

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"syscall"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/rotisserie/eris"
)

// Scripts use the networks 127.A.B.0/24, with A starting at firstNetwork and B
// starting at 1.
const (
	firstNetwork       = 20
	networkCount       = 200
	subnetCount        = 254
	reservationSuffix  = ".254:7999"
	maxReserveAttempts = 1000
)

var errNoNetwork = eris.New("no free loopback network")

// network is a loopback network that one script uses exclusively. The listener
// reserves it, also against other test runs on the same machine, until it is
// closed.
type network struct {
	// prefix is the first three octets of the network.
	prefix      string
	reservation net.Listener
}

// reserveNetwork reserves a network that no running script uses. It returns
// errNoNetwork if it finds none, or the error if an address cannot be bound for
// a reason other than its use.
func reserveNetwork() (*network, error) {
	for range maxReserveAttempts {
		prefix := fmt.Sprintf("127.%d.%d", firstNetwork+rand.IntN(networkCount), 1+rand.IntN(subnetCount))
		listener, err := net.Listen("tcp", prefix+reservationSuffix)
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			return nil, err
		}
		return &network{prefix: prefix, reservation: listener}, nil
	}
	return nil, errNoNetwork
}

func (n *network) release() { n.reservation.Close() }

// setUpNetwork reserves a network until the script ends and sets NET to its
// prefix.
func setUpNetwork(env *testscript.Env) error {
	reserved, err := reserveNetwork()
	if err != nil {
		return err
	}
	env.Defer(reserved.release)
	env.Setenv("NET", reserved.prefix)
	return nil
}
