package host

import (
	"context"
	"encoding/json"
	stderrors "errors"

	"github.com/juju/errors"

	"magnoliahoist/account"
	"magnoliahoist/operator"
	"magnoliahoist/pool"
	"magnoliahoist/replica"
	"magnoliahoist/route"
	"magnoliahoist/table"
)

// editKeyPrefix is the key prefix of the rows that record edits by their ids.
const editKeyPrefix = "edit/"

// editRow is the row of an edit. It records that the edit took effect or, if it is void, that the edit never will. Two
// edits with the same id are the same edit if their rows are equal.
type editRow struct {
	Kind   string `json:"kind"`
	Digest string `json:"digest"` // of the table in JSON
	Void   bool   `json:"void,omitempty"`
}

// Tables returns both tables of the host's copy and the revision of the last edit. The error wraps operator.ErrRefused if
// the host is stale.
func (h *Host) Tables(ctx context.Context) (route.Table, pool.Table, int64, error) {
	if !h.Fresh() {
		return route.Table{}, pool.Table{}, 0, errors.Annotate(operator.ErrRefused, "host: unable to read the tables: the host is stale")
	}
	routes, pools, revision := tablesFrom(h.View())
	return routes, pools, revision, nil
}

// tablesFrom returns both tables of a view and the revision of the last edit.
func tablesFrom(view *replica.View) (route.Table, pool.Table, int64) {
	_, revision := view.Head()
	return route.Table{Accounts: view.Accounts(), Routes: view.Routes()}, pool.Table{Pools: view.Pools()}, revision
}

// Edit replaces a table if the configuration is still at the revision that the edit is based on, and waits until the change
// is accepted. An edit that took effect before returns its change. The error is a *operator.Conflict if the revision differs,
// wraps an error of package operator, or lists the problems of the tables.
func (h *Host) Edit(ctx context.Context, edit operator.Edit) (operator.Change, error) {
	if !h.Fresh() {
		return operator.Change{}, errors.Annotate(operator.ErrRefused, "host: unable to edit a table: the host is stale")
	}
	record, err := newEditRow(edit)
	if err != nil {
		return operator.Change{}, err
	}
	if revision, known, err := h.findEdit(ctx, edit.ID, record); known || err != nil {
		return h.awaitAccepted(ctx, revision), err
	}
	if err := h.readChangesUpTo(ctx, edit.BaseRevision); err != nil {
		return operator.Change{}, err
	}
	view := h.View()
	routes, pools, revision := tablesFrom(view)
	if revision != edit.BaseRevision {
		return operator.Change{}, &operator.Conflict{CurrentRevision: revision}
	}
	writes, err := h.editWrites(view, edit, routes, pools)
	if err != nil {
		return operator.Change{}, err
	}
	return h.commitEdit(ctx, edit, record, writes)
}

// editWrites checks that the edited table matches the other one and returns the writes that turn the stored rows into it.
func (h *Host) editWrites(view *replica.View, edit operator.Edit, routes route.Table, pools pool.Table) ([]table.Write, error) {
	var writes []table.Write
	switch edit.Kind {
	case operator.Routes:
		// A table without routes may be written before the first pools table of a new fleet.
		if len(pools.Pools) > 0 || len(edit.Routes.Routes) > 0 {
			if err := pool.CheckRoutes(edit.Routes, pools); err != nil {
				return nil, err
			}
		}
		writes = routeWrites(routes, edit.Routes)
		writes = append(writes, h.shareWrites(view, edit.Routes.Accounts)...)
	case operator.Pools:
		if err := pool.CheckRoutes(routes, edit.Pools); err != nil {
			return nil, err
		}
		writes = poolWrites(pools, edit.Pools)
	}
	return writes, nil
}

