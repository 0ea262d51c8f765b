package system_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/platform/fakeplatform"
)

// Sizes of the tests of a host's memory. They are fixed, so that the tests don't depend on the speed of the machine.
const (
	// bodyMemoryMB is the setting memory of the host, and the bound on its largest resident memory.
	bodyMemoryMB = 64
	// maxTestBody is the largest body that the configuration of these tests allows.
	maxTestBody = 4 << 20
	// hostileClients is the number of clients that stop, never end or read slowly at the same time.
	hostileClients = 70
	// maxTestDescriptors is the bound on the descriptors of the host: two for each client and some for everything else.
	maxTestDescriptors = 2*hostileClients + 100
	// sendTimeout bounds the time for which a client tries to send; the host may have closed the connection or stopped reading.
	sendTimeout = 20 * time.Second
	// wholePadding and eventPadding are the sizes of a response and of an event that slow readers leave unread.
	wholePadding, eventPadding = 8 << 20, 16 << 10
)

// newBodySite starts a store, an engine, a service and one host with little memory, and a configuration that allows bodies of
// maxTestBody. The service pads its responses and the engine its events.
func newBodySite(t *testing.T, wholeBytes, eventBytes int) *site {
	t.Helper()
	s := &site{t: t, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 30 * time.Second}}
	s.store = startPlatformStandin(t, "store", "store", struct{}{})
	s.engines = append(s.engines, startPlatformStandin(t, "engine0", "endpoint", fakeplatform.Settings{
		ID: "e0", Service: "llm", Zone: "z1", Store: s.store.address(), Slots: 2 * hostileClients, Models: []string{"m1"}, MaxModels: 3, MaxAdapters: 2,
		EventsPerStream: 1000, PaddingBytes: eventBytes,
	}))
	s.apps = append(s.apps, startPlatformStandin(t, "app0", "endpoint", fakeplatform.Settings{
		ID: "s0", Service: "app", Zone: "z1", Store: s.store.address(), Slots: 2 * hostileClients, PaddingBytes: wholeBytes,
	}))
	configuration := fakeplatform.Configuration(1, "k1")
	configuration["limits"].(map[string]any)["max_body_bytes"] = maxTestBody
	value, err := json.Marshal(configuration)
	qt.Assert(t, err, qt.IsNil)
	s.putRow("op", "config", value)
	s.startOnlyHost(map[string]any{"grace": "8s", "memory": bodyMemoryMB})
	return s
}

// startOnlyHost starts the only host of a site, with further settings, and waits until it is ready.
func (s *site) startOnlyHost(further map[string]any) {
	s.t.Helper()
	callers, ready := freeAddress(s.t), freeAddress(s.t)
	settings := map[string]any{
		"name": "host0", "domain": "z1", "callers": callers, "ready": ready, "peers": freeAddress(s.t), "operators": freeAddress(s.t),
		"store": s.store.address(), "lease": "300ms",
	}
	maps.Copy(settings, further)
	encoded, err := json.Marshal(settings)
	qt.Assert(s.t, err, qt.IsNil)
	file := filepath.Join(s.t.TempDir(), "host0.json")
	qt.Assert(s.t, os.WriteFile(file, encoded, 0o600), qt.IsNil)
	s.hosts = append(s.hosts, startProcess(s.t, "host0", "entry", "--config", file))
	s.callerAddresses, s.readyAddresses = []string{callers}, []string{ready}
	s.eventually("the host is ready", func() bool { return s.isReady(0) })
}

// sendRaw opens a connection to the host and writes pieces to it until all are written or the host takes no more. The connection stays
// open until the test ends.
func (s *site) sendRaw(pieces ...[]byte) {
	conn, err := net.Dial("tcp", s.callerAddresses[0])
	if err != nil {
		return // the host may refuse a client of this kind
	}
	s.t.Cleanup(func() { conn.Close() })
	conn.(*net.TCPConn).SetReadBuffer(4 << 10) // the kernel would otherwise take whole responses for a client that does not read
	conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	for _, piece := range pieces {
		if _, err := conn.Write(piece); err != nil {
			return
		}
	}
}

// requestHead returns the head of a request with a key and further header lines.
func requestHead(n int, path string, lines ...string) []byte {
	all := append([]string{"POST " + path + " HTTP/1.1", "Host: h", fmt.Sprint("X-Request-Id: hostile-", n), "Authorization: Token k1"}, lines...)
	return []byte(strings.Join(all, "\r\n") + "\r\n\r\n")
}

