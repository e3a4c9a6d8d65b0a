// Package stages lets a release or a price file into cells ring by ring, and judges each ring against the cells that are still on the old
// version. Harm stops it.
//
// The guarantee: as long as bad events of ring and control come independently but for bursts as in the time before, a release that does no
// harm is stopped with probability Alpha at most, however long and however often one looks (Ville's inequality), all measures together.
//
// The package does no I/O and reads no clock: counts and times come in.
package stages

import (
	"errors"
	"fmt"
	"math"
)

// Measure is one kind of bad event.
type Measure int

// The measures.
const (
	Late     Measure = iota // answers without timely worth
	Failed                  // requests that failed
	FillBad                 // fills that failed
	measures                // how many there are
)

var measureNames = [measures]string{"late answers", "failures", "fill errors"}

func (m Measure) String() string { return measureNames[m] }

// Tally counts events of one side in one look: of N, so many were bad.
type Tally struct{ N, Bad float64 }

// Look is what ring and control did between two looks, by measure.
type Look struct{ Ring, Control [measures]Tally }

// Terms say how a ring is judged.
type Terms struct {
	Alpha  float64 // probability at most that a release without harm is stopped
	Beta   float64 // probability at most that harm of Least or more is called sound
	Least  float64 // smallest harm that matters: factor on the odds of a bad event
	Margin float64 // factor on those odds that is no harm: rings differ a little by themselves
}

// Check reports the first term that can't be used.
func (t *Terms) Check() error {
	switch {
	case !(t.Alpha > 0 && t.Alpha < 0.5):
		return fmt.Errorf("alpha: %v is not above 0 and under 0.5", t.Alpha)
	case !(t.Beta > 0 && t.Beta < 0.5):
		return fmt.Errorf("beta: %v is not above 0 and under 0.5", t.Beta)
	case !(t.Margin >= 1 && t.Margin < t.Least && t.Least <= 100):
		return errors.New("margin, least: 1 <= margin < least <= 100")
	}
	return nil
}

// Verdict is what the evidence says so far.
type Verdict int

// The verdicts.
const (
	Open  Verdict = iota // neither is shown yet
	Harm                 // some measure is worse in the ring
	Sound                // harm of Least or more is ruled out in every measure
)

var verdictNames = []string{"open", "harm", "sound"}

func (v Verdict) String() string { return verdictNames[v] }

// factors on the odds against which evidence is sought, each a bet of the same stake: small harm takes long, great harm must not.
var factors = [...]float64{1.25, 1.5, 2, 3, 5, 10}

// evidence of one measure. A bad event is the ring's with probability q: its odds by the numbers of events on both sides, times what they
// were before, times the margin; with harm times a factor besides. What the events of a look have for or against each factor is
// summed (Wald 1945), and betting on all of them at once gives a test that may be looked at at any time.
type evidence struct {
	before [2]Tally // ring and control, before the ring opened
	burst  float64  // how much more bad events vary than independent ones: at least 1
	spread float64  // sum of squared standardized differences, over looks, before
	looks  float64
	log    [len(factors)]float64
	least  float64 // the same for the smallest harm that matters
}

// Judge weighs a ring against its control. The zero value can't be used: NewJudge makes one.
type Judge struct {
	terms Terms
	of    [measures]evidence
	open  bool
}

// NewJudge returns a judge that has seen nothing.
func NewJudge(t Terms) (*Judge, error) {
	if err := t.Check(); err != nil {
		return nil, err
	}
	j := &Judge{terms: t}
	for i := range j.of {
		j.of[i].burst = 1
	}
	return j, nil
}

// Before takes in a look at the time before the ring is opened: how the two differ by themselves, and how much bad events come in bursts.
// It has no effect once Add has been called.
func (j *Judge) Before(l Look) {
	if j.open {
		return
	}
	for i := range j.of {
		e := &j.of[i]
		r, c := l.Ring[i], l.Control[i]
		e.before[0].add(r)
		e.before[1].add(c)
		if k := r.Bad + c.Bad; k > 0 && r.N > 0 && c.N > 0 {
			q := share(r.N, c.N, e.ratio())
			d := r.Bad - k*q
			e.spread += d * d / (k * q * (1 - q))
			e.looks++
		}
	}
}

func (t *Tally) add(o Tally) {
	t.N += o.N
	t.Bad += o.Bad
}

// prior events stand on each side for what is not known of odds: few bad events before must not fix a ratio of 0.
const prior = 2.0

