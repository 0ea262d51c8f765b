package bench

import (
	"math/rand/v2"
	"slices"
	"time"

	"magnoliahoist/endpoint"
	"magnoliahoist/placement"
	"magnoliahoist/replica"
	"magnoliahoist/state"
)

// node is a host of the run.
type node struct {
	id    string
	state *state.State
	down  bool
}

// call is a request of a caller.
type call struct {
	arrival
	node    *node
	account string
	bound   int64
	first   time.Duration // when the caller got the first token
	gap     time.Duration
	job     *job
}

// run is one run of the benchmark.
type run struct {
	clock
	Deployment
	input    Input
	variant  Variant
	random   *rand.Rand // of lost orders
	rows     *rows
	nodes    []*node
	engines  map[string]*engine
	names    []string
	manager  *placement.Manager
	number   int64 // fencing number of the manager
	calls    map[uint64]*call
	meters   map[string]*meter
	asked    map[string]float64 // decaying tokens by model
	attained int
	total    int
	failed   int
	moves    int
}

// Run carries out one run and returns its measures.
func Run(d Deployment, in Input, v Variant, seed uint64) Result {
	d = d.scaled(in.Scale)
	r := newRun(d, in, v, seed)
	arrivals := demand(d, in, seed)
	for id, a := range arrivals {
		r.after(a.at, func() { r.arrive(uint64(id+1), a) })
	}
	r.faults()
	r.every(reportPeriod, func() bool { r.place(); return true })
	r.runUntil(warm + in.Length + tail)
	return r.result(arrivals)
}

func newRun(d Deployment, in Input, v Variant, seed uint64) *run {
	r := &run{
		Deployment: d, input: in, variant: v, random: rand.New(rand.NewPCG(seed, 2)), rows: newRows(d),
		engines: map[string]*engine{}, calls: map[uint64]*call{}, meters: map[string]*meter{}, asked: map[string]float64{},
	}
	for n, domain := range d.Domains {
		settings := v.settings(state.Settings{
			Host: hostID(n), Domain: domain, Group: "all", Window: window, Poll: poll, Attempts: 3, Holders: hosts,
			View: endpoint.Settings{Seed: seed + uint64(n), Distance: distance},
		})
		x := &node{id: hostID(n), state: state.New(settings)}
		r.nodes = append(r.nodes, x)
		// Hosts do not tick at the same moment.
		r.after(time.Duration(n)*tickPeriod/hosts, func() {
			r.every(tickPeriod, func() bool { r.apply(x, state.Tick{}); return !x.down })
		})
	}
	for _, e := range modelPool(d.Pools).Endpoints {
		r.engines[e.Name] = newEngine(&r.clock, e)
		r.names = append(r.names, e.Name)
	}
	for _, a := range d.Routes.Accounts {
		r.meters[a.Name] = newMeter(a)
	}
	return r
}

// distance is that of package host.
func distance(a, b string) float64 {
	if a == b {
		return 0
	}
	return 0.05
}

func (r *run) faults() {
	if r.input.Endpoint {
		lost := r.engines[r.names[1]]
		r.after(faultAt, func() { lost.fail() })
		r.after(faultAt+faultFor, func() { lost.down = false })
	}
	if r.input.Failing {
		failing := r.engines[r.names[1]]
		r.after(faultAt, func() { failing.failing = true })
		r.after(faultAt+faultFor, func() { failing.failing = false })
	}
	if r.input.Host {
		r.after(faultAt, func() { r.loseHost(r.nodes[0]) })
	}
	if r.input.Table {
		r.after(faultAt, func() { r.rows.down = true })
		r.after(faultAt+tableOutage, func() { r.rows.down = false })
	}
	r.every(time.Second, func() bool {
		listed := map[string]bool{}
		for _, x := range r.nodes {
			if !x.down || r.input.StaleList {
				listed[x.id] = true
			}
		}
		for _, x := range r.nodes {
			r.apply(x, state.Hosts{Read: r.now, Addresses: listed})
		}
		return true
	})
}

