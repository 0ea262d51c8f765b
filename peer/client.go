package peer

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"
)

const (
	// syncTimeout is a third of the freshness window, so that after a lost response, time remains for other exchanges.
	syncTimeout = time.Second
	// borrowTimeout is small compared with the 1.9 s within which a request's first token is due.
	borrowTimeout = 300 * time.Millisecond
	// fetchTimeout limits a call of Fetch, which takes milliseconds unless many adapters are loaded at the same time.
	fetchTimeout = 700 * time.Millisecond
	// relayTimeout limits a call that the other host relays to the table service, in addition to the wait that the
	// request asks for.
	relayTimeout = 500 * time.Millisecond
	// loadTimeout limits an exchange of load: two of them fit into the time for which a host relies on the last response.
	loadTimeout = 300 * time.Millisecond
	// queryTimeout limits calls for summaries and timelines, for which no request waits.
	queryTimeout = 2 * time.Second
)

// Target is the member to call and the address of its peer listener.
type Target struct {
	ID      string
	Address string // IP number and port
}

// Sender is the calling member with the current timestamp of its hybrid clock.
type Sender struct {
	ID    string
	Stamp int64
}

// Client calls the peer service of other hosts. It is safe for concurrent use.
type Client struct {
	http   *http.Client
	secret string
	scheme string
}

// NewClient returns a client that authenticates with the shared secret.
func NewClient(client *http.Client, secret string) *Client {
	return &Client{http: client, secret: secret, scheme: "http://"}
}

// WithTLS returns a copy of the client that calls over TLS, with the TLS settings of the HTTP client.
func (c *Client) WithTLS() *Client {
	next := *c
	next.scheme = "https://"
	return &next
}

// memberResponse is a response with a Reply, which names the responding member.
type memberResponse interface {
	proto.Message
	GetReply() *Reply
}

// call makes one call and checks that the target responded. Its errors are ErrNoResponse, ErrSecret, ErrFailed or
// *MemberError.
func call[Q any, A memberResponse](ctx context.Context, c *Client, to Target, timeout time.Duration,
	method func(Peer, context.Context, Q) (A, error), request Q) (A, error) {
	var zero A
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ctx, err := twirp.WithHTTPRequestHeaders(ctx, http.Header{"Authorization": {bearerPrefix + c.secret}})
	if err != nil {
		return zero, errors.Trace(err)
	}
	response, err := method(NewPeerProtobufClient(c.scheme+to.Address, c.http), ctx, request)
	if err != nil {
		return zero, translateError(err, to.ID)
	}
	if got := response.GetReply().GetFrom(); got != to.ID {
		return zero, &MemberError{Want: to.ID, Got: got}
	}
	return response, nil
}

// header returns the header of a request.
func header(to Target, from Sender) *Header {
	return &Header{To: to.ID, From: from.ID, Stamp: from.Stamp}
}

// Sync returns the rows of the member that were written after the revision.
func (c *Client) Sync(ctx context.Context, to Target, from Sender, after int64) (*SyncResponse, error) {
	return call(ctx, c, to, syncTimeout, Peer.Sync, &SyncRequest{Header: header(to, from), After: after})
}

// Announce tells the member that a revision exists and returns the revision that the member has applied.
func (c *Client) Announce(ctx context.Context, to Target, from Sender, revision int64) (*AnnounceResponse, error) {
	return call(ctx, c, to, syncTimeout, Peer.Announce, &AnnounceRequest{Header: header(to, from), Revision: revision})
}

// BorrowFor asks for tokens of the account for waiting requests. It sets the header of the request. After ErrNoResponse, the loan
// must be treated as made.
func (c *Client) BorrowFor(ctx context.Context, to Target, from Sender, request *BorrowRequest) (*BorrowResponse, error) {
	request.Header = header(to, from)
	return call(ctx, c, to, borrowTimeout, Peer.Borrow, request)
}

