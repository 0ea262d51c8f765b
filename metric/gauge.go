package metric

import "github.com/prometheus/client_golang/prometheus"

// Gauges are values that are read when metrics are collected.
type Gauges struct {
	Fresh    func() float64            // seconds until the host stops being fresh; below 0 when it is not
	Running  func() float64            // requests that have not ended
	Waiting  func() float64            // requests in the queues
	Revision func() float64            // of the host's copy of the shared state
	Contact  func() float64            // seconds since the last contact with the table service
	Members  func() float64            // hosts that count in a witness group
	Silent   func() float64            // members that do not answer this host
	Ejected  func() float64            // endpoints that get no calls after failures
	Unheld   func() float64            // models that no endpoint holds
	Broken   func() float64            // rows that cannot be read
	Rates    func() map[string]float64 // tokens a second, by client account
}

func (m *Metrics) registerGauges(g Gauges) {
	m.gauge("freshness_seconds", "Time until the host stops relying on its copy of the shared state.", g.Fresh)
	m.gauge("requests_running", "Requests that have not ended.", g.Running)
	m.gauge("requests_waiting", "Requests in the queues.", g.Waiting)
	m.gauge("revision", "Revision of the host's copy of the shared state.", g.Revision)
	m.gauge("table_contact_seconds", "Time since the last contact with the table service.", g.Contact)
	m.gauge("members", "Hosts that the shared state lists.", g.Members)
	m.gauge("members_silent", "Members that do not answer this host.", g.Silent)
	m.gauge("endpoints_ejected", "Endpoints that get no calls of this host after failures.", g.Ejected)
	m.gauge("models_unheld", "Models of the pools table that no endpoint holds.", g.Unheld)
	m.gauge("rows_broken", "Rows of the shared state that cannot be read.", g.Broken)
	if g.Rates != nil {
		m.registry.MustRegister(rates{g.Rates})
	}
}

func (m *Metrics) gauge(name, help string, read func() float64) {
	if read == nil {
		return
	}
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, read))
}

// rates collects the rate of every client account.
type rates struct{ read func() map[string]float64 }

var rateDesc = prometheus.NewDesc(namespace+"_account_rate", "Rate of a client account in force on this host, in tokens a second.", []string{"account"}, nil)

// Describe describes the gauge.
func (r rates) Describe(descriptions chan<- *prometheus.Desc) { descriptions <- rateDesc }

// Collect reads the rates.
func (r rates) Collect(metrics chan<- prometheus.Metric) {
	for name, rate := range r.read() {
		metrics <- prometheus.MustNewConstMetric(rateDesc, prometheus.GaugeValue, rate, name)
	}
}
