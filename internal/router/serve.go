package router

import (
	"context"

	"spantack/internal/clock"
	"spantack/routing"
)

// Margins of a request's time, in milliseconds.
const (
	// replyMarginShare of the client's time, within minReplyMargin and maxReplyMargin, is reserved for the way there
	// and back and for a busy core.
	replyMarginShare = 0.1
	minReplyMargin   = 5
	maxReplyMargin   = 25
	// retryCutoff is how long before the end of a request's time, and later, no retry goes out.
	retryCutoff = 1
	// overdueAfter is how long past its deadline the module may leave a request without a response before the router
	// fails it.
	overdueAfter = 10
)

// mailboxSize is far more than the actions that the module ever has for one request at once.
const mailboxSize = 16

// Serve carries one request from its arrival to its final response. The module decides each step; ctx ends when the
// client no longer waits.
func (r *Router) Serve(ctx context.Context, q Request) (response Response) {
	r.Counters.Accepted.Add(1)
	defer func() { r.countOutcome(q.Class, response.Outcome) }()
	s := serving{
		router:   r,
		request:  &q,
		deadline: q.deadline(),
		mailbox:  make(chan routing.Action, mailboxSize),
		attempt:  -1,
	}
	overdue, overdueTimer := r.clock.Alarm(s.deadline + overdueAfter - r.clock.Now())
	s.overdueAlarm = overdue
	defer overdueTimer.Stop()
	if !r.open(&s) {
		return s.respond(Response{Outcome: Failed})
	}
	defer r.forget(&s)
	for {
		s.wait(ctx)
		if response, ended := s.handleNext(ctx); ended {
			return s.respond(response)
		}
	}
}

// deadline returns until when an attempt may bring the response, in Unix milliseconds: until the client's time is
// over, less a margin.
func (q *Request) deadline() float64 {
	margin := min(max(replyMarginShare*q.ClientTimeout, minReplyMargin), maxReplyMargin)
	return q.ArrivedAt + q.ClientTimeout - margin
}

// open registers the request's mailbox and passes the request to the module. It returns false where the request
// must not be served: the response to the first request of an id must not go to a second one. And where a class
// requires keys since a reload, after the front read this request by the older settings, its servers could not
// recognize a repeat.
func (r *Router) open(s *serving) bool {
	q := s.request
	r.mu.Lock()
	defer r.mu.Unlock()
	_, isDuplicate := r.mailboxes[q.ID]
	lacksKey := r.keyedClasses[q.Class] && q.IdempotencyKey == ""
	if isDuplicate || lacksKey {
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

// forget removes the request's mailbox: actions for its id that come later find none.
func (r *Router) forget(s *serving) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.mailboxes, s.request.ID)
}

// serving is the state of one request while Serve has it. Only the goroutine of Serve uses it; the module, the
// upstream and the timers reach it by channels.
type serving struct {
	router   *Router
	request  *Request
	deadline float64 // Unix milliseconds; see Request.deadline

	// mailbox receives the module's actions for this request. The router sends to it, from open until forget; it is
	// never closed.
	mailbox chan routing.Action
	// overdueAlarm gets a value overdueAfter past the deadline. Serve owns its timer.
	overdueAlarm <-chan struct{}

	// attempt numbers the last attempt that was sent, from 0 on; -1: none yet.
	attempt int
	// sent is the attempt that is in flight; zero while there is none. There is never more than one.
	sent sentAttempt

	// What has happened and is not handled yet.
	result     AttemptResult // of sent
	hasResult  bool
	action     routing.Action // the module's next one
	hasAction  bool
	isTimedOut bool // sent is
	isOverdue  bool // the module has left the request without a response
}

// sentAttempt is an attempt in flight.
type sentAttempt struct {
	// pending is owned by serving until its result has come or it was canceled; nil: no attempt is in flight.
	pending PendingAttempt
	result  <-chan AttemptResult // pending's
	timeout <-chan struct{}      // gets a value when the attempt's time is over
	timer   *clock.Timer         // of timeout; stopped with the end of the attempt
	server  string
	sentAt  float64 // Unix milliseconds
}

// wait returns when something has happened to the request, at once if the module's next action is at hand, and
// takes in all that has.
func (s *serving) wait(ctx context.Context) {
	if !s.hasAction {
		select {
		case s.result = <-s.sent.result:
			s.hasResult = true
		case <-ctx.Done():
		case <-s.router.closed:
		case <-s.overdueAlarm:
			s.isOverdue = true
		case <-s.sent.timeout:
			s.isTimedOut = true
		case s.action = <-s.mailbox:
			s.hasAction = true
		}
	}
	if !s.hasResult {
		s.result, s.hasResult = receiveIfReady(s.sent.result)
	}
	s.isOverdue = s.isOverdue || isReady(s.overdueAlarm)
	s.isTimedOut = s.isTimedOut || isReady(s.sent.timeout)
}

