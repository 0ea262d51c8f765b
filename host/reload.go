package host

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"magnoliahoist/caller"
	"magnoliahoist/config"
)

// loadAgain loads the settings and applies what may change while the host runs. Wrong settings change nothing.
func (h *Host) loadAgain(load func() (config.Host, error)) {
	settings, err := load()
	if err != nil {
		h.log.Error("host: unable to load the settings again, the old ones stay in force", "error", err)
		return
	}
	h.Reload(settings)
}

// Reload applies the log level, the largest body and the longest call. Everything else needs a planned
// stop and a start, because it is part of a listener, of the member row or of what all hosts must agree on;
// settings that differ there are named in the log and stay as they are.
func (h *Host) Reload(settings config.Host) {
	next := h.inForce()
	next.Log.Level = settings.Log.Level
	next.Limits.Body, next.Limits.Call = settings.Limits.Body, settings.Limits.Call
	h.reloaded.Store(&next)
	h.log.SetLevel(hclog.LevelFromString(next.Log.Level))
	h.callers.SetLimits(callerLimits(next))
	h.log.Info("host: settings loaded again", "level", next.Log.Level, "body", next.Limits.Body, "call", time.Duration(next.Limits.Call))
	if later := differences(next, settings); len(later) > 0 {
		h.log.Warn("host: settings take effect after a restart only", "settings", later)
	}
}

// inForce returns the settings in force.
func (h *Host) inForce() config.Host {
	if reloaded := h.reloaded.Load(); reloaded != nil {
		return *reloaded
	}
	return h.settings
}

func callerLimits(settings config.Host) caller.Limits {
	return caller.Limits{Body: settings.Limits.Body, Call: time.Duration(settings.Limits.Call)}
}

// differences returns the names of the settings in which two documents differ. It names sections, not
// values, because some values are secrets.
func differences(a, b config.Host) []string {
	left, right := sections(a), sections(b)
	changed := map[string]bool{"secret": a.Secret != b.Secret, "credential": a.Credential != b.Credential}
	var names []string
	for _, name := range slices.Sorted(maps.Keys(left)) {
		if left[name] != right[name] || changed[name] {
			names = append(names, name)
		}
	}
	return names
}

// sections returns the JSON of each top-level setting; secrets are masked in it.
func sections(settings config.Host) map[string]string {
	data, err := json.Marshal(settings)
	if err != nil {
		return nil
	}
	var raw map[string]json.RawMessage
	if json.Unmarshal(data, &raw) != nil {
		return nil
	}
	all := make(map[string]string, len(raw))
	for name, value := range raw {
		all[name] = string(value)
	}
	return all
}
