package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"magnoliahoist/dispatch"
	"magnoliahoist/quarantine"
	"magnoliahoist/table"
)

// The evidence against blocked parts is also kept in a row of the fleet table, so that hosts which start anew know it although no
// other host is left.

const (
	quarantineKey = fleetTable + "/quarantine"
	// quarantineWriteInterval is the minimum time between two writes of the row.
	quarantineWriteInterval = time.Second
)

// quarantineRow is the row's value.
type quarantineRow struct {
	Crashes []keptCrash `json:"crashes"`
}

// keptCrash is a crash with the blocked parts that it counts against.
type keptCrash struct {
	Process string     `json:"process"`
	Pool    string     `json:"pool"`
	At      int64      `json:"at"` // Unix milliseconds by the clock of the host that wrote the row
	Parts   []keptPart `json:"parts"`
}

// keptPart is a blocked part.
type keptPart struct {
	ID       string `json:"id"` // in hexadecimal
	Trial    bool   `json:"trial,omitempty"`
	Familiar bool   `json:"familiar,omitempty"`
}

// keepEvidence writes the evidence against blocked parts if it differs from the row. Only holders of a lease write it. The caller
// holds the lock.
func (h *Host) keepEvidence() {
	if len(h.holdings) == 0 || h.stopping() || h.Now()-h.fleet.quarantineWrittenAt < quarantineWriteInterval {
		return
	}
	reports := h.state.BlockEvidence(h.Now())
	if describeEvidence(reports) == h.fleet.keptEvidence {
		return
	}
	h.fleet.quarantineWrittenAt = h.Now()
	value, err := json.Marshal(encodeEvidence(reports, time.Now()))
	if err != nil {
		panic("entry: unable to encode the evidence against prompt parts: " + err.Error()) // a struct of plain fields can always be encoded
	}
	h.spawn(func(context.Context) {
		h.writeRows(table.Txn{Writes: []table.Write{{Key: quarantineKey, Value: value}}})
	})
}

// describeEvidence returns what the row would say, without times.
func describeEvidence(reports []quarantine.Report) string {
	text := ""
	for _, r := range reports {
		text += fmt.Sprintln(r.Process, r.Pool, r.Suspects)
	}
	return text
}

// encodeEvidence returns the row for reports at a time of day.
func encodeEvidence(reports []quarantine.Report, now time.Time) quarantineRow {
	row := quarantineRow{Crashes: []keptCrash{}}
	for _, r := range reports {
		kept := keptCrash{Process: r.Process, Pool: r.Pool, At: now.Add(-r.Age).UnixMilli()}
		for _, s := range r.Suspects {
			kept.Parts = append(kept.Parts, keptPart{ID: strconv.FormatUint(s.Part, 16), Trial: s.Trial, Familiar: s.Familiar})
		}
		row.Crashes = append(row.Crashes, kept)
	}
	return row
}

// decodeEvidence is the reverse of encodeEvidence. It leaves out parts whose id can't be read.
func decodeEvidence(row quarantineRow, now time.Time) []quarantine.Report {
	var reports []quarantine.Report
	for _, kept := range row.Crashes {
		r := quarantine.Report{Process: kept.Process, Pool: kept.Pool, Age: max(now.Sub(time.UnixMilli(kept.At)), 0)}
		for _, p := range kept.Parts {
			if id, err := strconv.ParseUint(p.ID, 16, 64); err == nil {
				r.Suspects = append(r.Suspects, quarantine.Suspect{Part: id, Trial: p.Trial, Familiar: p.Familiar})
			}
		}
		reports = append(reports, r)
	}
	return reports
}

// applyQuarantineRow adds the evidence in the row to this host's. The caller holds the lock.
func (h *Host) applyQuarantineRow(row table.Row) {
	var value quarantineRow
	if !row.Deleted {
		if err := json.Unmarshal(row.Value, &value); err != nil {
			h.log.Warn("entry: unable to decode the evidence against prompt parts", "revision", table.VersionOf(row.Revision), "error", err)
			return
		}
	}
	reports := decodeEvidence(value, time.Now())
	h.fleet.keptEvidence = describeEvidence(reports)
	h.apply(dispatch.EvidenceChanged{Evidence: quarantine.CrashesReported{Reports: reports}})
}
