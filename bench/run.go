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

// node is a simulated host.
type node struct {
	id    string
	state *state.State
	down  bool
}

// call is an unfinished request of a caller.
type call struct {
	arrival
	node         *node
	account      string
	maxTokens    int64
	firstTokenAt time.Duration // when the caller received the first token
	maxGap       time.Duration
	attempt      *attempt
}

// run is one run of the benchmark.
type run struct {
	clock
	Deployment
	input         Input
	variant       Variant
	random        *rand.Rand // draws the orders that are lost
	table         *fakeTable
	nodes         []*node
	engines       map[string]*engine
	engineNames   []string
	manager       *placement.Manager
	fencingNumber int64 // fencing number of the placement manager
	calls         map[uint64]*call
	meters        map[string]*meter
	demandTokens  map[string]float64 // exponentially decaying sum of the tokens of arrived requests, by model
	attained      int
	total         int
	failed        int
	modelLoads    int
}

// Run simulates an input on a deployment under a variant and returns the measures. The same arguments give the same requests and faults.
func Run(d Deployment, in Input, v Variant, seed uint64) Result {
	d = d.scaledRates(in.RateScale)
	r := newRun(d, in, v, seed)
	arrivals := generateArrivals(d, in, seed)
	for id, a := range arrivals {
		r.after(a.at, func() { r.startRequest(uint64(id+1), a) })
	}
	r.scheduleFaults()
	r.every(reportPeriod, func() bool { r.runPlacement(); return true })
	r.runUntil(warmUp + in.Length + coolDown)
	return r.measures(arrivals)
}

// newRun returns a run with its hosts, endpoints and meters, at time 0 of the virtual clock.
func newRun(d Deployment, in Input, v Variant, seed uint64) *run {
	r := &run{
		Deployment: d, input: in, variant: v, random: rand.New(rand.NewPCG(seed, 2)), table: newFakeTable(d),
		engines: map[string]*engine{}, calls: map[uint64]*call{}, meters: map[string]*meter{}, demandTokens: map[string]float64{},
	}
	for n, domain := range d.Domains {
		settings := v.settings(state.Settings{
			Host: hostID(n), Domain: domain, Group: "all", FreshnessWindow: freshnessWindow, TablePollInterval: tablePollInterval, MaxAttempts: 3, HoldersPerAccount: hostCount,
			EndpointView: endpoint.Settings{Seed: seed + uint64(n), DomainCost: distance},
		})
		host := &node{id: hostID(n), state: state.New(settings)}
		r.nodes = append(r.nodes, host)
		// Hosts do not tick at the same time.
		r.after(time.Duration(n)*tickPeriod/hostCount, func() {
			r.every(tickPeriod, func() bool { r.applyEvent(host, state.Tick{}); return !host.down })
		})
	}
	for _, e := range modelPool(d.Pools).Endpoints {
		r.engines[e.Name] = newEngine(&r.clock, e)
		r.engineNames = append(r.engineNames, e.Name)
	}
	for _, a := range d.Routes.Accounts {
		r.meters[a.Name] = newMeter(a)
	}
	return r
}

// distance returns the same cost between two failure domains as package host does.
func distance(a, b string) float64 {
	if a == b {
		return 0
	}
	return 0.05
}

// scheduleFaults schedules the input's faults and the hosts' reads of the host list, one per second.
func (r *run) scheduleFaults() {
	if r.input.EndpointLost {
		lost := r.engines[r.engineNames[1]]
		r.after(faultStart, func() { lost.crash() })
		r.after(faultStart+faultDuration, func() { lost.down = false })
	}
	if r.input.EndpointFailing {
		failing := r.engines[r.engineNames[1]]
		r.after(faultStart, func() { failing.failing = true })
		r.after(faultStart+faultDuration, func() { failing.failing = false })
	}
	if r.input.HostLost {
		r.after(faultStart, func() { r.loseHost(r.nodes[0]) })
	}
	if r.input.TableDown {
		r.after(faultStart, func() { r.table.down = true })
		r.after(faultStart+tableOutage, func() { r.table.down = false })
	}
	r.every(time.Second, func() bool {
		listed := map[string]bool{}
		for _, host := range r.nodes {
			if !host.down || r.input.HostListStale {
				listed[host.id] = true
			}
		}
		for _, host := range r.nodes {
			r.applyEvent(host, state.HostsListed{ReadAt: r.now, Addresses: listed})
		}
		return true
	})
}

// loseHost ends a host. Its unfinished requests fail; later requests of its callers go to other hosts.
func (r *run) loseHost(host *node) {
	host.down = true
	for id, c := range r.calls {
		if c.node != host {
			continue
		}
		if c.attempt != nil {
			c.attempt.canceled = true
		}
		r.failed++
		delete(r.calls, id)
	}
}

