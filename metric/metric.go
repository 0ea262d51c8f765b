// Package metric holds the metrics of a host.
package metric

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Targets of an attained request: first token and between tokens, in seconds.
const (
	firstTokenTarget = 1.9
	tokenGapTarget   = 0.036
)

// namespace is the prefix of all metric names.
const namespace = "magnoliahoist"

// Metrics are the metrics of one host.
type Metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	refused  *prometheus.CounterVec
	attained *prometheus.CounterVec
	sent     *prometheus.CounterVec
	tokens   *prometheus.CounterVec
	moves    *prometheus.CounterVec
	first    *prometheus.HistogramVec
	gap      *prometheus.HistogramVec
}

// New returns metrics with a registry of their own; gauges are read when they are collected.
func New(gauges Gauges) *Metrics {
	m := &Metrics{registry: prometheus.NewRegistry()}
	m.requests = counter("requests_total", "Requests that ended, by client account and result; refusals have the result refused.", "account", "result")
	m.refused = counter("refused_total", "Requests refused, by client account and reason.", "account", "reason")
	m.attained = counter("attained_total", "Model requests whose first token and token gaps met the targets, by pool and client account.", "pool", "account")
	m.sent = counter("model_requests_total", "Model requests that were sent and whose caller waited for the end, by pool and client account.", "pool", "account")
	m.tokens = counter("tokens_total", "Tokens used, prompt included, by client account.", "account")
	m.moves = counter("moves_total", "Orders that loaded or unloaded a model, by pool.", "pool")
	m.first = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace,
		Name:      "first_token_seconds",
		Help:      "Time from the arrival of a request to its first token, for streamed answers, by pool.",
		Buckets:   []float64{0.01, 0.03, 0.1, 0.3, 1, firstTokenTarget, 3, 10},
	}, []string{"pool"})
	m.gap = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace,
		Name:      "token_gap_seconds",
		Help:      "Longest time between two tokens of a streamed answer, by pool.",
		Buckets:   []float64{0.005, 0.01, 0.02, tokenGapTarget, 0.1, 0.3, 1},
	}, []string{"pool"})
	m.registry.MustRegister(m.requests, m.refused, m.attained, m.sent, m.tokens, m.moves, m.first, m.gap,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.registerGauges(gauges)
	return m
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

// Handler answers a scrape.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// CountRefusal counts a refused request; the account is empty when it is not known.
func (m *Metrics) CountRefusal(account, reason string) {
	m.refused.WithLabelValues(account, reason).Inc()
}

// CountMove counts an order that loads or unloads a model.
func (m *Metrics) CountMove(pool string) { m.moves.WithLabelValues(pool).Inc() }
