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

// reloadFrom loads the settings and applies those that can change while the host runs. If the settings are invalid, nothing
// changes.
func (h *Host) reloadFrom(load func() (config.Host, error)) {
	settings, err := load()
	if err != nil {
		h.log.Error("host: unable to reload the settings, keeping the current ones", "error", err)
		return
	}
	h.Reload(settings)
}

// Reload applies the settings log.level, limits.body and limits.call. All others take effect only after a restart, because
// they are part of a listener, of the member row or of what must be the same on all hosts. If any of these differ, Reload
// logs their names.
func (h *Host) Reload(settings config.Host) {
	next := h.currentSettings()
	next.Log.Level = settings.Log.Level
	next.Limits.MaxBodyBytes, next.Limits.CallTimeout = settings.Limits.MaxBodyBytes, settings.Limits.CallTimeout
	h.reloaded.Store(&next)
	h.log.SetLevel(hclog.LevelFromString(next.Log.Level))
	h.callerServer.SetLimits(callerLimits(next))
	h.log.Info("host: settings loaded again", "level", next.Log.Level, "body", next.Limits.MaxBodyBytes, "call", time.Duration(next.Limits.CallTimeout))
	if unapplied := changedSettings(next, settings); len(unapplied) > 0 {
		h.log.Warn("host: settings take effect after a restart only", "settings", unapplied)
	}
}

// currentSettings returns the settings with those that a reload has changed.
func (h *Host) currentSettings() config.Host {
	if reloaded := h.reloaded.Load(); reloaded != nil {
		return *reloaded
	}
	return h.settings
}

// callerLimits returns the limits on the requests of callers.
func callerLimits(settings config.Host) caller.Limits {
	return caller.Limits{MaxBodyBytes: settings.Limits.MaxBodyBytes, CallTimeout: time.Duration(settings.Limits.CallTimeout)}
}

// changedSettings returns the sorted names of the top-level settings that differ. It does not return values, because some
// are secrets.
func changedSettings(a, b config.Host) []string {
	settingsA, settingsB := encodeSettings(a), encodeSettings(b)
	changed := map[string]bool{"secret": a.Secret != b.Secret, "credential": a.Credential != b.Credential}
	var names []string
	for _, name := range slices.Sorted(maps.Keys(settingsA)) {
		if settingsA[name] != settingsB[name] || changed[name] {
			names = append(names, name)
		}
	}
	return names
}

// encodeSettings returns the JSON of each top-level setting by name, with secrets masked.
func encodeSettings(settings config.Host) map[string]string {
	data, err := json.Marshal(settings)
	if err != nil {
		return nil
	}
	var raw map[string]json.RawMessage
	if json.Unmarshal(data, &raw) != nil {
		return nil
	}
	encoded := make(map[string]string, len(raw))
	for name, value := range raw {
		encoded[name] = string(value)
	}
	return encoded
}
