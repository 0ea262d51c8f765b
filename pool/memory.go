package pool

import (
	"cmp"
	"fmt"
	"slices"

	"magnoliahoist/document"
	"magnoliahoist/route"
)

// Footprint returns the memory in bytes of one replica of the model with all its adapters.
func (m Model) Footprint() int64 {
	total := m.Memory
	for _, a := range m.Adapters {
		total += a.Memory
	}
	return total
}

// checkMemory refuses pools in which some model could not be resident: every endpoint must have the memory for the largest model, and
// first-fit decreasing must find space for one replica of each model.
func (p Pool) checkMemory(c *document.Checker, path string) {
	if p.Kind != route.Model || len(p.Models) == 0 {
		return
	}
	largest := slices.MaxFunc(p.Models, func(a, b Model) int { return cmp.Compare(a.Footprint(), b.Footprint()) })
	for i, e := range p.Endpoints {
		c.Require(e.Memory >= largest.Footprint(), fmt.Sprintf("%s.endpoints[%d].memory", path, i), e.Memory,
			fmt.Sprintf("at least %d bytes, the size of model %q with its adapters", largest.Footprint(), largest.Name))
	}
	if model, fits := p.firstFit(); !fits {
		c.Require(false, path+".models", fmt.Sprintf("a list of %d models", len(p.Models)),
			fmt.Sprintf("models that fit the endpoints together at one replica each; there is no room for %q", model))
	}
}

// firstFit places one replica of each model, the largest first, on the first endpoint with enough free memory. It reports whether all
// models fit, and otherwise returns the name of the first model that doesn't.
func (p Pool) firstFit() (string, bool) {
	models := slices.Clone(p.Models)
	slices.SortStableFunc(models, func(a, b Model) int { return cmp.Compare(b.Footprint(), a.Footprint()) })
	free := make([]int64, len(p.Endpoints))
	for i, e := range p.Endpoints {
		free[i] = e.Memory
	}
	for _, m := range models {
		i := slices.IndexFunc(free, func(freeBytes int64) bool { return freeBytes >= m.Footprint() })
		if i < 0 {
			return m.Name, false
		}
		free[i] -= m.Footprint()
	}
	return "", true
}
