package router

import (
	"context"

	"spantack/internal/clock"
	"spantack/routing"
)

// Time margins of a request, in milliseconds.
const (
	// replyMarginShare is the fraction of the client's timeout that is reserved for the network round trip to the
	// client and for delays on a busy core. The reserved time is at least minReplyMargin and at most maxReplyMargin.
	replyMarginShare = 0.1
	minReplyMargin   = 5
	maxReplyMargin   = 25
	// No retry is sent in the last retryCutoff before a request's deadline.
	retryCutoff = 1
	// overdueAfter is how long after a request's deadline the router waits for the module's decision before it fails the
	// request.
	overdueAfter = 10
)

// Limits of the ids that are remembered after their clients have left.
const (
	idRetention     = 10_000 // milliseconds; longer than the longest deadline of the platform and its window for repeats
	maxAbandonedIDs = 4096
)

// mailboxSize is far above the number of actions that the module ever has for one request at once.
const mailboxSize = 16

// Serve handles one request from its arrival to its final response, which it returns. The module decides each step;
// ctx ends when the client no longer waits.
func (r *Router) Serve(ctx context.Context, q Request) (response Response) {
	r.Counters.Accepted.Add(1)
	defer func() { r.countClassOutcome(q.Class, response.Outcome) }()
	s := requestState{
		router:        r,
		request:       &q,
		deadline:      q.deadline(),
		mailbox:       make(chan routing.Action, mailboxSize),
		attemptNumber: -1,
	}
	overdue, overdueTimer := r.clock.Alarm(s.deadline + overdueAfter - r.clock.Now())
	s.overdueAlarm = overdue
	defer overdueTimer.Stop()
	if !r.register(&s) {
		return s.countResponse(Response{Outcome: Failed})
	}
	defer r.unregister(&s)
	for {
		s.wait(ctx)
		if response, ended := s.handleNext(ctx); ended {
			s.hasDeparted = response.Outcome == NoResponse
			return s.countResponse(response)
		}
	}
}

// deadline returns the latest time for an attempt to return the response, in Unix milliseconds: the end of the
// client's timeout, less a margin.
func (q *Request) deadline() float64 {
	margin := min(max(replyMarginShare*q.ClientTimeout, minReplyMargin), maxReplyMargin)
	return q.ArrivedAt + q.ClientTimeout - margin
}

// register adds the request's mailbox and passes the request to the module. It returns false if the request
// must not be served:
//
//   - if an open request has the same id, since the response of one could go to the other;
//   - if a request with this id was sent to a server and its client left, since it may have run;
//   - if the class requires an idempotency key and the request has none, since servers could not deduplicate a retry.
//     This occurs if the front end read the request before the settings were reloaded.
func (r *Router) register(s *requestState) bool {
	q := s.request
	r.mu.Lock()
	defer r.mu.Unlock()
	_, isDuplicate := r.mailboxes[q.ID]
	mayHaveRun := r.abandonedIDs.Contains(r.advanceLocked(), q.ID)
	lacksKey := r.keyedClasses[q.Class] && q.IdempotencyKey == ""
	if isDuplicate || mayHaveRun || lacksKey {
		return false
	}
	r.mailboxes[q.ID] = s.mailbox
	r.stepLocked(routing.Event{
		Kind:       routing.EventRequest,
		RequestID:  q.ID,
		Class:      q.Class,
		Tenant:     q.Tenant,
		Object:     q.Object,
		Chunk:      q.Chunk,
		PurgeGroup: q.PurgeGroup,
		SizeKB:     q.SizeKB,
		Timeout:    clock.Micros(s.deadline - r.clock.Now()),
	})
	return true
}

// unregister removes the request's mailbox, so that later actions for its id are dropped. It remembers the id if the
// client has left and an attempt may have run.
func (r *Router) unregister(s *requestState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.mailboxes, s.request.ID)
	if s.hasDeparted && s.attemptNumber >= 0 {
		r.abandonedIDs.Add(r.advanceLocked(), s.request.ID)
	}
}

