package router

import (
	"context"

	"spantack/internal/clock"
	"spantack/routing"
)

const (
	// replyMarginShare of the client's time, within minReplyMargin and maxReplyMargin, is kept for the way there and back and for a
	// busy core. Times are milliseconds.
	replyMarginShare = 0.1
	minReplyMargin   = 5
	maxReplyMargin   = 25
	// retryCutoff before the end of a request's time, and later, no further attempt goes out.
	retryCutoff = 1
	// overdueAfter is how long past its deadline the module may leave a request without an answer before the router fails it.
	overdueAfter = 10
	// mailboxSize is far more than the actions that the module ever has for one request at once.
	mailboxSize = 16
)

// Serve carries one request from its arrival to its final answer. The module decides each step; ctx ends when the client no longer waits.
func (r *Router) Serve(ctx context.Context, q Request) (answer Response) {
	r.Counters.Accepted.Add(1)
	defer func() { r.countOutcome(q.Class, answer.Outcome) }()
	mailbox := make(chan routing.Action, mailboxSize)
	end := q.ArrivedAt + q.ClientTimeout - min(max(replyMarginShare*q.ClientTimeout, minReplyMargin), maxReplyMargin)
	late, lateTimer := r.clock.Alarm(end + overdueAfter - r.clock.Now())
	defer lateTimer.Stop()
	r.mu.Lock()
	_, duplicate := r.mailboxes[q.ID]
	keyless := r.keyedClasses[q.Class] && q.IdempotencyKey == ""
	if !duplicate && !keyless {
		r.mailboxes[q.ID] = mailbox
		r.stepLocked(routing.Event{Kind: routing.EventRequest, RequestID: q.ID, Class: q.Class, Tenant: q.Tenant, Object: q.Object, Chunk: q.Chunk, PurgeGroup: q.PurgeGroup,
			SizeKB: q.SizeKB, Timeout: clock.Micros(end - r.clock.Now())})
	}
	r.mu.Unlock()
	// The answer to the first request of an id must not go to a second one. And where a class requires keys since a reload, after the front
	// read this request by the older settings, its servers could not recognize a repeat.
	if duplicate || keyless {
		r.Counters.Failed.Add(1)
		return Response{Outcome: Failed}
	}
	defer func() {
		r.mu.Lock()
		delete(r.mailboxes, q.ID)
		r.mu.Unlock()
	}()

	// The open attempt of this request: there is never more than one.
	var (
		call    PendingAttempt
		done    <-chan AttemptResult
		timeout <-chan struct{}
		timer   *clock.Timer
		sentAt  float64
		server  string
		number  = -1
	)
	// Events that have not been handled yet.
	var (
		timedOut, overdue bool
		action            *routing.Action // the module's next action
	)
	endAttempt := func(e AttemptResult) { // reports the end of the open attempt to the module
		timer.Stop()
		call, done, timeout, timedOut = nil, nil, nil, false
		r.reportOutcome(e.LoadReport, routing.Event{Kind: routing.EventOutcome, RequestID: q.ID, Attempt: number, Server: server, Outcome: e.Outcome, CacheStatus: routing.CacheStatus(e.CacheStatus),
			ResponseTime: clock.Micros(r.clock.Now() - sentAt), UpstreamWait: clock.Micros(e.SourceWait), IsFinal: e.Outcome == routing.OutcomeServed})
	}
	giveUp := func() {
		if call != nil {
			timer.Stop()
			call.Cancel(false)
		}
	}
	abandon := func() { // ends the request on the module's side
		giveUp()
		r.step(routing.Event{Kind: routing.EventAborted, RequestID: q.ID})
	}
	for {
		var e AttemptResult
		ended := false
		if action == nil {
			select {
			case e = <-done:
				ended = true
			case <-ctx.Done():
			case <-r.closed:
			case <-late:
				overdue = true
			case <-timeout:
				timedOut = true
			case a := <-mailbox:
				action = &a
			}
		}
		if !ended {
			e, ended = receiveIfReady(done)
		}
		overdue = overdue || isReady(late)
		timedOut = timedOut || isReady(timeout)
		// Of several events the first in this order is handled. An attempt's end comes first: it may be the answer, and a time-out does not
		// make the attempt open again. Next are the events that forbid a further attempt, then those that may lead to one.
		switch {
		case ended:
			endAttempt(e)
			switch {
			case e.Outcome == routing.OutcomeServed && ctx.Err() != nil:
				r.Counters.Departed.Add(1)
				return Response{}
			case e.Outcome == routing.OutcomeServed:
				r.Counters.Served.Add(1)
				return Response{Outcome: Served, Body: e.Body, NotModified: e.NotModified}
			}
		case ctx.Err() != nil:
			abandon()
			r.Counters.Departed.Add(1)
			return Response{}
		case isReady(r.closed):
			abandon()
			r.Counters.Failed.Add(1)
			return Response{Outcome: Failed}
		case overdue: // the module gave no answer
			abandon()
			r.Counters.Overdue.Add(1)
			r.Counters.Failed.Add(1)
			r.log.Error().Str("request", q.ID).Msg("module gave no answer in time")
			return Response{Outcome: Failed}
		case timedOut:
			call.Cancel(r.clock.Now() < end-retryCutoff)
			endAttempt(AttemptResult{Outcome: routing.OutcomeTimedOut})
		case action != nil:
			a := *action
			action = nil
			switch a.Kind {
			case routing.ActionSend:
				try := Attempt{Request: &q, Server: a.Server, Timeout: clock.Millis(a.Timeout), SendWithin: clock.Millis(a.SendWithin), HasSideEffects: a.HasSideEffects}
				if a.Source != "" {
					try.RetentionRank, try.MaxAge, try.FetchFlags = a.RetentionRank, clock.Millis(a.MaxAge), a.FetchFlags
				}
				if a.Source != a.Server {
					try.Source = a.Source
				}
				number++
				server, sentAt = a.Server, r.clock.Now()
				timeout, timer = r.clock.Alarm(min(try.Timeout, max(end-sentAt, 0)))
				call = r.upstream.Send(try)
				done = call.Done()
				r.Counters.Attempts.Add(1)
			case routing.ActionCancel:
				if call != nil && a.Attempt == number {
					call.Cancel(true)
					endAttempt(AttemptResult{Outcome: routing.OutcomeCanceled})
				}
			case routing.ActionReject:
				giveUp()
				r.Counters.Rejected.Add(1)
				return Response{Outcome: Rejected, RetryAfter: clock.Millis(a.RetryAfter)}
			case routing.ActionFail:
				giveUp()
				r.Counters.Failed.Add(1)
				return Response{Outcome: Failed}
			}
		}
	}
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

// isReady reports whether c has a value ready or is closed.
func isReady(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
