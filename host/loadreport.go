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
	// reportTimeout is the timeout of reading one report. It is below reportInterval, so that a silent endpoint does not delay
	// the next reports of the others.
	reportTimeout = 800 * time.Millisecond
	// maxReportBytes is the maximum number of bytes that are read of one report.
	maxReportBytes = 1 << 20
	// maxConcurrentReads is the maximum number of reports that are read at the same time.
	maxConcurrentReads = 32
)

// loadReport is an endpoint's response to GET /v2/load.
type loadReport struct {
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

	endpoint    string        // name
	requestedAt time.Duration // when the request for the report was sent
}

// Values in a load report.
const (
	stateReady    = "ready"
	kindModel     = "model"
	kindAdapter   = "adapter"
	resultDone    = "done"
	resultRefused = "refused"
	resultFailed  = "failed"
)

// runReports reads the load reports of all endpoints once per reportInterval while the lease may be used.
func (m *poolManager) runReports() {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		if entry, known := m.poolEntry(); known && m.mayUseLease() {
			m.applyReports(entry, m.readReports(entry))
		}
		select {
		case <-m.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// applyReports passes reports to the placement manager and to the state machine and signals runPlacement.
func (m *poolManager) applyReports(entry pool.Pool, reports []loadReport) {
	loads := make([]state.EndpointLoad, len(reports))
	for n, r := range reports {
		loads[n] = r.endpointLoad()
	}
	m.confirmConnections(entry, reports)
	m.mu.Lock()
	m.loads = loads
	if m.placement != nil {
		m.placement.SetPool(entry)
		for _, r := range reports {
			m.placement.ApplyReport(m.host.Now(), r.endpoint, r.placementReport())
		}
	}
	m.mu.Unlock()
	m.host.Apply(state.LoadsReported{Pool: m.pool, Endpoints: loads})
	select {
	case m.newReports <- struct{}{}:
	default:
	}
}

// confirmConnections makes those connections usable for orders that were opened before the reports were requested. It closes
// the connections to endpoints whose process has changed since the last report.
func (m *poolManager) confirmConnections(entry pool.Pool, reports []loadReport) {
	addresses := make(map[string]string, len(entry.Endpoints))
	for _, e := range entry.Endpoints {
		addresses[e.Name] = e.Address
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range reports {
		if instance, seen := m.instances[r.endpoint]; seen && instance != r.Instance {
			m.connections.Discard(addresses[r.endpoint])
		} else {
			m.connections.Confirm(addresses[r.endpoint])
		}
		m.instances[r.endpoint] = r.Instance
	}
}

// readReports returns the reports of the endpoints that respond.
func (m *poolManager) readReports(entry pool.Pool) []loadReport {
	var mu sync.Mutex
	var reports []loadReport
	var reads sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentReads)
	for _, e := range entry.Endpoints {
		slots <- struct{}{}
		reads.Go(func() {
			defer func() { <-slots }()
			r, err := m.readReport(e)
			if err != nil {
				m.host.log.Debug("host: unable to read the load report", "endpoint", e.Name, "error", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			reports = append(reports, r)
		})
	}
	reads.Wait()
	return reports
}

// readReport opens connections for orders to an endpoint and then reads its report. An endpoint counts as leaving also if
// the platform's host list says so.
func (m *poolManager) readReport(e pool.Endpoint) (loadReport, error) {
	ctx, cancel := context.WithTimeout(m.ctx, reportTimeout)
	defer cancel()
	if err := m.connections.Open(ctx, e.Address); err != nil {
		m.connections.Discard(e.Address)
		return loadReport{}, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Address+"/v2/load", nil)
	if err != nil {
		return loadReport{}, errors.Trace(err)
	}
	r := loadReport{endpoint: e.Name, requestedAt: m.host.Now()}
	response, err := m.reportClient.Do(request)
	if err != nil {
		return loadReport{}, errors.Trace(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return loadReport{}, errors.Errorf("host: unable to read the load report: status %s, expected 200 OK", response.Status)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(&r); err != nil {
		return loadReport{}, errors.Annotate(err, "host: unable to decode the load report")
	}
	r.Leaving = r.Leaving || m.host.isListedLeaving(e.Address)
	return r, nil
}

// isListedLeaving reports whether the platform's host list marks an address as leaving.
func (h *Host) isListedLeaving(address string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state.IsLeaving(address)
}

// placementReport converts the report for placement. It includes items that are being loaded or unloaded, since they take
// memory. Unknown kinds and results are left out.
func (r loadReport) placementReport() placement.Report {
	p := placement.Report{Instance: r.Instance, RequestedAt: r.requestedAt, FencingNumber: r.Fence, Leaving: r.Leaving}
	for _, resident := range r.Resident {
		item := placement.Item{Model: resident.Name, Version: resident.Version}
		switch resident.Kind {
		case kindModel:
		case kindAdapter:
			item = placement.Item{Model: resident.Model, Adapter: resident.Name, Version: resident.Version}
		default:
			continue
		}
		p.Resident = append(p.Resident, placement.ResidentItem{Item: item, Memory: resident.Memory, Loading: resident.State != stateReady})
	}
	for _, o := range r.Orders {
		switch o.Result {
		case resultDone:
			p.Results = append(p.Results, placement.OrderResult{OrderID: o.Order, Result: placement.Applied})
		case resultRefused, resultFailed:
			p.Results = append(p.Results, placement.OrderResult{OrderID: o.Order, Result: placement.Rejected})
		}
	}
	return p
}

// endpointLoad converts the report for the choice of endpoints. It includes only models and adapters that are ready.
func (r loadReport) endpointLoad() state.EndpointLoad {
	load := state.EndpointLoad{
		Endpoint: r.endpoint,
		Report:   endpoint.Report{Running: r.Running, Waiting: r.Waiting, TakenAt: r.requestedAt},
		Leaving:  r.Leaving,
	}
	for _, resident := range r.Resident {
		if resident.Kind != kindModel || resident.State != stateReady {
			continue
		}
		residentModel := endpoint.ResidentModel{Model: resident.Name, Version: resident.Version}
		for _, a := range r.Resident {
			if a.Kind == kindAdapter && a.Model == resident.Name && a.State == stateReady {
				residentModel.Adapters = append(residentModel.Adapters, a.Name)
			}
		}
		load.ResidentModels = append(load.ResidentModels, residentModel)
	}
	return load
}
