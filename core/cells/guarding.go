package cells

import (
	"math"

	"spantack/core/shield"
	"spantack/rules"
)

// guard bounds what this router's fills may ask of the head office. An attempt that names a source asks the head office only where cache
// and area cache both lack the object, which nobody can tell before it has ended. So what is out there is reckoned: the attempts
// out by the part of those before that came to it, and each that was given up without an answer whole, for as long as an area cache may go on
// with it. rules then has no more attempts out that might ask it than leave the limit kept; past that only held copies are asked for.
type guard struct {
	doc   shield.Document
	limit *shield.Limit
	deep  float64         // part of fills' attempts that came to the head office
	out   map[string]bool // calls whose attempt may ask it; true: asks it straight
	whole int             // those that ask it straight
	left  []int64         // when those that were given up are reckoned to be over, in order
	cap   float64         // told to rules last
}

const (
	deepAtFirst = 0.15 // part of attempts with a source that ask the head office, before any was seen
	deepStep    = 0.01
	deepLeast   = 0.02 // reckoned with at least: a surge of new objects is not foreseen
	capStep     = 0.05 // change of the cap that rules is told of
	leastCap    = 0.01 // 0 would stand for none
	mostLeft    = 4096 // fetches given up that are kept count of: far past any limit
)

// Shield puts a limit at the head office in force, or with nil none. A document that can't be used changes nothing.
func (m *Module) Shield(now int64, d *shield.Document) error {
	if d == nil {
		if m.guard != nil {
			m.guard = nil
			m.capBehind(now, true)
		}
		return nil
	}
	if m.guard != nil && m.guard.doc == *d {
		return nil // what fills have told stays
	}
	terms, law, err := d.Terms(max(m.set.FleetSize, 1))
	if err != nil {
		return err
	}
	limit, err := shield.New(terms, law)
	if err != nil {
		return err
	}
	m.guard = &guard{doc: *d, limit: limit, deep: deepAtFirst, out: map[string]bool{}}
	m.capBehind(now, true)
	return nil
}

// guards notes attempts that may ask the head office.
func (m *Module) guards(acts []rules.Action) {
	if m.guard == nil {
		return
	}
	for i := range acts {
		if a := &acts[i]; a.Kind == rules.ActionSend && a.Source != "" && a.Source != a.Server && a.FetchFlags&rules.FetchCachedOnly == 0 {
			_, area := m.above[a.Source]
			m.guard.out[a.RequestID] = !area
			if !area {
				m.guard.whole++
			}
		}
	}
}

// guarded learns from the end of an attempt, or of a request.
func (m *Module) guarded(now int64, ev *rules.Event) {
	g := m.guard
	if g == nil {
		return
	}
	straight, known := g.out[ev.RequestID]
	if !known {
		return
	}
	delete(g.out, ev.RequestID)
	if straight {
		g.whole--
	}
	unanswered := ev.Kind != rules.EventOutcome || ev.Outcome == rules.OutcomeTimedOut || ev.Outcome == rules.OutcomeCanceled
	was := 0.0
	switch at := m.millis(now); {
	case unanswered:
		if len(g.left) < mostLeft {
			g.left = append(g.left, now+int64(g.doc.LingerMs*1000))
		}
		if ev.Outcome == rules.OutcomeTimedOut {
			g.limit.Ended(at, float64(ev.ResponseTime)/1000, true)
		}
		return // it tells nothing of what part asks the head office: the slow ones are among these
	case straight:
		if ev.CacheStatus == noteFilled {
			g.limit.Ended(at, float64(ev.UpstreamWait)/1000, false)
		}
		return
	case ev.CacheStatus == noteDeep:
		was = 1
		g.limit.Ended(at, float64(ev.UpstreamWait)/1000, false)
	case ev.CacheStatus == noteRoot:
		was = 1
		g.limit.Ended(at, float64(ev.UpstreamWait)/1000, true)
	}
	g.deep += deepStep * (was - g.deep)
}

// capBehind tells rules how many attempts that may ask the head office may be out: by the shield, and by the assignment's own bound.
func (m *Module) capBehind(now int64, always bool) {
	g := m.guard
	if g == nil && !always {
		return
	}
	most := 0.0 // none
	if m.spec != nil {
		most = float64(m.spec.Budget.OriginOpen) / float64(max(m.set.FleetSize, 1))
	}
	if g != nil {
		for len(g.left) > 0 && g.left[0] <= now {
			g.left = g.left[1:]
		}
		part := max(g.deep, deepLeast)
		gone := float64(len(g.left) + g.whole)
		g.limit.Hold(int(math.Round(float64(len(g.out)-g.whole)*part + gone)))
		free := max(leastCap, max(g.limit.Now()*(1-g.doc.Reserve)-gone, 0)/part)
		if most == 0 || free < most {
			most = free
		}
		if !always && math.Abs(most-g.cap) <= capStep*g.cap {
			return
		}
		g.cap = most
	}
	m.rules.Step(now, []rules.Event{{Kind: rules.EventSubset, MaxPossibleOriginFills: most, MaxConfirmedOriginFills: m.lease}})
}

// Lease bounds the fills that ask the head office by what this router holds of a limit that the whole fleet keeps: core/fleet. Each is known to
// ask before it does, as its source was looked at first. 0: there is no such limit.
func (m *Module) Lease(now int64, most float64) {
	if most != m.lease {
		m.lease = most
		m.capBehind(now, true)
	}
}

// Sources names the listed area caches, and those of them that breakers keep this router off.
func (m *Module) Sources(now int64) (all, shut []string) { return m.rules.Parents(now) }

// Asking is how many such fills are out.
func (m *Module) Asking() int { return m.rules.ConfirmedOriginFills() }

// GuardNow is how the shield stands at a router.
type GuardNow struct {
	Limit, Share float64 // fills that it may have at the head office; and what its part of the document's limit is
	Out          int     // attempts out that may ask the head office
	GivenUp      int     // fetches that area caches are reckoned to go on with, though nobody waits
	Deep         float64 // part of fills' attempts that came to the head office of late
}

// GuardNow tells how the shield stands, nil without one.
func (m *Module) GuardNow() *GuardNow {
	g := m.guard
	if g == nil {
		return nil
	}
	return &GuardNow{Limit: g.limit.Now(), Share: g.doc.Most / float64(max(m.set.FleetSize, 1)), Out: len(g.out), GivenUp: len(g.left), Deep: g.deep}
}
