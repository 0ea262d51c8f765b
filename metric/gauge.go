package metric

import "github.com/prometheus/client_golang/prometheus"

// Gauges are values that are read when metrics are collected.
type Gauges struct {
	Fresh    func() float64 // seconds until the host stops being fresh; below 0 when it is not
	Running  func() float64 // requests that have not ended
	Revision func() float64 // of the host's copy of the shared state
	Contact  func() float64 // seconds since the last contact with the table service
}

func (m *Metrics) registerGauges(g Gauges) {
	m.gauge("freshness_seconds", "Time until the host stops relying on its copy of the shared state.", g.Fresh)
	m.gauge("requests_running", "Requests that have not ended.", g.Running)
	m.gauge("revision", "Revision of the host's copy of the shared state.", g.Revision)
	m.gauge("table_contact_seconds", "Time since the last contact with the table service.", g.Contact)
}

func (m *Metrics) gauge(name, help string, read func() float64) {
	if read == nil {
		return
	}
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, read))
}
