package dispatch

import (
	"maps"
	"slices"
	"time"

	"magnoliahoist/speed"
)

// reportMaxAge is how long a host's load report counts.
const reportMaxAge = 2 * time.Second

// LoadReports collects the load reports of all hosts for the endpoints of a pool. It keeps the sum over the hosts, so that the
// response to one host need not be summed from the reports of all others. It is not safe for concurrent use.
type LoadReports struct {
	reports map[string]loadReport
	sum     map[string]Load // by endpoint ID
	speeds  *speed.Ledger
}

// loadReport is the last report of a host.
type loadReport struct {
	at    time.Duration
	loads []Load
}

// NewLoadReports returns a collection without reports.
func NewLoadReports() *LoadReports {
	return &LoadReports{reports: map[string]loadReport{}, sum: map[string]Load{}, speeds: speed.New()}
}

// Exchange replaces the report of a host and returns, for each endpoint, the sum of the other hosts' reports that are not too
// old, in ascending order of the endpoints' IDs. The sum contains Running and Backlog only, and the
// estimated slowness of the endpoint.
func (l *LoadReports) Exchange(now time.Duration, host string, loads []Load) []Load {
	for id, report := range l.reports {
		if id == host || now-report.at > reportMaxAge {
			l.add(report.loads, -1)
			delete(l.reports, id)
		}
	}
	for _, load := range loads {
		l.speeds.Add(now, load.Endpoint, load.Prefill)
	}
	others := make([]Load, 0, len(l.sum))
	for _, id := range slices.Sorted(maps.Keys(l.sum)) {
		load := l.sum[id]
		load.Slowness = l.speeds.Slowness(now, id)
		others = append(others, load)
	}
	l.add(loads, 1)
	l.reports[host] = loadReport{now, loads}
	return others
}

// Slowness returns the measured slowness of the endpoints for which hosts have reported any.
func (l *LoadReports) Slowness(now time.Duration) map[string]float64 {
	list := map[string]float64{}
	for id := range l.speeds.Endpoints {
		if slowness := l.speeds.Slowness(now, id); slowness > 0 {
			list[id] = slowness
		}
	}
	return list
}

// add adds loads to the sum (sign 1) or subtracts them (sign -1).
func (l *LoadReports) add(loads []Load, sign int) {
	for _, load := range loads {
		sum := l.sum[load.Endpoint]
		sum.Endpoint = load.Endpoint
		sum.Running += sign * load.Running
		for level, tokens := range load.Backlog {
			sum.Backlog[level] += int64(sign) * tokens
		}
		if sum.Running == 0 && sum.Backlog == (Backlog{}) {
			delete(l.sum, load.Endpoint)
			continue
		}
		l.sum[load.Endpoint] = sum
	}
}
