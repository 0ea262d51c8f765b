package host

import (
	"context"
	"time"

	"magnoliahoist/replica"
	"magnoliahoist/table"
	"magnoliahoist/timeline"
)

// joinRetry is the time between tries to write the host's member row.
const joinRetry = 500 * time.Millisecond

// join writes the host's member row; it tries until that is done, because the table service may be down.
func (h *Host) join() error {
	member := replica.Member{
		ID:      h.id,
		Address: h.peerListener.address(),
		Domain:  h.settings.Domain,
		Group:   h.settings.Group,
	}
	for {
		if h.writeMember(member) {
			h.record(timeline.Event{Kind: timeline.Joined, Note: member.Address})
			return nil
		}
		select {
		case <-h.tomb.Dying():
			return nil
		case <-time.After(joinRetry):
		}
	}
}

// writeMember writes the row once. The id is new for each process, so a row that exists already is
// this host's own, from a try whose reply was lost.
func (h *Host) writeMember(member replica.Member) bool {
	ctx, cancel := context.WithTimeout(h.tomb.Context(context.Background()), platformTimeout)
	defer cancel()
	key := replica.KeyForMember(h.id)
	_, err := h.table.Commit(ctx, table.Txn{
		Compares: []table.Compare{{Key: key}},
		Writes:   []table.Write{{Key: key, Value: replica.EncodeMember(member)}},
	})
	if err != nil {
		h.log.Warn("host: unable to write member row", "error", err)
		return false
	}
	return h.learn(ctx) == nil
}
