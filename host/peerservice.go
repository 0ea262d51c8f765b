package host

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"
	"github.com/twitchtv/twirp"

	"magnoliahoist/peer"
	"magnoliahoist/replica"
	"magnoliahoist/state"
	"magnoliahoist/timeline"
)

// announceTimeout bounds how long an announcement waits until this host has read the change.
const announceTimeout = 800 * time.Millisecond

// peerService implements the calls of other hosts.
type peerService struct{ host *Host }

// errLeft is returned to other hosts once this host has begun to remove its member row.
var errLeft = twirp.NewError(twirp.Unavailable, "host: has left")

// reply advances the host's clock past the timestamp in a request and returns the common part of the response.
func (s *peerService) reply(header *peer.Header) *peer.Reply {
	s.host.advanceClock(header.GetStamp())
	return &peer.Reply{Stamp: s.host.timestamp()}
}

// Sync returns the rows that changed after the revision that the calling host has applied. If that revision is newer than
// this host's, this host reads the changes from the table service.
func (s *peerService) Sync(ctx context.Context, r *peer.SyncRequest) (*peer.SyncResponse, error) {
	h := s.host
	if h.hasLeft.Load() {
		return nil, errLeft
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	localReplica := h.state.Replica()
	view := localReplica.View()
	localReplica.RecordApplied(r.GetHeader().GetFrom(), r.GetAfter())
	if r.GetAfter() > view.Revision() {
		h.spawn(func(ctx context.Context) { _ = h.readChanges(ctx) })
	}
	return &peer.SyncResponse{
		Reply:    s.reply(r.GetHeader()),
		Rows:     peer.RowMessages(view.RowsAfter(r.GetAfter())),
		Revision: view.Revision(),
		TableAge: int64(localReplica.TableContactAge(h.Now())),
		Settled:  localReplica.SettledRevision(),
	}, nil
}

// Announce reads the changes from the table service if this host has not applied the revision yet, and returns the revision
// that it has applied.
func (s *peerService) Announce(ctx context.Context, r *peer.AnnounceRequest) (*peer.AnnounceResponse, error) {
	h := s.host
	if h.hasLeft.Load() {
		return nil, errLeft
	}
	if h.View().Revision() < r.GetRevision() {
		ctx, cancel := context.WithTimeout(ctx, announceTimeout)
		defer cancel()
		if err := h.readChanges(ctx); err != nil {
			h.log.Debug("host: unable to read an announced change", "revision", r.GetRevision(), "error", err)
		}
	}
	return &peer.AnnounceResponse{Reply: s.reply(r.GetHeader()), Applied: h.View().Revision()}, nil
}

// Borrow lends tokens to the calling host, as many as this host can spare.
func (s *peerService) Borrow(ctx context.Context, r *peer.BorrowRequest) (*peer.BorrowResponse, error) {
	h := s.host
	request := state.LoanRequested{Account: r.GetAccount(), Loan: r.GetLoan(), Borrower: r.GetHeader().GetFrom(), Tokens: r.GetTokens()}
	tokens := h.grantLoan(request)
	if tokens > 0 {
		h.record(timeline.Event{Kind: timeline.Lent, Account: request.Account, Note: "loan " + request.Loan + " to " + request.Borrower})
	}
	return &peer.BorrowResponse{Reply: s.reply(r.GetHeader()), Tokens: tokens}, nil
}

// grantLoan passes the request for a loan to the state machine and returns the number of tokens that it lends.
func (h *Host) grantLoan(request state.LoanRequested) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, effect := range h.state.Apply(h.Now(), request) {
		if grant, isGrant := effect.(state.GrantLoan); isGrant {
			return grant.Tokens
		}
	}
	return 0
}

// Repay takes back the unused tokens of a loan.
func (s *peerService) Repay(ctx context.Context, r *peer.RepayRequest) (*peer.RepayResponse, error) {
	s.host.record(timeline.Event{Kind: timeline.Repaid, Account: r.GetAccount(), Note: "loan " + r.GetLoan()})
	s.host.Apply(state.LoanRepaid{Account: r.GetAccount(), Loan: r.GetLoan(), Unused: r.GetUnused()})
	return &peer.RepayResponse{Reply: s.reply(r.GetHeader())}, nil
}

// Timeline returns the timeline events of this host.
func (s *peerService) Timeline(ctx context.Context, r *peer.TimelineRequest) (*peer.TimelineResponse, error) {
	events, err := encodeEvents(s.host.events(uint64(max(r.GetAfter(), 0))))
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &peer.TimelineResponse{Reply: s.reply(r.GetHeader()), Events: events}, nil
}

// encodeEvents converts events to messages.
func encodeEvents(events []timeline.Event) ([]*peer.Event, error) {
	list := make([]*peer.Event, len(events))
	for i, event := range events {
		detail, err := json.Marshal(event)
		if err != nil {
			return nil, errors.Annotate(err, "host: unable to encode event")
		}
		list[i] = &peer.Event{Stamp: event.Timestamp.Wall, Host: event.Host, Kind: event.Kind.String(), Detail: detail}
	}
	return list, nil
}

// decodeEvents converts messages to events.
func decodeEvents(events []*peer.Event) ([]timeline.Event, error) {
	list := make([]timeline.Event, len(events))
	for i, event := range events {
		if err := json.Unmarshal(event.GetDetail(), &list[i]); err != nil {
			return nil, errors.Annotate(err, "host: unable to decode event")
		}
	}
	return list, nil
}

// timelineOf returns the log of another host. If the host does not respond, the log contains the error, which the timeline
// shows as a gap.
func (h *Host) timelineOf(ctx context.Context, member replica.Member) timeline.Log {
	events, err := h.readRemoteEvents(ctx, peerTarget(member.ID, member.Address))
	log := timeline.Log{Host: member.ID, Events: events}
	if err != nil {
		log.MissingReason = err.Error()
	}
	return log
}

// peerTarget returns the target of a call to a member.
func peerTarget(id, address string) peer.Target { return peer.Target{ID: id, Address: address} }

// memberFailureEvent returns the event for a failed call to a member: another member responded at its address, or none did.
func memberFailureEvent(member string, err error) state.Event {
	var mismatch *peer.MemberError
	if errors.As(err, &mismatch) && mismatch.Got != "" {
		return state.MemberReplaced{Member: member}
	}
	return state.MemberSilent{Member: member}
}

// Fetch is implemented only by hosts whose endpoints register themselves.
func (s *peerService) Fetch(context.Context, *peer.FetchRequest) (*peer.FetchResponse, error) {
	return nil, errUnimplemented
}

// Read is implemented only by hosts whose endpoints register themselves.
func (s *peerService) Read(context.Context, *peer.ReadRequest) (*peer.ReadResponse, error) {
	return nil, errUnimplemented
}

// Write is implemented only by hosts whose endpoints register themselves.
func (s *peerService) Write(context.Context, *peer.WriteRequest) (*peer.WriteResponse, error) {
	return nil, errUnimplemented
}

// Configuration is implemented only by hosts whose endpoints register themselves.
func (s *peerService) Configuration(context.Context, *peer.ConfigurationRequest) (*peer.ConfigurationResponse, error) {
	return nil, errUnimplemented
}

// errUnimplemented is returned for calls that only hosts whose endpoints register themselves implement.
var errUnimplemented = twirp.NewError(twirp.Unimplemented, "host: endpoints are named by the pools table")