// requestState is the state of one request in Serve. Only the goroutine of Serve uses it; the module, the upstream and
// the timers send to it through channels.
type requestState struct {
	router   *Router
	request  *Request
	deadline float64 // Unix milliseconds; see Request.deadline

	// mailbox receives the module's actions for this request, from register until unregister. It is never closed.
	mailbox chan routing.Action
	// overdueAlarm receives a value when overdueAfter has passed since the deadline. Serve owns its timer.
	overdueAlarm <-chan struct{}

	// attemptNumber is the number of the last attempt that was sent, counted from 0; -1: none yet.
	attemptNumber int
	// inFlight is the attempt in flight; zero while there is none. There is never more than one.
	inFlight sentAttempt

	// Events that have arrived and have not been handled.
	result      AttemptResult // of the attempt in flight
	hasResult   bool
	action      routing.Action // the module's next action
	hasAction   bool
	isTimedOut  bool // the attempt in flight has timed out
	hasDeparted bool // the client has left before the response
	isOverdue   bool // overdueAfter has passed since the deadline, and the module has not ended the request
}

// sentAttempt is the attempt of a requestState that is in flight.
type sentAttempt struct {
	// pending is owned by requestState until its result is received or it is canceled; nil: no attempt is in flight.
	pending PendingAttempt
	result  <-chan AttemptResult // of pending
	timeout <-chan struct{}      // receives a value when the attempt times out
	timer   *clock.Timer         // sends the value to timeout; stopped when the attempt ends
	server  string
	sentAt  float64 // Unix milliseconds
}

// wait blocks until an event of the request arrives, or returns at once if an action of the module is pending. It
// stores all events that have arrived.
func (s *requestState) wait(ctx context.Context) {
	if !s.hasAction {
		select {
		case s.result = <-s.inFlight.result:
			s.hasResult = true
		case <-ctx.Done():
		case <-s.router.closed:
		case <-s.overdueAlarm:
			s.isOverdue = true
		case <-s.inFlight.timeout:
			s.isTimedOut = true
		case s.action = <-s.mailbox:
			s.hasAction = true
		}
	}
	if !s.hasResult {
		s.result, s.hasResult = receiveIfReady(s.inFlight.result)
	}
	s.isOverdue = s.isOverdue || isReady(s.overdueAlarm)
	s.isTimedOut = s.isTimedOut || isReady(s.inFlight.timeout)
}

// handleNext handles one of the events that have arrived; ended is true once the request has its final response. Of
// several events, the first in the order of the cases is handled. An attempt's result comes first: it may be the
// response, and the attempt has ended even if it has also timed out. Events that rule out a retry come next, then
// those that may lead to one.
func (s *requestState) handleNext(ctx context.Context) (response Response, ended bool) {
	switch {
	case s.hasResult:
		return s.handleResult(ctx)
	case ctx.Err() != nil:
		s.abort()
		return Response{}, true
	case isReady(s.router.closed):
		s.abort()
		return Response{Outcome: Failed}, true
	case s.isOverdue:
		s.abort()
		s.reportOverdue()
		return Response{Outcome: Failed}, true
	case s.isTimedOut:
		mayRetry := s.router.clock.Now() < s.deadline-retryCutoff
		s.inFlight.pending.Cancel(mayRetry)
		s.endAttempt(AttemptResult{Outcome: routing.OutcomeTimedOut})
	case s.hasAction:
		return s.handleAction()
	}
	return Response{}, false
}

// handleResult reports the result of the attempt in flight to the module, and returns the final response if the
// attempt was served.
func (s *requestState) handleResult(ctx context.Context) (response Response, ended bool) {
	result := s.result
	s.result, s.hasResult = AttemptResult{}, false
	s.endAttempt(result)
	switch {
	case result.Outcome != routing.OutcomeServed:
		return Response{}, false
	case ctx.Err() != nil:
		result.Discard()
		return Response{}, true
	default:
		return Response{
			Outcome:     Served,
			Body:        result.Body,
			Release:     result.Release,
			NotModified: result.NotModified,
		}, true
	}
}

