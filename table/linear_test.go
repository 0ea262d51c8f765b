package table_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"

	"magnoliahoist/document"
	"magnoliahoist/fault"
	"magnoliahoist/table"
)

// operation is a read of the row or a write of it on the condition that it has the expected value.
type operation struct {
	write    bool
	expected string
	value    string // value to write
}

// outcome is what the editor learned: the value that a read returned, or the result of a write.
type outcome struct {
	value     string
	committed bool
	unknown   bool // the write may have taken effect or may do so later
}

// rowModel is the sequential model of the row. A write of unknown outcome whose condition holds may or
// may not take effect.
var rowModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		in, out := input.(operation), output.(outcome)
		met := in.expected == state
		switch {
		case !in.write && out.value == state, in.write && !out.unknown && !out.committed && !met:
			return []any{state}
		case in.write && out.unknown && met:
			return []any{state, in.value}
		case in.write && out.unknown:
			return []any{state}
		case in.write && out.committed && met:
			return []any{in.value}
		}
		return nil
	},
}

// Guards against an edit that is lost, applied twice or applied over another one while several operators
// edit at the same time and the table service loses replies or delays writes (invariant I13).
func TestLinearEdits(t *testing.T) {
	const seed, editors, edits = 20266, 5, 30
	for name, faults := range map[string]fault.Faults{
		"no fault":     {},
		"replies lost": {LoseReply: 15},
		"late writes":  {LateWrite: document.Duration(3 * time.Millisecond)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Log("seed", seed)
			client, fake := startFakeTable(t)
			fake.Faults.Replace(faults)
			startedAt := time.Now()
			var mu sync.Mutex
			var history []porcupine.Operation
			var group sync.WaitGroup
			for editor := range editors {
				random := rand.New(rand.NewPCG(seed, uint64(editor)))
				group.Go(func() {
					for n := range edits {
						ops := readAndWrite(client, fmt.Sprint(editor, "-", n), random.IntN(4) == 0, startedAt)
						mu.Lock()
						history = append(history, ops...)
						mu.Unlock()
					}
				})
			}
			group.Wait()
			result := porcupine.CheckOperationsTimeout(rowModel.ToModel(), closeOpenOperations(settleOutcomes(history)), 30*time.Second)
			qt.Assert(t, result, qt.Equals, porcupine.Ok)
		})
	}
}

// openEnd is the return time of an operation that may still take effect.
const openEnd = -1

// readAndWrite reads the row and, unless readOnly, writes the value on the condition that the row has not
// changed since. It returns both operations.
func readAndWrite(client *table.Client, value string, readOnly bool, startedAt time.Time) []porcupine.Operation {
	ctx := context.Background()
	calledAt := time.Since(startedAt).Nanoseconds()
	snapshot, err := client.Read(ctx, "linear/row", 0)
	for retries := 0; err != nil && retries < 100; retries++ {
		calledAt = time.Since(startedAt).Nanoseconds()
		snapshot, err = client.Read(ctx, "linear/row", 0)
	}
	if err != nil {
		return nil
	}
	before, revision := "", int64(0)
	if len(snapshot.Rows) > 0 {
		before, revision = string(snapshot.Rows[0].Value), snapshot.Rows[0].Revision
	}
	read := porcupine.Operation{Input: operation{}, Call: calledAt, Output: outcome{value: before}, Return: time.Since(startedAt).Nanoseconds()}
	if readOnly {
		return []porcupine.Operation{read}
	}
	calledAt = time.Since(startedAt).Nanoseconds()
	result, err := client.Commit(ctx, table.Txn{
		Compares: []table.Compare{{Key: "linear/row", Revision: revision}},
		Writes:   []table.Write{{Key: "linear/row", Value: []byte(value)}},
	})
	write := porcupine.Operation{Input: operation{true, before, value}, Call: calledAt, Return: time.Since(startedAt).Nanoseconds()}
	write.Output = outcome{committed: result.Committed, unknown: err != nil}
	if err != nil {
		write.Return = openEnd
	}
	return []porcupine.Operation{read, write}
}

// settleOutcomes resolves writes of unknown outcome, whose number makes the check exponentially slow. Each value
// is written once. Therefore a write whose value was read has taken effect before that read returned, and one
// whose value was never read matters only to rejected writes with the same condition; without these it is
// omitted. The result is linearizable if and only if the history is.
func settleOutcomes(history []porcupine.Operation) []porcupine.Operation {
	readBy := make(map[string]int64)  // by value, the earliest return of a read
	rejected := make(map[string]bool) // conditions of rejected writes
	for _, op := range history {
		in, out := op.Input.(operation), op.Output.(outcome)
		if !in.write {
			if at, ok := readBy[out.value]; !ok || op.Return < at {
				readBy[out.value] = op.Return
			}
		} else if !out.unknown && !out.committed {
			rejected[in.expected] = true
		}
	}
	var settled []porcupine.Operation
	for _, op := range history {
		in, out := op.Input.(operation), op.Output.(outcome)
		if in.write && out.unknown {
			if at, ok := readBy[in.value]; ok {
				op.Output, op.Return = outcome{committed: true}, max(op.Call, at)
			} else if !rejected[in.expected] {
				continue
			}
		}
		settled = append(settled, op)
	}
	return settled
}

// closeOpenOperations sets the return time of every open operation to just after all others.
func closeOpenOperations(history []porcupine.Operation) []porcupine.Operation {
	last := int64(0)
	for _, op := range history {
		last = max(last, op.Return, op.Call)
	}
	for n := range history {
		if history[n].Return == openEnd {
			history[n].Return = last + 1
		}
	}
	return history
}
