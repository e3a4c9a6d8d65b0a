package rollout

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
)

// Rollout is one release on its way through the cells: objects that are new with it, refused to cells that have not got it, or with Renews
// objects that the head office has under their old names in a new version since Since. Times are Unix milliseconds, spans milliseconds.
type Rollout struct {
	Version int64  `json:"version" jsonschema:"minimum=0" jsonschema_description:"number of this document; a later one is greater"`
	Name    string `json:"name"`
	// What belongs to the release: objects that begin so, or of these families; both where both are given.
	Prefix          string  `json:"prefix,omitempty" jsonschema_description:"how its objects begin, in hex"`
	FamilyRange     []int   `json:"families,omitempty" jsonschema_description:"first and last group of its objects"`
	Since           float64 `json:"since" jsonschema_description:"Unix milliseconds; no ring opens before"`
	ReplacesObjects bool    `json:"renews,omitempty" jsonschema_description:"its objects had an older version, which the head office gave out until since"`
	OldCopyMaxAge   float64 `json:"keep,omitempty" jsonschema_description:"ms: how old copies may be where a ring is shut; with renews only, and then needed"`
	Rings           []Ring  `json:"rings"`
	// OnRollback says what a ring of renewed objects that was taken back here does until RollbackAt tells when the head office has the old version again.
	OnRollback string `json:"back,omitempty" jsonschema:"enum=refuse,enum=serve" jsonschema_description:"renewed objects of a ring taken back: refuse (if left out) or serve whatever is there"`
	// OnUndecided says what becomes of a ring that has had its time without a verdict.
	OnUndecided string  `json:"unsure,omitempty" jsonschema:"enum=wait,enum=go" jsonschema_description:"a ring that can't be judged in its time: wait (if left out) or go"`
	RollbackAt  float64 `json:"stopAt,omitempty" jsonschema_description:"from then on all rings are taken back; with renews the head office has the old version again by then"`
	Alpha       float64 `json:"alpha,omitempty" jsonschema_description:"probability at most that a ring without harm is stopped; 0.01 if left out"`
	Beta        float64 `json:"beta,omitempty" jsonschema_description:"the same that harm is called sound; 0.05 if left out"`
	MinHarm     float64 `json:"least,omitempty" jsonschema_description:"smallest harm that matters, as a factor on the odds of a bad event; 2 if left out"`
	Margin      float64 `json:"margin,omitempty" jsonschema_description:"factor that is no harm; 1.1 if left out"`
}

// Ring is a set of cells that get the release at once.
type Ring struct {
	Cells       []string `json:"cells"`
	OpensAt     float64  `json:"open" jsonschema_description:"Unix milliseconds, at the soonest"`
	JudgeWithin float64  `json:"for" jsonschema_description:"ms in which it must be judged; the next ring opens no sooner than a verdict"`
}

// ErrInvalid is wrapped by every fault of a stage.
var ErrInvalid = errors.New("can't be used")

// Bounds of a stage.
const (
	MaxRings       = 16
	minJudgeWithin = 1000
	maxOldCopyAge  = 7 * 24 * 3600 * 1000
)

// TestParameters are those that its rings are judged by.
func (s *Rollout) TestParameters() TestParameters {
	or := func(v, otherwise float64) float64 {
		if v == 0 {
			return otherwise
		}
		return v
	}
	return TestParameters{Alpha: or(s.Alpha, 0.01), Beta: or(s.Beta, 0.05), MinHarm: or(s.MinHarm, 2), Margin: or(s.Margin, 1.1)}
}