// loseHost ends a host; its callers' requests are lost and their connections reach other hosts.
func (r *run) loseHost(x *node) {
	x.down = true
	for id, c := range r.calls {
		if c.node != x {
			continue
		}
		if c.job != nil {
			c.job.canceled = true
		}
		r.failed++
		delete(r.calls, id)
	}
}

func (r *run) arrive(id uint64, a arrival) {
	x := r.nodes[a.host]
	for x.down {
		x = r.nodes[(slices.Index(r.nodes, x)+1+int(id%(hosts-1)))%hosts]
	}
	entry := r.Routes.Routes[a.route]
	name := r.Routes.Accounts[a.account].Name
	prompt := int64(prefixLength + promptRest)
	c := &call{arrival: a, node: x, account: name, bound: prompt + min(answerLimit, entry.Tokens)}
	r.total++
	r.calls[id] = c
	r.asked[entry.Model] += float64(prompt + int64(a.answer))
	r.after(r.Client, func() {
		r.apply(x, state.Arrive{
			Request: id, Digest: digestOf(name), Model: entry.Name, Prompt: prompt, Limit: answerLimit, Prefix: a.prefix,
		})
	})
}

func (r *run) apply(x *node, event state.Event) {
	if x.down {
		return
	}
	for _, effect := range slices.Clone(x.state.Apply(r.now, event)) {
		r.carry(x, effect)
	}
}

// later applies an event after a delay.
func (r *run) later(x *node, d time.Duration, event state.Event) {
	r.after(d, func() { r.apply(x, event) })
}

func (r *run) nodeByID(id string) *node {
	return r.nodes[slices.IndexFunc(r.nodes, func(x *node) bool { return x.id == id })]
}

// carry answers an effect.
func (r *run) carry(x *node, effect state.Effect) {
	switch e := effect.(type) {
	case state.Send:
		r.send(x, e)
	case state.Refuse:
		r.refuse(e)
	case state.Cut:
		r.cut(x, e)
	case state.ReadTable:
		r.read(x, e.After)
	case state.SyncMember:
		r.sync(x, e)
	case state.Announce:
		r.announce(x, e)
	case state.Commit:
		r.commit(x, e)
	case state.Borrow:
		r.borrow(x, e)
	case state.Repay:
		to := r.nodeByID(e.Lender)
		r.later(to, r.Delay, state.Repaid{Account: e.Account, Loan: e.Loan, Unused: e.Unused})
	}
}

func (r *run) send(x *node, e state.Send) {
	c := r.calls[e.Request]
	if c == nil {
		return
	}
	m := r.meters[c.account]
	m.take(r.now, c.bound)
	j := &job{model: e.Route.Model, prefix: c.prefix, unread: prefixLength + promptRest, answer: c.answer}
	c.job = j
	sentAt := r.now
	j.done = func(outcome endpoint.Outcome) {
		if r.calls[e.Request] != c || c.job != j {
			return
		}
		r.after(r.Delay, func() { r.finish(x, e.Request, c, outcome, sentAt) })
	}
	r.after(r.Delay, func() { r.engines[e.Endpoint.Name].accept(j, e.Route.Adapter) })
}

// finish reports the end of an attempt to the host.
func (r *run) finish(x *node, id uint64, c *call, outcome endpoint.Outcome, sentAt time.Duration) {
	if r.calls[id] != c || x.down {
		return
	}
	prompt := int64(prefixLength + promptRest)
	done := state.Finished{Request: id, Outcome: outcome, Sent: true, Used: prompt + int64(c.job.made)}
	switch {
	case outcome == endpoint.Done:
		c.gap = max(c.gap, c.job.gap)
		c.first = c.job.first + r.Delay + r.Client
		r.meters[c.account].done(sentAt, c.bound, done.Used)
		if c.first-c.at <= firstToken && c.gap <= tokenGap {
			r.attained++
		}
		delete(r.calls, id)
	case outcome == endpoint.Cut && c.job.made > 0:
		r.failed++ // the caller has part of the answer
		r.meters[c.account].settle(sentAt, c.bound, done.Used)
		delete(r.calls, id)
	default:
		// The host keeps the tokens for the next attempt, so the meter takes them back here.
		r.meters[c.account].settle(sentAt, c.bound, 0)
		done.Used, done.Retry, done.Sent = -1, true, outcome == endpoint.Cut
		done.Outcome = outcome
	}
	r.apply(x, done)
}

