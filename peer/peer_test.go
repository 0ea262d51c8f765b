package peer_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"magnoliahoist/peer"
	"magnoliahoist/table"

	qt "github.com/frankban/quicktest"
)

// backend responds to Sync and Borrow. Other calls would reach the embedded nil interface and panic.
type backend struct{ peer.Backend }

func (backend) Sync(_ context.Context, r *peer.SyncRequest) (*peer.SyncResponse, error) {
	if r.After < 0 {
		return nil, errors.New("negative revision")
	}
	rows := []table.Row{{Key: "fleet/head", Value: []byte("{}"), Revision: r.After + 1}}
	return &peer.SyncResponse{Reply: &peer.Reply{Stamp: r.Header.Stamp + 1}, Rows: peer.RowMessages(rows), Revision: r.After + 1, TableAge: -1}, nil
}

func (backend) Borrow(ctx context.Context, _ *peer.BorrowRequest) (*peer.BorrowResponse, error) {
	<-ctx.Done()
	return &peer.BorrowResponse{}, nil
}

// startServer starts a server with the handler and returns its address.
func startServer(t *testing.T, handler http.Handler) string {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// TestCalls guards against calls that are accepted without the secret, and against responses of another member that are
// accepted as those of the target.
func TestCalls(t *testing.T) {
	address := startServer(t, peer.NewServer(backend{}, "b", "s3cret"))
	open := startServer(t, peer.NewServer(backend{}, "b", ""))
	stranger := startServer(t, peer.NewPeerServer(backend{})) // its responses name no member
	var member *peer.MemberError
	for name, test := range map[string]struct {
		secret string
		to     peer.Target
		from   string
		after  int64
		check  func(error) bool
	}{
		"right":           {"s3cret", peer.Target{ID: "b", Address: address}, "a", 4, func(err error) bool { return err == nil }},
		"wrong secret":    {"s3cre", peer.Target{ID: "b", Address: address}, "a", 4, func(err error) bool { return errors.Is(err, peer.ErrSecret) }},
		"no secret":       {"", peer.Target{ID: "b", Address: open}, "a", 4, func(err error) bool { return errors.Is(err, peer.ErrSecret) }},
		"other member":    {"s3cret", peer.Target{ID: "c", Address: address}, "a", 4, func(err error) bool { return errors.As(err, &member) && member.Got == "b" }},
		"unnamed member":  {"s3cret", peer.Target{ID: "b", Address: stranger}, "a", 4, func(err error) bool { return errors.As(err, &member) }},
		"no sender":       {"s3cret", peer.Target{ID: "b", Address: address}, "", 4, func(err error) bool { return errors.Is(err, peer.ErrFailed) }},
		"backend's error": {"s3cret", peer.Target{ID: "b", Address: address}, "a", -1, func(err error) bool { return errors.Is(err, peer.ErrFailed) }},
		"no listener":     {"s3cret", peer.Target{ID: "b", Address: "127.0.0.1:1"}, "a", 4, func(err error) bool { return errors.Is(err, peer.ErrNoResponse) }},
	} {
		t.Run(name, func(t *testing.T) {
			client := peer.NewClient(http.DefaultClient, test.secret)
			response, err := client.Sync(t.Context(), test.to, peer.Sender{ID: test.from, Stamp: 7}, test.after)
			qt.Assert(t, test.check(err), qt.IsTrue, qt.Commentf("error %v", err))
			if err != nil {
				return
			}
			qt.Assert(t, response.Snapshot().Revision, qt.Equals, int64(5))
			qt.Assert(t, response.Snapshot().Rows[0].Key, qt.Equals, "fleet/head")
			qt.Assert(t, response.Source().ID, qt.Equals, "b")
			qt.Assert(t, response.Reply.Stamp, qt.Equals, int64(8))
		})
	}
}

// TestTimeout guards against a caller that waits without limit for a peer that doesn't respond.
func TestTimeout(t *testing.T) {
	address := startServer(t, peer.NewServer(backend{}, "b", "s3cret"))
	client := peer.NewClient(http.DefaultClient, "s3cret")
	_, err := client.Borrow(t.Context(), peer.Target{ID: "b", Address: address}, peer.Sender{ID: "a"}, "x", "1", 10)
	qt.Assert(t, errors.Is(err, peer.ErrNoResponse), qt.IsTrue, qt.Commentf("error %v", err))
}
