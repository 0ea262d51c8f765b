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

// keyTries is how often the write of a key is repeated when its outcome is unknown.
const keyTries = 3

// Keys returns what is stored of all keys.
func (h *Host) Keys(ctx context.Context) ([]account.Key, error) {
	if !h.Fresh() {
		return nil, errors.Annotate(operator.ErrRefused, "host: not current")
	}
	return h.View().Keys(), nil
}

// IssueKey stores a new key.
func (h *Host) IssueKey(ctx context.Context, key account.Key) (operator.Change, error) {
	if _, known := h.View().AccountByName(key.Account); !known || !h.Fresh() {
		return operator.Change{}, errors.Annotatef(operator.ErrRefused, "host: client account %q does not exist here", key.Account)
	}
	return h.writeKey(ctx, key, 0)
}

// WithdrawKey withdraws a key; withdrawing it again is no error.
func (h *Host) WithdrawKey(ctx context.Context, digest string) (operator.Change, error) {
	if err := h.learn(ctx); err != nil {
		return operator.Change{}, err
	}
	key, known := h.View().KeyByDigest(digest)
	if !known {
		return operator.Change{}, operator.ErrMissing
	}
	revision := h.View().RevisionOf(replica.KeyForKey(digest))
	if key.Withdrawn {
		return h.await(ctx, revision), nil
	}
	return h.writeKey(ctx, key.WithWithdrawn(), revision)
}

// writeKey writes the row of a key on the condition of its revision. Repeating the write settles a lost
// reply: either it takes effect now or the row shows that it did.
func (h *Host) writeKey(ctx context.Context, key account.Key, revision int64) (operator.Change, error) {
	name := replica.KeyForKey(key.Digest)
	value := replica.EncodeKey(key)
	for try := range keyTries {
		result, err := h.table.Commit(ctx, table.Txn{
			Compares: []table.Compare{{Key: name, Revision: revision}},
			Writes:   []table.Write{{Key: name, Value: value}},
		})
		switch {
		case err == nil && result.Committed:
			h.recordCommit(name, result.Revision)
			return h.await(ctx, result.Revision), nil
		case err == nil:
			return h.writtenKey(ctx, name, string(value))
		case stderrors.Is(err, table.ErrNotSent) && try == 0:
			return operator.Change{}, errors.Annotate(operator.ErrRefused, "host: table service out of reach")
		}
	}
	return operator.Change{}, operator.ErrUnknown
}

// writtenKey returns the change of an earlier try that took effect.
func (h *Host) writtenKey(ctx context.Context, name, value string) (operator.Change, error) {
	row, found, err := h.row(ctx, name)
	if err != nil {
		return operator.Change{}, operator.ErrUnknown
	}
	if !found || string(row.Value) != value {
		return operator.Change{}, errors.Annotate(operator.ErrRefused, "host: the key was changed by somebody else")
	}
	return h.await(ctx, row.Revision), nil
}
