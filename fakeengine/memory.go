package fakeengine

import (
	"fmt"
	"net/http"
	"sync"
)

// memory holds what is resident. A resident takes its memory from the start of its load until its
// unload has ended.
type memory struct {
	mutex      sync.Mutex
	size       int64
	used       int64
	peak       int64 // the most bytes ever asked for at once, refused loads included
	violations int64 // loads refused for lack of memory
	all        []*held
}

type held struct {
	Resident
	users int
	ready chan struct{} // closed when the load has ended
	idle  chan struct{} // closed when nothing uses it any more; nil unless unloading
}

func (h *held) is(r Resident) bool {
	return h.Kind == r.Kind && h.Name == r.Name && h.Version == r.Version && h.Model == r.Model
}

// reserve takes the memory. When the same is resident already it returns that, and fresh is false.
func (m *memory) reserve(r Resident) (one *held, fresh bool, refusal *problem) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, h := range m.all {
		if h.is(r) && h.State != Unloading {
			return h, false, nil
		}
	}
	m.peak = max(m.peak, m.used+r.Memory)
	if m.used+r.Memory > m.size {
		m.violations++
		return nil, false, &problem{http.StatusInsufficientStorage, noMemory,
			fmt.Sprintf("%s %s needs %d bytes, %d of %d are free", r.Kind, r.Name, r.Memory, m.size-m.used, m.size)}
	}
	r.State = Loading
	one = &held{Resident: r, ready: make(chan struct{})}
	m.used += r.Memory
	m.all = append(m.all, one)
	return one, true, nil
}

// loaded ends a load; a failed one gives the memory back.
func (m *memory) loaded(one *held, ok bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if ok {
		one.State = Ready
	} else {
		m.remove(one)
	}
	close(one.ready)
}

func (m *memory) remove(one *held) {
	for i, h := range m.all {
		if h == one {
			m.all = append(m.all[:i:i], m.all[i+1:]...)
			m.used -= one.Memory
			return
		}
	}
}

// resident tells whether the load that was awaited has succeeded.
func (m *memory) resident(one *held) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return one.State == Ready
}

// release starts the unload of what matches, any version when it is empty; the memory is given
// back when the last request on it has ended. What is still loading is only returned.
func (m *memory) release(r Resident) (leaving, loading []*held) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, h := range append([]*held(nil), m.all...) {
		if h.Kind != r.Kind || h.Name != r.Name ||
			(r.Version != "" && h.Version != r.Version) || (r.Model != "" && h.Model != r.Model) {
			continue
		}
		if h.State == Loading {
			loading = append(loading, h)
			continue
		}
		leaving = append(leaving, h)
		if h.State == Unloading {
			continue
		}
		h.State = Unloading
		h.idle = make(chan struct{})
		if h.users == 0 {
			m.remove(h)
			close(h.idle)
		}
	}
	return leaving, loading
}

// use pins the newest ready model and adapter for a request. An adapter's name alone stands for
// the adapter on its model.
func (m *memory) use(model, adapter string) (pinned []*held, ok bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	base := m.newest(Model, model, "")
	if base == nil && adapter == "" {
		if named := m.newest(Adapter, model, ""); named != nil {
			base, adapter = m.newest(Model, named.Model, ""), named.Name
		}
	}
	if base == nil {
		return nil, false
	}
	pinned = []*held{base}
	if adapter != "" {
		one := m.newest(Adapter, adapter, base.Name)
		if one == nil {
			return nil, false
		}
		pinned = append(pinned, one)
	}
	for _, h := range pinned {
		h.users++
	}
	return pinned, true
}

func (m *memory) newest(kind Kind, name, model string) *held {
	for i := len(m.all) - 1; i >= 0; i-- {
		h := m.all[i]
		if h.State == Ready && h.Kind == kind && h.Name == name && (model == "" || h.Model == model) {
			return h
		}
	}
	return nil
}

func (m *memory) unuse(pinned []*held) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, h := range pinned {
		h.users--
		if h.users == 0 && h.State == Unloading {
			m.remove(h)
			close(h.idle)
		}
	}
}

func (m *memory) list() (residents []Resident, free int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	residents = make([]Resident, len(m.all))
	for i, h := range m.all {
		residents[i] = h.Resident
	}
	return residents, m.size - m.used
}
