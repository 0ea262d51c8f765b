package fakeservice_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/fakeservice"
	"magnoliahoist/fault"
)

// Guards against an execution that is not counted because its response is lost or its call is repeated.
func TestCalls(t *testing.T) {
	c := qt.New(t)
	cases := map[string]struct {
		faults fault.Faults
		counts []int
	}{
		"answered":   {fault.Faults{}, []int{2, 1}},
		"reply lost": {fault.Faults{LoseReply: 3}, []int{2, 1}},
		"down":       {fault.Faults{Down: true}, nil},
	}
	for name, test := range cases {
		c.Run(name, func(c *qt.C) {
			s := fakeservice.New(fakeservice.Settings{})
			server := httptest.NewServer(s.Handler())
			defer server.Close()
			defer s.Stop()
			s.Faults.Replace(test.faults)
			for _, body := range []string{"one", "one", "two"} {
				r, err := http.NewRequest(http.MethodPost, server.URL+"/stamps/", strings.NewReader(body))
				c.Assert(err, qt.IsNil)
				r.Header["Idempotency-Key"] = []string{"k"}
				// On a reused connection that breaks, the transport would resend requests with this header.
				if response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r); err == nil {
					response.Body.Close()
				}
			}
			var counts []int
			for _, call := range s.Calls() {
				counts = append(counts, call.Executions)
			}
			c.Assert(counts, qt.DeepEquals, test.counts)
		})
	}
}
