package host

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"magnoliahoist/endpoint"
	"magnoliahoist/placement"
	"magnoliahoist/pool"
	"magnoliahoist/state"
)

const (
	// reportTimeout is below the period of reads, so that a silent endpoint does not delay the others.
	reportTimeout = 800 * time.Millisecond
	// maxReport bounds the bytes read of one report.
	maxReport = 1 << 20
	// reportReaders is how many endpoints are read at once.
	reportReaders = 32
)

// report is an endpoint's answer to GET /v2/load.
type report struct {
	Instance string `json:"instance"`
	Running  int    `json:"running"`
	Waiting  int    `json:"waiting"`
	Resident []struct {
		Kind    string `json:"kind"`
		Name    string `json:"name"`
		Version string `json:"version"`
		Model   string `json:"model"`
		Memory  int64  `json:"memory"` // bytes
		State   string `json:"state"`
	} `json:"resident"`
	Orders []struct {
		Order  string `json:"order"`
		Result string `json:"result"`
	} `json:"orders"`
	Fence   int64 `json:"fence"`
	Leaving bool  `json:"leaving"`

	endpoint string
	asked    time.Duration
}

// Words of a report.
const (
	stateReady   = "ready"
	kindModel    = "model"
	kindAdapter  = "adapter"
	resultDone   = "done"
	resultRefuse = "refused"
	resultFailed = "failed"
)

// observe reads every endpoint's load once a second while the lease may be used.
func (m *manager) observe() {
	ticker := time.NewTicker(observePeriod)
	defer ticker.Stop()
	for {
		if entry, known := m.entry(); known && m.usable() {
			m.take(entry, m.readAll(entry))
		}
		select {
		case <-m.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// take hands reports to placement and to the reducer.
func (m *manager) take(entry pool.Pool, reports []report) {
	loads := make([]state.Load, len(reports))
	for n, r := range reports {
		loads[n] = r.load()
	}
	m.bind(entry, reports)
	m.mu.Lock()
	m.loads = loads
	if m.placement != nil {
		m.placement.SetPool(entry)
		for _, r := range reports {
			m.placement.Observe(m.host.Now(), r.endpoint, r.placement())
		}
	}
	m.mu.Unlock()
	m.host.Apply(state.Reported{Pool: m.pool, Endpoints: loads})
	select {
	case m.observed <- struct{}{}:
	default:
	}
}

// bind makes the connections usable that were opened before the reports were asked for. Those to an
// endpoint whose process has changed are closed.
func (m *manager) bind(entry pool.Pool, reports []report) {
	addresses := make(map[string]string, len(entry.Endpoints))
	for _, e := range entry.Endpoints {
		addresses[e.Name] = e.Address
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range reports {
		if known, seen := m.instances[r.endpoint]; seen && known != r.Instance {
			m.bound.Discard(addresses[r.endpoint])
		} else {
			m.bound.Confirm(addresses[r.endpoint])
		}
		m.instances[r.endpoint] = r.Instance
	}
}

// readAll returns the reports of the endpoints that answer.
func (m *manager) readAll(entry pool.Pool) []report {
	var mu sync.Mutex
	var reports []report
	var wait sync.WaitGroup
	slots := make(chan struct{}, reportReaders)
	for _, e := range entry.Endpoints {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			r, err := m.read(e)
			if err != nil {
				m.host.log.Debug("host: unable to read load", "endpoint", e.Name, "error", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			reports = append(reports, r)
		})
	}
	wait.Wait()
	return reports
}

func (m *manager) read(e pool.Endpoint) (report, error) {
	ctx, cancel := context.WithTimeout(m.ctx, reportTimeout)
	defer cancel()
	if err := m.bound.Open(ctx, e.Address); err != nil {
		m.bound.Discard(e.Address)
		return report{}, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Address+"/v2/load", nil)
	if err != nil {
		return report{}, errors.Trace(err)
	}
	r := report{endpoint: e.Name, asked: m.host.Now()}
	response, err := m.client.Do(request)
	if err != nil {
		return report{}, errors.Trace(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return report{}, errors.Errorf("host: load answered %s", response.Status)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReport)).Decode(&r); err != nil {
		return report{}, errors.Annotate(err, "host: unable to decode load")
	}
	r.Leaving = r.Leaving || m.host.listedLeaving(e.Address)
	return r, nil
}

// listedLeaving reports whether the platform's list says that an address is leaving.
func (h *Host) listedLeaving(address string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state.Leaving(address)
}

// placement returns the report for the ledger of memory.
func (r report) placement() placement.Report {
	p := placement.Report{Instance: r.Instance, Asked: r.asked, Fence: r.Fence, Leaving: r.Leaving}
	for _, held := range r.Resident {
		item := placement.Item{Model: held.Name, Version: held.Version}
		switch held.Kind {
		case kindModel:
		case kindAdapter:
			item = placement.Item{Model: held.Model, Adapter: held.Name, Version: held.Version}
		default:
			continue
		}
		p.Resident = append(p.Resident, placement.Resident{Item: item, Memory: held.Memory, Loading: held.State != stateReady})
	}
	for _, o := range r.Orders {
		switch o.Result {
		case resultDone:
			p.Results = append(p.Results, placement.OrderResult{Order: o.Order, Result: placement.Applied})
		case resultRefuse, resultFailed:
			p.Results = append(p.Results, placement.OrderResult{Order: o.Order, Result: placement.Rejected})
		}
	}
	return p
}

// load returns the report for the choice of endpoints: what is resident and serves.
func (r report) load() state.Load {
	load := state.Load{
		Endpoint: r.endpoint,
		Report:   endpoint.Report{Running: r.Running, Waiting: r.Waiting, Taken: r.asked},
		Leaving:  r.Leaving,
	}
	for _, held := range r.Resident {
		if held.Kind != kindModel || held.State != stateReady {
			continue
		}
		holding := endpoint.Holding{Model: held.Name, Version: held.Version}
		for _, a := range r.Resident {
			if a.Kind == kindAdapter && a.Model == held.Name && a.State == stateReady {
				holding.Adapters = append(holding.Adapters, a.Name)
			}
		}
		load.Holding = append(load.Holding, holding)
	}
	return load
}