// Borrow asks for tokens of the account. After ErrNoResponse, the loan must be treated as made.
func (c *Client) Borrow(ctx context.Context, to Target, from Sender, account, loan string, tokens int64) (*BorrowResponse, error) {
	return c.BorrowFor(ctx, to, from, &BorrowRequest{Account: account, Loan: loan, Tokens: tokens})
}

// Repay returns the unused tokens of a loan.
func (c *Client) Repay(ctx context.Context, to Target, from Sender, account, loan string, unused int64) (*RepayResponse, error) {
	return c.RepayAndEnd(ctx, to, from, account, loan, unused, false)
}

// RepayAndEnd returns the unused tokens of a loan and says whether the others are spent.
func (c *Client) RepayAndEnd(ctx context.Context, to Target, from Sender, account, loan string, unused int64, ended bool) (*RepayResponse, error) {
	request := &RepayRequest{Header: header(to, from), Account: account, Loan: loan, Unused: unused, Ended: ended}
	return call(ctx, c, to, borrowTimeout, Peer.Repay, request)
}

// Summary reports the demand on this host to the lease holder and returns the load of the pool's endpoints.
func (c *Client) Summary(ctx context.Context, to Target, from Sender, pool string, demands []*Demand) (*SummaryResponse, error) {
	request := &SummaryRequest{Header: header(to, from), Pool: pool, Demands: demands}
	return call(ctx, c, to, queryTimeout, Peer.Summary, request)
}

// ReportLoad sends the demand and the load of this host to the lease holder and returns the load of the other hosts. It sets
// the header of the request.
func (c *Client) ReportLoad(ctx context.Context, to Target, from Sender, request *SummaryRequest) (*SummaryResponse, error) {
	request.Header = header(to, from)
	return call(ctx, c, to, loadTimeout, Peer.Summary, request)
}

// Fetch asks the lease holder to load an adapter into an endpoint. It returns when the adapter can be used or can't be
// loaded.
func (c *Client) Fetch(ctx context.Context, to Target, from Sender, pool, endpoint, model, adapter string) (*FetchResponse, error) {
	request := &FetchRequest{Header: header(to, from), Pool: pool, Endpoint: endpoint, Model: model, Adapter: adapter}
	return call(ctx, c, to, fetchTimeout, Peer.Fetch, request)
}

// Read reads from the table service through another host. It sets the header of the request.
func (c *Client) Read(ctx context.Context, to Target, from Sender, request *ReadRequest) (*ReadResponse, error) {
	request.Header = header(to, from)
	return call(ctx, c, to, relayTimeout+time.Duration(request.GetWait()), Peer.Read, request)
}

// Write commits a transaction in the table service through another host. It sets the header of the request.
func (c *Client) Write(ctx context.Context, to Target, from Sender, request *WriteRequest) (*WriteResponse, error) {
	request.Header = header(to, from)
	return call(ctx, c, to, relayTimeout, Peer.Write, request)
}

// Configuration returns the configuration that the member has in force if it is newer than a version; a row without a key otherwise.
func (c *Client) Configuration(ctx context.Context, to Target, from Sender, version int64) (*ConfigurationResponse, error) {
	return call(ctx, c, to, queryTimeout, Peer.Configuration, &ConfigurationRequest{Header: header(to, from), Version: version})
}

// Timeline returns the member's events after a timestamp of the hybrid clock.
func (c *Client) Timeline(ctx context.Context, to Target, from Sender, after int64) (*TimelineResponse, error) {
	return call(ctx, c, to, queryTimeout, Peer.Timeline, &TimelineRequest{Header: header(to, from), After: after})
}

// Identify returns the id of the member that responds at the address. It serves hosts that know only addresses; later calls
// to the member need its id.
func (c *Client) Identify(ctx context.Context, address string, from Sender) (string, error) {
	_, err := c.Announce(ctx, Target{Address: address}, from, 0)
	var other *MemberError
	if errors.As(err, &other) && other.Got != "" {
		return other.Got, nil
	}
	if err == nil {
		err = ErrFailed
	}
	return "", err
}
