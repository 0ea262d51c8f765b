package contrib_test

import (
	"fmt"
	"net/netip"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/config"
	"magnoliahoist/pool"
	"magnoliahoist/route"
)

// Guards against examples that the program refuses, that are not of the documented sizes,
// or that would reach beyond this machine.
func TestExamples(t *testing.T) {
	tests := map[string]struct{ models, adapters, engines, services int }{
		"kyushu":  {20, 80, 12, 4},
		"trangia": {30, 100, 18, 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			routes, err := route.Parse(read(t, name+"/routes.json"))
			c.Assert(err, qt.IsNil)
			pools, err := pool.Parse(read(t, name+"/pools.json"))
			c.Assert(err, qt.IsNil)
			c.Assert(pool.CheckRoutes(routes, pools), qt.IsNil)
			c.Check(routes.Accounts, qt.HasLen, 5)
			c.Check(pools.Pools[0].Models, qt.HasLen, test.models)
			c.Check(pools.Pools[0].Endpoints, qt.HasLen, test.engines)
			c.Check(pools.Pools[1].Endpoints, qt.HasLen, test.services)
			adapters := 0
			for _, model := range pools.Pools[0].Models {
				adapters += len(model.Adapters)
			}
			c.Check(adapters, qt.Equals, test.adapters)

			used := map[string]bool{}
			local := func(address string) {
				c.Check(netip.MustParseAddrPort(address).Addr().IsLoopback(), qt.IsTrue, qt.Commentf(address))
				c.Check(used[address], qt.IsFalse, qt.Commentf(address))
				used[address] = true
			}
			for _, p := range pools.Pools {
				for _, e := range p.Endpoints {
					local(e.Address)
				}
			}
			domains := map[string]bool{}
			for n := 1; n <= 5; n++ {
				host, err := config.Load(fmt.Sprintf("%s/host-%d.json", name, n))
				c.Assert(err, qt.IsNil)
				local(host.Listen.Callers)
				local(host.Listen.Operators)
				local(host.Listen.Peers)
				domains[host.Domain] = true
				if n == 1 {
					local(host.Platform.Table)
					local(host.Platform.Objects)
					local(host.Platform.Hosts)
					local(host.Platform.Weights)
				}
			}
			c.Check(domains, qt.HasLen, 4)
			for _, e := range pools.Pools[0].Endpoints {
				c.Check(domains[e.Domain], qt.IsTrue, qt.Commentf(e.Domain))
			}
		})
	}
}

func read(t *testing.T, file string) []byte {
	data, err := os.ReadFile(file)
	qt.Assert(t, err, qt.IsNil)
	return data
}
