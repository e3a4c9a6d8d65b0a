package cells

import (
	"math"

	"spantack/core/originlimit"
	"spantack/routing"
)

const (
	initialOriginFraction = 0.15 // initial estimate of the fraction of fill attempts that reach the origin
	originFractionStep    = 0.01 // weight of a new sample in the estimate of that fraction
	minOriginFraction     = 0.02 // used if the estimate is lower, since a surge of new objects can't be predicted
	minSentChange         = 0.05 // a changed limit is sent to the engine if its relative change exceeds this
	minSentLimit          = 0.01 // minimum limit sent to the engine, as 0 means no limit
	maxAbandoned          = 4096 // maximum number of abandoned fetches tracked; meant to be far above any limit
)

// originGate sets the engine's limits on fills in flight that may reach the origin.
type originGate struct {
	*shared
	limiter         *originLimiter // nil: no document is in force
	assignmentLimit float64        // this router's part of the assignment's limit on fills; 0: no limit
	quota           float64        // confirmed origin fills that the fleet limit grants this router; 0: no limit
	sentLimit       float64        // limit on attempts that was last sent to the engine
}

// originLimiter estimates how many fetches from the origin are in flight, and adapts a limit on them. An attempt causes
// a fill if the edge cache does not have the object. A fill from a parent causes a fetch from the origin if the parent
// does not have the object either. Whether an attempt causes a fetch is known only when the attempt ends. Until then,
// an attempt that may fill from a parent counts as a fraction of a fetch: the fraction of recent such attempts that
// reached the origin. An attempt that may fill directly from the origin counts as a whole fetch. An attempt that ended
// without a response also counts as a whole fetch, for as long as the parent may continue its fetch.
type originLimiter struct {
	document       originlimit.Document
	limit          *originlimit.Limit
	originFraction float64         // fraction of recent fill attempts that reached the origin
	inFlight       map[string]bool // attempts that may reach the origin, by request ID; true: the source is the origin
	directInFlight int             // number of attempts in flight whose source is the origin
	abandonedUntil []int64         // assumed end times of abandoned fetches, microseconds, ascending
}

// SetOriginLimit applies a limit on fetches from the origin, or with nil removes it. If the document is invalid, it
// returns an error and keeps the current limit.
func (a *Admission) SetOriginLimit(now int64, document *originlimit.Document) error {
	return a.origin.setDocument(now, document)
}

// SetOriginFillQuota limits this router's confirmed origin fills to its quota of the fleet limit (core/fleet).
// Confirmed origin fills are known to reach the origin, because their source does not have the object. 0 means no
// limit.
func (a *Admission) SetOriginFillQuota(now int64, maxFills float64) {
	if maxFills != a.origin.quota {
		a.origin.quota = maxFills
		a.origin.sendLimits(now)
	}
}

// OriginLimitStatus is the state of the origin limit at this router.
type OriginLimitStatus struct {
	Limit          float64 // limit on this router's fetches from the origin in flight
	Share          float64 // this router's part of the document's limit
	InFlight       int     // attempts in flight that may reach the origin
	Abandoned      int     // fetches that parents are assumed to continue though their attempts have ended
	OriginFraction float64 // fraction of recent fill attempts that reached the origin
}

// OriginLimitStatus returns the state of the origin limit, or nil without a limit.
func (a *Admission) OriginLimitStatus() *OriginLimitStatus {
	limiter := a.origin.limiter
	if limiter == nil {
		return nil
	}
	return &OriginLimitStatus{
		Limit:          limiter.limit.Current(),
		Share:          limiter.document.MaxInFlight / float64(a.fleetSize()),
		InFlight:       len(limiter.inFlight),
		Abandoned:      len(limiter.abandonedUntil),
		OriginFraction: limiter.originFraction,
	}
}

func (g *originGate) setDocument(now int64, document *originlimit.Document) error {
	if document == nil {
		if g.limiter != nil {
			g.limiter = nil
			g.sendLimits(now)
		}
		return nil
	}
	if g.limiter != nil && g.limiter.document == *document {
		return nil // keep the adapted limit and the estimates
	}
	config, algorithm, err := document.Config(g.fleetSize())
	if err != nil {
		return err
	}
	limit, err := originlimit.New(config, algorithm)
	if err != nil {
		return err
	}
	g.limiter = &originLimiter{
		document:       *document,
		limit:          limit,
		originFraction: initialOriginFraction,
		inFlight:       map[string]bool{},
	}
	g.sendLimits(now)
	return nil
}

// setAssignmentLimit applies the assignment's limit on fills that may reach the origin. maxFills is the limit for all
// routers together. 0 means no limit.
func (g *originGate) setAssignmentLimit(now int64, maxFills int) {
	g.assignmentLimit = float64(maxFills) / float64(g.fleetSize())
	g.sendLimits(now)
}

// sendLimits sends the limits to the engine.
func (g *originGate) sendLimits(now int64) { g.send(now, g.maxAttempts(now)) }

