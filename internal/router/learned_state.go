package router

import "spantack/routing"

// LearnedState returns what the module has learnt, for a process that takes over.
func (r *Router) LearnedState() routing.LearnedState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.admission.LearnedState(r.nowMicros())
}

// RestoreLearnedState adopts what the process has learnt that this one replaces. It is called once the endpoint
// list is known. On error, which names what is implausible, nothing is adopted.
func (r *Router) RestoreLearnedState(state routing.LearnedState) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.admission.RestoreLearnedState(r.advanceLocked(), state)
}
