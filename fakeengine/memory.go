package fakeengine

import (
	"fmt"
	"net/http"
	"sync"
)

// memory holds the resident models, adapters and roles. Each takes its memory from the start of its load
// until its unload has ended.
type memory struct {
	mutex        sync.Mutex
	size         int64         // bytes
	used         int64         // bytes
	peak         int64         // highest use in bytes, counting loads that were refused
	refusedLoads int64         // loads refused for lack of memory
	items        []*memoryItem // oldest first
}

// memoryItem is a resident with the state of its load and unload.
type memoryItem struct {
	ResidentItem
	requests    int           // running requests that use it
	loadEnded   chan struct{} // closed when the load has ended
	unloadEnded chan struct{} // closed when no request uses it any more; nil before its unload
}

func (m *memoryItem) matches(r ResidentItem) bool {
	return m.Kind == r.Kind && m.Name == r.Name && m.Version == r.Version && m.Model == r.Model
}

// reserve adds a resident that is loading and takes its memory. If the same one is resident or loading
// already, reserve returns that one with isNew false. It refuses a resident that exceeds the free memory.
func (m *memory) reserve(r ResidentItem) (item *memoryItem, isNew bool, refusal *problem) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, existing := range m.items {
		if existing.matches(r) && existing.State != Unloading {
			return existing, false, nil
		}
	}
	m.peak = max(m.peak, m.used+r.Memory)
	if m.used+r.Memory > m.size {
		m.refusedLoads++
		return nil, false, &problem{http.StatusInsufficientStorage, outOfMemory,
			fmt.Sprintf("%s %s needs %d bytes, %d of %d are free", r.Kind, r.Name, r.Memory, m.size-m.used, m.size)}
	}
	r.State = Loading
	item = &memoryItem{ResidentItem: r, loadEnded: make(chan struct{})}
	m.used += r.Memory
	m.items = append(m.items, item)
	return item, true, nil
}

// finishLoad ends a load. If the load has failed (ok is false), the memory becomes free.
func (m *memory) finishLoad(item *memoryItem, ok bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if ok {
		item.State = Ready
	} else {
		m.remove(item)
	}
	close(item.loadEnded)
}

func (m *memory) remove(item *memoryItem) {
	for i, existing := range m.items {
		if existing == item {
			m.items = append(m.items[:i:i], m.items[i+1:]...)
			m.used -= item.Memory
			return
		}
	}
}

// isReady reports whether the item has been loaded and is not being unloaded.
func (m *memory) isReady(item *memoryItem) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return item.State == Ready
}

// startUnload starts to unload the ready items with the kind and name, and with the version and model unless
// these are empty. The memory of an item becomes free when the last request that uses it has ended. The
// result holds all matching items, in two lists: those being unloaded, and those still loading, which it
// leaves as they are.
func (m *memory) startUnload(r ResidentItem) (unloading, loading []*memoryItem) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, item := range append([]*memoryItem(nil), m.items...) {
		if item.Kind != r.Kind || item.Name != r.Name ||
			(r.Version != "" && item.Version != r.Version) || (r.Model != "" && item.Model != r.Model) {
			continue
		}
		if item.State == Loading {
			loading = append(loading, item)
			continue
		}
		unloading = append(unloading, item)
		if item.State == Unloading {
			continue
		}
		item.State = Unloading
		item.unloadEnded = make(chan struct{})
		if item.requests == 0 {
			m.remove(item)
			close(item.unloadEnded)
		}
	}
	return unloading, loading
}

// pin returns the newest ready model with the name and, unless adapter is empty, the newest ready adapter of
// that model, and keeps both in memory until unpin. The name of an adapter given as the model, without an
// adapter, selects the adapter with its model.
func (m *memory) pin(model, adapter string) (pinned []*memoryItem, ok bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	base := m.newestReady(Model, model, "")
	if base == nil && adapter == "" {
		if namedAdapter := m.newestReady(Adapter, model, ""); namedAdapter != nil {
			base, adapter = m.newestReady(Model, namedAdapter.Model, ""), namedAdapter.Name
		}
	}
	if base == nil {
		return nil, false
	}
	pinned = []*memoryItem{base}
	if adapter != "" {
		adapterItem := m.newestReady(Adapter, adapter, base.Name)
		if adapterItem == nil {
			return nil, false
		}
		pinned = append(pinned, adapterItem)
	}
	for _, item := range pinned {
		item.requests++
	}
	return pinned, true
}

// newestReady returns the newest ready item, or nil. An empty model matches adapters of any model.
func (m *memory) newestReady(kind Kind, name, model string) *memoryItem {
	for i := len(m.items) - 1; i >= 0; i-- {
		item := m.items[i]
		if item.State == Ready && item.Kind == kind && item.Name == name && (model == "" || item.Model == model) {
			return item
		}
	}
	return nil
}

// unpin ends a request's use of the items and completes the unload of those that were waiting for it.
func (m *memory) unpin(pinned []*memoryItem) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, item := range pinned {
		item.requests--
		if item.requests == 0 && item.State == Unloading {
			m.remove(item)
			close(item.unloadEnded)
		}
	}
}

// residents returns all residents, oldest first, and the free memory in bytes.
func (m *memory) residents() (list []ResidentItem, free int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	list = make([]ResidentItem, len(m.items))
	for i, item := range m.items {
		list[i] = item.ResidentItem
	}
	return list, m.size - m.used
}
