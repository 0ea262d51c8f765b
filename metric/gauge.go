package metric

import "github.com/prometheus/client_golang/prometheus"

// Gauges holds functions that return the current values of gauges. They are called whenever the metrics are collected and
// must be safe for concurrent use. A function that is nil leaves its gauge out.
type Gauges struct {
	FreshFor            func() float64            // seconds until the host stops being fresh; negative if it is not fresh
	ActiveRequests      func() float64            // requests that have not ended
	QueuedRequests      func() float64            // requests in the queues
	Revision            func() float64            // revision of the host's copy of the shared state
	TableContactAge     func() float64            // seconds since the last contact with the table service
	Members             func() float64            // hosts that the shared state lists
	UnresponsiveMembers func() float64            // members that do not respond to this host
	EjectedEndpoints    func() float64            // endpoints to which this host sends no requests, because of their failures
	NonResidentModels   func() float64            // models that are in no endpoint's memory
	BrokenRows          func() float64            // rows of the shared state that cannot be decoded
	AccountRates        func() map[string]float64 // tokens per second, by client account
}

func (m *Metrics) registerGauges(g Gauges) {
	m.registerGauge("freshness_seconds", "Time until the host stops relying on its copy of the shared state.", g.FreshFor)
	m.registerGauge("requests_running", "Requests that have not ended.", g.ActiveRequests)
	m.registerGauge("requests_waiting", "Requests in the queues.", g.QueuedRequests)
	m.registerGauge("revision", "Revision of the host's copy of the shared state.", g.Revision)
	m.registerGauge("table_contact_seconds", "Time since the last contact with the table service.", g.TableContactAge)
	m.registerGauge("members", "Hosts that the shared state lists.", g.Members)
	m.registerGauge("members_silent", "Members that do not answer this host.", g.UnresponsiveMembers)
	m.registerGauge("endpoints_ejected", "Endpoints that get no calls of this host after failures.", g.EjectedEndpoints)
	m.registerGauge("models_unheld", "Models of the pools table that no endpoint holds.", g.NonResidentModels)
	m.registerGauge("rows_broken", "Rows of the shared state that cannot be read.", g.BrokenRows)
	if g.AccountRates != nil {
		m.registry.MustRegister(rateCollector{g.AccountRates})
	}
}

// registerGauge registers a gauge without labels. It does nothing if read is nil.
func (m *Metrics) registerGauge(name, help string, read func() float64) {
	if read == nil {
		return
	}
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, read))
}

// rateCollector is a prometheus.Collector for the rate of every client account.
type rateCollector struct{ read func() map[string]float64 }

var accountRateDesc = prometheus.NewDesc(namespace+"_account_rate", "Rate of a client account in force on this host, in tokens a second.", []string{"account"}, nil)

// Describe sends the description of the gauge.
func (r rateCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- accountRateDesc
}

// Collect sends the current rate of each account.
func (r rateCollector) Collect(metrics chan<- prometheus.Metric) {
	for account, rate := range r.read() {
		metrics <- prometheus.MustNewConstMetric(accountRateDesc, prometheus.GaugeValue, rate, account)
	}
}
