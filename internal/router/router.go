// Package router serves requests as the decision module decides. It is independent of protocols and sockets: a front
// end passes Requests to it, an Upstream sends its Attempts, and WatchEvents from the discovery service notify it of
// servers and purges.
//
// A Router shares one module between all requests of the process. Serve runs in one goroutine per request and receives
// the module's actions through a mailbox channel. It returns one final Response for every request, whatever the module
// or the upstream does. The response is due at the request's deadline at the latest. If the module has not ended the
// request by overdueAfter past the deadline, Serve fails it. If an attempt is still in flight, the response also waits
// until PendingAttempt.Cancel returns.
package router

import (
	"fmt"
	"runtime/debug"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"spantack/core/cells"
	"spantack/core/endpoints"
	"spantack/core/requestids"
	"spantack/internal/clock"
	"spantack/routing"
)

// Router shares one decision module between the requests of this process. It is safe for concurrent use.
type Router struct {
	Counters Counters
	// OnOverloaded, if set before the first request, is called with each server that this router itself finds
	// overloaded. It must not block.
	OnOverloaded func(server string)

	clock    *clock.Clock
	log      zerolog.Logger
	upstream Upstream

	// mu is held only while the module decides, never across I/O. It guards the fields below up to keyedClasses.
	mu           sync.Mutex
	admission    *cells.Admission
	endpoints    *endpoints.List
	lastStepAt   int64                          // time of the module's last step in microseconds; never decreases
	mailboxes    map[string]chan routing.Action // of open requests, by request id; each is owned by Serve
	abandonedIDs *requestids.Window             // of requests that may have run and whose clients have left
	loadFields   []string                       // fields of load reports, in the module's order
	keyedClasses map[string]bool                // classes whose requests must carry an idempotency key

	// classCounters holds the counters by class. The map itself is never modified: new settings replace it.
	classCounters atomic.Pointer[map[string]*ClassCounters]

	// closed is closed by Close; Serve then fails all open requests.
	closed chan struct{}
}

// New returns a router whose decision module uses the settings. It sends attempts through upstream. The error names
// the invalid setting.
func New(
	settings routing.Settings, seed int64, c *clock.Clock, upstream Upstream, log zerolog.Logger,
) (*Router, error) {
	admission, err := cells.NewAdmission(settings, seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	r := &Router{
		clock:        c,
		log:          log,
		upstream:     upstream,
		admission:    admission,
		endpoints:    endpoints.New(),
		mailboxes:    map[string]chan routing.Action{},
		abandonedIDs: requestids.NewWindow(clock.Micros(idRetention), maxAbandonedIDs),
		closed:       make(chan struct{}),
	}
	r.applySettingsLocked(settings)
	return r, nil
}

// Close fails all open and all later requests, so that none is left without a response when the process ends. It must
// be called only once.
func (r *Router) Close() { close(r.closed) }

// nowMicros returns the time in the module's unit.
func (r *Router) nowMicros() int64 { return clock.Micros(r.clock.Now()) }

// advanceLocked returns the time of the module's next step in microseconds, never before its last step. r.mu is held.
func (r *Router) advanceLocked() int64 {
	r.lastStepAt = max(r.lastStepAt, r.nowMicros())
	return r.lastStepAt
}

// step passes one event to the module and executes the resulting actions.
func (r *Router) step(event routing.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stepLocked(event)
}

// stepLocked is step for a caller that holds r.mu.
func (r *Router) stepLocked(event routing.Event) {
	now := r.advanceLocked()
	for _, action := range r.decide(now, event) {
		r.executeLocked(action)
	}
}

// decide calls the module and returns its actions. It recovers from a panic of the module, which would otherwise end
// the process and every open request with it.
func (r *Router) decide(now int64, event routing.Event) (actions []routing.Action) {
	defer func() {
		if p := recover(); p != nil {
			r.Counters.Faults.Add(1)
			r.log.Error().Str("panic", fmt.Sprint(p)).Bytes("stack", debug.Stack()).Msg("decision module failed")
		}
	}()
	return r.admission.Step(now, []routing.Event{event})
}

// executeLocked sends an action to the mailbox of its request, or executes it if it concerns the router itself.
// The module's timers are not tied to a request: they also fire after the request for which they were set has ended.
// r.mu is held.
func (r *Router) executeLocked(action routing.Action) {
	switch action.Kind {
	case routing.ActionSend, routing.ActionReject, routing.ActionFail, routing.ActionCancel:
		select {
		case r.mailboxes[action.RequestID] <- action:
		default: // no such request is open, or its mailbox is full; Serve fails an open request when it is overdue
			r.Counters.Faults.Add(1)
		}
	case routing.ActionSetTimer:
		r.clock.AfterFunc(clock.Millis(action.Delay), func() {
			r.step(routing.Event{Kind: routing.EventTimer, TimerToken: action.TimerToken})
		})
	case routing.ActionReportOverload:
		if r.OnOverloaded != nil {
			r.OnOverloaded(action.Server)
		}
	case routing.ActionLog:
		r.logModuleText(action)
	}
}

// logModuleText logs the text of an ActionLog at level info.
func (r *Router) logModuleText(action routing.Action) {
	r.log.Info().Str("text", action.LogText).Msg("decision module log")
}
