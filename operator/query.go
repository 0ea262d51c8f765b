package operator

import (
	"net/url"
	"strconv"
	"time"

	"magnoliahoist/document"
	"magnoliahoist/timeline"
)

// parseTimelineQuery parses the filter and the format of a timeline request. Unknown parameters are refused. The error is of type
// document.Problems.
func parseTimelineQuery(values url.Values) (timeline.Filter, string, error) {
	var (
		f      timeline.Filter
		c      document.Checker
		format = "json"
	)
	for name, list := range values {
		value := list[0]
		c.Require(len(list) == 1 || name == "kind", name, list, "one value")
		switch name {
		case "host":
			f.Host = value
		case "request":
			f.Request = value
		case "endpoint":
			f.Endpoint = value
		case "account":
			f.Account = value
		case "order":
			f.Order = value
		case "change":
			revision, err := strconv.ParseInt(value, 10, 64)
			c.Require(err == nil, name, value, "a revision")
			f.Change = revision
		case "kind":
			for _, text := range list {
				var kind timeline.Kind
				c.Require(kind.UnmarshalText([]byte(text)) == nil, name, text, "a kind of event")
				f.Kinds = append(f.Kinds, kind)
			}
		case "since":
			f.Since = parseTimestamp(&c, name, value)
		case "until":
			f.Until = parseTimestamp(&c, name, value)
		case "format":
			c.Require(value == "json" || value == "text" || value == "trace", name, value, "json, text or trace")
			format = value
		default:
			c.Require(false, name, value, "host, request, endpoint, account, order, change, kind, since, until or format")
		}
	}
	return f, format, c.Err()
}

// parseTimestamp parses a time in RFC 3339 format and reports a problem to the checker if it is invalid.
func parseTimestamp(c *document.Checker, name, value string) timeline.Timestamp {
	at, err := time.Parse(time.RFC3339Nano, value)
	c.Require(err == nil, name, value, "a time as in RFC 3339")
	if err != nil {
		return timeline.Timestamp{}
	}
	return timeline.Timestamp{Wall: at.UnixNano()}
}

// timelineQuery returns the query of a timeline request, as parseTimelineQuery parses it.
func timelineQuery(f timeline.Filter, format string) url.Values {
	values := url.Values{"format": {format}}
	for name, value := range map[string]string{"host": f.Host, "request": f.Request, "endpoint": f.Endpoint, "account": f.Account, "order": f.Order} {
		if value != "" {
			values.Set(name, value)
		}
	}
	if f.Change != 0 {
		values.Set("change", strconv.FormatInt(f.Change, 10))
	}
	for _, kind := range f.Kinds {
		values.Add("kind", kind.String())
	}
	if !f.Since.IsZero() {
		values.Set("since", f.Since.Time().Format(time.RFC3339Nano))
	}
	if !f.Until.IsZero() {
		values.Set("until", f.Until.Time().Format(time.RFC3339Nano))
	}
	return values
}
