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
	// syncTimeout is a third of the window of freshness, so that a lost answer leaves time for others.
	syncTimeout = time.Second
	// borrowTimeout is small against the 1.9 s in which a request's first token is due.
	borrowTimeout = 300 * time.Millisecond
	// fetchTimeout bounds a call for an adapter, which takes milliseconds unless many are fetched at once.
	fetchTimeout = 700 * time.Millisecond
	// relayTimeout bounds a call that goes on to the table service, besides the wait that it asks for.
	relayTimeout = 500 * time.Millisecond
	// readTimeout bounds calls for summaries and timelines, on which nothing waits.
	readTimeout = 2 * time.Second
)

// Target is the member meant and the address of its peer listener.
type Target struct {
	ID      string
	Address string // IP number and port
}

// Sender is the calling member and the stamp of its hybrid clock.
type Sender struct {
	ID    string
	Stamp int64
}

// Client calls other hosts. It is safe for concurrent use.
type Client struct {
	http   *http.Client
	secret string
	scheme string
}

// NewClient returns a client that presents the secret.
func NewClient(client *http.Client, secret string) *Client {
	return &Client{http: client, secret: secret, scheme: "http://"}
}

// WithTLS returns a client that calls over TLS, as the HTTP client is set up for it.
func (c *Client) WithTLS() *Client {
	next := *c
	next.scheme = "https://"
	return &next
}

// answer is a response that names the answering member.
type answer interface {
	proto.Message
	GetReply() *Reply
}

// call makes one call and checks who answered. Errors are ErrUnanswered, ErrSecret, ErrFailed or *MemberError.
func call[Q any, A answer](ctx context.Context, c *Client, to Target, limit time.Duration,
	method func(Peer, context.Context, Q) (A, error), request Q) (A, error) {
	var none A
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ctx, err := twirp.WithHTTPRequestHeaders(ctx, http.Header{"Authorization": {bearer + c.secret}})
	if err != nil {
		return none, errors.Trace(err)
	}
	response, err := method(NewPeerProtobufClient(c.scheme+to.Address, c.http), ctx, request)
	if err != nil {
		return none, translate(err, to.ID)
	}
	if got := response.GetReply().GetFrom(); got != to.ID {
		return none, &MemberError{Want: to.ID, Got: got}
	}
	return response, nil
}

func header(to Target, from Sender) *Header {
	return &Header{To: to.ID, From: from.ID, Stamp: from.Stamp}
}

// Sync returns the rows that the member has above the revision.
func (c *Client) Sync(ctx context.Context, to Target, from Sender, after int64) (*SyncResponse, error) {
	return call(ctx, c, to, syncTimeout, Peer.Sync, &SyncRequest{Header: header(to, from), After: after})
}

// Announce tells the member of a revision and returns what it has applied.
func (c *Client) Announce(ctx context.Context, to Target, from Sender, revision int64) (*AnnounceResponse, error) {
	return call(ctx, c, to, syncTimeout, Peer.Announce, &AnnounceRequest{Header: header(to, from), Revision: revision})
}

// BorrowFor asks for tokens of the account, of which a request that waits needs the least.
func (c *Client) BorrowFor(ctx context.Context, to Target, from Sender, account, loan string, tokens, least int64) (*BorrowResponse, error) {
	request := &BorrowRequest{Header: header(to, from), Account: account, Loan: loan, Tokens: tokens, Least: least}
	return call(ctx, c, to, borrowTimeout, Peer.Borrow, request)
}

// Borrow asks for tokens of the account; an unanswered loan counts as made.
func (c *Client) Borrow(ctx context.Context, to Target, from Sender, account, loan string, tokens int64) (*BorrowResponse, error) {
	return c.BorrowFor(ctx, to, from, account, loan, tokens, 0)
}

// Repay returns the unused tokens of a loan.
func (c *Client) Repay(ctx context.Context, to Target, from Sender, account, loan string, unused int64) (*RepayResponse, error) {
	request := &RepayRequest{Header: header(to, from), Account: account, Loan: loan, Unused: unused}
	return call(ctx, c, to, borrowTimeout, Peer.Repay, request)
}

// Summary tells the lease holder the demand on this host and returns the load of the pool's endpoints.
func (c *Client) Summary(ctx context.Context, to Target, from Sender, pool string, demands []*Demand) (*SummaryResponse, error) {
	request := &SummaryRequest{Header: header(to, from), Pool: pool, Demands: demands}
	return call(ctx, c, to, readTimeout, Peer.Summary, request)
}

// Report tells the lease holder the demand and the load of this host and returns the load of the others. The header of
// the request is filled in.
func (c *Client) Report(ctx context.Context, to Target, from Sender, request *SummaryRequest) (*SummaryResponse, error) {
	request.Header = header(to, from)
	return call(ctx, c, to, borrowTimeout, Peer.Summary, request)
}

// Fetch asks the lease holder for an adapter on an endpoint and returns when it can be used, or can't be had.
func (c *Client) Fetch(ctx context.Context, to Target, from Sender, pool, endpoint, model, adapter string) (*FetchResponse, error) {
	request := &FetchRequest{Header: header(to, from), Pool: pool, Endpoint: endpoint, Model: model, Adapter: adapter}
	return call(ctx, c, to, fetchTimeout, Peer.Fetch, request)
}

// Read makes a reading call to the table service through another host. The header of the request is filled in.
func (c *Client) Read(ctx context.Context, to Target, from Sender, request *ReadRequest) (*ReadResponse, error) {
	request.Header = header(to, from)
	return call(ctx, c, to, relayTimeout+time.Duration(request.GetWait()), Peer.Read, request)
}

// Write makes a transaction through another host. The header of the request is filled in.
func (c *Client) Write(ctx context.Context, to Target, from Sender, request *WriteRequest) (*WriteResponse, error) {
	request.Header = header(to, from)
	return call(ctx, c, to, relayTimeout, Peer.Write, request)
}

// Timeline returns the member's events after the stamp.
func (c *Client) Timeline(ctx context.Context, to Target, from Sender, after int64) (*TimelineResponse, error) {
	return call(ctx, c, to, readTimeout, Peer.Timeline, &TimelineRequest{Header: header(to, from), After: after})
}

// Identify returns the id of the member that answers at an address. It is for hosts that know addresses
// only; what is asked of a member afterwards names the id.
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
