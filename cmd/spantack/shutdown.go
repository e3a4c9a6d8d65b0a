package main

import "context"

// Times of the end of the process, in milliseconds. SIGKILL may come killGrace after the longest deadline of a
// class, of which maxHonouredDeadline counts at most.
const (
	maxHonouredDeadline = 3000
	killGrace           = 700
	// acceptAfterSignal is how long after SIGTERM connections and requests are still accepted.
	acceptAfterSignal = 800
	// finalAnswerLead before SIGKILL may come what is open gets its response, so that the process has ended by itself.
	finalAnswerLead = 500
	// maxAnswerReadTime is how long clients have to read those last responses, where they wait so long.
	maxAnswerReadTime = 150
	// exitMargin before SIGKILL may come the process is gone, whatever the deadlines.
	exitMargin = 50
)

// shutdownPlan says what happens when, in milliseconds from the signal. The process is gone exitMargin before
// SIGKILL may come.
type shutdownPlan struct {
	acceptFor   float64 // new connections and requests are accepted
	respondBy   float64 // what is open gets its response
	clientsRead float64 // how long clients then have to read it
	slack       float64 // how much later the process may be gone: a busy machine lets it run late
}

// planShutdown plans the end of the process by the longest deadline of a class, in milliseconds.
func planShutdown(longestDeadline float64) shutdownPlan {
	kill := min(longestDeadline, maxHonouredDeadline) + killGrace
	clientsRead := min(maxAnswerReadTime, longestDeadline/2)
	respondBy := min(max(kill-finalAnswerLead, acceptAfterSignal), kill-exitMargin-clientsRead)
	return shutdownPlan{
		acceptFor:   min(acceptAfterSignal, respondBy),
		respondBy:   respondBy,
		clientsRead: clientsRead,
		slack:       kill - exitMargin - respondBy - clientsRead,
	}
}

// awaitTermination waits for the signal that ends the process, and sets the end going; ctx ends with the last response.
func (p *process) awaitTermination(ctx context.Context, stopAccepting func()) error {
	select {
	case <-p.signals.terminate.Done():
		p.beginShutdown(stopAccepting)
	case <-ctx.Done():
	}
	return nil
}

// beginShutdown has the process end as planned. Nothing here waits.
func (p *process) beginShutdown(stopAccepting func()) {
	p.state.ReleaseServing() // first: whoever is told that this process is not ready must find its claim withdrawn
	p.isStopping.Store(true)
	plan := planShutdown(p.config.Load().MaxDeadline)
	if p.inheritsListener && p.state.IsReplaced() {
		// The other process accepts what comes: to accept more would only have it cut short.
		plan.acceptFor = 0
	}
	p.log.Info().Bool("replaced", plan.acceptFor == 0).Msg("stopping")
	// The server reads these once accepting has ended.
	p.server.ShutdownTimeout = plan.respondBy + plan.clientsRead - plan.acceptFor
	p.server.ResponseReadTimeout = plan.clientsRead
	p.server.ShutdownGracePeriod = plan.slack
	p.clock.AfterFunc(plan.acceptFor, stopAccepting)
	p.clock.AfterFunc(plan.respondBy, p.router.Close)
}
