package router

import "spantack/routing"

// LearnedState returns the module's learned state, for a process that replaces this one.
func (r *Router) LearnedState() routing.LearnedState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.admission.LearnedState(r.nowMicros())
}

// RestoreLearnedState adopts the learned state of the process that this one replaces. It must be called after
// the endpoint list is known. On error, which names the implausible value, nothing is adopted.
func (r *Router) RestoreLearnedState(state routing.LearnedState) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.admission.RestoreLearnedState(r.advanceLocked(), state)
}
