package host

// Ready reports whether the host is fresh and the rate of every client account can be used: it is divided among hosts, and
// this host may use its part if it has one.
func (h *Host) Ready() bool {
	if !h.Fresh() {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state.Ready(h.Now())
}
