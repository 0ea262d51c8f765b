package host

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"

	"magnoliahoist/state"
)

// hostListInterval is the pause between two reads of the platform's host list.
const hostListInterval = time.Second

// listedHost is one entry of the platform's host list.
type listedHost struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	State   string `json:"state"`
}

// hostStateLeaving is the state of listed hosts that are about to stop.
const hostStateLeaving = "leaving"

// followHostList reads the platform's list of live and leaving hosts periodically until the host stops. While the platform
// does not respond, the last list stays in use.
func (h *Host) followHostList() error {
	for {
		if err := h.readHostList(); err != nil {
			h.log.Debug("host: unable to read the host list", "error", err)
		}
		select {
		case <-h.tomb.Dying():
			return nil
		case <-time.After(hostListInterval):
		}
	}
}

// readHostList reads the platform's host list once and passes it to the state machine.
func (h *Host) readHostList() error {
	ctx, cancel := context.WithTimeout(h.tomb.Context(context.Background()), platformTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.settings.Platform.Hosts+"/v1/hosts", nil)
	if err != nil {
		return errors.Trace(err)
	}
	readAt := h.Now()
	response, err := h.platformClient.Do(request)
	if err != nil {
		return errors.Trace(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("host: unable to read the host list: status %s, expected 200 OK", response.Status)
	}
	var list []listedHost
	if err := json.NewDecoder(response.Body).Decode(&list); err != nil {
		return errors.Trace(err)
	}
	leaving, addresses := map[string]bool{}, map[string]bool{}
	for _, entry := range list {
		addresses[entry.Address] = true
		if entry.State == hostStateLeaving {
			leaving[entry.Address] = true
		}
	}
	h.Apply(state.LeavingListed{Addresses: leaving})
	h.Apply(state.HostsListed{ReadAt: readAt, Addresses: addresses})
	h.discoverMembers(addresses)
	return nil
}
