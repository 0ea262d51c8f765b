package state

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"magnoliahoist/account"
	"magnoliahoist/endpoint"
	"magnoliahoist/pool"
	"magnoliahoist/replica"
	"magnoliahoist/route"
	"magnoliahoist/table"
)

// Rate (tokens a second) and burst (tokens) of the account under test, and the host's freshness window.
const (
	testRate   = 100.0
	testBurst  = 1000
	testWindow = 3 * time.Second
)

// machine applies the same random events to two states and checks that their effects are equal and allowed.
type machine struct {
	now               time.Duration
	states            [2]*State
	rows              map[string]table.Row
	revision          int64
	lastRequest       uint64
	requests          map[uint64]*observedRequest
	takes             []tokenTake
	withdrawn         bool
	withdrawalLearned bool // the states have applied the withdrawal of the key
}

// tokenTake is the tokens that a request took, and when.
type tokenTake struct {
	request uint64
	takenAt time.Duration
	tokens  int64
}

// observedRequest is what the effects so far say of a request.
type observedRequest struct {
	arrive    RequestArrived
	route     string
	maxCost   int64
	running   bool
	ended     bool
	sent      bool // an attempt may have reached an endpoint
	sendCount int
	aborted   bool
}

func newMachine() *machine {
	m := &machine{rows: map[string]table.Row{}, requests: map[uint64]*observedRequest{}}
	for i := range m.states {
		m.states[i] = New(Settings{Host: "h1", Domain: "d", Group: "all", FreshnessWindow: testWindow, TablePollInterval: time.Second,
			MaxAttempts: 3, HoldersPerAccount: 5, EndpointView: endpoint.Settings{}.WithDefaults()})
	}
	names := []string{"yards"}
	m.writeRow(replica.KeyForMember("h1"), replica.EncodeMember(replica.Member{ID: "h1", Address: "a", Group: "all"}))
	m.writeRow(replica.KeyForAccount("yards"), replica.EncodeAccount(account.Account{Name: "yards", Rate: testRate, Burst: testBurst}))
	m.writeRow(replica.KeyForAccountKey("digest"), replica.EncodeKey(account.Key{Digest: "digest", Account: "yards"}))
	m.writeRow(replica.KeyForShare("yards"), replica.EncodeShare(replica.Share{Parts: []replica.Part{{Host: "h1", Fraction: 1}}}))
	m.writeRow(replica.KeyForRoute("model"), replica.EncodeRoute(route.Route{Name: "model", Model: "m", Pool: "p", Accounts: names, Tokens: 100}))
	for name, calls := range map[string]route.Calls{"once": route.AtMostOnce, "plain": route.Plain, "idempotent": route.Idempotent} {
		r := route.Route{Name: name, Kind: route.Service, Prefix: "/" + name + "/", Pool: "s", Accounts: names, Calls: calls, Tokens: 10}
		m.writeRow(replica.KeyForRoute(name), replica.EncodeRoute(r))
	}
	m.writeRow(replica.KeyForPool("p"), replica.EncodePool(pool.Pool{Name: "p", Models: []pool.Model{{Name: "m", Version: "1"}}, Endpoints: endpoints("e", 3)}))
	m.writeRow(replica.KeyForPool("s"), replica.EncodePool(pool.Pool{Name: "s", Kind: route.Service, Endpoints: endpoints("f", 2)}))
	return m
}

func endpoints(prefix string, count int) []pool.Endpoint {
	list := make([]pool.Endpoint, count)
	for i := range list {
		name := fmt.Sprintf("%s%d", prefix, i)
		list[i] = pool.Endpoint{Name: name, Address: name, Domain: "d", Slots: 2}
	}
	return list
}

func (m *machine) writeRow(key string, value []byte) {
	m.revision++
	m.rows[key] = table.Row{Key: key, Value: value, Revision: m.revision}
}

// apply applies an event to both states and checks the effects.
func (m *machine) apply(t *rapid.T, event Event) {
	first := slices.Clone(m.states[0].Apply(m.now, event))
	second := m.states[1].Apply(m.now, event)
	if a, b := fmt.Sprintf("%+v", first), fmt.Sprintf("%+v", second); a != b {
		t.Fatalf("the same events gave different effects:\n%s\n%s", a, b)
	}
	for _, effect := range first {
		m.checkEffect(t, effect)
	}
}

// checkEffect fails the test if an effect is not allowed now.
func (m *machine) checkEffect(t *rapid.T, effect Effect) {
	switch e := effect.(type) {
	case SendAttempt:
		r := m.requests[e.Request]
		switch {
		case r.ended || r.running:
			t.Fatalf("request %d is sent although it has ended or is running", e.Request)
		case !m.states[0].replica.Fresh(m.now):
			t.Fatalf("request %d is sent by a host that is not fresh", e.Request)
		case e.LatestStart > m.now+maxSendDelay:
			t.Fatalf("request %d may be sent until %s, more than maxSendDelay after its tokens are taken at %s", e.Request, e.LatestStart, m.now)
		case m.withdrawalLearned:
			t.Fatalf("request %d is sent with a withdrawn key", e.Request)
		case r.sent && (r.route == "once" || r.route == "plain"):
			t.Fatalf("request %d on route %s is sent again, although the route is not idempotent", e.Request, r.route)
		}
		if r.sendCount == 0 {
			m.recordTake(t, e.Request, r.maxCost)
		}
		r.running, r.sendCount = true, r.sendCount+1
	case RefuseRequest:
		r := m.requests[e.Request]
		if r.ended || r.running {
			t.Fatalf("request %d is refused although it has ended or is running", e.Request)
		}
		if r.sent != (e.Run != RunNo) {
			t.Fatalf("request %d is refused as run %s, although sent is %v", e.Request, e.Run, r.sent)
		}
		r.ended = true
	case AbortRequest:
		m.requests[e.Request].aborted = true
	}
}