// commitEdit writes the rows of an edit on the condition that no other edit took effect meanwhile and that this edit is not
// recorded yet. Then it waits until the change is accepted.
func (h *Host) commitEdit(ctx context.Context, edit operator.Edit, record editRow, writes []table.Write) (operator.Change, error) {
	head, _ := h.View().Head()
	newHead := replica.Head{EditCount: head.EditCount + 1, LastEditID: edit.ID}
	value, err := json.Marshal(record)
	if err != nil {
		return operator.Change{}, errors.Annotate(err, "host: unable to encode the edit")
	}
	txn := table.Txn{
		Compares: []table.Compare{
			{Key: replica.KeyForHead(), Revision: edit.BaseRevision},
			{Key: editKeyPrefix + edit.ID},
		},
		Writes: append(writes,
			table.Write{Key: replica.KeyForHead(), Value: replica.EncodeHead(newHead)},
			table.Write{Key: editKeyPrefix + edit.ID, Value: value}),
	}
	result, err := h.table.Commit(ctx, txn)
	switch {
	case stderrors.Is(err, table.ErrNotApplied):
		return operator.Change{}, errors.Annotate(operator.ErrRefused, "host: unable to reach the table service")
	case err != nil:
		return h.resolveUnknownCommit(ctx, edit.ID, record)
	case !result.Committed:
		return h.resolveFailedCondition(ctx, edit, record)
	}
	h.recordCommit("table "+edit.Kind.String()+", edit "+edit.ID, result.Revision)
	return h.awaitAccepted(ctx, result.Revision), nil
}

// resolveFailedCondition finds out why the condition of an edit's commit failed: the same edit took effect earlier, which
// returns its change, or another edit did, which returns a *operator.Conflict.
func (h *Host) resolveFailedCondition(ctx context.Context, edit operator.Edit, record editRow) (operator.Change, error) {
	revision, known, err := h.findEdit(ctx, edit.ID, record)
	if known || err != nil {
		return h.awaitAccepted(ctx, revision), err
	}
	if err := h.readChanges(ctx); err != nil {
		return operator.Change{}, err
	}
	_, current := h.View().Head()
	return operator.Change{}, &operator.Conflict{CurrentRevision: current}
}

// findEdit reads the row of an edit and returns the revision at which the edit took effect, or false if there is no row.
// The error wraps operator.ErrEditIDReused if the edit is void or the id belongs to a different edit, and operator.ErrRefused if
// the table service cannot be read.
func (h *Host) findEdit(ctx context.Context, id string, record editRow) (int64, bool, error) {
	row, found, err := h.readRow(ctx, editKeyPrefix+id)
	if err != nil {
		return 0, false, errors.Annotate(operator.ErrRefused, "host: unable to reach the table service")
	}
	if !found {
		return 0, false, nil
	}
	var stored editRow
	if json.Unmarshal(row.Value, &stored) != nil || stored.Void {
		return 0, false, errors.Annotate(operator.ErrEditIDReused, "host: unable to apply the edit: its id was voided after an earlier commit with an unknown result")
	}
	if stored != record {
		return 0, false, operator.ErrEditIDReused
	}
	return row.Revision, true, nil
}

// resolveUnknownCommit finds out whether a commit took effect whose response was lost. Such a commit may still take effect
// after a read that does not show it. So the edit's row is first written as void on the condition that it does not exist,
// which is also a condition of the commit: only one of the two writes can take effect.
func (h *Host) resolveUnknownCommit(ctx context.Context, id string, record editRow) (operator.Change, error) {
	voidRecord := record
	voidRecord.Void = true
	value, err := json.Marshal(voidRecord)
	if err != nil {
		return operator.Change{}, operator.ErrOutcomeUnknown
	}
	result, err := h.table.Commit(ctx, table.Txn{
		Compares: []table.Compare{{Key: editKeyPrefix + id}},
		Writes:   []table.Write{{Key: editKeyPrefix + id, Value: value}},
	})
	if err == nil && result.Committed {
		return operator.Change{}, errors.Annotate(operator.ErrRefused, "host: unable to commit the edit: the table service did not respond")
	}
	revision, known, err := h.findEdit(ctx, id, record)
	if err != nil || !known {
		return operator.Change{}, operator.ErrOutcomeUnknown
	}
	return h.awaitAccepted(ctx, revision), nil
}

// newEditRow returns the row that records an edit.
func newEditRow(edit operator.Edit) (editRow, error) {
	var content any = edit.Routes
	if edit.Kind == operator.Pools {
		content = edit.Pools
	}
	data, err := json.Marshal(content)
	if err != nil {
		return editRow{}, errors.Annotate(err, "host: unable to encode the edit")
	}
	return editRow{Kind: edit.Kind.String(), Digest: account.Digest(string(data))}, nil
}
