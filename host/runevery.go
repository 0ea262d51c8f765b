package host

import "time"

// runEvery calls work once per interval until the host stops.
func (h *Host) runEvery(interval time.Duration, work func()) error {
	ticker := time.NewTicker(interval)
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
