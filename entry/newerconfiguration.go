package entry

import (
	"context"
	"time"

	"magnoliahoist/lease"
	"magnoliahoist/peer"
	"magnoliahoist/platform"
	"magnoliahoist/table"
)

// A store that comes back from a backup may have an older configuration than hosts have in force, until the operator has written the
// newer one again. Hosts keep theirs. A host that starts then, or that had not received the lost change, asks others.

const (
	// configurationSources is how many other hosts are asked for a newer configuration.
	configurationSources = 7
	// configurationTimeout bounds how long a host waits for their responses. A host that starts waits as long for the addresses.
	configurationTimeout = 400 * time.Millisecond
)

// adoptNewerConfiguration asks other hosts for a configuration that is newer than a version, and puts the newest one in force.
func (h *Host) adoptNewerConfiguration(ctx context.Context, version int64) {
	ctx, cancel := context.WithTimeout(ctx, configurationTimeout)
	defer cancel()
	client, targets := h.configurationTargets()
	responses := make(chan *peer.Row, len(targets))
	for _, to := range targets {
		go func() {
			response, err := client.Configuration(ctx, to, h.sender(), version)
			if err != nil {
				h.log.Debug("entry: unable to ask another host for a newer configuration", "host", to.ID, "error", err)
			}
			responses <- response.GetRow()
		}()
	}
	for range targets {
		message := <-responses
		if message == nil {
			continue
		}
		row := peer.RowsFromMessages([]*peer.Row{message})[0]
		c, found, err := platform.DecodeConfiguration(row)
		if !found || err != nil {
			h.log.Warn("entry: unable to decode the configuration of another host", "error", err)
			continue
		}
		h.activateConfiguration(c, row)
	}
}

// adoptBeforeStart asks other hosts for a newer configuration than the first one that this host has read, if the store was restored at
// any time.
func (h *Host) adoptBeforeStart(version, revision int64) {
	if h.catalog.Load() == nil && table.EraOf(revision) > table.FirstEra {
		h.adoptNewerConfiguration(h.tomb.Context(context.Background()), version)
	}
}

// configurationTargets returns the hosts to ask for a newer configuration, and the client. A host that has just started waits
// until it knows them, at most for configurationTimeout.
func (h *Host) configurationTargets() (*peer.Client, []peer.Target) {
	for end := h.Now() + configurationTimeout; h.peerClient() == nil && h.Now() < end; {
		h.sleep(tickInterval)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.fleet.client == nil {
		return nil, nil
	}
	var targets []peer.Target
	for _, name := range lease.NewSuccession(platform.OperatorTable, h.fleet.candidates()).First(configurationSources + 1) {
		if m := h.fleet.members[name]; name != h.settings.Name && len(targets) < configurationSources {
			targets = append(targets, peer.Target{ID: m.ID, Address: m.Address})
		}
	}
	return h.fleet.client, targets
}

// Configuration returns the configuration in force if it is newer than that of another host.
func (s *peerService) Configuration(_ context.Context, r *peer.ConfigurationRequest) (*peer.ConfigurationResponse, error) {
	h := s.host
	h.mu.Lock()
	defer h.mu.Unlock()
	if c := h.catalog.Load(); c == nil || c.Version() <= r.GetVersion() {
		return &peer.ConfigurationResponse{}, nil
	}
	return &peer.ConfigurationResponse{Row: peer.RowMessages([]table.Row{h.configuration})[0]}, nil
}
