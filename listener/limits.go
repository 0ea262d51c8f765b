package listener

import (
	"bytes"
	"time"
)

// Limits bound the connections of one listener.
type Limits struct {
	MaxConnections int           // open connections
	HeaderMemory   int64         // bytes of memory for the headers of all requests, as estimated by headerCost
	HeaderBytes    int           // received bytes of one header
	HeaderTimeout  time.Duration // from the first byte of a header, or from the opening of a connection, to the end of the header
	IdleTimeout    time.Duration // between two requests
}

// headerMargin is added to the largest header that is allowed: the HTTP server reads 4 KiB at a time, so that bytes of
// a body may follow the header, and the request line is not part of the header.
const headerMargin = 8 << 10

// WithHeader returns the limits with another size and time limit of a header. Values that are not positive change nothing.
func (l Limits) WithHeader(size int, timeout time.Duration) Limits {
	if size > 0 {
		l.HeaderBytes = size + headerMargin
	}
	if timeout > 0 {
		l.HeaderTimeout = timeout
	}
	return l
}

// WithIdleTimeout returns the limits with another idle timeout, unless it is not positive.
func (l Limits) WithIdleTimeout(timeout time.Duration) Limits {
	if timeout > 0 {
		l.IdleTimeout = timeout
	}
	return l
}

// KeepAliveSeconds returns the time for which a client may reuse an idle connection, in whole seconds: at most four fifths of the
// idle timeout, so that a request that is under way is not met by a close.
func KeepAliveSeconds(idleTimeout time.Duration) int {
	return int(idleTimeout * 4 / 5 / time.Second)
}

// headerCost estimates the memory that a part of a header takes once it is decoded: its bytes in the read buffer and as text, and
// for each line an entry of a map with a list. Lines of 8 bytes were measured to take about 120 bytes each in all.
func headerCost(data []byte) int64 {
	return int64(2*len(data) + 128*bytes.Count(data, []byte{'\n'}))
}

// Resources of a process that its listeners share.
type Resources struct {
	Descriptors int   // file descriptors
	Memory      int64 // bytes
}

const (
	// fileDescriptors are reserved for files. Of a smaller number, half is reserved.
	fileDescriptors = 200
	// connectionMemory is what a connection without a request takes: the stack of its goroutine, two buffers of 4 KiB and the
	// state of the HTTP server.
	connectionMemory = 20 << 10
	// minConnections is the least number of connections that a listener accepts.
	minConnections = 8
)

// share is a listener's part of the resources.
type share struct {
	descriptors float64 // of the descriptors that are not reserved for files
	memory      float64 // for connections without their headers, of the memory
	headers     float64 // for headers, of the memory
}

// Shares of the listeners. The rest of the descriptors (0.26) is left for connections to endpoints, the store and other hosts.
var (
	callerShare   = share{descriptors: 0.5, memory: 0.2, headers: 0.1}
	peerShare     = share{descriptors: 0.2, memory: 0.06, headers: 0.02}
	operatorShare = share{descriptors: 0.02, memory: 0.01, headers: 0.01}
)

// ForCallers returns the limits of the listener for callers before there is a configuration.
func (r Resources) ForCallers(base Limits) Limits { return r.part(callerShare, base) }

// ForPeers returns the limits of the listener for other hosts. Up to 400 hosts keep a connection to a lease holder.
func (r Resources) ForPeers(base Limits) Limits { return r.part(peerShare, base) }

// ForOperators returns the limits of a listener for operators or for the balancer's check.
func (r Resources) ForOperators(base Limits) Limits { return r.part(operatorShare, base) }

// part sets the limits that follow from a share.
func (r Resources) part(s share, base Limits) Limits {
	sockets := max(r.Descriptors-fileDescriptors, r.Descriptors/2)
	byMemory := s.memory * float64(r.Memory) / connectionMemory
	base.MaxConnections = max(int(min(s.descriptors*float64(sockets), byMemory)), minConnections)
	base.HeaderMemory = int64(s.headers * float64(r.Memory))
	return base
}