// startRequest sends a caller's request to its host, or to another host if that one is down.
func (r *run) startRequest(id uint64, a arrival) {
	host := r.nodes[a.host]
	for host.down {
		host = r.nodes[(slices.Index(r.nodes, host)+1+int(id%(hostCount-1)))%hostCount]
	}
	entry := r.Routes.Routes[a.route]
	name := r.Routes.Accounts[a.account].Name
	prompt := int64(prefixTokens + suffixTokens)
	c := &call{arrival: a, node: host, account: name, maxTokens: prompt + min(callerMaxTokens, entry.Tokens)}
	r.total++
	r.calls[id] = c
	r.demandTokens[entry.Model] += float64(prompt + int64(a.outputTokens))
	r.after(r.ClientDelay, func() {
		r.applyEvent(host, state.RequestArrived{
			Request: id, KeyDigest: digestOf(name), Model: entry.Name, PromptTokens: prompt, CallerMaxTokens: callerMaxTokens, PrefixHash: a.prefix,
		})
	})
}

// applyEvent applies an event to a host's state and carries out the effects. A host that is down ignores the event.
func (r *run) applyEvent(host *node, event state.Event) {
	if host.down {
		return
	}
	for _, effect := range slices.Clone(host.state.Apply(r.now, event)) {
		r.executeEffect(host, effect)
	}
}

// applyEventAfter applies an event to a host's state after a delay.
func (r *run) applyEventAfter(host *node, d time.Duration, event state.Event) {
	r.after(d, func() { r.applyEvent(host, event) })
}

// nodeByID returns the host with an ID, which must exist.
func (r *run) nodeByID(id string) *node {
	return r.nodes[slices.IndexFunc(r.nodes, func(host *node) bool { return host.id == id })]
}

// executeEffect carries out an effect of a host's state as the host's surroundings would.
func (r *run) executeEffect(host *node, effect state.Effect) {
	switch e := effect.(type) {
	case state.SendAttempt:
		r.sendAttempt(host, e)
	case state.RefuseRequest:
		r.refuseRequest(e)
	case state.AbortRequest:
		r.abortRequest(host, e)
	case state.ReadTable:
		r.readTable(host, e.After)
	case state.SyncMember:
		r.syncMember(host, e)
	case state.Announce:
		r.announce(host, e)
	case state.Commit:
		r.commit(host, e)
	case state.RequestLoan:
		r.requestLoan(host, e)
	case state.RepayLoan:
		to := r.nodeByID(e.Lender)
		r.applyEventAfter(to, r.DomainDelay, state.LoanRepaid{Account: e.Account, Loan: e.Loan, Unused: e.Unused})
	}
}

// sendAttempt sends an attempt to the endpoint that the host has chosen.
func (r *run) sendAttempt(host *node, e state.SendAttempt) {
	c := r.calls[e.Request]
	if c == nil {
		return
	}
	m := r.meters[c.account]
	m.recordSent(r.now, c.maxTokens)
	a := &attempt{model: e.Route.Model, prefix: c.prefix, pendingPrompt: prefixTokens + suffixTokens, outputTokens: c.outputTokens}
	c.attempt = a
	sentAt := r.now
	a.onFinish = func(outcome endpoint.Outcome) {
		if r.calls[e.Request] != c || c.attempt != a {
			return
		}
		r.after(r.DomainDelay, func() { r.finishAttempt(host, e.Request, c, outcome, sentAt) })
	}
	r.after(r.DomainDelay, func() { r.engines[e.Endpoint.Name].startAttempt(a, e.Route.Adapter) })
}

// finishAttempt measures an attempt that has ended and reports its outcome to the host.
func (r *run) finishAttempt(host *node, id uint64, c *call, outcome endpoint.Outcome, sentAt time.Duration) {
	if r.calls[id] != c || host.down {
		return
	}
	prompt := int64(prefixTokens + suffixTokens)
	finished := state.AttemptFinished{Request: id, Outcome: outcome, Sent: true, UsedTokens: prompt + int64(c.attempt.generated)}
	switch {
	case outcome == endpoint.Done:
		c.maxGap = max(c.maxGap, c.attempt.maxGap)
		c.firstTokenAt = c.attempt.firstTokenAt + r.DomainDelay + r.ClientDelay
		r.meters[c.account].recordServed(sentAt, c.maxTokens, finished.UsedTokens)
		if c.firstTokenAt-c.at <= timeToFirstTokenGoal && c.maxGap <= interTokenGoal {
			r.attained++
		}
		delete(r.calls, id)
	case outcome == endpoint.Interrupted && c.attempt.generated > 0:
		r.failed++ // the caller has part of the response, so there is no retry
		r.meters[c.account].setUsed(sentAt, c.maxTokens, finished.UsedTokens)
		delete(r.calls, id)
	default:
		// The host keeps the request's tokens for the next attempt, so this attempt counts as having used none.
		r.meters[c.account].setUsed(sentAt, c.maxTokens, 0)
		finished.UsedTokens, finished.Retryable, finished.Sent = -1, true, outcome == endpoint.Interrupted
		finished.Outcome = outcome
	}
	r.applyEvent(host, finished)
}

