package rules

// What follows when an attempt ends, or does not.

// Times are microseconds; the rest are ratios or counts.
const (
	silentAnswers = 8     // answers due and none come: silent (by chance under 1 in 1000)
	silentCheck   = 0.5   // time between looks for silence, in aims
	silentAims    = 4     // aims without an answer: silent, however few were due
	leastAim      = 0.05  // an aim counts as this share of the deadline at least
	tailUp        = 0.2   // step of the tail of answer times at an answer past it
	tailDown      = 0.004 // and at any other: 98 of 100 answers stay under it
	tailStart     = 4.0   // the tail at the start, in usual times
	tailRoom      = 1.5   // times the tail that a first answer may take: then it is lost
	lostAnswers   = 3     // answers of its cache meanwhile, or it is no lone loss
	lostShare     = 0.03  // share of requests that may be called back as lost: no storm in a jam
	lostMost      = 5     // of them saved up
	tailBase      = 0.25  // share of the promise that a usual time holds besides the sending time
	doubtsMost    = 2     // caches that give a bare error: then it is the request, not they
	keyedMargin   = 0.9   // share of the memory span within which a keyed request goes again
	retryAims     = 0.12  // least retry-after in aims, up to twice that: a try in time still earns
)

// mayRun reports that an attempt with this outcome may have had its effect.
func mayRun(c Code) bool { return c != Busy && c != Refused && c != Skipped && c != Miss }

// window is for how long q may be sent: what may have run goes again only as its class allows.
func (r *Router) window(q *request) int64 {
	c := &r.set.Classes[q.class]
	switch {
	case q.ranNode == nil || c.Idempotency == "read_like":
		return q.deadline - r.now
	case c.Idempotency != "idempotency_key":
		return 0
	}
	return min(int64(keyedMargin*float64(c.MemorySpan))-(r.now-q.ranAt), q.deadline-r.now)
}

// sameGroup reports that n drops repeats of what q may have run before.
func (r *Router) sameGroup(q *request, n *node) bool {
	c := &r.set.Classes[q.class]
	if q.ranNode == nil || c.Idempotency == "read_like" || c.Group == "all" {
		return true
	}
	return n == q.ranNode || c.Group == "zone" && n.zone == q.ranNode.zone ||
		c.Group == "cell" && n.zone == q.ranNode.zone && n.cell == q.ranNode.cell
}

// end gives the final answer: a refusal where trying again is harmless, else a failure.
func (r *Router) end(q *request) {
	c := &r.set.Classes[q.class]
	r.drop(q.Call)
	harmless := c.Idempotency == "read_like" || c.Idempotency == "idempotency_key" && c.Group == "all"
	if q.ranNode != nil && !harmless {
		r.act(Action{Kind: Fail, Call: q.Call})
		return
	}
	wait := min(int64(retryAims*float64(c.Promise)*(1+r.rng.Float64())), r.set.Permissions.MaxRetryAfter)
	r.act(Action{Kind: Refuse, Call: q.Call, RetryAfter: wait})
}

// outcome books how an attempt ended and decides what follows.
func (r *Router) outcome(ev *Event) {
	q := r.requests[ev.Call]
	if q == nil || !q.out || ev.Attempt != q.attempts-1 {
		return
	}
	a := q.cur
	r.settle(q)
	if ev.Code == Cancelled && (a.silent || a.lost) {
		ev.Code = TimedOut
	}
	if i := r.hasX0; i >= 0 && i < len(ev.Metrics) && a.node.role == roleCache {
		a.node.missPart = min(max(1-ev.Metrics[i], 0), 1)
	}
	if i := r.hasX1; i >= 0 && i < len(ev.Metrics) && a.node.role == roleCache {
		r.linkUse += linkStep * (ev.Metrics[i] - r.linkUse)
	}
	r.adapt(q, &a, ev)
	bad := r.blame(q, &a, ev)
	r.judge(q, &a, ev, bad)
	if ev.Final {
		r.drop(q.Call)
		return
	}
	if mayRun(ev.Code) && q.ranNode == nil {
		q.ranAt, q.ranNode = a.at, a.node
	}
	switch {
	case len(q.doubts) >= doubtsMost:
		r.drop(q.Call)
		r.act(Action{Kind: Fail, Call: q.Call})
		return
	case q.held: // nothing held: a source that may not have been picked yet, else a refusal
		q.held, q.missed = false, true
		if ev.Code != Miss && ev.Code != Busy {
			q.cache, q.tried = nil, append(q.tried, a.node)
		}
		if len(q.sources)+q.looked == 0 && (q.attempts > 1 || q.full) {
			r.end(q)
			return
		}
	case a.fills && !a.deep && ev.Note == 8 && q.looked == 0: // what it lacks may be asked for, now known
		q.cache, q.looked, q.held = a.node, 1, !q.wasHeld && at(r.set.Extra.FreshFor, q.class) > 0
	case a.fills && a.node.role == roleCache && (bad != nil && bad != a.node || ev.Note == 9 ||
		ev.Code == Miss || ev.Code == TimedOut && bad == nil || r.sourceFull(&a, ev)):
		q.cache, q.held = a.node, !q.wasHeld
		if ev.Note != 9 {
			q.sources = append(q.sources, a.source)
		} else if q.wasHeld { // no place for it here, from no source: a jam, not to be fed
			r.end(q)
			return
		}
	case a.node.role == roleCache:
		q.cache, q.tried = nil, append(q.tried, a.node)
	default:
		q.sources = append(q.sources, a.node)
	}
	r.dispatch(q)
}