// handleNext handles one of the events that have arrived; ended is true where the request has its final response.
// Of several events the first in the order of the cases is handled. An attempt's result comes first: it may be the
// response, and a timeout does not make the attempt open again. Next are the events that forbid a retry, then those
// that may lead to one.
func (s *serving) handleNext(ctx context.Context) (response Response, ended bool) {
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
		s.sent.pending.Cancel(mayRetry)
		s.endAttempt(AttemptResult{Outcome: routing.OutcomeTimedOut})
	case s.hasAction:
		return s.handleAction()
	}
	return Response{}, false
}

// handleResult reports the result of the attempt in flight to the module, and makes the response of one that was
// served.
func (s *serving) handleResult(ctx context.Context) (response Response, ended bool) {
	result := s.result
	s.result, s.hasResult = AttemptResult{}, false
	s.endAttempt(result)
	switch {
	case result.Outcome != routing.OutcomeServed:
		return Response{}, false
	case ctx.Err() != nil:
		return Response{}, true
	default:
		return Response{Outcome: Served, Body: result.Body, NotModified: result.NotModified}, true
	}
}

// handleAction does what the module has decided.
func (s *serving) handleAction() (response Response, ended bool) {
	s.hasAction = false
	switch a := &s.action; a.Kind {
	case routing.ActionSend:
		s.send(a)
	case routing.ActionCancel:
		if s.sent.pending != nil && a.Attempt == s.attempt {
			s.sent.pending.Cancel(true)
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

// send sends the attempt that the module has decided on.
func (s *serving) send(a *routing.Action) {
	attempt := newAttempt(s.request, a)
	now := s.router.clock.Now()
	s.attempt++
	s.sent.server = a.Server
	s.sent.sentAt = now
	s.sent.timeout, s.sent.timer = s.router.clock.Alarm(min(attempt.Timeout, max(s.deadline-now, 0)))
	s.sent.pending = s.router.upstream.Send(attempt)
	s.sent.result = s.sent.pending.Done()
	s.router.Counters.Attempts.Add(1)
}

// newAttempt returns the attempt of an ActionSend.
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
	if a.Source != a.Server { // else the server answers from its own store only
		attempt.Source = a.Source
	}
	return attempt
}

// endAttempt ends the attempt in flight and reports its result to the module.
func (s *serving) endAttempt(result AttemptResult) {
	ended := s.sent
	ended.timer.Stop()
	s.sent = sentAttempt{}
	s.isTimedOut = false
	s.router.reportOutcome(result.LoadReport, routing.Event{
		Kind:         routing.EventOutcome,
		RequestID:    s.request.ID,
		Attempt:      s.attempt,
		Server:       ended.server,
		Outcome:      result.Outcome,
		CacheStatus:  result.CacheStatus,
		ResponseTime: clock.Micros(s.router.clock.Now() - ended.sentAt),
		UpstreamWait: clock.Micros(result.SourceWait),
		IsFinal:      result.Outcome == routing.OutcomeServed,
	})
}

// cancelAttempt cancels the attempt in flight, if any, with no retry to follow.
func (s *serving) cancelAttempt() {
	if s.sent.pending != nil {
		s.sent.timer.Stop()
		s.sent.pending.Cancel(false)
	}
}

// abort cancels the attempt in flight and ends the request on the module's side, which has not decided on its end.
func (s *serving) abort() {
	s.cancelAttempt()
	s.router.step(routing.Event{Kind: routing.EventAborted, RequestID: s.request.ID})
}

// reportOverdue counts and logs that the module gave no response in time.
func (s *serving) reportOverdue() {
	s.router.Counters.Overdue.Add(1)
	s.router.log.Error().Str("request", s.request.ID).Msg("module gave no answer in time")
}

// respond counts the request's final response and returns it.
func (s *serving) respond(response Response) Response {
	s.router.Counters.countOutcome(response.Outcome)
	return response
}

// receiveIfReady receives from c without blocking; ok is false where nothing is ready.
func receiveIfReady[T any](c <-chan T) (v T, ok bool) {
	select {
	case v, ok = <-c:
		return v, ok
	default:
		return v, false
	}
}

// isReady reports whether c has a value ready, which it receives, or is closed.
func isReady(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
