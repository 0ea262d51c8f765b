package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	goji "goji.io"
	"goji.io/pat"

	"magnoliahoist/budget"
	"magnoliahoist/dispatch"
)

// metrics are a host's Prometheus metrics.
type metrics struct {
	registry        *prometheus.Registry
	arrived         prometheus.Counter
	responses       *prometheus.CounterVec
	refused         *prometheus.CounterVec
	attempts        *prometheus.CounterVec
	orders          *prometheus.CounterVec
	store           *prometheus.CounterVec
	crashes         *prometheus.CounterVec
	waited          prometheus.Histogram
	sending         prometheus.Histogram
	firstEvent      prometheus.Histogram
	firstEventError prometheus.Histogram
	wholeResponse   prometheus.Histogram
	fetched         prometheus.Histogram
	records         *prometheus.CounterVec
	recordWait      prometheus.Histogram
	shortages       *prometheus.CounterVec

	openConnections   *prometheus.GaugeVec
	closedConnections *prometheus.CounterVec
}

// latencyBuckets are the upper bounds of the buckets of latency histograms, in seconds.
var latencyBuckets = []float64{0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8}

func newMetrics(h *Host) *metrics {
	m := &metrics{registry: prometheus.NewRegistry()}
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "magnoliahoist", Subsystem: "entry", Name: name, Help: help}, labels)
		m.registry.MustRegister(c)
		return c
	}
	histogram := func(name, help string) prometheus.Histogram {
		v := prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: "magnoliahoist", Subsystem: "entry", Name: name, Help: help, Buckets: latencyBuckets})
		m.registry.MustRegister(v)
		return v
	}
	gauge := func(name, help string, read func() float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "magnoliahoist", Subsystem: "entry", Name: name, Help: help}, read))
	}
	m.arrived = prometheus.NewCounter(prometheus.CounterOpts{Namespace: "magnoliahoist", Subsystem: "entry", Name: "requests_total", Help: "Requests whose header was read."})
	m.registry.MustRegister(m.arrived)
	m.responses = counter("answers_total", "Answers of endpoints handed to callers, by kind (whole or stream).", "kind")
	m.refused = counter("refusals_total", "Answers of the host's own, by reason and whether the request ran.", "reason", "ran")
	m.attempts = counter("attempts_total", "Attempts at endpoints that ended, by outcome.", "outcome")
	m.orders = counter("orders_total", "Orders to engines, by kind and result.", "kind", "result")
	m.store = counter("store_calls_total", "Calls to the store, by way (direct, relayed, or for another host), kind (read, follow or write), table and result.", "way", "kind", "table", "result")
	m.openConnections = prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: "magnoliahoist", Subsystem: "entry", Name: "connections", Help: "Open connections, by listener and state (reading a header, running a request, idle)."}, []string{"listener", "state"})
	m.registry.MustRegister(m.openConnections)
	m.closedConnections = counter("closed_connections_total", "Closed connections, by listener and cause.", "listener", "cause")
	m.waited = histogram("wait_seconds", "Time from the arrival of a request to its last attempt.")
	m.sending = histogram("sending_seconds", "Time from the choice of an endpoint until the request was written to it.")
	m.firstEvent = histogram("first_seconds", "Time from an attempt to the first event of a stream.")
	m.firstEventError = histogram("first_error_seconds", "Absolute difference between the estimated and the measured time to the first event.")
	m.wholeResponse = histogram("whole_seconds", "Time from an attempt to the head of a whole answer.")
	m.records = counter("stream_records_total", "Streams that need a record of their software version, by its state when the first event was passed on (written or pending).", "state")
	m.recordWait = histogram("record_wait_seconds", "Time for which the first event of such a stream waited for the record.")
	m.fetched = histogram("fetch_seconds", "Time from asking for an adapter to the answer.")
	gauge("configuration_version", "Version of the configuration in force; 0 when none is.", func() float64 {
		if c := h.catalog.Load(); c != nil {
			return float64(c.Version())
		}
		return 0
	})
	gauge("silence_seconds", "Time without proof that the configuration is current.", func() float64 { return h.store.Silence().Seconds() })
	gauge("store_era", "Era of the store, which rises when the store comes back from a backup; 0 if the store reports none.", func() float64 { return float64(h.store.Era()) })
	gauge("endpoints_age_seconds", "Time since the copy of the registrations was shown to be current, by the store or through the holder of a lease; -1 when it never was.", func() float64 {
		return h.copyAge(&h.registry.tableCopy).Seconds()
	})
	gauge("members_age_seconds", "The same for the rows of the hosts.", func() float64 { return h.copyAge(&h.fleet.rows).Seconds() })
	gauge("mixed_versions", "Software versions of pools that had several in service within the last minute.", func() float64 { return float64(h.countMixedVersions()) })
	gauge("evacuated_domains", "Failure domains that operators have asked to evacuate.", func() float64 { return float64(h.countEvacuated()) })
	gauge("cold_endpoints", "Registered endpoints that count as cold.", func() float64 { return float64(h.countCold()) })
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: "magnoliahoist", Subsystem: "entry", Name: "held_back_requests_total", Help: "Requests that were refused or not sent while endpoints of their pool were cold or evacuated."}, func() float64 { return float64(h.countHeldBack()) }))
	gauge("running_requests", "Requests that have not ended.", func() float64 { return float64(h.countRunning()) })
	gauge("known_endpoints", "Registered endpoints.", func() float64 { return float64(h.countEndpoints()) })
	gauge("blocked_parts", "Prompt parts that are blocked because they crash engines.", func() float64 { return float64(h.countParts(true)) })
	gauge("suspected_parts", "Prompt parts that are suspected of crashing engines and not blocked.", func() float64 { return float64(h.countParts(false)) })
	m.shortages = counter("memory_refusals_total", "Requests given up to bound the memory for bodies and responses, by cause.", "cause")
	for kind, name := range map[budget.Kind]string{budget.Body: "body_bytes", budget.Response: "response_bytes"} {
		gauge(name, "Memory held for requests, of kind "+kind.String()+".", func() float64 { return float64(h.memory.held(kind)) })
	}
	m.crashes = counter("crashes_total", "Ends of endpoints that took a request of this host before they began to answer it.", "pool")
	m.registry.MustRegister(newTokenCollector(h.tokenCounts))
	gauge("held_leases", "Leases that this host holds.", func() float64 { return float64(h.countLeases()) })
	return m
}

