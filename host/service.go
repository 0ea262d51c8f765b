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

// announceWait bounds how long an announcement waits until the host has read the change.
const announceWait = 800 * time.Millisecond

// peerService answers other hosts.
type peerService struct{ host *Host }

// errLeft answers other hosts once this one no longer counts as a member.
var errLeft = twirp.NewError(twirp.Unavailable, "host: has left")

func (s *peerService) reply(header *peer.Header) *peer.Reply {
	s.host.observe(header.GetStamp())
	return &peer.Reply{Stamp: s.host.stamp()}
}

// Sync returns the rows that the asking host lacks.
func (s *peerService) Sync(ctx context.Context, r *peer.SyncRequest) (*peer.SyncResponse, error) {
	h := s.host
	if h.left.Load() {
		return nil, errLeft
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	copied := h.state.Replica()
	view := copied.View()
	copied.Acked(r.GetHeader().GetFrom(), r.GetAfter())
	if r.GetAfter() > view.Revision() {
		h.run(func(ctx context.Context) { _ = h.learn(ctx) })
	}
	return &peer.SyncResponse{
		Reply:    s.reply(r.GetHeader()),
		Rows:     peer.RowsOf(view.RowsAfter(r.GetAfter())),
		Revision: view.Revision(),
		TableAge: int64(copied.TableAge(h.Now())),
		Settled:  copied.Settled(),
	}, nil
}

// Announce reads the changes when the revision is not known yet, and returns what is applied.
func (s *peerService) Announce(ctx context.Context, r *peer.AnnounceRequest) (*peer.AnnounceResponse, error) {
	h := s.host
	if h.left.Load() {
		return nil, errLeft
	}
	if h.View().Revision() < r.GetRevision() {
		ctx, cancel := context.WithTimeout(ctx, announceWait)
		defer cancel()
		if err := h.learn(ctx); err != nil {
			h.log.Debug("host: unable to read announced change", "revision", r.GetRevision(), "error", err)
		}
	}
	return &peer.AnnounceResponse{Reply: s.reply(r.GetHeader()), Applied: h.View().Revision()}, nil
}

// Borrow lends tokens.
func (s *peerService) Borrow(ctx context.Context, r *peer.BorrowRequest) (*peer.BorrowResponse, error) {
	h := s.host
	asks := state.Asks{Account: r.GetAccount(), Loan: r.GetLoan(), Borrower: r.GetHeader().GetFrom(), Tokens: r.GetTokens()}
	tokens := h.lend(asks)
	if tokens > 0 {
		h.record(timeline.Event{Kind: timeline.Lent, Account: asks.Account, Note: "loan " + asks.Loan + " to " + asks.Borrower})
	}
	return &peer.BorrowResponse{Reply: s.reply(r.GetHeader()), Tokens: tokens}, nil
}

// lend applies the wish for a loan and returns the tokens that are lent.
func (h *Host) lend(asks state.Asks) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, effect := range h.state.Apply(h.Now(), asks) {
		if lent, answer := effect.(state.Lend); answer {
			return lent.Tokens
		}
	}
	return 0
}

// Repay takes back unused tokens.
func (s *peerService) Repay(ctx context.Context, r *peer.RepayRequest) (*peer.RepayResponse, error) {
	s.host.record(timeline.Event{Kind: timeline.Repaid, Account: r.GetAccount(), Note: "loan " + r.GetLoan()})
	s.host.Apply(state.Repaid{Account: r.GetAccount(), Loan: r.GetLoan(), Unused: r.GetUnused()})
	return &peer.RepayResponse{Reply: s.reply(r.GetHeader())}, nil
}

// Timeline returns the events of this host.
func (s *peerService) Timeline(ctx context.Context, r *peer.TimelineRequest) (*peer.TimelineResponse, error) {
	events, err := encodeEvents(s.host.events(uint64(max(r.GetAfter(), 0))))
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &peer.TimelineResponse{Reply: s.reply(r.GetHeader()), Events: events}, nil
}

func encodeEvents(events []timeline.Event) ([]*peer.Event, error) {
	list := make([]*peer.Event, len(events))
	for i, event := range events {
		detail, err := json.Marshal(event)
		if err != nil {
			return nil, errors.Annotate(err, "host: unable to encode event")
		}
		list[i] = &peer.Event{Stamp: event.Stamp.Wall, Host: event.Host, Kind: event.Kind.String(), Detail: detail}
	}
	return list, nil
}

func decodeEvents(events []*peer.Event) ([]timeline.Event, error) {
	list := make([]timeline.Event, len(events))
	for i, event := range events {
		if err := json.Unmarshal(event.GetDetail(), &list[i]); err != nil {
			return nil, errors.Annotate(err, "host: unable to decode event")
		}
	}
	return list, nil
}

// timelineOf returns the log of another host; a host that does not answer shows as a gap.
func (h *Host) timelineOf(ctx context.Context, member replica.Member) timeline.Log {
	events, err := h.remoteEvents(ctx, target(member.ID, member.Address))
	log := timeline.Log{Host: member.ID, Events: events}
	if err != nil {
		log.Missing = err.Error()
	}
	return log
}

func target(id, address string) peer.Target { return peer.Target{ID: id, Address: address} }

// missedOrReplaced returns the event for a member that did not answer as itself.
func missedOrReplaced(member string, err error) state.Event {
	var other *peer.MemberError
	if errors.As(err, &other) && other.Got != "" {
		return state.Replaced{Member: member}
	}
	return state.Missed{Member: member}
}

// Fetch is answered by hosts whose endpoints register themselves.
func (s *peerService) Fetch(context.Context, *peer.FetchRequest) (*peer.FetchResponse, error) {
	return nil, errNotOffered
}

// Read is answered by hosts whose endpoints register themselves.
func (s *peerService) Read(context.Context, *peer.ReadRequest) (*peer.ReadResponse, error) {
	return nil, errNotOffered
}

// Write is answered by hosts whose endpoints register themselves.
func (s *peerService) Write(context.Context, *peer.WriteRequest) (*peer.WriteResponse, error) {
	return nil, errNotOffered
}

// errNotOffered answers calls that only hosts whose endpoints register themselves offer.
var errNotOffered = twirp.NewError(twirp.Unimplemented, "host: endpoints are named by the pools table")