// handleAction executes the module's action; ended is true if it is the final response.
func (s *requestState) handleAction() (response Response, ended bool) {
	s.hasAction = false
	switch a := &s.action; a.Kind {
	case routing.ActionSend:
		s.send(a)
	case routing.ActionCancel:
		if s.inFlight.pending != nil && a.Attempt == s.attemptNumber {
			s.inFlight.pending.Cancel(true)
			s.endAttempt(AttemptResult{Outcome: routing.OutcomeCanceled})
		}
	case routing.ActionReject:
		s.cancelAttempt()
		return Response{Outcome: Rejected, RetryAfter: clock.Millis(a.RetryAfter)}, true
	case routing.ActionFail:
		s.cancelAttempt()
		return Response{Outcome: Failed}, true
	}
	return Response{}, false
}

// send sends the attempt of an ActionSend.
func (s *requestState) send(a *routing.Action) {
	attempt := newAttempt(s.request, a)
	now := s.router.clock.Now()
	s.attemptNumber++
	s.inFlight.server = a.Server
	s.inFlight.sentAt = now
	s.inFlight.timeout, s.inFlight.timer = s.router.clock.Alarm(min(attempt.Timeout, max(s.deadline-now, 0)))
	s.inFlight.pending = s.router.upstream.Send(attempt)
	s.inFlight.result = s.inFlight.pending.Done()
	s.router.Counters.Attempts.Add(1)
}

// newAttempt returns the attempt that an ActionSend describes.
func newAttempt(q *Request, a *routing.Action) Attempt {
	attempt := Attempt{
		Request:        q,
		Server:         a.Server,
		Timeout:        clock.Millis(a.Timeout),
		SendWithin:     clock.Millis(a.SendWithin),
		HasSideEffects: a.HasSideEffects,
	}
	if a.Source != "" {
		attempt.RetentionRank = a.RetentionRank
		attempt.MaxAge = clock.Millis(a.MaxAge)
		attempt.FetchFlags = a.FetchFlags
	}
	if a.Source != a.Server { // with its own id as the source, the server responds from its own store only
		attempt.Source = a.Source
	}
	return attempt
}

// endAttempt ends the attempt in flight and reports its result to the module.
func (s *requestState) endAttempt(result AttemptResult) {
	ended := s.inFlight
	ended.timer.Stop()
	s.inFlight = sentAttempt{}
	s.isTimedOut = false
	s.router.reportOutcome(result.LoadReport, routing.Event{
		Kind:         routing.EventOutcome,
		RequestID:    s.request.ID,
		Attempt:      s.attemptNumber,
		Server:       ended.server,
		Outcome:      result.Outcome,
		CacheStatus:  result.CacheStatus,
		ResponseTime: clock.Micros(s.router.clock.Now() - ended.sentAt),
		UpstreamWait: clock.Micros(result.SourceWait),
		IsFinal:      result.Outcome == routing.OutcomeServed,
	})
}

// cancelAttempt cancels the attempt in flight, if any. No retry follows.
func (s *requestState) cancelAttempt() {
	if s.inFlight.pending != nil {
		s.inFlight.timer.Stop()
		s.inFlight.pending.Cancel(false)
	}
}

// abort cancels the attempt in flight, and notifies the module that the request is aborted, since the module has not
// ended it itself.
func (s *requestState) abort() {
	s.cancelAttempt()
	s.router.step(routing.Event{Kind: routing.EventAborted, RequestID: s.request.ID})
}

// reportOverdue counts and logs a request that the module did not end in time.
func (s *requestState) reportOverdue() {
	s.router.Counters.Overdue.Add(1)
	s.router.log.Error().Str("request", s.request.ID).Msg("decision module did not end the request by its deadline")
}

// countResponse counts the request's final response and returns it.
func (s *requestState) countResponse(response Response) Response {
	s.router.Counters.countOutcome(response.Outcome)
	return response
}

// receiveIfReady receives from c without blocking; ok is false if no value is ready.
func receiveIfReady[T any](c <-chan T) (v T, ok bool) {
	select {
	case v, ok = <-c:
		return v, ok
	default:
		return v, false
	}
}

// isReady reports whether c has a value ready or is closed. If a value is ready, isReady receives it.
func isReady(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