func (h *Host) countEndpoints() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.directory.Endpoints())
}

func (h *Host) copyAge(c *tableCopy) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.age(c)
}

func (h *Host) countLeases() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.holdings)
}

// observeFirstEvent records the time to first event and its difference from the estimate.
func (m *metrics) observeFirstEvent(measured, estimate time.Duration) {
	m.firstEvent.Observe(measured.Seconds())
	m.firstEventError.Observe((measured - estimate).Abs().Seconds())
}

// operatorHandler serves the metrics and the host's status.
func (h *Host) operatorHandler() http.Handler {
	mux := goji.NewMux()
	mux.Handle(pat.Get("/metrics"), promhttp.HandlerFor(h.metrics.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc(pat.Get("/v1/quarantine"), h.serveQuarantine)
	mux.HandleFunc(pat.Delete("/v1/quarantine/:pool/:part"), h.serveLift)
	mux.HandleFunc(pat.Get("/v1/status"), func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(h.status()); err != nil {
			h.log.Warn("entry: unable to write the status", "error", err)
		}
	})
	return mux
}

// status is the response to /v1/status.
type status struct {
	Name          string            `json:"name"`
	ID            string            `json:"id"`
	Ready         bool              `json:"ready"`
	Stopping      bool              `json:"stopping"`
	Configuration int64             `json:"configuration"`
	Silence       string            `json:"silence"` // time since the configuration was last confirmed to be current
	Away          bool              `json:"away"`    // the last direct call to the store failed
	Running       int               `json:"running"`
	Waiting       int               `json:"waiting"`
	Endpoints     int               `json:"endpoints"`
	Members       []string          `json:"members"`
	Leases        map[string]string `json:"leases"` // holder's id by pool
}

func (h *Host) status() status {
	s := status{Name: h.settings.Name, Ready: h.ready.Load(), Stopping: h.stopping(), Silence: h.store.Silence().String(), Away: h.store.Unreachable(), Leases: map[string]string{}}
	if c := h.catalog.Load(); c != nil {
		s.Configuration = c.Version()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	s.ID, s.Running, s.Waiting, s.Endpoints = h.fleet.self.ID, h.state.ActiveRequests(), h.state.QueuedRequests(), len(h.directory.Endpoints())
	for name := range h.fleet.members {
		s.Members = append(s.Members, name)
	}
	for pool, poolLease := range h.fleet.leases {
		s.Leases[pool] = poolLease.Holder()
	}
	return s
}

// countRefusal counts a response that the host produced itself.
func (m *metrics) countRefusal(e dispatch.RefuseRequest) {
	m.refused.WithLabelValues(e.Reason.String(), e.Ran.String()).Inc()
}
