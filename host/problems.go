package host

import (
	"fmt"
	"time"

	"magnoliahoist/operator"
	"magnoliahoist/replica"
	"magnoliahoist/route"
)

// problemsOf lists the problems in a status and in a view of the shared state, the most urgent first.
func problemsOf(s operator.Status, view *replica.View) []string {
	var list []string
	add := func(format string, args ...any) { list = append(list, fmt.Sprintf(format, args...)) }
	switch s.State {
	case operator.Stale:
		add("the host is stale: it refuses all requests")
	case operator.Starting:
		add("the host has not read the shared state yet")
	case operator.Draining:
		add("the host is draining")
	}
	if s.TableContactAge > s.FreshnessWindow {
		add("no contact with the table service for %s", time.Duration(s.TableContactAge).Round(time.Second))
	}
	for _, m := range s.Members {
		if m.Unresponsive {
			add("member %s in %s does not answer", m.ID, m.Domain)
		}
	}
	list = append(list, endpointProblems(s)...)
	for _, share := range s.Shares {
		if len(share.Parts) == 0 {
			add("account %s: its rate is not divided among hosts yet", share.Account)
		}
	}
	for _, lease := range s.Leases {
		if _, known := view.MemberByID(lease.Holder); !known && len(view.Members()) > 0 {
			add("pool %s: no member holds its lease", lease.Pool)
		}
	}
	for _, row := range view.BrokenRows() {
		add("row cannot be read: %s", row)
	}
	return list
}

// maxReportAge is the age of an endpoint's last load report beyond which the endpoint counts as silent. Reports arrive once
// per second, directly or in the lease holder's summary.
const maxReportAge = 5 * time.Second

// endpointProblems lists the problems of endpoints and models.
func endpointProblems(s operator.Status) []string {
	var list []string
	for _, e := range s.Endpoints {
		if e.Ejected {
			list = append(list, fmt.Sprintf("endpoint %s of pool %s is ejected after failures", e.Name, e.Pool))
		}
		if age := time.Duration(e.ReportAge); age > maxReportAge {
			list = append(list, fmt.Sprintf("endpoint %s of pool %s has not reported for %s", e.Name, e.Pool, age.Round(time.Second)))
		}
	}
	for _, m := range s.Models {
		if m.ModelsKnown && len(m.Endpoints) == 0 {
			list = append(list, fmt.Sprintf("model %s of pool %s has no endpoint", m.Name, m.Pool))
		}
	}
	return list
}

// modelsOf returns every model of the pools table with the endpoints that have it in memory and accept calls.
func modelsOf(view *replica.View, endpoints []operator.Endpoint) []operator.Model {
	holders := map[[2]string][]string{}
	reported := map[string]bool{}
	for _, e := range endpoints {
		reported[e.Pool] = reported[e.Pool] || e.ModelsKnown
		for _, name := range e.Models {
			if !e.Ejected && !e.Leaving {
				holders[[2]string{e.Pool, name}] = append(holders[[2]string{e.Pool, name}], e.Name)
			}
		}
	}
	var list []operator.Model
	for _, p := range view.Pools() {
		if p.Kind != route.Model {
			continue
		}
		for _, m := range p.Models {
			list = append(list, operator.Model{
				Name:        m.Name,
				Pool:        p.Name,
				Version:     m.Version,
				Replicas:    m.Replicas,
				ModelsKnown: reported[p.Name],
				Endpoints:   holders[[2]string{p.Name, m.Name}],
			})
		}
	}
	return list
}

// sharesOf returns how the rate and burst of each client account are divided among hosts.
func sharesOf(view *replica.View) []operator.Share {
	var list []operator.Share
	for _, entry := range view.Accounts() {
		share := operator.Share{Account: entry.Name, Rate: entry.Rate, Burst: entry.Burst}
		stored, _ := view.ShareOf(entry.Name)
		for _, part := range stored.Parts {
			share.Parts = append(share.Parts, operator.Part{Host: part.Host, Fraction: part.Fraction})
		}
		list = append(list, share)
	}
	return list
}

// leasesOf returns the leases of all pools that have a holder.
func leasesOf(view *replica.View) []operator.Lease {
	var list []operator.Lease
	for _, p := range view.Pools() {
		if lease, found := view.LeaseOf(p.Name); found {
			list = append(list, operator.Lease{Pool: p.Name, Holder: lease.Holder, FencingNumber: lease.FencingNumber})
		}
	}
	return list
}