// checkServing checks that the host is alive and within its memory and descriptors, and that it serves an ordinary request and one
// with the largest body.
func (s *site) checkServing() {
	s.t.Helper()
	for name, body := range map[string]string{"ordinary": "stamp", "largest": strings.Repeat("x", maxTestBody)} {
		s.eventually("a request is answered: "+name, func() bool {
			select {
			case <-s.hosts[0].Done():
				s.t.Fatal("the host has ended")
			default:
			}
			got := s.ask(siteRequest{path: "/stamp/1", key: "k1", body: body})
			return got.status == http.StatusOK && got.complete
		})
	}
	memory, descriptors := s.hosts[0].peakMemoryMB(), s.hosts[0].openDescriptors()
	s.t.Logf("largest memory %d MB, %d descriptors", memory, descriptors)
	qt.Check(s.t, memory <= bodyMemoryMB, qt.IsTrue, qt.Commentf("the host has used %d MB, want at most %d", memory, bodyMemoryMB))
	qt.Check(s.t, descriptors <= maxTestDescriptors, qt.IsTrue, qt.Commentf("the host has %d descriptors open, want at most %d", descriptors, maxTestDescriptors))
}

// tinyChunks returns a body of the size in chunks of 5 bytes each, without its last chunk.
func tinyChunks(size int) []byte { return bytes.Repeat([]byte("5\r\nabcde\r\n"), size/5) }

// TestBodiesHugeChunks guards against bodies in one chunk that stop one byte short of their end and exhaust the host's memory.
func TestBodiesHugeChunks(t *testing.T) {
	s := newBodySite(t, 0, 0)
	chunk := append(fmt.Appendf(nil, "%x\r\n", maxTestBody), make([]byte, maxTestBody-1)...)
	runConcurrently(hostileClients, func(n int) { s.sendRaw(requestHead(n, "/stamp/1", "Transfer-Encoding: chunked"), chunk) })
	s.checkServing()
}

// TestBodiesTinyChunks guards against bodies in chunks of a few bytes that never end and exhaust the host's memory.
func TestBodiesTinyChunks(t *testing.T) {
	s := newBodySite(t, 0, 0)
	chunks := tinyChunks(maxTestBody / 2)
	runConcurrently(hostileClients, func(n int) { s.sendRaw(requestHead(n, "/stamp/1", "Transfer-Encoding: chunked"), chunks) })
	s.checkServing()
}

// TestBodiesAnnounced guards against bodies of an announced length that stop one byte short of their end and exhaust the host's memory.
func TestBodiesAnnounced(t *testing.T) {
	s := newBodySite(t, 0, 0)
	body := make([]byte, maxTestBody-1)
	runConcurrently(hostileClients, func(n int) {
		s.sendRaw(requestHead(n, "/stamp/1", fmt.Sprint("Content-Length: ", maxTestBody)), body)
	})
	s.checkServing()
}

// TestBodiesWithoutKey guards against memory that is held for bodies of requests that are refused whatever their body is.
func TestBodiesWithoutKey(t *testing.T) {
	s := newBodySite(t, 0, 0)
	body := make([]byte, maxTestBody-1)
	runConcurrently(hostileClients, func(n int) {
		head := requestHead(n, "/else/1", fmt.Sprint("Content-Length: ", maxTestBody))
		if n%2 == 0 {
			head = bytes.Replace(requestHead(n, "/stamp/1", fmt.Sprint("Content-Length: ", maxTestBody)), []byte("Token k1"), []byte("Token k2"), 1)
		}
		s.sendRaw(head, body)
	})
	s.checkServing()
}

// TestBodiesOverLimit guards against bodies far over the limit, with and without an announced length, that exhaust the host's memory.
func TestBodiesOverLimit(t *testing.T) {
	s := newBodySite(t, 0, 0)
	piece := make([]byte, 4*maxTestBody)
	chunk := append(fmt.Appendf(nil, "%x\r\n", len(piece)), piece...)
	runConcurrently(hostileClients, func(n int) {
		if n%2 == 0 {
			s.sendRaw(requestHead(n, "/stamp/1", fmt.Sprint("Content-Length: ", len(piece))), piece)
			return
		}
		s.sendRaw(requestHead(n, "/stamp/1", "Transfer-Encoding: chunked"), chunk)
	})
	s.checkServing()
}

// TestSlowReadersOfResponses guards against callers that don't read their responses, for which the host holds memory and
// connections of endpoints without end.
func TestSlowReadersOfResponses(t *testing.T) {
	s := newBodySite(t, wholePadding, 0)
	runConcurrently(hostileClients, func(n int) { s.sendRaw(requestHead(n, "/lookup/1", "Content-Length: 0", "X-Deadline-Ms: 15000")) })
	s.checkServing()
}

// TestSlowReadersOfStreams is TestSlowReadersOfResponses for streams.
func TestSlowReadersOfStreams(t *testing.T) {
	s := newBodySite(t, 0, eventPadding)
	runConcurrently(hostileClients, func(n int) {
		s.sendRaw(requestHead(n, "/draft/1", "Content-Length: 0", "X-Deadline-Ms: 15000", "X-Model: m1", "X-Token-Count: 100,10"))
	})
	s.checkServing()
}
