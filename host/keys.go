package host

import (
	"context"
	stderrors "errors"

	"github.com/juju/errors"

	"magnoliahoist/account"
	"magnoliahoist/operator"
	"magnoliahoist/replica"
	"magnoliahoist/table"
)

// maxKeyWriteAttempts is the maximum number of writes of a key's row while the result of the write is unknown.
const maxKeyWriteAttempts = 3

// Keys returns the stored records of all keys. The error wraps operator.ErrRefused if the host is stale.
func (h *Host) Keys(ctx context.Context) ([]account.Key, error) {
	if !h.Fresh() {
		return nil, errors.Annotate(operator.ErrRefused, "host: unable to list the keys: the host is stale")
	}
	return h.View().Keys(), nil
}

// IssueKey stores a new key and waits until the change is accepted. The error wraps operator.ErrRefused or
// operator.ErrOutcomeUnknown.
func (h *Host) IssueKey(ctx context.Context, key account.Key) (operator.Change, error) {
	if _, known := h.View().AccountByName(key.Account); !known || !h.Fresh() {
		return operator.Change{}, errors.Annotatef(operator.ErrRefused, "host: unable to issue a key: client account %q does not exist, or the host is stale", key.Account)
	}
	return h.writeKeyRow(ctx, key, 0)
}

// WithdrawKey withdraws the key with a digest and waits until the change is accepted. Withdrawing a key twice is no error.
// The error is operator.ErrNotFound for an unknown key; otherwise it wraps operator.ErrRefused or operator.ErrOutcomeUnknown.
func (h *Host) WithdrawKey(ctx context.Context, digest string) (operator.Change, error) {
	if err := h.readChanges(ctx); err != nil {
		return operator.Change{}, err
	}
	key, known := h.View().KeyByDigest(digest)
	if !known {
		return operator.Change{}, operator.ErrNotFound
	}
	revision := h.View().RevisionOf(replica.KeyForAccountKey(digest))
	if key.Withdrawn {
		return h.awaitAccepted(ctx, revision), nil
	}
	return h.writeKeyRow(ctx, key.AsWithdrawn(), revision)
}

// writeKeyRow writes the row of a key on the condition that the row still has the given revision. If a response is lost it
// repeats the write: either the second write takes effect or the row shows that the first one did.
func (h *Host) writeKeyRow(ctx context.Context, key account.Key, revision int64) (operator.Change, error) {
	rowKey := replica.KeyForAccountKey(key.Digest)
	value := replica.EncodeKey(key)
	for attempt := range maxKeyWriteAttempts {
		result, err := h.table.Commit(ctx, table.Txn{
			Compares: []table.Compare{{Key: rowKey, Revision: revision}},
			Writes:   []table.Write{{Key: rowKey, Value: value}},
		})
		switch {
		case err == nil && result.Committed:
			h.recordCommit(rowKey, result.Revision)
			return h.awaitAccepted(ctx, result.Revision), nil
		case err == nil:
			return h.findKeyWrite(ctx, rowKey, string(value))
		case stderrors.Is(err, table.ErrNotApplied) && attempt == 0:
			return operator.Change{}, errors.Annotate(operator.ErrRefused, "host: unable to reach the table service")
		}
	}
	return operator.Change{}, operator.ErrOutcomeUnknown
}

// findKeyWrite is called when the condition of a key's write failed. If the row has the written value, an earlier attempt
// took effect and findKeyWrite returns its change.
func (h *Host) findKeyWrite(ctx context.Context, rowKey, value string) (operator.Change, error) {
	row, found, err := h.readRow(ctx, rowKey)
	if err != nil {
		return operator.Change{}, operator.ErrOutcomeUnknown
	}
	if !found || string(row.Value) != value {
		return operator.Change{}, errors.Annotate(operator.ErrRefused, "host: unable to write the key: it was changed concurrently")
	}
	return h.awaitAccepted(ctx, row.Revision), nil
}
