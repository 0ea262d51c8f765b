package entry

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"magnoliahoist/dispatch"
	"magnoliahoist/peer"
)

// peerService implements the calls of other hosts.
type peerService struct{ host *Host }

// Borrow lends tokens of an account. A host that has been without contact with the store for so long that its part may have been
// given to another host lends none.
func (s *peerService) Borrow(_ context.Context, r *peer.BorrowRequest) (*peer.BorrowResponse, error) {
	h := s.host
	if h.store.Silence() > h.settings.MaxStoreSilence.Std() {
		return &peer.BorrowResponse{}, nil
	}
	event := dispatch.LoanRequested{Account: r.GetAccount(), Loan: r.GetLoan(), Borrower: r.GetHeader().GetFrom(), Tokens: r.GetTokens(), LargestShortfall: r.GetLeast(),
		MaxWait: time.Duration(r.GetMaxWaitUs()) * time.Microsecond, Refused: r.GetRefused(), Probe: r.GetProbe()}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, effect := range h.state.Apply(h.Now(), event) {
		if grant, granted := effect.(dispatch.GrantLoan); granted {
			return &peer.BorrowResponse{
				Tokens: grant.Tokens, WaitUs: (grant.Wait + time.Microsecond - 1).Microseconds(), RetryUs: grant.RetryAfter.Microseconds(),
				Knows: grant.Knows, LoansEndUs: (grant.LoansEnd + time.Microsecond - 1).Microseconds(),
			}, nil
		}
	}
	return &peer.BorrowResponse{}, nil
}

// Repay takes back the unused part of a loan.
func (s *peerService) Repay(_ context.Context, r *peer.RepayRequest) (*peer.RepayResponse, error) {
	s.host.Apply(dispatch.LoanRepaid{Account: r.GetAccount(), Loan: r.GetLoan(), Unused: r.GetUnused(), Ended: r.GetEnded()})
	return &peer.RepayResponse{}, nil
}

// Summary records the demand and load of another host and returns the load of the others, with the table changes that
// the caller lacks. A host that does not hold the lease returns only the changes, as a deputy.
func (s *peerService) Summary(_ context.Context, r *peer.SummaryRequest) (*peer.SummaryResponse, error) {
	h := s.host
	use := poolUse{demand: demandsFromWire(r.GetDemands()), loads: loadsFromWire(r.GetLoads()), unserved: adaptersFromWire(r.GetUnserved())}
	revision, clock := h.store.OperatorState()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.markView(r.GetHeader().GetFrom(), r.GetMembersAfter())
	h.apply(dispatch.EvidenceChanged{Evidence: crashesFromWire(r.GetCrashes())})
	loads, held := h.recordUse(r.GetPool(), r.GetHeader().GetFrom(), use)
	if !held && !r.GetDeputies() {
		return nil, twirp.NewError(twirp.Unavailable, "entry: does not hold the lease")
	}
	response := &peer.SummaryResponse{
		Loads:         loadsToWire(loads),
		Endpoints:     h.registry.changesAfter(r.GetEndpointsAfter()),
		Members:       h.fleet.rows.changesAfter(r.GetMembersAfter()),
		Configuration: &peer.Changes{Revision: revision, Clock: int64(clock)},
		Deputy:        !held,
	}
	reports, crashRevision := h.state.CrashReports(h.Now(), r.GetCrashesAfter())
	response.Crashes, response.CrashesRevision = crashesToWire(reports), crashRevision
	if !held {
		response.Holder = h.respondingHolder(r.GetPool())
	}
	return response, nil
}

// Fetch loads an adapter on an endpoint of a pool whose lease this host holds.
func (s *peerService) Fetch(ctx context.Context, r *peer.FetchRequest) (*peer.FetchResponse, error) {
	loaded := s.host.fetchAdapter(ctx, r.GetPool(), dispatch.Adapter{Model: r.GetModel(), Adapter: r.GetAdapter()}, r.GetEndpoint())
	return &peer.FetchResponse{Loaded: loaded}, nil
}

// Read reads from the store on behalf of a host without contact with it.
func (s *peerService) Read(ctx context.Context, r *peer.ReadRequest) (*peer.ReadResponse, error) {
	return s.host.readForHost(ctx, r)
}

// Write commits a transaction on behalf of a host without contact with the store.
func (s *peerService) Write(ctx context.Context, r *peer.WriteRequest) (*peer.WriteResponse, error) {
	return s.host.writeForHost(ctx, r)
}

// Sync is not implemented: hosts learn of changes from the store, from lease holders or by Read.
func (s *peerService) Sync(context.Context, *peer.SyncRequest) (*peer.SyncResponse, error) {
	return nil, errUnimplemented
}

// Announce is not implemented: the store's response to the operator is the acknowledgement.
func (s *peerService) Announce(context.Context, *peer.AnnounceRequest) (*peer.AnnounceResponse, error) {
	return nil, errUnimplemented
}

// Timeline is not implemented.
func (s *peerService) Timeline(context.Context, *peer.TimelineRequest) (*peer.TimelineResponse, error) {
	return nil, errUnimplemented
}

// errUnimplemented is returned for calls that only hosts with a static table of pools implement.
var errUnimplemented = twirp.NewError(twirp.Unimplemented, "entry: endpoints register themselves here")
