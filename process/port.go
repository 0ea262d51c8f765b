package process

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync/atomic"

	"github.com/juju/errors"
)

// FreeAddress uses ports below the range that operating systems use for outgoing connections, so that a port is not taken
// before its process listens on it.
const (
	firstPort = 12_000
	portCount = 18_000
)

// ErrNoPort is the error of FreeAddress if it finds no free port.
const ErrNoPort = errors.ConstError("no port is free")

// portOffset is the offset of the last port that was tried. It starts at a random value, because several test binaries may
// run at the same time.
var portOffset atomic.Uint32

func init() { portOffset.Store(rand.Uint32N(portCount)) }

// FreeAddress returns a loopback address on which no process listens. It tries the ports in turn, so it returns an address
// again only after portCount tries. The error wraps ErrNoPort.
func FreeAddress() (string, error) {
	for range portCount {
		port := firstPort + portOffset.Add(1)%portCount
		listener, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.FormatUint(uint64(port), 10)))
		if err != nil {
			continue
		}
		address := listener.Addr().String()
		listener.Close()
		return address, nil
	}
	return "", errors.Annotate(ErrNoPort, "process: unable to find a loopback address")
}
