package peer_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"magnoliahoist/faketable"
	"magnoliahoist/peer"
	"magnoliahoist/replica"
	"magnoliahoist/table"
)

// sizedBackend responds with n rows or n endpoint loads.
type sizedBackend struct {
	peer.Backend
	n int
}

func (s sizedBackend) Sync(context.Context, *peer.SyncRequest) (*peer.SyncResponse, error) {
	return &peer.SyncResponse{Reply: &peer.Reply{Stamp: 1 << 60}, Rows: peer.RowMessages(capacityRows(s.n)), Revision: 1 << 20, TableAge: 1 << 30, Settled: 1 << 20}, nil
}

func (s sizedBackend) Announce(context.Context, *peer.AnnounceRequest) (*peer.AnnounceResponse, error) {
	return &peer.AnnounceResponse{Reply: &peer.Reply{Stamp: 1 << 60}, Applied: 1 << 20}, nil
}

func (s sizedBackend) Borrow(context.Context, *peer.BorrowRequest) (*peer.BorrowResponse, error) {
	return &peer.BorrowResponse{Reply: &peer.Reply{Stamp: 1 << 60}, Tokens: 400}, nil
}

func (s sizedBackend) Summary(context.Context, *peer.SummaryRequest) (*peer.SummaryResponse, error) {
	response := &peer.SummaryResponse{Reply: &peer.Reply{Stamp: 1 << 60}}
	for i := range s.n {
		response.Loads = append(response.Loads, &peer.EndpointLoad{Endpoint: fmt.Sprintf("endpoint-%05d", i), Running: 12, Waiting: 3, Age: 500_000_000})
	}
	return response, nil
}

// capacityRows returns n rows as large as typical route rows.
func capacityRows(n int) []table.Row {
	rows := make([]table.Row, n)
	for i := range rows {
		name := fmt.Sprintf("route-%05d", i)
		value := fmt.Sprintf(`{"name":%q,"kind":"model","model":"model-%05d","pool":"pool-%05d","accounts":["account-%05d"],"tokens":256}`, name, i, i, i)
		rows[i] = table.Row{Key: replica.KeyForRoute(name), Value: []byte(value), Revision: 1<<20 + int64(i)}
	}
	return rows
}

// countingConn counts the bytes that are read and written on a connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// startCountingServer starts a server with the handler. It returns its address, a client for it, and the number of bytes
// that the client has read and written.
func startCountingServer(b *testing.B, handler http.Handler) (string, *http.Client, *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go server.Serve(listener)
	b.Cleanup(func() { server.Close() })
	bytes := &atomic.Int64{}
	client := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countingConn{opened, bytes}, err
	}}}
	return listener.Addr().String(), client, bytes
}

// BenchmarkCapacityWire measures the bytes of a call between hosts, including HTTP headers.
func BenchmarkCapacityWire(b *testing.B) {
	ctx, from := context.Background(), peer.Sender{ID: "a1b2c3d4e5", Stamp: 1 << 60}
	for name, call := range map[string]func(c *peer.Client, to peer.Target) error{
		"sync":     func(c *peer.Client, to peer.Target) error { _, err := c.Sync(ctx, to, from, 1<<20); return err },
		"announce": func(c *peer.Client, to peer.Target) error { _, err := c.Announce(ctx, to, from, 1<<20); return err },
		"borrow": func(c *peer.Client, to peer.Target) error {
			_, err := c.Borrow(ctx, to, from, "account-00001", "a1b2c3d4e5-1z", 400)
			return err
		},
		"summary": func(c *peer.Client, to peer.Target) error {
			_, err := c.Summary(ctx, to, from, "pool-00001", nil)
			return err
		},
	} {
		for _, n := range []int{0, 10, 100, 1000} {
			if n > 0 && (name == "announce" || name == "borrow") {
				continue
			}
			b.Run(fmt.Sprintf("%s=%d", name, n), func(b *testing.B) {
				address, client, bytes := startCountingServer(b, peer.NewServer(sizedBackend{n: n}, "f6g7h8i9j0", "0123456789abcdef"))
				c := peer.NewClient(client, "0123456789abcdef")
				for b.Loop() {
					if err := call(c, peer.Target{ID: "f6g7h8i9j0", Address: address}); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(bytes.Load())/float64(b.N), "B/call")
			})
		}
	}
}

// BenchmarkCapacityTable measures the bytes of a read of the table service, by the number of changed rows.
func BenchmarkCapacityTable(b *testing.B) {
	for _, n := range []int{0, 10, 100, 1000} {
		b.Run(fmt.Sprintf("row=%d", n), func(b *testing.B) {
			address, client, bytes := startCountingServer(b, faketable.New(faketable.Settings{}).Handler())
			c := table.New(address, client)
			for _, row := range capacityRows(n) {
				if _, err := c.Commit(context.Background(), table.Txn{Writes: []table.Write{{Key: row.Key, Value: row.Value}}}); err != nil {
					b.Fatal(err)
				}
			}
			bytes.Store(0)
			for b.Loop() {
				if _, err := c.Read(context.Background(), replica.Prefix, 1); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(bytes.Load())/float64(b.N), "B/read")
		})
	}
}
