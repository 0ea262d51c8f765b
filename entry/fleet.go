package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"magnoliahoist/dispatch"
	"magnoliahoist/lease"
	"magnoliahoist/peer"
	"magnoliahoist/table"
)

// Tables and keys of the hosts' rows in the store: members by name, leases by pool, and the secret that authenticates
// hosts to each other.
const (
	fleetTable   = "fleet"
	memberPrefix = fleetTable + "/member/"
	leaseTable   = "lease"
	leasePrefix  = leaseTable + "/"
	secretKey    = fleetTable + "/secret"
)

const (
	idBytes     = 5
	secretBytes = 24
	// memberWriteInterval is the pause before the host's own row is written again.
	memberWriteInterval = 500 * time.Millisecond
	// memberWait is how long a call for changes of the members may wait at the store; the batch
	// delay is the pause after a change, so that further changes arrive in one call.
	memberWait          = 2 * time.Second
	minMemberBatchDelay = 200 * time.Millisecond
	maxMemberBatchDelay = 500 * time.Millisecond
	// memberBatchDelayEach is the batch delay for each known host: in a large fleet that starts together, hosts register for
	// longer than in a small one.
	memberBatchDelayEach = 5 * time.Millisecond
	// memberValidity is how long hosts rely on a lease holder's report about members, from its confirmation time. It is
	// above memberWait, maxMemberBatchDelay and maxLoadExchangeInterval together, and far below memberTimeout.
	memberValidity = 4 * time.Second
	// peerIdleTimeout is how long an unused connection to another host is kept.
	peerIdleTimeout = time.Minute
)

// member is the row of a host. A process that restarts under the same name gets a new id.
type member struct {
	ID      string  `json:"id"`
	Address string  `json:"address"` // of the listener for other hosts
	Domain  string  `json:"domain"`
	Power   float64 `json:"power,omitempty"` // processor share times megabits per second of the host's link; 0 if unknown
}

// fleet is what this host knows of all hosts. The lock of Host guards it.
type fleet struct {
	self                member
	members             map[string]member              // by name
	revisions           map[string]int64               // of the members' rows, by name
	membersRevision     int64                          // of the latest change of a member's row, removals included
	views               map[string]int64               // by member id: latest revision of this table that the host has said it knows
	lastHeard           map[string]time.Duration       // by member id: time of the last load report; kept by lease holders
	leases              map[string]*lease.RenewedLease // by pool
	unresponsiveSince   map[string]time.Duration       // by pool: time since boot from which the lease holder has not responded
	namedHolders        map[string]string              // by pool: id of the lease holder that a deputy has named; absent if the lease's row says it
	successions         map[string]lease.Succession    // by pool; empty after a change of the members
	exchangeTurns       map[string]int                 // by pool: exchanges since the start while the lease holder did not respond
	failedExchanges     map[string]int                 // by id of a lease holder: failed exchanges with it in a row
	exchanging          map[string]bool                // by pool: an exchange of load is under way
	crashesSent         map[string]int64               // by id of a host: revision of this host's crashes that it has received
	crashesReceived     map[string]int64               // by id of a host: revision of its crashes that this host has received
	keptEvidence        string                         // what the row of evidence against prompt parts says, without times
	quarantineWrittenAt time.Duration                  // when this host last wrote that row
	leasesReadAt        time.Duration                  // time since boot of the last read of the leases
	loaded              bool                           // the fleet table was read
	presentAt           time.Duration                  // when the host's own row was first seen
	selfRevision        int64                          // revision of the host's own row, written or seen; 0 if there is none
	rows                tableCopy
	secret              string
	server              http.Handler // for other hosts; nil until the secret is known
	client              *peer.Client
}

