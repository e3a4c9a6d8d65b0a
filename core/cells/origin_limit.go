package cells

import (
	"math"

	"spantack/core/originlimit"
	"spantack/routing"
)

const (
	initialOriginFraction = 0.15 // of fills' attempts that reach the origin, before any was seen
	originFractionStep    = 0.01 // weight of a new sample
	minOriginFraction     = 0.02 // assumed at least: a surge of new objects can't be foreseen
	announceStep          = 0.05 // relative change of the limit that the engine is told of
	minAnnounced          = 0.01 // as 0 stands for no limit
	maxAbandoned          = 4096 // abandoned fetches that are counted: far above any limit
)

// originGate tells the engine how many fills in flight may reach the origin.
type originGate struct {
	*shared
	limiter         *originLimiter // nil: no document is in force
	assignmentLimit float64        // this router's part of the assignment's limit on fills; 0: none
	lease           float64        // fills that the fleet's limit grants this router; 0: there is no such limit
	announced       float64        // limit on attempts that the engine was told last
}

// originLimiter estimates how many fetches from the origin are in flight, and adapts a limit on them. An attempt that
// names a source reaches the origin only where edge cache and parent both lack the object, which is not known before
// it ends. So an attempt in flight counts with the fraction of those before that reached the origin. One that ended
// without an answer counts as a complete fetch for as long as the parent may go on with it.
type originLimiter struct {
	document       originlimit.Document
	limit          *originlimit.Limit
	originFraction float64         // of fills' attempts that reached the origin recently
	inFlight       map[string]bool // request IDs of attempts that may reach the origin; true: directly
	directInFlight int             // those that go to the origin directly
	abandonedUntil []int64         // microseconds, ascending: when abandoned fetches are taken to end
}

// SetOriginLimit puts a limit on fetches from the origin in force, or with nil none. An invalid document changes
// nothing.
func (a *Admission) SetOriginLimit(now int64, document *originlimit.Document) error {
	return a.origin.setDocument(now, document)
}

// SetOriginFillQuota limits the fills that are known to reach the origin, as their source was found not to have the
// object, to this router's lease of the fleet's limit (core/fleet). 0: there is no such limit.
func (a *Admission) SetOriginFillQuota(now int64, maxFills float64) {
	if maxFills != a.origin.lease {
		a.origin.lease = maxFills
		a.origin.announce(now)
	}
}

// OriginLimitStatus is the state of the origin limit at this router.
type OriginLimitStatus struct {
	Limit          float64 // fetches from the origin that this router may have in flight
	Share          float64 // this router's part of the document's limit
	InFlight       int     // attempts that may reach the origin
	Abandoned      int     // fetches that parents are taken to go on with, though nobody waits for them
	OriginFraction float64 // of fills' attempts that reached the origin recently
}

// OriginLimitStatus describes the origin limit; nil without one.
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
			g.announce(now)
		}
		return nil
	}
	if g.limiter != nil && g.limiter.document == *document {
		return nil // what it has learned is kept
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
	g.announce(now)
	return nil
}

// setAssignmentLimit takes over the assignment's limit on fills that may reach the origin, of all routers; 0: none.
func (g *originGate) setAssignmentLimit(now int64, maxFills int) {
	g.assignmentLimit = float64(maxFills) / float64(g.fleetSize())
	g.announce(now)
}

// announce tells the engine the limits.
func (g *originGate) announce(now int64) { g.send(now, g.maxAttempts(now)) }

// announceChange tells the engine the limits if the document's has changed by more than announceStep.
func (g *originGate) announceChange(now int64) {
	if g.limiter == nil {
		return
	}
	limit := g.maxAttempts(now)
	if math.Abs(limit-g.announced) > announceStep*g.announced {
		g.send(now, limit)
	}
}

func (g *originGate) send(now int64, limit float64) {
	g.announced = limit
	g.engine.Step(now, []routing.Event{{
		Kind:                    routing.EventOriginFillBounds,
		MaxPotentialOriginFills: limit,
		MaxConfirmedOriginFills: g.lease,
	}})
}

// maxAttempts returns how many attempts may be in flight that may reach the origin, by the document and the assignment;
// 0: no limit.
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

// maxAttempts updates the estimate of fetches in flight and returns how many attempts they leave the limit for.
func (l *originLimiter) maxAttempts(now int64) float64 {
	for len(l.abandonedUntil) > 0 && l.abandonedUntil[0] <= now {
		l.abandonedUntil = l.abandonedUntil[1:]
	}
	fraction := max(l.originFraction, minOriginFraction)
	certain := float64(len(l.abandonedUntil) + l.directInFlight)
	possible := float64(len(l.inFlight) - l.directInFlight)
	l.limit.SetInFlight(int(math.Round(possible*fraction + certain)))
	free := max(l.limit.Current()*(1-l.document.Reserve)-certain, 0)
	return max(minAnnounced, free/fraction)
}

// recordAttempts notes attempts that may reach the origin.
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

// mayReachOrigin reports whether an action sends an attempt that may fill from another server's source.
func mayReachOrigin(action *routing.Action) bool {
	return action.Kind == routing.ActionSend && action.Source != "" && action.Source != action.Server &&
		action.FetchFlags&routing.FetchCachedOnly == 0
}

// start counts an attempt.
func (l *originLimiter) start(requestID string, isDirect bool) {
	l.inFlight[requestID] = isDirect
	if isDirect {
		l.directInFlight++
	}
}

// observeAttempt learns from the end of an attempt or request.
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

// isUnanswered reports whether an attempt ended without an answer.
func isUnanswered(event *routing.Event) bool {
	return event.Kind != routing.EventOutcome ||
		event.Outcome == routing.OutcomeTimedOut || event.Outcome == routing.OutcomeCanceled
}

// abandon counts an attempt without an answer as a fetch that goes on. It does not change originFraction: the slow
// fetches are among these attempts.
func (l *originLimiter) abandon(now int64, millis float64, event *routing.Event) {
	if len(l.abandonedUntil) < maxAbandoned {
		l.abandonedUntil = append(l.abandonedUntil, now+int64(l.document.AbandonedFetchMs*1000))
	}
	if event.Outcome == routing.OutcomeTimedOut {
		l.limit.Complete(millis, float64(event.ResponseTime)/1000, true)
	}
}

// learn takes in an answered attempt that named a parent.
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

// complete tells the limit how long the origin took.
func (l *originLimiter) complete(millis float64, event *routing.Event, hasFailed bool) {
	l.limit.Complete(millis, float64(event.UpstreamWait)/1000, hasFailed)
}
