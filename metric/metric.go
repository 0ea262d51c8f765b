// Package metric holds the metrics of a host.
package metric

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Targets for time to first token and inter-token latency.
const (
	firstTokenTargetSeconds = 1.9
	interTokenTargetSeconds = 0.036
)

// namespace is the prefix of all metric names.
const namespace = "magnoliahoist"

// Metrics holds the metrics of one host.
type Metrics struct {
	registry             *prometheus.Registry
	requests             *prometheus.CounterVec
	refused              *prometheus.CounterVec
	attained             *prometheus.CounterVec
	modelRequests        *prometheus.CounterVec
	tokens               *prometheus.CounterVec
	modelOrders          *prometheus.CounterVec
	timeToFirstToken     *prometheus.HistogramVec
	maxInterTokenLatency *prometheus.HistogramVec
}

// New returns metrics in a registry of their own.
func New(gauges Gauges) *Metrics {
	m := &Metrics{registry: prometheus.NewRegistry()}
	m.requests = newCounter("requests_total", "Requests that ended, by client account and result; refusals have the result refused.", "account", "result")
	m.refused = newCounter("refused_total", "Requests refused, by client account and reason.", "account", "reason")
	m.attained = newCounter("attained_total", "Model requests whose first token and token gaps met the targets, by pool and client account.", "pool", "account")
	m.modelRequests = newCounter("model_requests_total", "Model requests that were sent and whose caller waited for the end, by pool and client account.", "pool", "account")
	m.tokens = newCounter("tokens_total", "Tokens used, prompt included, by client account.", "account")
	m.modelOrders = newCounter("moves_total", "Orders that loaded or unloaded a model, by pool.", "pool")
	m.timeToFirstToken = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace,
		Name:      "first_token_seconds",
		Help:      "Time from the arrival of a request to its first token, for streamed answers, by pool.",
		Buckets:   []float64{0.01, 0.03, 0.1, 0.3, 1, firstTokenTargetSeconds, 3, 10},
	}, []string{"pool"})
	m.maxInterTokenLatency = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace,
		Name:      "token_gap_seconds",
		Help:      "Longest time between two tokens of a streamed answer, by pool.",
		Buckets:   []float64{0.005, 0.01, 0.02, interTokenTargetSeconds, 0.1, 0.3, 1},
	}, []string{"pool"})
	m.registry.MustRegister(m.requests, m.refused, m.attained, m.modelRequests, m.tokens, m.modelOrders, m.timeToFirstToken, m.maxInterTokenLatency,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.registerGauges(gauges)
	return m
}

func newCounter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

// Handler returns the handler of scrapes.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// CountRefusal counts a refused request. The account is empty if it is not known.
func (m *Metrics) CountRefusal(account, reason string) {
	m.refused.WithLabelValues(account, reason).Inc()
}

// CountModelOrder counts an applied order to load or unload a model.
func (m *Metrics) CountModelOrder(pool string) { m.modelOrders.WithLabelValues(pool).Inc() }
