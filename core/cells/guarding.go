package cells

import (
	"math"

	"spantack/core/originlimit"
	"spantack/routing"
)

// originLimiter bounds what this router's fills may ask of the head office. An attempt that names a source asks the head office only where cache
// and area cache both lack the object, which nobody can tell before it has ended. So what is out there is reckoned: the attempts
// out by the part of those before that came to it, and each that was given up without an answer whole, for as long as an area cache may go on
// with it. rules then has no more attempts out that might ask it than leave the limit kept; past that only held copies are asked for.
type originLimiter struct {
	document       originlimit.Document
	limit          *originlimit.Limit
	originFraction float64         // part of fills' attempts that came to the head office
	inFlight       map[string]bool // calls whose attempt may ask it; true: asks it straight
	directInFlight int             // those that ask it straight
	abandonedUntil []int64         // when those that were given up are reckoned to be over, in order
	announced      float64         // told to rules last
}

const (
	initialOriginFraction = 0.15 // part of attempts with a source that ask the head office, before any was seen
	originFractionStep    = 0.01
	minOriginFraction     = 0.02 // reckoned with at least: a surge of new objects is not foreseen
	announceStep          = 0.05 // change of the cap that rules is told of
	minAnnounced          = 0.01 // 0 would stand for none
	maxAbandoned          = 4096 // fetches given up that are kept count of: far past any limit
)

// SetOriginLimit puts a limit at the head office in force, or with nil none. A document that can't be used changes nothing.
func (m *Admission) SetOriginLimit(now int64, d *originlimit.Document) error {
	if d == nil {
		if m.originLimit != nil {
			m.originLimit = nil
			m.announceOriginLimit(now, true)
		}
		return nil
	}
	if m.originLimit != nil && m.originLimit.document == *d {
		return nil // what fills have told stays
	}
	terms, law, err := d.Config(max(m.settings.FleetSize, 1))
	if err != nil {
		return err
	}
	limit, err := originlimit.New(terms, law)
	if err != nil {
		return err
	}
	m.originLimit = &originLimiter{document: *d, limit: limit, originFraction: initialOriginFraction, inFlight: map[string]bool{}}
	m.announceOriginLimit(now, true)
	return nil
}

// recordOriginAttempts notes attempts that may ask the head office.
func (m *Admission) recordOriginAttempts(acts []routing.Action) {
	if m.originLimit == nil {
		return
	}
	for i := range acts {
		if a := &acts[i]; a.Kind == routing.ActionSend && a.Source != "" && a.Source != a.Server && a.FetchFlags&routing.FetchCachedOnly == 0 {
			_, area := m.parentServers[a.Source]
			m.originLimit.inFlight[a.RequestID] = !area
			if !area {
				m.originLimit.directInFlight++
			}
		}
	}
}

// observeOriginAttempt learns from the end of an attempt, or of a request.
func (m *Admission) observeOriginAttempt(now int64, ev *routing.Event) {
	g := m.originLimit
	if g == nil {
		return
	}
	straight, known := g.inFlight[ev.RequestID]
	if !known {
		return
	}
	delete(g.inFlight, ev.RequestID)
	if straight {
		g.directInFlight--
	}
	unanswered := ev.Kind != routing.EventOutcome || ev.Outcome == routing.OutcomeTimedOut || ev.Outcome == routing.OutcomeCanceled
	was := 0.0
	switch at := m.documentMillis(now); {
	case unanswered:
		if len(g.abandonedUntil) < maxAbandoned {
			g.abandonedUntil = append(g.abandonedUntil, now+int64(g.document.AbandonedFetchMs*1000))
		}
		if ev.Outcome == routing.OutcomeTimedOut {
			g.limit.Complete(at, float64(ev.ResponseTime)/1000, true)
		}
		return // it tells nothing of what part asks the head office: the slow ones are among these
	case straight:
		if ev.CacheStatus == noteFilledBySource {
			g.limit.Complete(at, float64(ev.UpstreamWait)/1000, false)
		}
		return
	case ev.CacheStatus == noteFilledByOrigin:
		was = 1
		g.limit.Complete(at, float64(ev.UpstreamWait)/1000, false)
	case ev.CacheStatus == noteOriginFailed:
		was = 1
		g.limit.Complete(at, float64(ev.UpstreamWait)/1000, true)
	}
	g.originFraction += originFractionStep * (was - g.originFraction)
}

// announceOriginLimit tells rules how many attempts that may ask the head office may be out: by the shield, and by the assignment's own bound.
func (m *Admission) announceOriginLimit(now int64, always bool) {
	g := m.originLimit
	if g == nil && !always {
		return
	}
	most := 0.0 // none
	if m.spec != nil {
		most = float64(m.spec.Budget.MaxOriginFills) / float64(max(m.settings.FleetSize, 1))
	}
	if g != nil {
		for len(g.abandonedUntil) > 0 && g.abandonedUntil[0] <= now {
			g.abandonedUntil = g.abandonedUntil[1:]
		}
		part := max(g.originFraction, minOriginFraction)
		gone := float64(len(g.abandonedUntil) + g.directInFlight)
		g.limit.SetInFlight(int(math.Round(float64(len(g.inFlight)-g.directInFlight)*part + gone)))
		free := max(minAnnounced, max(g.limit.Current()*(1-g.document.Reserve)-gone, 0)/part)
		if most == 0 || free < most {
			most = free
		}
		if !always && math.Abs(most-g.announced) <= announceStep*g.announced {
			return
		}
		g.announced = most
	}
	m.engine.Step(now, []routing.Event{{Kind: routing.EventSubset, MaxPossibleOriginFills: most, MaxConfirmedOriginFills: m.originFillLease}})
}

// SetOriginFillLease bounds the fills that ask the head office by what this router holds of a limit that the whole fleet keeps: core/fleet. Each is known to
// ask before it does, as its source was looked at first. 0: there is no such limit.
func (m *Admission) SetOriginFillLease(now int64, most float64) {
	if most != m.originFillLease {
		m.originFillLease = most
		m.announceOriginLimit(now, true)
	}
}

// Parents names the listed area caches, and those of them that breakers keep this router off.
func (m *Admission) Parents(now int64) (all, shut []string) { return m.engine.Parents(now) }

// ConfirmedOriginFills is how many such fills are out.
func (m *Admission) ConfirmedOriginFills() int { return m.engine.ConfirmedOriginFills() }

// OriginLimitStatus is how the shield stands at a router.
type OriginLimitStatus struct {
	Limit, Share   float64 // fills that it may have at the head office; and what its part of the document's limit is
	InFlight       int     // attempts out that may ask the head office
	Abandoned      int     // fetches that area caches are reckoned to go on with, though nobody waits
	OriginFraction float64 // part of fills' attempts that came to the head office of late
}

// OriginLimitStatus tells how the shield stands, nil without one.
func (m *Admission) OriginLimitStatus() *OriginLimitStatus {
	g := m.originLimit
	if g == nil {
		return nil
	}
	return &OriginLimitStatus{Limit: g.limit.Current(), Share: g.document.MaxInFlight / float64(max(m.settings.FleetSize, 1)), InFlight: len(g.inFlight), Abandoned: len(g.abandonedUntil), OriginFraction: g.originFraction}
}
