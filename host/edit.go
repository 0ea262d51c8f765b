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

// editPrefix is the prefix of the rows that record the ids of edits.
const editPrefix = "edit/"

// editRow records that an edit took effect, or that it never will.
type editRow struct {
	Kind   string `json:"kind"`
	Digest string `json:"digest"` // of the document
	Void   bool   `json:"void,omitempty"`
}

// Tables returns both tables as the host knows them, and the revision of the last edit.
func (h *Host) Tables(ctx context.Context) (route.Table, pool.Table, int64, error) {
	if !h.Fresh() {
		return route.Table{}, pool.Table{}, 0, errors.Annotate(operator.ErrRefused, "host: not current")
	}
	routes, pools, revision := tablesOf(h.View())
	return routes, pools, revision, nil
}

func tablesOf(view *replica.View) (route.Table, pool.Table, int64) {
	_, revision := view.Head()
	return route.Table{Accounts: view.Accounts(), Routes: view.Routes()}, pool.Table{Pools: view.Pools()}, revision
}

// Edit replaces a table, if the configuration is still at the revision of the edit.
func (h *Host) Edit(ctx context.Context, edit operator.Edit) (operator.Change, error) {
	if !h.Fresh() {
		return operator.Change{}, errors.Annotate(operator.ErrRefused, "host: not current")
	}
	record, err := recordOf(edit)
	if err != nil {
		return operator.Change{}, err
	}
	if revision, known, err := h.settledEdit(ctx, edit.ID, record); known || err != nil {
		return h.await(ctx, revision), err
	}
	if err := h.learnUpTo(ctx, edit.ETag); err != nil {
		return operator.Change{}, err
	}
	view := h.View()
	routes, pools, revision := tablesOf(view)
	if revision != edit.ETag {
		return operator.Change{}, &operator.Conflict{Current: revision}
	}
	writes, err := h.writesFor(view, edit, routes, pools)
	if err != nil {
		return operator.Change{}, err
	}
	return h.commitEdit(ctx, edit, record, writes)
}

// writesFor checks the tables together and returns the rows that an edit changes.
func (h *Host) writesFor(view *replica.View, edit operator.Edit, routes route.Table, pools pool.Table) ([]table.Write, error) {
	var writes []table.Write
	switch edit.Kind {
	case operator.Routes:
		// The first table of a new fleet may come before the pools that it names.
		if len(pools.Pools) > 0 || len(edit.Routes.Routes) > 0 {
			if err := pool.CheckJoin(edit.Routes, pools); err != nil {
				return nil, err
			}
		}
		writes = routeWrites(routes, edit.Routes)
		writes = append(writes, h.shareWrites(view, edit.Routes.Accounts)...)
	case operator.Pools:
		if err := pool.CheckJoin(routes, edit.Pools); err != nil {
			return nil, err
		}
		writes = poolWrites(pools, edit.Pools)
	}
	return writes, nil
}

// commitEdit writes an edit and waits until it is accepted.
func (h *Host) commitEdit(ctx context.Context, edit operator.Edit, record editRow, writes []table.Write) (operator.Change, error) {
	head, _ := h.View().Head()
	next := replica.Head{Edits: head.Edits + 1, Edit: edit.ID}
	value, err := json.Marshal(record)
	if err != nil {
		return operator.Change{}, errors.Annotate(err, "host: unable to encode the edit")
	}
	txn := table.Txn{
		Compares: []table.Compare{
			{Key: replica.KeyForHead(), Revision: edit.ETag},
			{Key: editPrefix + edit.ID},
		},
		Writes: append(writes,
			table.Write{Key: replica.KeyForHead(), Value: replica.EncodeHead(next)},
			table.Write{Key: editPrefix + edit.ID, Value: value}),
	}
	result, err := h.table.Commit(ctx, txn)
	switch {
	case stderrors.Is(err, table.ErrNotSent):
		return operator.Change{}, errors.Annotate(operator.ErrRefused, "host: table service out of reach")
	case err != nil:
		return h.settleEdit(ctx, edit.ID, record)
	case !result.Committed:
		return h.lostRace(ctx, edit, record)
	}
	h.recordCommit("table "+edit.Kind.String()+", edit "+edit.ID, result.Revision)
	return h.await(ctx, result.Revision), nil
}

// lostRace tells an edit that took effect earlier from one that came too late.
func (h *Host) lostRace(ctx context.Context, edit operator.Edit, record editRow) (operator.Change, error) {
	revision, known, err := h.settledEdit(ctx, edit.ID, record)
	if known || err != nil {
		return h.await(ctx, revision), err
	}
	if err := h.learn(ctx); err != nil {
		return operator.Change{}, err
	}
	_, current := h.View().Head()
	return operator.Change{}, &operator.Conflict{Current: current}
}

// settledEdit looks up what became of an edit.
func (h *Host) settledEdit(ctx context.Context, id string, record editRow) (int64, bool, error) {
	row, found, err := h.row(ctx, editPrefix+id)
	if err != nil {
		return 0, false, errors.Annotate(operator.ErrRefused, "host: table service out of reach")
	}
	if !found {
		return 0, false, nil
	}
	var earlier editRow
	if json.Unmarshal(row.Value, &earlier) != nil || earlier.Void {
		return 0, false, errors.Annotate(operator.ErrReused, "host: the edit was given up")
	}
	if earlier != record {
		return 0, false, operator.ErrReused
	}
	return row.Revision, true, nil
}

// settleEdit finds out what became of a commit whose reply was lost. The commit may still take effect
// after a read that does not show it, so the row of the edit is first written as void on the same condition.
func (h *Host) settleEdit(ctx context.Context, id string, record editRow) (operator.Change, error) {
	void := record
	void.Void = true
	value, err := json.Marshal(void)
	if err != nil {
		return operator.Change{}, operator.ErrUnknown
	}
	result, err := h.table.Commit(ctx, table.Txn{
		Compares: []table.Compare{{Key: editPrefix + id}},
		Writes:   []table.Write{{Key: editPrefix + id, Value: value}},
	})
	if err == nil && result.Committed {
		return operator.Change{}, errors.Annotate(operator.ErrRefused, "host: table service did not answer")
	}
	revision, known, err := h.settledEdit(ctx, id, record)
	if err != nil || !known {
		return operator.Change{}, operator.ErrUnknown
	}
	return h.await(ctx, revision), nil
}

func recordOf(edit operator.Edit) (editRow, error) {
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