// Validate reports the first thing that can't be used. A ring holds cells that no other one has; rings open one after the other.
func (s *Rollout) Validate() error {
	fault := func(field, format string, args ...any) error {
		return fmt.Errorf("%s: %w: %s", field, ErrInvalid, fmt.Sprintf(format, args...))
	}
	t := s.TestParameters()
	switch {
	case s.Version < 1:
		return fault("version", "%d is under 1", s.Version)
	case s.Name == "":
		return fault("name", "missing")
	case s.Prefix == "" && s.FamilyRange == nil:
		return fault("prefix", "neither prefix nor families: a release is not everything")
	case len(s.Prefix) > 16 || strings.Trim(s.Prefix, "0123456789abcdef") != "":
		return fault("prefix", "%q is not up to 16 hex digits", s.Prefix)
	case s.FamilyRange != nil && (len(s.FamilyRange) != 2 || s.FamilyRange[0] < 0 || s.FamilyRange[1] > 255 || s.FamilyRange[0] > s.FamilyRange[1]):
		return fault("families", "%v is not first and last, 0 to 255", s.FamilyRange)
	case !(s.Since > 0) || math.IsInf(s.Since, 1):
		return fault("since", "%v is no time", s.Since)
	case s.OnUndecided != "" && s.OnUndecided != "wait" && s.OnUndecided != "go":
		return fault("unsure", "%q is neither wait nor go", s.OnUndecided)
	case s.OnRollback != "" && s.OnRollback != "refuse" && s.OnRollback != "serve":
		return fault("back", "%q is neither refuse nor serve", s.OnRollback)
	case s.OnRollback != "" && !s.ReplacesObjects:
		return fault("back", "without renews: objects that are new are refused")
	case !(s.OldCopyMaxAge >= 0 && s.OldCopyMaxAge <= maxOldCopyAge) || s.ReplacesObjects != (s.OldCopyMaxAge > 0):
		return fault("keep", "%v ms: with renews above 0 and at most a week, else 0", s.OldCopyMaxAge)
	case !(s.RollbackAt >= 0) || math.IsInf(s.RollbackAt, 1):
		return fault("stopAt", "%v is no time", s.RollbackAt)
	case len(s.Rings) == 0 || len(s.Rings) > MaxRings:
		return fault("rings", "%d of them, 1 to %d allowed", len(s.Rings), MaxRings)
	}
	if err := t.Validate(); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	seen := map[string]bool{}
	last := s.Since
	for i, r := range s.Rings {
		at := fmt.Sprintf("rings[%d]", i)
		if len(r.Cells) == 0 {
			return fault(at+".cells", "none")
		}
		for _, c := range r.Cells {
			if c == "" || seen[c] {
				return fault(at+".cells", "%q is in a ring already, or no name", c)
			}
			seen[c] = true
		}
		if !(r.OpensAt >= last) || math.IsInf(r.OpensAt, 1) || !(r.JudgeWithin >= minJudgeWithin && r.JudgeWithin < 1e10) {
			return fault(at+".open", "%v for %v ms: not before since and the ring before, and %d ms or more", r.OpensAt, r.JudgeWithin, minJudgeWithin)
		}
		last = r.OpensAt
	}
	return nil
}

// Contains reports that an object belongs to the release.
func (s *Rollout) Contains(family int, object string) bool {
	return (s.FamilyRange == nil || family >= s.FamilyRange[0] && family <= s.FamilyRange[1]) && strings.HasPrefix(object, s.Prefix)
}

// RingState is where a ring stands.
type RingState int

// The states of a ring.
const (
	RingClosed    RingState = iota // not open yet
	RingJudging                    // open, and judged
	RingPassed                     // open, and sound
	RingUndecided                  // open; its time is over without a verdict
	RingStopped                    // taken back: harm was found, here or in a ring before, or the document says so
)

var ringStateNames = []string{"shut", "judging", "passed", "can't tell", "stopped"}

func (s RingState) String() string { return ringStateNames[s] }

// ringProgress is one ring as this router has it.
type ringProgress struct {
	state        RingState
	openedAt     float64
	test         *SequentialTest
	harmedMetric Metric
	harmed       bool
}

// Progress is how far one router is with a stage. Every router judges by what it sees itself; harm that one sees stops the release there at
// once, and elsewhere when the document says so or the others see it too.
type Progress struct {
	rollout    *Rollout
	rings      []ringProgress
	ringOf     map[string]int                  // by cell
	counts     map[string]*[metricCount]Counts // of each cell, since the last look; control are cells in no open ring
	sampledAt  float64
	rolledBack bool // the document's RollbackAt has come
}

// sampleInterval, in ms, is how often what was counted is judged.
const sampleInterval = 1000.0

// NewProgress begins a stage at a time, with every ring shut. A router that starts in the midst opens rings one after the other like
// others did: what they judged it does not know.
func NewProgress(s *Rollout, now float64) (*Progress, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	p := &Progress{rollout: s, ringOf: map[string]int{}, counts: map[string]*[metricCount]Counts{}, sampledAt: now}
	for i, r := range s.Rings {
		j, err := NewSequentialTest(s.TestParameters())
		if err != nil {
			return nil, err
		}
		p.rings = append(p.rings, ringProgress{test: j})
		for _, c := range r.Cells {
			p.ringOf[c] = i
		}
	}
	return p, nil
}

// Continue goes on with another version of the same stage, and reports whether it is the same: of that name and kind, with the same rings.
func (p *Progress) Continue(next *Rollout) bool {
	if next.Name != p.rollout.Name || next.ReplacesObjects != p.rollout.ReplacesObjects || !slices.EqualFunc(next.Rings, p.rollout.Rings, func(a, b Ring) bool { return slices.Equal(a.Cells, b.Cells) }) {
		return false
	}
	p.rollout = next
	return true
}

// Rollout is the document in force.
func (p *Progress) Rollout() *Rollout { return p.rollout }

// Count books events of a cell, of whatever its tenants ask, of which so many were bad. A release that harms what else its cell serves is
// found so as well.
func (p *Progress) Count(cell string, m Metric, n, bad float64) {
	t := p.counts[cell]
	if t == nil {
		t = &[metricCount]Counts{}
		p.counts[cell] = t
	}
	t[m].Total += n
	t[m].Bad += bad
}

// GateDecision is how a cell answers requests for the release's objects.
type GateDecision struct {
	Rejected  bool    // they are refused
	MadeSince float64 // only with copies made since this Unix ms; 0: any
	MaxAge    float64 // copies may be so many ms old, where that is more than their class allows
}