// settle takes an attempt off the books.
func (r *Router) settle(q *request) {
	if q == nil || !q.out {
		return
	}
	q.out = false
	r.occupy(q.cur.node, q.account, -1)
	for _, b := range q.cur.trials { // a trial that tells nothing is given back
		b.trial = false
	}
	if q.cur.fills {
		r.occupy(q.cur.source, q.account, -1)
	}
	if q.cur.deep {
		r.occupy(&r.behind, q.account, -1)
		r.asked -= q.looked
	}
}

// usual is how long an answer to q takes where nothing is amiss, roughly.
func (r *Router) usual(q *request) float64 {
	return r.sending(q) + tailBase*float64(r.set.Classes[q.class].Promise)
}

// lost reports that the first answer to q is later than almost all others lately, and alone with that.
func (r *Router) lost(q *request) bool {
	a, elapsed := &q.cur, float64(r.now-q.cur.at)
	slow := a.fills && r.now-r.behind.cutAt < rateSpan // fills are late at present
	return !slow && q.attempts == 1 && elapsed >= tailRoom*r.tail[q.class]*r.usual(q) && r.spare >= 1 &&
		r.set.Classes[q.class].Idempotency == "read_like" && a.node.answered-a.nodeHad >= lostAnswers
}

func (r *Router) watch(q *request) {
	r.token++
	r.watched[r.token] = q
	c := &r.set.Classes[q.class]
	look := silentCheck * max(float64(c.Promise), leastAim*float64(c.Deadline))
	if early := tailRoom*r.tail[q.class]*r.usual(q) - float64(r.now-q.cur.at); q.attempts == 1 && early > 0 {
		look = min(look, early)
	}
	r.act(Action{Kind: SetTimer, In: int64(look) + 1, Token: r.token})
}

// timer calls an attempt back when nothing came from its cache, or its source, while answers were due.
func (r *Router) timer(token int64) {
	q := r.watched[token]
	delete(r.watched, token)
	if token == 0 {
		r.act(Action{Kind: Subscribe, On: true})
	}
	if q == nil || !q.out || r.requests[q.Call] != q || q.started {
		return
	}
	a := &q.cur
	if !a.lost && r.set.Permissions.Cancelling && r.lost(q) {
		r.spare--
		a.lost = true
		r.act(Action{Kind: Cancel, Call: q.Call, Attempt: q.attempts - 1})
		return
	}
	if r.silent(q, a.node, a.nodeHad, a.at) || a.fills && r.silent(q, a.source, a.sourceHad, a.at) {
		unsafe := r.set.Classes[q.class].Idempotency == "non_idempotent"
		if !a.silent && r.set.Permissions.Cancelling && !unsafe {
			r.act(Action{Kind: Cancel, Call: q.Call, Attempt: q.attempts - 1})
		}
		a.silent = true
		return
	}
	r.watch(q)
}

// silent reports that n answered nothing to anyone since an attempt was sent though it should have.
func (r *Router) silent(q *request, n *node, had float64, since int64) bool {
	elapsed := float64(r.now - since)
	due := n.answers.rate(r.now, rateSpan) * elapsed
	return n.answered-had < 1 && (due >= silentAnswers || elapsed >= silentAims*r.aim(q))
}
