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

// Networks of the scripts are 127.A.B.0/24, with A from firstNetwork on and B
// from 1 on.
const (
	firstNetwork       = 20
	networkCount       = 200
	subnetCount        = 254
	reservationSuffix  = ".254:7999"
	maxReserveAttempts = 1000
)

var errNoNetwork = eris.New("no free loopback network")

// network is a loopback network that one script has to itself. It stays
// reserved until its listener closes, also against other test runs on the same
// machine.
type network struct {
	// prefix is the first three numbers of the network's addresses.
	prefix      string
	reservation net.Listener
}

// reserveNetwork finds a network that no running script has. It fails with
// errNoNetwork, or with the error of an address that can't be bound at all.
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

// setUpNetwork gives a script its own network as NET, until it ends.
func setUpNetwork(env *testscript.Env) error {
	reserved, err := reserveNetwork()
	if err != nil {
		return err
	}
	env.Defer(reserved.release)
	env.Setenv("NET", reserved.prefix)
	return nil
}
