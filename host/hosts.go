package host

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"

	"magnoliahoist/state"
)

// hostsPeriod is the time between two reads of the platform's host list.
const hostsPeriod = time.Second

// listedHost is one entry of the platform's host list.
type listedHost struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	State   string `json:"state"`
}

// stateLeaving marks hosts of which the platform says that they will stop.
const stateLeaving = "leaving"

// watchHosts follows the platform's list of live and leaving hosts; the last list stays in use while
// the platform does not answer.
func (h *Host) watchHosts() error {
	for {
		if err := h.readHosts(); err != nil {
			h.log.Debug("host: unable to read the host list", "error", err)
		}
		select {
		case <-h.tomb.Dying():
			return nil
		case <-time.After(hostsPeriod):
		}
	}
}

func (h *Host) readHosts() error {
	ctx, cancel := context.WithTimeout(h.tomb.Context(context.Background()), platformTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.settings.Platform.Hosts+"/v1/hosts", nil)
	if err != nil {
		return errors.Trace(err)
	}
	started := h.Now()
	response, err := h.platform.Do(request)
	if err != nil {
		return errors.Trace(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("host: host list answered %s", response.Status)
	}
	var list []listedHost
	if err := json.NewDecoder(response.Body).Decode(&list); err != nil {
		return errors.Trace(err)
	}
	leaving, addresses := map[string]bool{}, map[string]bool{}
	for _, entry := range list {
		addresses[entry.Address] = true
		if entry.State == stateLeaving {
			leaving[entry.Address] = true
		}
	}
	h.Apply(state.Listed{Leaving: leaving})
	h.Apply(state.Hosts{Read: started, Addresses: addresses})
	h.discover(addresses)
	return nil
}
