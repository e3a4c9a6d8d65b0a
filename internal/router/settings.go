package router

import "spantack/routing"

// UpdateSettings puts new settings in force for later requests. On error, which names the field at fault, nothing
// has changed.
func (r *Router) UpdateSettings(set routing.Settings) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.admission.UpdateSettings(r.advanceLocked(), set); err != nil {
		return err
	}
	r.applySettingsLocked(set)
	return nil
}

// applySettingsLocked reads the settings that the router itself needs. r.mu is held, or r is not shared yet.
func (r *Router) applySettingsLocked(set routing.Settings) {
	r.resizeClassCounters(set)
	r.loadFields = set.LoadReporting.Fields
	r.keyedClasses = map[string]bool{}
	for _, class := range set.Classes {
		r.keyedClasses[class.Name] = class.Idempotency == routing.IdempotentKey
	}
}
