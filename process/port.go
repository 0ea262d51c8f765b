package process

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync/atomic"

	"github.com/juju/errors"
)

// Ports that are handed out lie below those that systems take for connections, so that none is in use by the time its
// process listens.
const (
	firstPort = 12_000
	portCount = 18_000
)

// ErrNoPort says that no port is free.
const ErrNoPort = errors.ConstError("no port is free")

// nextPort is the place of the next port to be tried. It starts anywhere, because test binaries run side by side.
var nextPort atomic.Uint32

func init() { nextPort.Store(rand.Uint32N(portCount)) }

// FreeAddress returns a loopback address that nobody listens on. It returns none twice. The error is ErrNoPort.
func FreeAddress() (string, error) {
	for range portCount {
		port := firstPort + nextPort.Add(1)%portCount
		listener, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.FormatUint(uint64(port), 10)))
		if err != nil {
			continue
		}
		address := listener.Addr().String()
		listener.Close()
		return address, nil
	}
	return "", errors.Annotate(ErrNoPort, "process: unable to find an address")
}
