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

// Figures of the account under test.
const (
	testRate  = 100.0
	testBurst = 1000
	testWin   = 3 * time.Second
)

// machine drives two states with the same events and checks what they do.
type machine struct {
	now       time.Duration
	states    [2]*State
	rows      map[string]table.Row
	revision  int64
	next      uint64
	requests  map[uint64]*observed
	taken     []take
	withdrawn bool
	known     bool // the withdrawal has been learned
}

// take is a number of tokens that a request used at a time.
type take struct {
	request uint64
	at      time.Duration
	tokens  int64
}

// observed is what the effects said of a request.
type observed struct {
	arrive  Arrive
	route   string
	bound   int64
	running bool
	ended   bool
	sent    bool // an attempt may have reached an endpoint
	sends   int
	cut     bool
}

func newMachine() *machine {
	m := &machine{rows: map[string]table.Row{}, requests: map[uint64]*observed{}}
	for i := range m.states {
		m.states[i] = New(Settings{Host: "h1", Domain: "d", Group: "all", Window: testWin, Poll: time.Second,
			Attempts: 3, Holders: 5, View: endpoint.Settings{}.WithDefaults()})
	}
	names := []string{"yards"}
	m.write(replica.KeyForMember("h1"), replica.EncodeMember(replica.Member{ID: "h1", Address: "a", Group: "all"}))
	m.write(replica.KeyForAccount("yards"), replica.EncodeAccount(account.Account{Name: "yards", Rate: testRate, Burst: testBurst}))
	m.write(replica.KeyForKey("digest"), replica.EncodeKey(account.Key{Digest: "digest", Account: "yards"}))
	m.write(replica.KeyForShare("yards"), replica.EncodeShare(replica.Share{Parts: []replica.Part{{Host: "h1", Part: 1}}}))
	m.write(replica.KeyForRoute("model"), replica.EncodeRoute(route.Route{Name: "model", Model: "m", Pool: "p", Accounts: names, Tokens: 100}))
	for name, calls := range map[string]route.Calls{"once": route.Once, "plain": route.Plain, "idempotent": route.Idempotent} {
		r := route.Route{Name: name, Kind: route.Service, Prefix: "/" + name + "/", Pool: "s", Accounts: names, Calls: calls, Tokens: 10}
		m.write(replica.KeyForRoute(name), replica.EncodeRoute(r))
	}
	m.write(replica.KeyForPool("p"), replica.EncodePool(pool.Pool{Name: "p", Models: []pool.Model{{Name: "m", Version: "1"}}, Endpoints: endpoints("e", 3)}))
	m.write(replica.KeyForPool("s"), replica.EncodePool(pool.Pool{Name: "s", Kind: route.Service, Endpoints: endpoints("f", 2)}))
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

func (m *machine) write(key string, value []byte) {
	m.revision++
	m.rows[key] = table.Row{Key: key, Value: value, Revision: m.revision}
}

// apply gives an event to both states and checks the effects.
func (m *machine) apply(t *rapid.T, event Event) {
	first := slices.Clone(m.states[0].Apply(m.now, event))
	second := m.states[1].Apply(m.now, event)
	if a, b := fmt.Sprintf("%+v", first), fmt.Sprintf("%+v", second); a != b {
		t.Fatalf("the same events gave different effects:\n%s\n%s", a, b)
	}
	for _, effect := range first {
		m.check(t, effect)
	}
}

func (m *machine) check(t *rapid.T, effect Effect) {
	switch e := effect.(type) {
	case Send:
		r := m.requests[e.Request]
		switch {
		case r.ended || r.running:
			t.Fatalf("request %d is sent although it has ended or runs", e.Request)
		case !m.states[0].replica.Fresh(m.now):
			t.Fatalf("request %d is sent by a host that is not fresh", e.Request)
		case e.Until > m.now+sendPatience:
			t.Fatalf("request %d may be sent until %s, its tokens are taken at %s", e.Request, e.Until, m.now)
		case m.known:
			t.Fatalf("request %d is sent with a withdrawn key", e.Request)
		case r.sent && (r.route == "once" || r.route == "plain"):
			t.Fatalf("request %d on route %s is sent again", e.Request, r.route)
		}
		if r.sends == 0 {
			m.take(t, e.Request, r.bound)
		}
		r.running, r.sends = true, r.sends+1
	case Refuse:
		r := m.requests[e.Request]
		if r.ended || r.running {
			t.Fatalf("request %d is refused although it has ended or runs", e.Request)
		}
		if r.sent != (e.Run != RunNo) {
			t.Fatalf("request %d: sent %v, refusal says run %s", e.Request, r.sent, e.Run)
		}
		r.ended = true
	case Cut:
		m.requests[e.Request].cut = true
	}
}

// take checks that the tokens of every interval up to now stay within burst and rate.
func (m *machine) take(t *rapid.T, request uint64, tokens int64) {
	m.taken = append(m.taken, take{request, m.now, tokens})
	var sum int64
	for _, earlier := range slices.Backward(m.taken) {
		sum += earlier.tokens
		if limit := testBurst + testRate*(m.now-earlier.at).Seconds(); float64(sum) > limit+1e-6 {
			t.Fatalf("%d tokens since %s, allowed %.1f", sum, earlier.at, limit)
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

func (m *machine) learn(t *rapid.T) {
	view := m.states[0].Replica().View()
	snapshot := table.Snapshot{Revision: m.revision}
	for _, row := range m.rows {
		if row.Revision > view.Revision() {
			snapshot.Rows = append(snapshot.Rows, row)
		}
	}
	m.known = m.known || m.withdrawn
	m.apply(t, Learned{Source: replica.FromTable{}, Started: m.now, After: view.Revision(), Rows: snapshot})
	if !m.known {
		return
	}
	for _, id := range m.running() {
		if !m.requests[id].cut {
			t.Fatalf("request %d goes on with a withdrawn key", id)
		}
	}
}

func (m *machine) arrive(t *rapid.T) {
	m.next++
	name := rapid.SampledFrom([]string{"model", "model", "once", "plain", "idempotent"}).Draw(t, "route")
	a := Arrive{Request: m.next, Digest: "digest", Once: true}
	r := &observed{arrive: a, route: name, bound: 10}
	if name == "model" {
		a.Model, a.Prompt, a.Limit = name, rapid.Int64Range(1, 300).Draw(t, "prompt"), rapid.Int64Range(1, 100).Draw(t, "limit")
		r.bound = a.Prompt + a.Limit
	} else {
		a.Path = "/" + name + "/x"
	}
	m.requests[a.Request] = r
	m.apply(t, a)
	if r.route == "once" && !r.ended {
		m.apply(t, Begun{Request: a.Request})
	}
}

func (m *machine) finish(t *rapid.T) {
	running := m.running()
	if len(running) == 0 {
		t.Skip("nothing runs")
	}
	id := rapid.SampledFrom(running).Draw(t, "request")
	r := m.requests[id]
	outcome := rapid.SampledFrom([]endpoint.Outcome{endpoint.Done, endpoint.Failed, endpoint.Refused, endpoint.Cut}).Draw(t, "outcome")
	e := Finished{Request: id, Outcome: outcome, Used: -1, Sent: outcome != endpoint.Refused, Retry: outcome != endpoint.Done}
	if r.cut {
		e.Outcome, e.Retry = endpoint.Cancelled, false
	}
	r.running, r.sent = false, r.sent || e.Sent
	// A request that ends without having been sent has used nothing; its tokens are given back in
	// the same step and may go to the next request at once.
	own := slices.IndexFunc(m.taken, func(t take) bool { return t.request == id })
	used := m.taken[own]
	if !r.sent {
		m.taken = slices.Delete(slices.Clone(m.taken), own, own+1)
	}
	m.apply(t, e)
	if r.running {
		if !r.sent {
			m.taken = append(m.taken, used)
			slices.SortStableFunc(m.taken, func(a, b take) int { return cmp.Compare(a.at, b.at) })
		}
	} else {
		r.ended = true
	}
}

// warmUp is the time after which the account's part is held and its bucket is full.
const warmUp = 20 * time.Second

func (m *machine) warm(t *rapid.T) {
	for ; m.now < warmUp; m.now += time.Second {
		m.apply(t, Tick{})
		m.learn(t)
	}
	m.arrive(t)
	if !m.requests[1].running {
		t.Fatalf("the first request is not sent")
	}
}

// TestPropertyState guards against effects that differ for the same events, a send by a host that is not
// fresh or with a withdrawn key (I5), an untrue "not run" (I8), a call that may not be repeated and is
// sent again (I9), and tokens above the limit (I6).
func TestPropertyState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		m.warm(t)
		t.Repeat(map[string]func(*rapid.T){
			"arrive": m.arrive,
			"finish": m.finish,
			"learn":  m.learn,
			"tick": func(t *rapid.T) {
				m.now += time.Duration(rapid.IntRange(1, 1200).Draw(t, "ms")) * time.Millisecond
				m.apply(t, Tick{})
			},
			"withdraw": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rarely") == 0 && !m.withdrawn {
					m.withdrawn = true
					m.write(replica.KeyForKey("digest"), replica.EncodeKey(account.Key{Digest: "digest", Account: "yards", Withdrawn: true}))
				}
			},
			"leave": func(t *rapid.T) {
				for id, r := range m.requests {
					if id == m.next && !r.running && !r.ended {
						r.ended = true
						m.apply(t, Left{Request: id})
					}
				}
			},
		})
	})
}
