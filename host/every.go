package host

import "time"

// every does the work at each period until the host stops.
func (h *Host) every(period time.Duration, work func()) error {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-h.tomb.Dying():
			return nil
		case <-ticker.C:
			work()
		}
	}
}