// recordTake records a take and checks that the tokens of every interval that ends now are at most burst + rate * interval.
func (m *machine) recordTake(t *rapid.T, request uint64, tokens int64) {
	m.takes = append(m.takes, tokenTake{request, m.now, tokens})
	var sum int64
	for _, earlier := range slices.Backward(m.takes) {
		sum += earlier.tokens
		if limit := testBurst + testRate*(m.now-earlier.takenAt).Seconds(); float64(sum) > limit+1e-6 {
			t.Fatalf("%d tokens taken since %s, at most %.1f allowed", sum, earlier.takenAt, limit)
		}
	}
}

func (m *machine) running() []uint64 {
	var list []uint64
	for id, r := range m.requests {
		if r.running {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

func (m *machine) applyRows(t *rapid.T) {
	view := m.states[0].Replica().View()
	snapshot := table.Snapshot{Revision: m.revision}
	for _, row := range m.rows {
		if row.Revision > view.Revision() {
			snapshot.Rows = append(snapshot.Rows, row)
		}
	}
	m.withdrawalLearned = m.withdrawalLearned || m.withdrawn
	m.apply(t, RowsReceived{Source: replica.FromTable{}, StartedAt: m.now, After: view.Revision(), Rows: snapshot})
	if !m.withdrawalLearned {
		return
	}
	for _, id := range m.running() {
		if !m.requests[id].aborted {
			t.Fatalf("request %d is not aborted although its key is withdrawn", id)
		}
	}
}

func (m *machine) arriveRequest(t *rapid.T) {
	m.lastRequest++
	name := rapid.SampledFrom([]string{"model", "model", "once", "plain", "idempotent"}).Draw(t, "route")
	a := RequestArrived{Request: m.lastRequest, KeyDigest: "digest", HasIdempotencyKey: true}
	r := &observedRequest{arrive: a, route: name, maxCost: 10}
	if name == "model" {
		a.Model, a.PromptTokens, a.CallerMaxTokens = name, rapid.Int64Range(1, 300).Draw(t, "prompt"), rapid.Int64Range(1, 100).Draw(t, "limit")
		r.maxCost = a.PromptTokens + a.CallerMaxTokens
	} else {
		a.Path = "/" + name + "/x"
	}
	m.requests[a.Request] = r
	m.apply(t, a)
	if r.route == "once" && !r.ended {
		m.apply(t, IntentRecorded{Request: a.Request})
	}
}

func (m *machine) finishAttempt(t *rapid.T) {
	running := m.running()
	if len(running) == 0 {
		t.Skip("no request is running")
	}
	id := rapid.SampledFrom(running).Draw(t, "request")
	r := m.requests[id]
	outcome := rapid.SampledFrom([]endpoint.Outcome{endpoint.Done, endpoint.Failed, endpoint.Refused, endpoint.Interrupted}).Draw(t, "outcome")
	e := AttemptFinished{Request: id, Outcome: outcome, UsedTokens: -1, Sent: outcome != endpoint.Refused, Retryable: outcome != endpoint.Done}
	if r.aborted {
		e.Outcome, e.Retryable = endpoint.Cancelled, false
	}
	r.running, r.sent = false, r.sent || e.Sent
	// A request that ends without having been sent has used no tokens. They are returned in the same step, so the next
	// request may take them at once; the record is removed before the event and put back if the request is retried.
	own := slices.IndexFunc(m.takes, func(t tokenTake) bool { return t.request == id })
	take := m.takes[own]
	if !r.sent {
		m.takes = slices.Delete(slices.Clone(m.takes), own, own+1)
	}
	m.apply(t, e)
	if r.running {
		if !r.sent {
			m.takes = append(m.takes, take)
			slices.SortStableFunc(m.takes, func(a, b tokenTake) int { return cmp.Compare(a.takenAt, b.takenAt) })
		}
	} else {
		r.ended = true
	}
}

// warmUpTime is the time after which the host holds the account's part and its bucket is full.
const warmUpTime = 20 * time.Second

// warmUp runs until warmUpTime and checks that the first request is then sent.
func (m *machine) warmUp(t *rapid.T) {
	for ; m.now < warmUpTime; m.now += time.Second {
		m.apply(t, Tick{})
		m.applyRows(t)
	}
	m.arriveRequest(t)
	if !m.requests[1].running {
		t.Fatalf("the first request is not sent after %s", warmUpTime)
	}
}

// TestPropertyState guards against effects that differ for the same events, an attempt by a host that is not
// fresh or with a withdrawn key (invariant I5), a refusal that says "not run" for a request that may have run (I8),
// a second attempt of a call that must not be repeated (I9), and tokens beyond the allowance (I6).
func TestPropertyState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		m.warmUp(t)
		t.Repeat(map[string]func(*rapid.T){
			"arrive": m.arriveRequest,
			"finish": m.finishAttempt,
			"learn":  m.applyRows,
			"tick": func(t *rapid.T) {
				m.now += time.Duration(rapid.IntRange(1, 1200).Draw(t, "ms")) * time.Millisecond
				m.apply(t, Tick{})
			},
			"withdraw": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rarely") == 0 && !m.withdrawn {
					m.withdrawn = true
					m.writeRow(replica.KeyForAccountKey("digest"), replica.EncodeKey(account.Key{Digest: "digest", Account: "yards", Withdrawn: true}))
				}
			},
			"leave": func(t *rapid.T) {
				for id, r := range m.requests {
					if id == m.lastRequest && !r.running && !r.ended {
						r.ended = true
						m.apply(t, RequestAbandoned{Request: id})
					}
				}
			},
		})
	})
}
