package host

import (
	"context"
	"time"

	"magnoliahoist/replica"
	"magnoliahoist/table"
	"magnoliahoist/timeline"
)

// joinRetryInterval is the pause between two attempts to write the host's member row.
const joinRetryInterval = 500 * time.Millisecond

// join writes the host's member row. It retries until the write succeeds or the host stops, because the table service may
// be down.
func (h *Host) join() error {
	member := replica.Member{
		ID:      h.id,
		Address: h.peerListener.address(),
		Domain:  h.settings.Domain,
		Group:   h.settings.WitnessGroup,
	}
	for {
		if h.writeMemberRow(member) {
			h.record(timeline.Event{Kind: timeline.Joined, Note: member.Address})
			return nil
		}
		select {
		case <-h.tomb.Dying():
			return nil
		case <-time.After(joinRetryInterval):
		}
	}
}

// writeMemberRow tries once to write the host's member row and to read it back, and reports whether that succeeded. It does
// not check whether the commit's condition, that the row does not exist, was met: the id is new for each process, so an
// existing row is this host's own, from an attempt whose response was lost.
func (h *Host) writeMemberRow(member replica.Member) bool {
	ctx, cancel := context.WithTimeout(h.tomb.Context(context.Background()), platformTimeout)
	defer cancel()
	key := replica.KeyForMember(h.id)
	_, err := h.table.Commit(ctx, table.Txn{
		Compares: []table.Compare{{Key: key}},
		Writes:   []table.Write{{Key: key, Value: replica.EncodeMember(member)}},
	})
	if err != nil {
		h.log.Warn("host: unable to write the host's own member row", "error", err)
		return false
	}
	return h.readChanges(ctx) == nil
}