// refuseRequest ends a request that the host refused.
func (r *run) refuseRequest(e state.RefuseRequest) {
	c := r.calls[e.Request]
	if c == nil {
		return
	}
	r.meters[c.account].recordRefusal(e.Reason)
	delete(r.calls, e.Request)
}

// abortRequest ends a request that the host aborted, and its attempt.
func (r *run) abortRequest(host *node, e state.AbortRequest) {
	if c := r.calls[e.Request]; c != nil {
		c.attempt.canceled = true
		r.failed++
		delete(r.calls, e.Request)
		r.applyEventAfter(host, 0, state.RequestAbandoned{Request: e.Request})
	}
}

// readTable gives a host the rows of the table service after a revision; no response comes while the service is down.
func (r *run) readTable(host *node, after int64) {
	started := r.now
	r.after(tableDelay, func() {
		if !r.table.down {
			r.applyEvent(host, state.RowsReceived{Source: replica.FromTable{}, StartedAt: started, After: after, Rows: r.table.rowsAfter(after)})
		}
	})
}

// syncMember gives a host the rows of another member's replica after a revision.
func (r *run) syncMember(host *node, e state.SyncMember) {
	started, member := r.now, r.nodeByID(e.Member)
	r.after(2*r.DomainDelay, func() {
		if member.down {
			r.applyEvent(host, state.MemberSilent{Member: e.Member})
			return
		}
		memberReplica := member.state.Replica()
		view := memberReplica.View()
		rows := state.RowsReceived{
			Source:    replica.FromMember{ID: e.Member, TableContactAge: memberReplica.TableContactAge(r.now)},
			StartedAt: started, After: e.After, Settled: memberReplica.SettledRevision(),
		}
		rows.Rows.Rows, rows.Rows.Revision = view.RowsAfter(e.After), view.Revision()
		r.applyEvent(host, state.MemberResponded{Member: e.Member})
		r.applyEvent(host, rows)
	})
}

// announce tells a member of a new revision. The member reads the table if its replica is older, and responds with the revision that it has applied.
func (r *run) announce(host *node, e state.Announce) {
	member := r.nodeByID(e.Member)
	r.after(2*r.DomainDelay+tableDelay, func() {
		if member.down {
			r.applyEvent(host, state.MemberSilent{Member: e.Member})
			return
		}
		if after := member.state.Replica().View().Revision(); after < e.Revision && !r.table.down {
			r.applyEvent(member, state.RowsReceived{Source: replica.FromTable{}, StartedAt: r.now, After: after, Rows: r.table.rowsAfter(after)})
		}
		r.applyEvent(host, state.MemberResponded{Member: e.Member})
		r.applyEvent(host, state.RevisionApplied{Member: e.Member, Revision: member.state.Replica().View().Revision()})
	})
}

// commit carries out a host's transaction at the table service; no response comes while the service is down.
func (r *run) commit(host *node, e state.Commit) {
	r.after(tableDelay, func() {
		if !r.table.down {
			result := r.table.commit(e.Txn)
			after := host.state.Replica().View().Revision()
			r.applyEvent(host, state.RowsReceived{Source: replica.FromTable{}, StartedAt: r.now, After: after, Rows: r.table.rowsAfter(after)})
			r.applyEvent(host, state.CommitFinished{Key: e.Key, Result: result})
		}
	})
}

// requestLoan asks the lender for tokens of an account and reports the response to the borrower.
func (r *run) requestLoan(host *node, e state.RequestLoan) {
	lender := r.nodeByID(e.Lender)
	received := state.LoanReceived{Account: e.Account, Loan: e.Loan, Lender: e.Lender, RequestedAt: e.RequestedAt}
	r.after(r.DomainDelay, func() {
		if lender.down {
			r.applyEventAfter(host, r.DomainDelay, state.MemberSilent{Member: e.Lender})
		} else if !r.variant.NoLoans {
			requested := state.LoanRequested{Account: e.Account, Loan: e.Loan, Borrower: host.id, Tokens: e.Tokens}
			for _, effect := range lender.state.Apply(r.now, requested) {
				if grant, ok := effect.(state.GrantLoan); ok {
					received.Tokens = grant.Tokens
				}
			}
		}
		r.applyEventAfter(host, r.DomainDelay, received)
	})
}
