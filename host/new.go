package host

import (
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"magnoliahoist/call"
	"magnoliahoist/caller"
	"magnoliahoist/config"
	"magnoliahoist/endpoint"
	"magnoliahoist/metric"
	"magnoliahoist/object"
	"magnoliahoist/state"
	"magnoliahoist/table"
	"magnoliahoist/timeline"
)

const (
	// memberIDBytes is the number of random bytes in a generated member id.
	memberIDBytes = 5
	// maxAttempts is the maximum number of attempts of one request, including the first.
	maxAttempts = 3
	// otherDomainCost is the cost of an endpoint in another failure domain, as a fraction of the load of a full endpoint.
	otherDomainCost = 0.05
	// maxBatchSize is the maximum number of transactions of at-most-once calls that are merged into one write, because the
	// table service accepts only several hundred writes per second.
	maxBatchSize = 32
	// batchDelay is how long a transaction waits for others to join its batch.
	batchDelay = 2 * time.Millisecond
)

// New returns a host that is not started yet. It fails if the certificate files for calls between hosts cannot be used.
func New(settings config.Host, log hclog.Logger) (*Host, error) {
	id, err := memberID(settings.ID)
	if err != nil {
		return nil, err
	}
	h := &Host{
		settings:        settings,
		id:              id,
		startedAt:       time.Now(),
		log:             log.Named("host"),
		platformClient:  &http.Client{Timeout: platformTimeout},
		clock:           &timeline.Clock{},
		ring:            timeline.NewRing(settings.TimelineSize),
		openRequests:    map[uint64]openRequest{},
		departedMembers: departedMembers{silent: map[string]bool{}},
		demandMeters:    map[string]*rateMeter{},
		poolManagers:    poolManagers{byPool: map[string]*poolManager{}},
	}
	h.drainSignal.began = make(chan struct{})
	h.lastContact.Store(noContact)
	h.metrics = metric.New(h.gauges())
	h.state = state.New(h.stateSettings())
	h.view.Store(h.state.Replica().View())
	h.table = table.New(settings.Platform.Table, &http.Client{Transport: newTransport()})
	if h.peers, err = h.newPeerClient(); err != nil {
		return nil, err
	}
	h.batcher = table.NewBatcher(h.table, maxBatchSize, batchDelay)
	h.calls = call.New(callTable{h.table, h.batcher}, id, timerClock{})
	objects := object.New(settings.Platform.Objects, &http.Client{Timeout: platformTimeout})
	h.callerServer = caller.New(h, h.calls, objects, callerLimits(settings), id, log)
	return h, nil
}

// memberID returns the configured member id, or a new random one if none is configured.
func memberID(configured string) (string, error) {
	if configured != "" {
		return configured, nil
	}
	random := make([]byte, memberIDBytes)
	if _, err := rand.Read(random); err != nil {
		return "", errors.Annotate(err, "host: unable to generate a member id")
	}
	return hex.EncodeToString(random), nil
}

// stateSettings returns the settings of the state machine.
func (h *Host) stateSettings() state.Settings {
	view := endpoint.Settings{Overcommit: h.settings.Overcommit, DomainCost: domainCost}
	return state.Settings{
		Host:              h.id,
		Domain:            h.settings.Domain,
		Group:             h.settings.WitnessGroup,
		FreshnessWindow:   time.Duration(h.settings.FreshnessWindow),
		TablePollInterval: time.Duration(h.settings.TablePollInterval),
		MaxAttempts:       maxAttempts,
		HoldersPerAccount: h.settings.HoldersPerAccount,
		EndpointView:      view.WithDefaults(),
	}
}

// domainCost returns the cost of calling an endpoint in failure domain b from a host in failure domain a.
func domainCost(a, b string) float64 {
	if a == b {
		return 0
	}
	return otherDomainCost
}
