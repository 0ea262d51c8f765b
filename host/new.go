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
	// idBytes is the length of a random member id.
	idBytes = 5
	// attemptsPerRequest bounds the attempts of one request, the first included.
	attemptsPerRequest = 3
	// farDomain is the cost of another failure domain, in loads of a full endpoint.
	farDomain = 0.05
	// batchMost transactions of at-most-once calls become one write, because the table service takes
	// several hundred writes a second; batchDelay is what a call waits for others.
	batchMost  = 32
	batchDelay = 2 * time.Millisecond
)

// New returns a host that does not run yet.
func New(settings config.Host, log hclog.Logger) (*Host, error) {
	id, err := memberID(settings.ID)
	if err != nil {
		return nil, err
	}
	h := &Host{
		settings: settings,
		id:       id,
		start:    time.Now(),
		log:      log.Named("host"),
		platform: &http.Client{Timeout: platformTimeout},
		clock:    &timeline.Clock{},
		ring:     timeline.NewRing(settings.Ring),
		waiting:  map[uint64]waiter{},
		departed: departed{silent: map[string]bool{}},
		meters:   map[string]*meter{},
		managers: managers{byPool: map[string]*manager{}},
	}
	h.drain.began = make(chan struct{})
	h.contact.Store(noContact)
	h.metrics = metric.New(h.gauges())
	h.state = state.New(h.reducerSettings())
	h.view.Store(h.state.Replica().View())
	h.table = table.New(settings.Platform.Table, &http.Client{Transport: platformTransport()})
	if h.peers, err = h.newPeers(); err != nil {
		return nil, err
	}
	h.batcher = table.NewBatcher(h.table, batchMost, batchDelay)
	h.calls = call.New(callTable{h.table, h.batcher}, id, waitClock{})
	objects := object.New(settings.Platform.Objects, &http.Client{Timeout: platformTimeout})
	h.callers = caller.New(h, h.calls, objects, callerLimits(settings), id, log)
	return h, nil
}

func memberID(set string) (string, error) {
	if set != "" {
		return set, nil
	}
	random := make([]byte, idBytes)
	if _, err := rand.Read(random); err != nil {
		return "", errors.Annotate(err, "host: unable to make an id")
	}
	return hex.EncodeToString(random), nil
}

func (h *Host) reducerSettings() state.Settings {
	view := endpoint.Settings{Overcommit: h.settings.Overcommit, Distance: distance}
	return state.Settings{
		Host:     h.id,
		Domain:   h.settings.Domain,
		Group:    h.settings.Group,
		Window:   time.Duration(h.settings.Window),
		Poll:     time.Duration(h.settings.Poll),
		Attempts: attemptsPerRequest,
		Holders:  h.settings.Holders,
		View:     view.WithDefaults(),
	}
}

// distance is the cost between failure domains.
func distance(a, b string) float64 {
	if a == b {
		return 0
	}
	return farDomain
}