// Gate tells how a cell answers them now. A ring that is shut keeps to copies of the old version for as long as the document says, and
// can't help getting the new one where it has none. Once the document has taken the release back, every cell renews: nobody knows which of
// its copies were made in between.
func (p *Progress) Gate(cell string) GateDecision {
	i, known := p.ringOf[cell]
	switch s := p.rollout; {
	case !s.ReplacesObjects:
		return GateDecision{Rejected: !p.HasRelease(cell)}
	case p.rolledBack:
		return GateDecision{MadeSince: s.RollbackAt}
	case p.HasRelease(cell):
		return GateDecision{MadeSince: s.Since}
	case known && p.rings[i].state == RingStopped && p.rings[i].openedAt > 0:
		if s.OnRollback != "serve" {
			return GateDecision{Rejected: true}
		}
	}
	return GateDecision{MaxAge: p.rollout.OldCopyMaxAge}
}

// CountsReleaseOnly reports that failures and fill errors of a cell are to be counted for the release's objects alone.
func (p *Progress) CountsReleaseOnly(cell string) bool {
	_, known := p.ringOf[cell]
	return p.HasRelease(cell) || known && p.rollout.ReplacesObjects
}

// HasRelease reports that a cell has the release.
func (p *Progress) HasRelease(cell string) bool {
	i, known := p.ringOf[cell]
	return known && (p.rings[i].state == RingJudging || p.rings[i].state == RingPassed || p.rings[i].state == RingUndecided)
}

// State tells where a ring stands, and with RingStopped by which measure if harm was seen here.
func (p *Progress) State(ring int) (RingState, Metric) {
	return p.rings[ring].state, p.rings[ring].harmedMetric
}

// HarmObserved reports that harm was seen in a ring, here.
func (p *Progress) HarmObserved(ring int) bool { return p.rings[ring].harmed }

// Evidence is the log of the bet on each measure of a ring.
func (p *Progress) Evidence(ring int) (all []float64) {
	for m := range metricCount {
		all = append(all, p.rings[ring].test.Evidence(m))
	}
	return all
}

// Step lets time pass: looks, verdicts, and rings that open. It returns the rings whose state changed.
func (p *Progress) Step(now float64) (changed []int) {
	set := func(i int, s RingState) {
		if p.rings[i].state != s {
			p.rings[i].state = s
			changed = append(changed, i)
		}
	}
	if p.rollout.RollbackAt > 0 && now >= p.rollout.RollbackAt {
		p.rolledBack = true
		for i := range p.rings {
			set(i, RingStopped)
		}
		return changed
	}
	if now-p.sampledAt >= sampleInterval {
		p.sampledAt = now
		p.takeSample()
	}
	for i := range p.rings {
		r, doc := &p.rings[i], &p.rollout.Rings[i]
		switch r.state {
		case RingClosed:
			if now < doc.OpensAt || i > 0 && !p.allowsNext(i-1) {
				continue
			}
			r.openedAt = now
			set(i, RingJudging)
		case RingJudging, RingUndecided:
			v, why := r.test.Verdict()
			switch {
			case v == Harmful:
				r.harmedMetric, r.harmed = why, true
				for k := range p.rings { // nothing that is harmful somewhere stays anywhere, or goes on
					set(k, RingStopped)
				}
				return changed
			case v == Healthy:
				set(i, RingPassed)
			case now >= r.openedAt+doc.JudgeWithin:
				set(i, RingUndecided)
			}
		}
	}
	return changed
}

// allowsNext reports that the ring after one may open.
func (p *Progress) allowsNext(ring int) bool {
	s := p.rings[ring].state
	return s == RingPassed || s == RingUndecided && p.rollout.OnUndecided == "go"
}

// takeSample makes a look of what was counted: each ring against all cells that have not got the release.
func (p *Progress) takeSample() {
	var control [metricCount]Counts
	names := make([]string, 0, len(p.counts))
	for cell := range p.counts {
		names = append(names, cell)
	}
	slices.Sort(names) // sums must come out the same
	for _, cell := range names {
		if !p.HasRelease(cell) {
			for m := range control {
				control[m].add(p.counts[cell][m])
			}
		}
	}
	for i := range p.rings {
		r := &p.rings[i]
		var ring, rest [metricCount]Counts
		rest = control
		for _, cell := range p.rollout.Rings[i].Cells {
			if t := p.counts[cell]; t != nil {
				for m := range ring {
					ring[m].add(t[m])
					if !p.HasRelease(cell) { // a ring still shut is not its own control
						rest[m].Total -= t[m].Total
						rest[m].Bad -= t[m].Bad
					}
				}
			}
		}
		switch r.state {
		case RingClosed:
			r.test.AddBaseline(Sample{Ring: ring, Control: rest})
		case RingJudging, RingUndecided, RingPassed:
			r.test.Add(Sample{Ring: ring, Control: rest})
		}
	}
	clear(p.counts)
}