func (r *run) refuse(e state.Refuse) {
	c := r.calls[e.Request]
	if c == nil {
		return
	}
	r.meters[c.account].refuse(e.Reason)
	delete(r.calls, e.Request)
}

func (r *run) cut(x *node, e state.Cut) {
	if c := r.calls[e.Request]; c != nil {
		c.job.canceled = true
		r.failed++
		delete(r.calls, e.Request)
		r.later(x, 0, state.Left{Request: e.Request})
	}
}

func (r *run) read(x *node, after int64) {
	started := r.now
	r.after(tableDelay, func() {
		if !r.rows.down {
			r.apply(x, state.Learned{Source: replica.FromTable{}, Started: started, After: after, Rows: r.rows.after(after)})
		}
	})
}

func (r *run) sync(x *node, e state.SyncMember) {
	started, other := r.now, r.nodeByID(e.Member)
	r.after(2*r.Delay, func() {
		if other.down {
			r.apply(x, state.Missed{Member: e.Member})
			return
		}
		copied := other.state.Replica()
		view := copied.View()
		answer := state.Learned{
			Source:  replica.FromMember{ID: e.Member, TableAge: copied.TableAge(r.now)},
			Started: started, After: e.After, Settled: copied.Settled(),
		}
		answer.Rows.Rows, answer.Rows.Revision = view.RowsAfter(e.After), view.Revision()
		r.apply(x, state.Answered{Member: e.Member})
		r.apply(x, answer)
	})
}

func (r *run) announce(x *node, e state.Announce) {
	other := r.nodeByID(e.Member)
	r.after(2*r.Delay+tableDelay, func() {
		if other.down {
			r.apply(x, state.Missed{Member: e.Member})
			return
		}
		if after := other.state.Replica().View().Revision(); after < e.Revision && !r.rows.down {
			r.apply(other, state.Learned{Source: replica.FromTable{}, Started: r.now, After: after, Rows: r.rows.after(after)})
		}
		r.apply(x, state.Answered{Member: e.Member})
		r.apply(x, state.Acked{Member: e.Member, Revision: other.state.Replica().View().Revision()})
	})
}

func (r *run) commit(x *node, e state.Commit) {
	r.after(tableDelay, func() {
		if !r.rows.down {
			result := r.rows.commit(e.Txn)
			after := x.state.Replica().View().Revision()
			r.apply(x, state.Learned{Source: replica.FromTable{}, Started: r.now, After: after, Rows: r.rows.after(after)})
			r.apply(x, state.Committed{Key: e.Key, Result: result})
		}
	})
}

func (r *run) borrow(x *node, e state.Borrow) {
	lender := r.nodeByID(e.Lender)
	lent := state.Lent{Account: e.Account, Loan: e.Loan, Lender: e.Lender, Asked: e.Asked}
	r.after(r.Delay, func() {
		if lender.down {
			r.later(x, r.Delay, state.Missed{Member: e.Lender})
		} else if !r.variant.NoLoans {
			asks := state.Asks{Account: e.Account, Loan: e.Loan, Borrower: x.id, Tokens: e.Tokens}
			for _, effect := range lender.state.Apply(r.now, asks) {
				if lend, answer := effect.(state.Lend); answer {
					lent.Tokens = lend.Tokens
				}
			}
		}
		r.later(x, r.Delay, lent)
	})
}
