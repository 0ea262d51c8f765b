package cli

import (
	"time"

	"github.com/juju/errors"

	"magnoliahoist/timeline"
)

type timelineCommand struct {
	Trace    bool      `help:"Write the Chrome trace event format."`
	Host     string    `help:"Events of this host."`
	Request  string    `help:"Events of this request."`
	Endpoint string    `help:"Events of this endpoint."`
	Account  string    `help:"Events of this client account."`
	Order    string    `help:"Events of this order."`
	Change   int64     `help:"Events of the change with this revision."`
	Kind     []string  `help:"Events of these kinds."`
	Since    time.Time `help:"Events from this time on, in the format of RFC 3339."`
	Until    time.Time `help:"Events before this time, in the format of RFC 3339."`
}

// Run prints the events that match the flags.
func (c timelineCommand) Run(s *session) error {
	filter := timeline.Filter{Host: c.Host, Request: c.Request, Endpoint: c.Endpoint, Account: c.Account, Order: c.Order, Change: c.Change,
		Since: timestampOf(c.Since), Until: timestampOf(c.Until)}
	for _, text := range c.Kind {
		var kind timeline.Kind
		if err := kind.UnmarshalText([]byte(text)); err != nil {
			return errors.Annotate(errUsage, err.Error())
		}
		filter.Kinds = append(filter.Kinds, kind)
	}
	client, err := s.client()
	if err != nil {
		return err
	}
	format := "text"
	if s.json {
		format = "json"
	}
	if c.Trace {
		format = "trace"
	}
	return client.Timeline(s.ctx, filter, format, s.out)
}

// timestampOf returns the timestamp of a time, or the zero timestamp if the time is unset.
func timestampOf(at time.Time) timeline.Timestamp {
	if at.IsZero() {
		return timeline.Timestamp{}
	}
	return timeline.Timestamp{Wall: at.UnixNano()}
}
