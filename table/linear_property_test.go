package table_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Guards against a settled history that hides a fault, or shows one, that the full history does not.
func TestPropertySettledOutcomes(t *testing.T) {
	verdicts := make(map[bool]int)
	rapid.Check(t, func(t *rapid.T) {
		history := drawHistory(t)
		full := porcupine.CheckOperations(rowModel.ToModel(), closeOpenOperations(slices.Clone(history)))
		settled := porcupine.CheckOperations(rowModel.ToModel(), closeOpenOperations(settleOutcomes(history)))
		if settled != full {
			t.Fatalf("linearizable: %v by the settled history, %v by the full one", settled, full)
		}
		verdicts[full]++
	})
	qt.Assert(t, verdicts[true] > 0 && verdicts[false] > 0, qt.IsTrue, qt.Commentf("verdicts %v", verdicts))
}

// drawHistory returns a few edits of a row, of which some have results that no correct row gives.
func drawHistory(t *rapid.T) []porcupine.Operation {
	var history []porcupine.Operation
	values := []string{""}
	row := ""
	now := int64(0)
	for n := range rapid.IntRange(1, 5).Draw(t, "edits") {
		before := row
		if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
			before = rapid.SampledFrom(values).Draw(t, "read")
		}
		start := now + rapid.Int64Range(0, 5).Draw(t, "start") - 2
		readEnd := start + rapid.Int64Range(0, 4).Draw(t, "read duration")
		history = append(history, porcupine.Operation{Input: operation{}, Call: start, Output: outcome{value: before}, Return: readEnd})
		value := fmt.Sprint(n)
		writeEnd := readEnd + 1 + rapid.Int64Range(0, 4).Draw(t, "write duration")
		write := porcupine.Operation{Input: operation{true, before, value}, Call: readEnd + 1, Return: writeEnd}
		applied := rapid.Bool().Draw(t, "applied")
		unknown := rapid.Bool().Draw(t, "unknown")
		write.Output = outcome{committed: applied && !unknown, unknown: unknown}
		if unknown {
			write.Return = openEnd
		}
		if applied {
			row = value
		}
		values = append(values, value)
		history = append(history, write)
		now = writeEnd
	}
	return history
}