// ratio of the odds of a bad event, ring to control, before.
func (e *evidence) ratio() float64 {
	r, c := e.before[0], e.before[1]
	if r.N == 0 || c.N == 0 {
		return 1
	}
	rate := (r.Bad + c.Bad + prior) / (r.N + c.N + prior)
	return ((r.Bad + prior) / (r.N + prior/rate)) / ((c.Bad + prior) / (c.N + prior/rate))
}

// doubt is the factor by which that ratio may be off, two standard errors.
func (e *evidence) doubt() float64 {
	r, c := e.before[0], e.before[1]
	return math.Exp(2 * math.Sqrt(e.burst*(1/(r.Bad+prior)+1/(c.Bad+prior))))
}

// mostDoubt bounds what doubt adds to the margin: a ring of which nothing was seen before is judged all the same.
const mostDoubt = 3.0

func clamp(q float64) float64 { return min(max(q, 1e-9), 1-1e-9) }

// share of bad events that the ring has, at a factor on its odds.
func share(ring, control, factor float64) float64 {
	return clamp(factor * ring / (factor*ring + control))
}

// begin fixes what was learnt before.
func (j *Judge) begin() {
	j.open = true
	for i := range j.of {
		if e := &j.of[i]; e.looks >= 5 {
			e.burst = max(e.spread/e.looks, 1)
		}
	}
}

// Add takes in a look at the time since the ring was opened.
func (j *Judge) Add(l Look) {
	if !j.open {
		j.begin()
	}
	for i := range j.of {
		e := &j.of[i]
		r, c := l.Ring[i], l.Control[i]
		k := r.Bad + c.Bad
		if !(r.N > 0 && c.N > 0 && k > 0) || r.Bad > r.N || c.Bad > c.N {
			continue
		}
		doubt := min(e.doubt(), mostDoubt)
		base := e.ratio() * j.terms.Margin * doubt
		q0 := share(r.N, c.N, base)
		for f, factor := range factors {
			e.log[f] += weigh(r.Bad, c.Bad, q0, share(r.N, c.N, base*factor)) / e.burst
		}
		low := e.ratio() / math.Sqrt(doubt) // by one standard error: what is called sound must be so if the ring was better before than it looked
		e.least += weigh(r.Bad, c.Bad, share(r.N, c.N, low), share(r.N, c.N, low*j.terms.Least)) / e.burst
	}
}

// weigh is the log of how much more likely what was seen is with q1 than with q0.
func weigh(ring, control, q0, q1 float64) float64 {
	return ring*math.Log(q1/q0) + control*math.Log((1-q1)/(1-q0))
}

// bet is the log of what an even stake on all factors has become.
func (e *evidence) bet() float64 {
	most := math.Inf(-1)
	for _, l := range e.log {
		most = max(most, l)
	}
	sum := 0.0
	for _, l := range e.log {
		sum += math.Exp(l - most)
	}
	return most + math.Log(sum/float64(len(e.log)))
}

// Verdict tells what the evidence says, and of harm in which measure.
func (j *Judge) Verdict() (Verdict, Measure) {
	sound := j.open
	for i := range j.of {
		e := &j.of[i]
		if e.bet() >= math.Log(float64(measures)/j.terms.Alpha) {
			return Harm, Measure(i)
		}
		sound = sound && e.least <= math.Log(j.terms.Beta)
	}
	if sound {
		return Sound, 0
	}
	return Open, 0
}

// Evidence is the log of the bet on a measure: of routers that saw different requests it may be summed, and the sum is judged by the
// same bound.
func (j *Judge) Evidence(m Measure) float64 { return j.of[m].bet() }

// Finds is the number of bad events, of ring and control together, after which harm of a factor is found on average, where the ring has a
// part of all events: what there is to be won from one event, into what a bet must win.
func (t *Terms) Finds(factor, part, burst float64) float64 {
	base := t.Margin
	q0, q := share(part, 1-part, base), share(part, 1-part, factor)
	best := 0.0
	for _, f := range factors {
		q1 := share(part, 1-part, base*f)
		best = max(best, q*math.Log(q1/q0)+(1-q)*math.Log((1-q1)/(1-q0)))
	}
	if best <= 0 {
		return math.Inf(1)
	}
	return math.Log(float64(measures)*float64(len(factors))/t.Alpha) * max(burst, 1) / best
}

// Measures names all measures, in their order.
func Measures() []string { return measureNames[:] }