func newFleet(address, domain string, power float64) fleet {
	return fleet{
		self:              member{ID: randomHex(idBytes), Address: address, Domain: domain, Power: power},
		members:           map[string]member{},
		revisions:         map[string]int64{},
		views:             map[string]int64{},
		lastHeard:         map[string]time.Duration{},
		leases:            map[string]*lease.RenewedLease{},
		unresponsiveSince: map[string]time.Duration{},
		namedHolders:      map[string]string{},
		successions:       map[string]lease.Succession{},
		exchangeTurns:     map[string]int{},
		failedExchanges:   map[string]int{},
		exchanging:        map[string]bool{},
		crashesSent:       map[string]int64{},
		crashesReceived:   map[string]int64{},
		leasesReadAt:      -maxLeaseReadInterval,
		rows:              newTableCopy(memberValidity),
	}
}

func randomHex(bytes int) string {
	random := make([]byte, bytes)
	rand.Read(random) // never fails since Go 1.24
	return hex.EncodeToString(random)
}

// followFleet follows the hosts' rows in the store while no lease holder reports their changes.
func (h *Host) followFleet() error {
	return h.follow(h.copyFollower(fleetTable, &h.fleet.rows, memberWait, h.memberBatchDelay, h.membersWake, h.applyFleetRows))
}

// memberBatchDelay returns the pause after a change of the members.
func (h *Host) memberBatchDelay() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return min(max(time.Duration(len(h.fleet.members))*memberBatchDelayEach, minMemberBatchDelay), maxMemberBatchDelay)
}

// applyFleetRows applies changed rows of the fleet table. The caller holds the lock.
func (h *Host) applyFleetRows(rows []table.Row) {
	h.fleet.loaded = true
	clear(h.fleet.successions)
	for _, row := range rows {
		switch {
		case strings.HasPrefix(row.Key, memberPrefix):
			h.applyMemberRow(strings.TrimPrefix(row.Key, memberPrefix), row)
		case row.Key == secretKey:
			h.applySecretRow(row)
		case row.Key == quarantineKey:
			h.applyQuarantineRow(row)
		}
	}
	h.forgetExchanges()
	h.publishMembers()
}

// forgetExchanges drops what is known of exchanges with hosts that are no longer members. The caller holds the lock.
func (h *Host) forgetExchanges() {
	ids := map[string]bool{}
	for _, m := range h.fleet.members {
		ids[m.ID] = true
	}
	gone := func(id string, _ int64) bool { return !ids[id] }
	maps.DeleteFunc(h.fleet.crashesSent, gone)
	maps.DeleteFunc(h.fleet.crashesReceived, gone)
	maps.DeleteFunc(h.fleet.views, gone)
}

func (h *Host) applyMemberRow(name string, row table.Row) {
	h.fleet.membersRevision = max(h.fleet.membersRevision, row.Revision)
	if row.Deleted {
		delete(h.fleet.members, name)
		return
	}
	var m member
	if err := json.Unmarshal(row.Value, &m); err != nil {
		h.log.Warn("entry: unable to decode a member", "name", name, "error", err)
		return
	}
	if m == h.fleet.self {
		h.fleet.selfRevision = max(h.fleet.selfRevision, row.Revision)
		if h.fleet.presentAt == 0 {
			h.fleet.presentAt = h.Now()
		}
	}
	if h.fleet.members[name] != m {
		h.log.Info("entry: member added or changed", "name", name, "id", m.ID, "address", m.Address, "revision", table.VersionOf(row.Revision))
	}
	h.fleet.members[name] = m
	h.fleet.revisions[name] = row.Revision
}

func (h *Host) applySecretRow(row table.Row) {
	secret := string(row.Value)
	if row.Deleted || secret == h.fleet.secret {
		return
	}
	h.fleet.secret = secret
	h.fleet.server = peer.NewServer(&peerService{h}, h.fleet.self.ID, secret)
	h.fleet.client = peer.NewClient(&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: peerIdleTimeout, DisableCompression: true}}, secret)
}

