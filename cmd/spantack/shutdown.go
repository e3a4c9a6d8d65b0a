package main

import "context"

// Times of the shutdown, in milliseconds. SIGKILL may follow SIGTERM after killGrace plus the longest deadline of a
// class (at most maxHonouredDeadline).
const (
	maxHonouredDeadline = 3000
	killGrace           = 700
	// acceptAfterSignal is the time after SIGTERM in which new connections and requests are still accepted. It is
	// shorter if planShutdown schedules the final responses earlier, and 0 if another process has replaced this one.
	acceptAfterSignal = 800
	// finalResponseLead is the time between the final responses to open requests and a possible SIGKILL. It leaves time
	// to exit before SIGKILL. It is shorter with short deadlines, see planShutdown.
	finalResponseLead = 500
	// maxResponseReadTime bounds the time that clients have to read the final responses. If the longest
	// deadline of a class is below twice this time, they have half of that deadline instead.
	maxResponseReadTime = 150
	// exitMargin is the minimum time between the exit of the process and a possible SIGKILL, whatever the deadlines.
	exitMargin = 50
)

// shutdownPlan holds the times of a shutdown, in milliseconds. The process exits at least exitMargin before a possible
// SIGKILL.
type shutdownPlan struct {
	acceptFor   float64 // from the signal until new connections and requests are no longer accepted
	respondBy   float64 // from the signal until open requests get their final responses
	clientsRead float64 // time that clients have to read the final responses
	slack       float64 // how much later than planned the process may exit, for instance on a busy machine
}

// planShutdown returns the plan for a longest deadline of a class, in milliseconds.
func planShutdown(longestDeadline float64) shutdownPlan {
	kill := min(longestDeadline, maxHonouredDeadline) + killGrace
	clientsRead := min(maxResponseReadTime, longestDeadline/2)
	respondBy := min(max(kill-finalResponseLead, acceptAfterSignal), kill-exitMargin-clientsRead)
	return shutdownPlan{
		acceptFor:   min(acceptAfterSignal, respondBy),
		respondBy:   respondBy,
		clientsRead: clientsRead,
		slack:       kill - exitMargin - respondBy - clientsRead,
	}
}

// awaitTermination waits for SIGTERM or SIGINT and begins the shutdown. It returns without one if ctx is canceled.
func (p *process) awaitTermination(ctx context.Context, stopAccepting func()) error {
	select {
	case <-p.signals.terminate.Done():
		p.beginShutdown(stopAccepting)
	case <-ctx.Done():
	}
	return nil
}

// beginShutdown schedules the steps of the shutdown. It does not block.
func (p *process) beginShutdown(stopAccepting func()) {
	p.state.ReleaseServing() // first: a process that reports that it is not ready must not be recorded as serving
	p.isStopping.Store(true)
	plan := planShutdown(p.config.Load().MaxDeadline)
	if p.inheritsListener && p.state.IsReplaced() {
		// The process that replaced this one accepts new requests. This one accepts none, since it might exit before it
		// could respond to them.
		plan.acceptFor = 0
	}
	p.log.Info().Bool("replaced", plan.acceptFor == 0).Msg("stopping")
	// The server reads these fields after stopAccepting.
	p.server.ShutdownTimeout = plan.respondBy + plan.clientsRead - plan.acceptFor
	p.server.ResponseReadTimeout = plan.clientsRead
	p.server.ShutdownGracePeriod = plan.slack
	p.clock.AfterFunc(plan.acceptFor, stopAccepting)
	p.clock.AfterFunc(plan.respondBy, p.router.Close)
	p.clock.AfterFunc(plan.respondBy+plan.clientsRead+plan.slack+exitMargin/2, func() { close(p.shutdownExpired) })
}
