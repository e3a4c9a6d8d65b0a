package router

import (
	"context"

	"spantack/internal/clock"
	"spantack/rules"
)

const (
	// marginShare of the client's time, within leastMargin and mostMargin, is kept for the way there and back and for a
	// busy core. Times are milliseconds.
	marginShare = 0.1
	leastMargin = 5
	mostMargin  = 25
	// lastMoment before the end of its time no further attempt of a request goes out.
	lastMoment = 1
	// overdueBy is how long past that the module may leave a request without an answer before the router gives one.
	overdueBy = 10
	// mailboxRoom is far more than the module ever has to say to one request at once.
	mailboxRoom = 16
)

// Serve takes one request from its arrival to its final answer. The module says what to do next at every turn; ctx
// ends when the client no longer waits.
func (r *Router) Serve(ctx context.Context, q Request) (answer Answer) {
	r.Counters.Taken.Add(1)
	defer func() { r.count(q.Class, answer.Verdict) }()
	mail := make(chan rules.Action, mailboxRoom)
	end := q.Arrived + q.Allow - min(max(marginShare*q.Allow, leastMargin), mostMargin)
	late, lateTimer := r.clock.Alarm(end + overdueBy - r.clock.Now())
	defer lateTimer.Stop()
	r.mu.Lock()
	_, twice := r.mail[q.ID]
	keyless := r.keyed[q.Class] && q.Key == ""
	if !twice && !keyless {
		r.mail[q.ID] = mail
		r.take(rules.Event{Kind: rules.Request, Call: q.ID, Class: q.Class, Tenant: q.Tenant, Object: q.Object, Part: q.Part, Group: q.Group,
			SizeKb: q.SizeKb, ExpiresIn: clock.Micros(end - r.clock.Now())})
	}
	r.mu.Unlock()
	// Guards the first request of an id, whose answer must not go to the second; and a class that has got keys since the front
	// read this request by older settings: its servers could not tell a repeat.
	if twice || keyless {
		r.Counters.Failed.Add(1)
		return Answer{Verdict: Failed}
	}
	defer func() {
		r.mu.Lock()
		delete(r.mail, q.ID)
		r.mu.Unlock()
	}()

	// What is out for this request: never more than one attempt.
	var (
		call    Call
		done    <-chan End
		timeout <-chan struct{}
		timer   *clock.Timer
		sentAt  float64
		server  string
		number  = -1
	)
	// What has happened and is not dealt with yet.
	var (
		timedOut, overdue bool
		word              *rules.Action // the module's
	)
	over := func(e End) { // books the end of the attempt that is out
		timer.Stop()
		call, done, timeout, timedOut = nil, nil, nil, false
		r.report(e.Load, rules.Event{Kind: rules.Outcome, Call: q.ID, Attempt: number, Node: server, Code: e.Code, Note: e.Note,
			Rtt: clock.Micros(r.clock.Now() - sentAt), UpstreamWait: clock.Micros(e.Waited), Final: e.Code == rules.Done})
	}
	giveUp := func() {
		if call != nil {
			timer.Stop()
			call.Drop(false)
		}
	}
	abandon := func() { // ends the request on the module's side
		giveUp()
		r.step(rules.Event{Kind: rules.Gone, Call: q.ID})
	}
	for {
		var e End
		ended := false
		if word == nil {
			select {
			case e = <-done:
				ended = true
			case <-ctx.Done():
			case <-r.finish:
			case <-late:
				overdue = true
			case <-timeout:
				timedOut = true
			case a := <-mail:
				word = &a
			}
		}
		if !ended {
			e, ended = take(done)
		}
		overdue = overdue || rung(late)
		timedOut = timedOut || rung(timeout)
		// Of what has happened the first in this order counts. An attempt's end comes first: it may be the answer, and no
		// time-out makes it one that is still out. After it come all that forbid a further attempt, then what may bring one.
		switch {
		case ended:
			over(e)
			switch {
			case e.Code == rules.Done && ctx.Err() != nil:
				r.Counters.Gone.Add(1)
				return Answer{}
			case e.Code == rules.Done:
				r.Counters.Served.Add(1)
				return Answer{Verdict: Served, Body: e.Body, Same: e.Same}
			}
		case ctx.Err() != nil:
			abandon()
			r.Counters.Gone.Add(1)
			return Answer{}
		case rung(r.finish):
			abandon()
			r.Counters.Failed.Add(1)
			return Answer{Verdict: Failed}
		case overdue: // guards the one answer that is owed against a module that gave none
			abandon()
			r.Counters.Overdue.Add(1)
			r.Counters.Failed.Add(1)
			r.log.Error().Str("request", q.ID).Msg("module gave no answer in time")
			return Answer{Verdict: Failed}
		case timedOut:
			call.Drop(r.clock.Now() < end-lastMoment)
			over(End{Code: rules.TimedOut})
		case word != nil:
			a := *word
			word = nil
			switch a.Kind {
			case rules.Get:
				try := Attempt{Request: &q, Server: a.Node, Patience: clock.Millis(a.TimeOut), Within: clock.Millis(a.Within), Effects: a.Effects}
				if a.Source != "" {
					try.Keep, try.MaxAge, try.How = a.Keep, clock.Millis(a.MaxAge), a.How
				}
				if a.Source != a.Node {
					try.Source = a.Source
				}
				number++
				server, sentAt = a.Node, r.clock.Now()
				timeout, timer = r.clock.Alarm(min(try.Patience, max(end-sentAt, 0)))
				call = r.upstream.Send(try)
				done = call.Done()
				r.Counters.Sent.Add(1)
			case rules.Cancel:
				if call != nil && a.Attempt == number {
					call.Drop(true)
					over(End{Code: rules.Cancelled})
				}
			case rules.Refuse:
				giveUp()
				r.Counters.Refused.Add(1)
				return Answer{Verdict: Refused, RetryAfter: clock.Millis(a.RetryAfter)}
			case rules.Fail:
				giveUp()
				r.Counters.Failed.Add(1)
				return Answer{Verdict: Failed}
			}
		}
	}
}

// take receives what is ready on c; ok is false where nothing is.
func take[T any](c <-chan T) (v T, ok bool) {
	select {
	case v, ok = <-c:
		return v, ok
	default:
		return v, false
	}
}

// rung tells whether c has brought something, or is closed.
func rung(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
