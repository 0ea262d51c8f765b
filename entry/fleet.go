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

// Rows of the hosts in the store: members by name, leases by pool, and the secret that hosts show each other.
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
	// writeRetry is the wait before a write of the host's own row is tried again.
	writeRetry = 500 * time.Millisecond
	// memberWait is how long a call for changes of the members may wait at the store, and memberRest how long they gather.
	memberWait = 2 * time.Second
	memberRest = 200 * time.Millisecond
	// memberLife is how long hosts rely on what a holder has told of members, from the date of its copy. It is above
	// memberWait, memberRest and the time between two exchanges, and far below dismissAfter.
	memberLife = 4 * time.Second
	// peerIdle is how long an unused connection to another host is kept.
	peerIdle = time.Minute
)

// member is the row of a host. A process that starts again under the same name is another member.
type member struct {
	ID      string `json:"id"`
	Address string `json:"address"` // of the listener for hosts
	Domain  string `json:"domain"`
}

// fleet is what the host knows of the hosts. The host's lock guards it.
type fleet struct {
	self      member
	members   map[string]member        // by name
	revisions map[string]int64         // of the members\' rows, by name
	heard     map[string]time.Duration // last exchange with a member, by id; kept by holders of leases
	terms     map[string]*lease.Term
	missed    map[string]time.Duration // since when the holder of a pool's lease has not answered
	looked    time.Duration            // last read of the leases
	read      bool                     // the table has been read whole
	rows      tableCopy
	secret    string
	server    http.Handler // for other hosts; nil until the secret is known
	client    *peer.Client
}

func newFleet(address, domain string) fleet {
	return fleet{
		self:      member{ID: randomText(idBytes), Address: address, Domain: domain},
		members:   map[string]member{},
		revisions: map[string]int64{},
		heard:     map[string]time.Duration{},
		terms:     map[string]*lease.Term{},
		missed:    map[string]time.Duration{},
		looked:    -leaseLook,
		rows:      newTableCopy(memberLife),
	}
}

func randomText(bytes int) string {
	random := make([]byte, bytes)
	rand.Read(random) // never fails since Go 1.24
	return hex.EncodeToString(random)
}

// followFleet follows the rows of the hosts while no holder tells them.
func (h *Host) followFleet() error {
	return h.follow(h.copied(fleetTable, &h.fleet.rows, memberWait, func() time.Duration { return memberRest }, h.learn))
}

// learn takes rows of the hosts. The caller holds the lock.
func (h *Host) learn(rows []table.Row) {
	h.fleet.read = true
	for _, row := range rows {
		switch {
		case strings.HasPrefix(row.Key, memberPrefix):
			h.learnMember(strings.TrimPrefix(row.Key, memberPrefix), row)
		case row.Key == secretKey:
			h.learnSecret(row)
		}
	}
	h.joined()
}

func (h *Host) learnMember(name string, row table.Row) {
	if row.Deleted {
		delete(h.fleet.members, name)
		return
	}
	var m member
	if err := json.Unmarshal(row.Value, &m); err != nil {
		h.log.Warn("entry: unable to read a member", "name", name, "error", err)
		return
	}
	if h.fleet.members[name] != m {
		h.log.Info("entry: member", "name", name, "id", m.ID, "address", m.Address, "revision", row.Revision)
	}
	h.fleet.members[name] = m
	h.fleet.revisions[name] = row.Revision
}

func (h *Host) learnSecret(row table.Row) {
	secret := string(row.Value)
	if row.Deleted || secret == h.fleet.secret {
		return
	}
	h.fleet.secret = secret
	h.fleet.server = peer.NewServer(&peerService{h}, h.fleet.self.ID, secret)
	h.fleet.client = peer.NewClient(&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: peerIdle, DisableCompression: true}}, secret)
}

// joined tells the reducer of the hosts, once this one is among them. The caller holds the lock.
func (h *Host) joined() {
	if h.fleet.members[h.settings.Name] != h.fleet.self {
		h.apply(dispatch.Joined{})
		return
	}
	var e dispatch.Joined
	for _, name := range slices.Sorted(maps.Keys(h.fleet.members)) {
		m := h.fleet.members[name]
		e.Members = append(e.Members, dispatch.Member{Name: name, ID: m.ID, Address: m.Address})
	}
	h.apply(e)
}

// enrol writes the host's own row, and the secret when there is none, until both are known.
func (h *Host) enrol() error {
	for {
		h.mu.Lock()
		read, present := h.fleet.read, h.fleet.members[h.settings.Name] == h.fleet.self
		secret := h.fleet.secret
		h.mu.Unlock()
		if read && secret == "" {
			h.commit(table.Txn{
				Compares: []table.Compare{{Key: secretKey}},
				Writes:   []table.Write{{Key: secretKey, Value: []byte(randomText(secretBytes))}},
			})
		}
		if read && !present && !h.stopping() {
			h.commit(table.Txn{Writes: []table.Write{{Key: memberPrefix + h.settings.Name, Value: h.ownRow()}}})
		}
		pause := writeRetry
		if !read {
			pause = feedPause
		}
		select {
		case <-h.tomb.Dying():
			return nil
		case <-time.After(pause):
		}
	}
}

func (h *Host) ownRow() []byte {
	value, err := json.Marshal(h.fleet.self)
	if err != nil {
		panic("entry: unable to write a member: " + err.Error()) // a struct of strings can always be written
	}
	return value
}

// commit writes rows and logs what went wrong; the feed shows what took effect.
func (h *Host) commit(txn table.Txn) {
	if _, err := h.store.Commit(h.tomb.Context(context.Background()), txn); err != nil {
		h.log.Warn("entry: unable to write a row", "key", txn.Writes[0].Key, "error", err)
	}
}

// leave removes the host's own row.
func (h *Host) leave(ctx context.Context) {
	_, err := h.store.Commit(ctx, table.Txn{Writes: []table.Write{{Key: memberPrefix + h.settings.Name, Delete: true}}})
	if err != nil && !errors.Is(err, context.Canceled) {
		h.log.Warn("entry: unable to remove the own row", "error", err)
	}
}

// peerHandler answers other hosts once the secret is known.
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

// peers returns the client for other hosts; nil until the secret is known.
func (h *Host) peers() *peer.Client {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fleet.client
}

func (h *Host) sender() peer.Sender { return peer.Sender{ID: h.fleet.self.ID} }
