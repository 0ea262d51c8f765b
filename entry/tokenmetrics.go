package entry

import (
	"maps"
	"slices"

	"github.com/prometheus/client_golang/prometheus"

	"magnoliahoist/dispatch"
)

const (
	// maxTokenLabels bounds the accounts that have a label of their own in the metrics of tokens.
	maxTokenLabels = 64
	// otherAccounts is the label of the accounts beyond maxTokenLabels.
	otherAccounts = "(other)"
)

// tokenCollector collects the totals of tokens by account and kind.
type tokenCollector struct {
	read  func() map[string]dispatch.TokenCounts
	total *prometheus.Desc
}

func newTokenCollector(read func() map[string]dispatch.TokenCounts) *tokenCollector {
	name := prometheus.BuildFQName("magnoliahoist", "entry", "account_tokens_total")
	help := "Tokens of client accounts, by account (the first 64 by name, the others together) and kind: admitted, returned (of requests that were not run), refused, lent, borrowed, unused (borrowed and given back)."
	return &tokenCollector{read: read, total: prometheus.NewDesc(name, help, []string{"account", "kind"}, nil)}
}

// Describe implements prometheus.Collector.
func (c *tokenCollector) Describe(descriptions chan<- *prometheus.Desc) { descriptions <- c.total }

// Collect implements prometheus.Collector.
func (c *tokenCollector) Collect(metrics chan<- prometheus.Metric) {
	byAccount := c.read()
	var other dispatch.TokenCounts
	for i, name := range slices.Sorted(maps.Keys(byAccount)) {
		if i < maxTokenLabels {
			c.send(metrics, name, byAccount[name])
			continue
		}
		other = other.Plus(byAccount[name])
	}
	if len(byAccount) > maxTokenLabels {
		c.send(metrics, otherAccounts, other)
	}
}

func (c *tokenCollector) send(metrics chan<- prometheus.Metric, account string, t dispatch.TokenCounts) {
	for _, kind := range []struct {
		name   string
		tokens int64
	}{{"admitted", t.Admitted}, {"returned", t.Returned}, {"refused", t.Refused}, {"lent", t.Lent}, {"borrowed", t.Borrowed}, {"unused", t.Unused}} {
		metrics <- prometheus.MustNewConstMetric(c.total, prometheus.CounterValue, float64(kind.tokens), account, kind.name)
	}
}

// tokenCounts returns the totals of tokens by account.
func (h *Host) tokenCounts() map[string]dispatch.TokenCounts {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state.TokenCounts()
}
