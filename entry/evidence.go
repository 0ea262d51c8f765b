package entry

import (
	"context"
	"strconv"
	"strings"
	"time"

	"magnoliahoist/dispatch"
	"magnoliahoist/peer"
	"magnoliahoist/quarantine"
)

// Hosts learn of crashes of engines from each other with the exchange of load: each sends what it has recorded to the holder of a
// lease, or to a deputy, and gets what that host has from all others. Only what has changed since the last exchange is sent.

// shareCrash counts a crash of the endpoint of the last attempt and tells the other hosts of it at once.
func (h *Host) shareCrash(t *task) {
	h.metrics.crashes.WithLabelValues(t.lastSend.Endpoint.Pool).Inc()
	h.spawn(func(ctx context.Context) { h.exchangeLoads() })
}

// addCrashes adds the crashes to a request that its receiver does not have, and returns the revision up to which the receiver
// will have them. The caller holds the lock.
func (h *Host) addCrashes(request *peer.SummaryRequest, to string) int64 {
	reports, revision := h.state.CrashReports(h.Now(), h.fleet.crashesSent[to])
	request.Crashes, request.CrashesAfter = crashesToWire(reports), h.fleet.crashesReceived[to]
	return revision
}

// receiveCrashes records the crashes in the response of another host, and that it has received this host's crashes up to a
// revision.
func (h *Host) receiveCrashes(from string, sent int64, response *peer.SummaryResponse, err error) {
	if err != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fleet.crashesSent[from] = sent
	h.fleet.crashesReceived[from] = response.GetCrashesRevision()
	h.apply(dispatch.EvidenceChanged{Evidence: crashesFromWire(response.GetCrashes())})
}

// logJudgment logs that a prompt part is blocked from now on, or no longer.
func (h *Host) logJudgment(e dispatch.PartJudged) {
	id := strconv.FormatUint(e.Part.ID, 16)
	if !e.Blocked {
		h.log.Info("entry: prompt part is no longer blocked", "pool", e.Part.Pool, "part", id)
		return
	}
	h.log.Warn("entry: prompt part is blocked because it crashes engines", "pool", e.Part.Pool, "part", id, "crashes", e.Crashes, "trials", e.Trials,
		"processes", strings.Join(e.Processes, " "), "for", (e.Until - h.Now()).String())
}

// countParts returns the number of prompt parts that are blocked, or that are only suspected.
func (h *Host) countParts(blocked bool) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	count := 0
	for _, e := range h.state.Quarantine(h.Now()) {
		if e.Blocked == blocked {
			count++
		}
	}
	return count
}

func crashesToWire(reports []quarantine.Report) []*peer.Crash {
	list := make([]*peer.Crash, 0, len(reports))
	for _, r := range reports {
		wire := &peer.Crash{Process: r.Process, Pool: r.Pool, Age: int64(r.Age), Refuted: r.Refuted}
		for _, s := range r.Suspects {
			wire.Suspects = append(wire.Suspects, &peer.Suspect{Part: s.Part, Trial: s.Trial, Familiar: s.Familiar, Cleared: s.Cleared})
		}
		list = append(list, wire)
	}
	return list
}

func crashesFromWire(wire []*peer.Crash) quarantine.CrashesReported {
	var e quarantine.CrashesReported
	for _, w := range wire {
		r := quarantine.Report{Process: w.GetProcess(), Pool: w.GetPool(), Age: time.Duration(w.GetAge()), Refuted: w.GetRefuted()}
		for _, s := range w.GetSuspects() {
			r.Suspects = append(r.Suspects, quarantine.Suspect{Part: s.GetPart(), Trial: s.GetTrial(), Familiar: s.GetFamiliar(), Cleared: s.GetCleared()})
		}
		e.Reports = append(e.Reports, r)
	}
	return e
}
