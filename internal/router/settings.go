package router

import "spantack/routing"

// UpdateSettings applies new settings to later requests. On error, which names the invalid field, nothing has changed.
func (r *Router) UpdateSettings(settings routing.Settings) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.admission.UpdateSettings(r.advanceLocked(), settings); err != nil {
		return err
	}
	r.applySettingsLocked(settings)
	return nil
}

// applySettingsLocked stores the settings that the router itself uses. r.mu is held, or r is not shared yet.
func (r *Router) applySettingsLocked(settings routing.Settings) {
	r.updateClassCounters(settings)
	r.loadFields = settings.LoadReporting.Fields
	r.keyedClasses = map[string]bool{}
	for _, class := range settings.Classes {
		r.keyedClasses[class.Name] = class.Idempotency == routing.IdempotentKey
	}
}
