package pool

import (
	"fmt"
	"net/netip"

	"magnoliahoist/document"
	"magnoliahoist/route"
)

// maxMemoryBytes bounds the memory of an endpoint, model or adapter. Sums over a table can't overflow within it.
const maxMemoryBytes = 1 << 44

// maxSlots bounds the number of calls that one endpoint runs at once.
const maxSlots = 1 << 20

// Parse decodes and checks a pools table. The error is of type document.Problems.
func Parse(data []byte) (Table, error) {
	var t Table
	if err := document.Decode(data, &t); err != nil {
		return Table{}, err
	}
	if err := t.Check(); err != nil {
		return Table{}, err
	}
	return t, nil
}

// usedNames holds the names and addresses that were found so far in a table, to detect duplicates. An engine that is listed twice would
// have its memory counted twice.
type usedNames struct {
	pools, endpoints map[string]bool
	addresses        map[netip.AddrPort]bool
}

// Check reports all problems of the table. The error is of type document.Problems.
func (t Table) Check() error {
	var c document.Checker
	c.Require(len(t.Pools) > 0, "pools", "an empty list", "at least one pool")
	used := usedNames{pools: map[string]bool{}, endpoints: map[string]bool{}, addresses: map[netip.AddrPort]bool{}}
	for i, p := range t.Pools {
		path := fmt.Sprintf("pools[%d]", i)
		c.Require(document.ValidName(p.Name), path+".name", p.Name, document.AllowedName)
		c.Require(!used.pools[p.Name], path+".name", p.Name, "a name that no other pool has")
		used.pools[p.Name] = true
		p.checkModels(&c, path)
		p.checkEndpoints(&c, path, used)
		p.checkMemory(&c, path)
	}
	return c.Err()
}

func (p Pool) checkModels(c *document.Checker, path string) {
	if p.Kind == route.Service {
		c.Require(len(p.Models) == 0, path+".models", fmt.Sprintf("a list of %d", len(p.Models)), "no models in a pool of kind service")
		return
	}
	c.Require(len(p.Models) > 0, path+".models", "an empty list", "at least one model in a pool of kind model")
	names := map[string]bool{}
	for i, m := range p.Models {
		modelPath := fmt.Sprintf("%s.models[%d]", path, i)
		checkModelOrAdapter(c, modelPath, m.Name, m.Version, m.Memory, names)
		c.Require(m.Replicas >= 0 && m.Replicas <= max(len(p.Endpoints), 1), modelPath+".replicas", m.Replicas, fmt.Sprintf("0 to %d, the number of endpoints", len(p.Endpoints)))
		adapters := map[string]bool{}
		for n, a := range m.Adapters {
			checkModelOrAdapter(c, fmt.Sprintf("%s.adapters[%d]", modelPath, n), a.Name, a.Version, a.Memory, adapters)
		}
	}
}

// checkModelOrAdapter checks the name, version and memory of a model or adapter and adds the name to names.
func checkModelOrAdapter(c *document.Checker, path, name, version string, memory int64, names map[string]bool) {
	c.Require(document.ValidName(name), path+".name", name, document.AllowedName)
	c.Require(!names[name], path+".name", name, "a name that appears once in the list")
	c.Require(document.ValidName(version), path+".version", version, document.AllowedName)
	c.Require(memory > 0 && memory <= maxMemoryBytes, path+".memory", memory, fmt.Sprintf("1 to %d bytes", int64(maxMemoryBytes)))
	names[name] = true
}

func (p Pool) checkEndpoints(c *document.Checker, path string, used usedNames) {
	c.Require(len(p.Endpoints) > 0, path+".endpoints", "an empty list", "at least one endpoint")
	for i, e := range p.Endpoints {
		endpointPath := fmt.Sprintf("%s.endpoints[%d]", path, i)
		c.Require(document.ValidName(e.Name), endpointPath+".name", e.Name, document.AllowedName)
		c.Require(!used.endpoints[e.Name], endpointPath+".name", e.Name, "a name that no other endpoint has")
		used.endpoints[e.Name] = true
		address, err := netip.ParseAddrPort(e.Address)
		c.Require(err == nil && address.Port() != 0 && !address.Addr().IsUnspecified(), endpointPath+".address", e.Address, "an IP number with a port, such as 127.0.0.1:9101")
		if err == nil {
			address = netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
			c.Require(!used.addresses[address], endpointPath+".address", e.Address, "an address that no other endpoint has")
			used.addresses[address] = true
		}
		c.Require(document.ValidName(e.Domain), endpointPath+".domain", e.Domain, "a failure domain: "+document.AllowedName)
		c.Require(e.Slots > 0 && e.Slots <= maxSlots, endpointPath+".slots", e.Slots, fmt.Sprintf("1 to %d calls", maxSlots))
		if p.Kind == route.Service {
			c.Require(e.Memory == 0, endpointPath+".memory", e.Memory, "no memory in a pool of kind service")
			c.Require(!e.ChecksFencing, endpointPath+".fenced", e.ChecksFencing, "no fenced in a pool of kind service")
			continue
		}
		c.Require(e.Memory > 0 && e.Memory <= maxMemoryBytes, endpointPath+".memory", e.Memory, fmt.Sprintf("1 to %d bytes", int64(maxMemoryBytes)))
	}
}