// publishMembers passes the list of hosts to the state machine, an empty list while this host is not in it. The caller holds
// the lock.
func (h *Host) publishMembers() {
	if own, known := h.fleet.members[h.settings.Name]; own != h.fleet.self {
		h.apply(dispatch.MembersChanged{Predecessor: known})
		return
	}
	var e dispatch.MembersChanged
	for _, name := range slices.Sorted(maps.Keys(h.fleet.members)) {
		m := h.fleet.members[name]
		e.Members = append(e.Members, dispatch.Member{Name: name, ID: m.ID, Address: m.Address})
	}
	h.apply(e)
}

// secretDue reports whether this host must create the secret because there is none. The hosts do so in the order of a
// succession, so that a fleet that starts for the first time does not write it once for each host. The caller holds the lock.
func (h *Host) secretDue() bool {
	if h.fleet.secret != "" {
		return false
	}
	stage := lease.NewSuccession(secretKey, h.fleet.candidates()).Stage(h.settings.Name)
	return h.Now()-h.fleet.presentAt >= time.Duration(stage)*memberWriteInterval
}

// registerSelf writes the host's own row if it is missing, and the secret if there is none. It runs until the host
// stops.
func (h *Host) registerSelf() error {
	for {
		h.mu.Lock()
		loaded, present := h.fleet.loaded, h.fleet.members[h.settings.Name] == h.fleet.self
		createSecret := present && h.secretDue()
		h.mu.Unlock()
		if createSecret {
			h.writeRows(table.Txn{
				Compares: []table.Compare{{Key: secretKey}},
				Writes:   []table.Write{{Key: secretKey, Value: []byte(randomHex(secretBytes))}},
			})
		}
		if loaded && !present && !h.stopping() {
			h.writeSelf()
		}
		pause := memberWriteInterval
		if !loaded {
			pause = retryPause
		}
		select {
		case <-h.tomb.Dying():
			return nil
		case <-time.After(pause):
		}
	}
}

// writeSelf writes the host's own row.
func (h *Host) writeSelf() {
	result := h.writeRows(table.Txn{Writes: []table.Write{{Key: memberPrefix + h.settings.Name, Value: h.memberRow()}}})
	if !result.Committed {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fleet.selfRevision = max(h.fleet.selfRevision, result.Revision)
}

func (h *Host) memberRow() []byte {
	value, err := json.Marshal(h.fleet.self)
	if err != nil {
		panic("entry: unable to encode a member: " + err.Error()) // a struct of strings can always be encoded
	}
	return value
}

// writeRows commits a transaction and logs a failure. The followed table shows whether a transaction without a result took
// effect.
func (h *Host) writeRows(txn table.Txn) table.Result {
	result, err := h.store.Commit(h.tomb.Context(context.Background()), txn)
	if err != nil {
		h.log.Warn("entry: unable to write a row", "key", txn.Writes[0].Key, "error", err)
	}
	return result
}

// unregisterSelf removes the host's own row. The removal may be applied late, when the next process of the same name has
// written its row, so it is conditional on the revision of this process's row. A row whose write had no result and that
// was not seen stays until a lease holder removes it.
func (h *Host) unregisterSelf(ctx context.Context) {
	h.mu.Lock()
	revision := h.fleet.selfRevision
	h.mu.Unlock()
	if revision == 0 {
		h.log.Info("entry: no row of this host to remove")
		return
	}
	key := memberPrefix + h.settings.Name
	_, err := h.store.Commit(ctx, table.Txn{
		Compares: []table.Compare{{Key: key, Revision: revision}},
		Writes:   []table.Write{{Key: key, Delete: true}},
	})
	if err != nil && !errors.Is(err, context.Canceled) {
		h.log.Warn("entry: unable to remove the row of this host", "error", err)
	}
}

// peerHandler serves other hosts. It responds with status 503 until the secret is known.
func (h *Host) peerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.mu.Lock()
		server := h.fleet.server
		h.mu.Unlock()
		if server == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		server.ServeHTTP(w, r)
	})
}

// peerClient returns the client for other hosts; nil until the secret is known.
func (h *Host) peerClient() *peer.Client {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fleet.client
}

func (h *Host) sender() peer.Sender { return peer.Sender{ID: h.fleet.self.ID} }
