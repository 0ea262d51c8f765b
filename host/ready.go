package host

// Ready reports whether the host is fresh and holds a part of every account's allowance, or knows who does.
func (h *Host) Ready() bool {
	if !h.Fresh() {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state.Ready(h.Now())
}