// sendIfChanged sends the limits to the engine if the limit on attempts has changed by more than minSentChange.
func (g *originGate) sendIfChanged(now int64) {
	if g.limiter == nil {
		return
	}
	limit := g.maxAttempts(now)
	if math.Abs(limit-g.sentLimit) > minSentChange*g.sentLimit {
		g.send(now, limit)
	}
}

func (g *originGate) send(now int64, limit float64) {
	g.sentLimit = limit
	g.engine.Step(now, []routing.Event{{
		Kind:                    routing.EventOriginFillBounds,
		MaxPotentialOriginFills: limit,
		MaxConfirmedOriginFills: g.quota,
	}})
}

// maxAttempts returns the limit on attempts in flight that may reach the origin: the lower of the limits that the
// document and the assignment allow. 0 means no limit.
func (g *originGate) maxAttempts(now int64) float64 {
	if g.limiter == nil {
		return g.assignmentLimit
	}
	limit := g.limiter.maxAttempts(now)
	if g.assignmentLimit == 0 {
		return limit
	}
	return min(limit, g.assignmentLimit)
}

// maxAttempts updates the estimate of fetches in flight. It returns the number of attempts in flight that the limit
// allows, at least minSentLimit.
func (l *originLimiter) maxAttempts(now int64) float64 {
	for len(l.abandonedUntil) > 0 && l.abandonedUntil[0] <= now {
		l.abandonedUntil = l.abandonedUntil[1:]
	}
	fraction := max(l.originFraction, minOriginFraction)
	certain := float64(len(l.abandonedUntil) + l.directInFlight)
	possible := float64(len(l.inFlight) - l.directInFlight)
	l.limit.SetInFlight(int(math.Round(possible*fraction + certain)))
	free := max(l.limit.Current()*(1-l.document.Reserve)-certain, 0)
	return max(minSentLimit, free/fraction)
}

// recordAttempts records started attempts that may reach the origin.
func (g *originGate) recordAttempts(actions []routing.Action) {
	if g.limiter == nil {
		return
	}
	for i := range actions {
		if action := &actions[i]; mayReachOrigin(action) {
			_, isParent := g.endpoints.parents[action.Source]
			g.limiter.start(action.RequestID, !isParent)
		}
	}
}

// mayReachOrigin reports whether an action starts an attempt that may fill from a source other than its server.
func mayReachOrigin(action *routing.Action) bool {
	return action.Kind == routing.ActionSend && action.Source != "" && action.Source != action.Server &&
		action.FetchFlags&routing.FetchCachedOnly == 0
}

// start records an attempt in flight.
func (l *originLimiter) start(requestID string, isDirect bool) {
	l.inFlight[requestID] = isDirect
	if isDirect {
		l.directInFlight++
	}
}

// observeAttempt updates the counts and estimates at the end of an attempt or request.
func (g *originGate) observeAttempt(now int64, event *routing.Event) {
	l := g.limiter
	if l == nil {
		return
	}
	isDirect, isCounted := l.inFlight[event.RequestID]
	if !isCounted {
		return
	}
	delete(l.inFlight, event.RequestID)
	if isDirect {
		l.directInFlight--
	}
	switch {
	case isUnanswered(event):
		l.abandon(now, g.documentMillis(now), event)
	case isDirect:
		if event.CacheStatus == routing.FilledFromSource {
			l.complete(g.documentMillis(now), event, false)
		}
	default:
		l.learn(g.documentMillis(now), event)
	}
}

// isUnanswered reports whether an attempt ended without a response.
func isUnanswered(event *routing.Event) bool {
	return event.Kind != routing.EventOutcome ||
		event.Outcome == routing.OutcomeTimedOut || event.Outcome == routing.OutcomeCanceled
}

// abandon counts an attempt that ended without a response as a fetch that continues. It does not update originFraction,
// because some of these attempts are slow fetches from the origin and must not count as attempts that did not reach it.
func (l *originLimiter) abandon(now int64, millis float64, event *routing.Event) {
	if len(l.abandonedUntil) < maxAbandoned {
		l.abandonedUntil = append(l.abandonedUntil, now+int64(l.document.AbandonedFetchMs*1000))
	}
	if event.Outcome == routing.OutcomeTimedOut {
		l.limit.Complete(millis, float64(event.ResponseTime)/1000, true)
	}
}

// learn updates the limit and originFraction with the response to an attempt whose source is a parent.
func (l *originLimiter) learn(millis float64, event *routing.Event) {
	reachedOrigin := 0.0
	switch event.CacheStatus {
	case routing.FilledFromOrigin:
		reachedOrigin = 1
		l.complete(millis, event, false)
	case routing.OriginFailed:
		reachedOrigin = 1
		l.complete(millis, event, true)
	}
	l.originFraction += originFractionStep * (reachedOrigin - l.originFraction)
}

// complete reports the response time of the origin to the limit.
func (l *originLimiter) complete(millis float64, event *routing.Event, hasFailed bool) {
	l.limit.Complete(millis, float64(event.UpstreamWait)/1000, hasFailed)
}
