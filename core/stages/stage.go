package stages

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
)

// Stage is one release on its way through the cells: objects that are new with it, refused to cells that have not got it, or with Renews
// objects that the head office has under their old names in a new version since Since. Times are Unix milliseconds, spans milliseconds.
type Stage struct {
	Version int64  `json:"version" jsonschema:"minimum=0" jsonschema_description:"number of this document; a later one is greater"`
	Name    string `json:"name"`
	// What belongs to the release: objects that begin so, or of these families; both where both are given.
	Prefix   string  `json:"prefix,omitempty" jsonschema_description:"how its objects begin, in hex"`
	Families []int   `json:"families,omitempty" jsonschema_description:"first and last group of its objects"`
	Since    float64 `json:"since" jsonschema_description:"Unix milliseconds; no ring opens before"`
	Renews   bool    `json:"renews,omitempty" jsonschema_description:"its objects had an older version, which the head office gave out until since"`
	Keep     float64 `json:"keep,omitempty" jsonschema_description:"ms: how old copies may be where a ring is shut; with renews only, and then needed"`
	Rings    []Ring  `json:"rings"`
	// Back says what a ring of renewed objects that was taken back here does until StopAt tells when the head office has the old version again.
	Back string `json:"back,omitempty" jsonschema:"enum=refuse,enum=serve" jsonschema_description:"renewed objects of a ring taken back: refuse (if left out) or serve whatever is there"`
	// Unsure says what becomes of a ring that has had its time without a verdict.
	Unsure string  `json:"unsure,omitempty" jsonschema:"enum=wait,enum=go" jsonschema_description:"a ring that can't be judged in its time: wait (if left out) or go"`
	StopAt float64 `json:"stopAt,omitempty" jsonschema_description:"from then on all rings are taken back; with renews the head office has the old version again by then"`
	Alpha  float64 `json:"alpha,omitempty" jsonschema_description:"probability at most that a ring without harm is stopped; 0.01 if left out"`
	Beta   float64 `json:"beta,omitempty" jsonschema_description:"the same that harm is called sound; 0.05 if left out"`
	Least  float64 `json:"least,omitempty" jsonschema_description:"smallest harm that matters, as a factor on the odds of a bad event; 2 if left out"`
	Margin float64 `json:"margin,omitempty" jsonschema_description:"factor that is no harm; 1.1 if left out"`
}

// Ring is a set of cells that get the release at once.
type Ring struct {
	Cells []string `json:"cells"`
	Open  float64  `json:"open" jsonschema_description:"Unix milliseconds, at the soonest"`
	For   float64  `json:"for" jsonschema_description:"ms in which it must be judged; the next ring opens no sooner than a verdict"`
}

// ErrStage is wrapped by every fault of a stage.
var ErrStage = errors.New("can't be used")

// Bounds of a stage.
const (
	MaxRings = 16
	leastFor = 1000
	mostKeep = 7 * 24 * 3600 * 1000
)

// Terms are those that its rings are judged by.
func (s *Stage) Terms() Terms {
	or := func(v, otherwise float64) float64 {
		if v == 0 {
			return otherwise
		}
		return v
	}
	return Terms{Alpha: or(s.Alpha, 0.01), Beta: or(s.Beta, 0.05), Least: or(s.Least, 2), Margin: or(s.Margin, 1.1)}
}

// Check reports the first thing that can't be used. A ring holds cells that no other one has; rings open one after the other.
func (s *Stage) Check() error {
	fault := func(field, format string, args ...any) error {
		return fmt.Errorf("%s: %w: %s", field, ErrStage, fmt.Sprintf(format, args...))
	}
	t := s.Terms()
	switch {
	case s.Version < 1:
		return fault("version", "%d is under 1", s.Version)
	case s.Name == "":
		return fault("name", "missing")
	case s.Prefix == "" && s.Families == nil:
		return fault("prefix", "neither prefix nor families: a release is not everything")
	case len(s.Prefix) > 16 || strings.Trim(s.Prefix, "0123456789abcdef") != "":
		return fault("prefix", "%q is not up to 16 hex digits", s.Prefix)
	case s.Families != nil && (len(s.Families) != 2 || s.Families[0] < 0 || s.Families[1] > 255 || s.Families[0] > s.Families[1]):
		return fault("families", "%v is not first and last, 0 to 255", s.Families)
	case !(s.Since > 0) || math.IsInf(s.Since, 1):
		return fault("since", "%v is no time", s.Since)
	case s.Unsure != "" && s.Unsure != "wait" && s.Unsure != "go":
		return fault("unsure", "%q is neither wait nor go", s.Unsure)
	case s.Back != "" && s.Back != "refuse" && s.Back != "serve":
		return fault("back", "%q is neither refuse nor serve", s.Back)
	case s.Back != "" && !s.Renews:
		return fault("back", "without renews: objects that are new are refused")
	case !(s.Keep >= 0 && s.Keep <= mostKeep) || s.Renews != (s.Keep > 0):
		return fault("keep", "%v ms: with renews above 0 and at most a week, else 0", s.Keep)
	case !(s.StopAt >= 0) || math.IsInf(s.StopAt, 1):
		return fault("stopAt", "%v is no time", s.StopAt)
	case len(s.Rings) == 0 || len(s.Rings) > MaxRings:
		return fault("rings", "%d of them, 1 to %d allowed", len(s.Rings), MaxRings)
	}
	if err := t.Check(); err != nil {
		return fmt.Errorf("%w: %w", ErrStage, err)
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
		if !(r.Open >= last) || math.IsInf(r.Open, 1) || !(r.For >= leastFor && r.For < 1e10) {
			return fault(at+".open", "%v for %v ms: not before since and the ring before, and %d ms or more", r.Open, r.For, leastFor)
		}
		last = r.Open
	}
	return nil
}

// Holds reports that an object belongs to the release.
func (s *Stage) Holds(family int, object string) bool {
	return (s.Families == nil || family >= s.Families[0] && family <= s.Families[1]) && strings.HasPrefix(object, s.Prefix)
}

// RingState is where a ring stands.
type RingState int

// The states of a ring.
const (
	Shut    RingState = iota // not open yet
	Judging                  // open, and judged
	Passed                   // open, and sound
	Unsure                   // open; its time is over without a verdict
	Stopped                  // taken back: harm was found, here or in a ring before, or the document says so
)

var ringNames = []string{"shut", "judging", "passed", "can't tell", "stopped"}

func (s RingState) String() string { return ringNames[s] }

// ringNow is one ring as this router has it.
type ringNow struct {
	state  RingState
	opened float64
	judge  *Judge
	why    Measure
	harmed bool
}

// Progress is how far one router is with a stage. Every router judges by what it sees itself; harm that one sees stops the release there at
// once, and elsewhere when the document says so or the others see it too.
type Progress struct {
	stage *Stage
	rings []ringNow
	ring  map[string]int              // by cell
	look  map[string]*[measures]Tally // of each cell, since the last look; control are cells in no open ring
	at    float64
	back  bool // the document's StopAt has come
}

// lookEvery, in ms, is how often what was counted is judged.
const lookEvery = 1000.0

// NewProgress begins a stage at a time, with every ring shut. A router that starts in the midst opens rings one after the other like
// others did: what they judged it does not know.
func NewProgress(s *Stage, now float64) (*Progress, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	p := &Progress{stage: s, ring: map[string]int{}, look: map[string]*[measures]Tally{}, at: now}
	for i, r := range s.Rings {
		j, err := NewJudge(s.Terms())
		if err != nil {
			return nil, err
		}
		p.rings = append(p.rings, ringNow{judge: j})
		for _, c := range r.Cells {
			p.ring[c] = i
		}
	}
	return p, nil
}

// Continue goes on with another version of the same stage, and reports whether it is the same: of that name and kind, with the same rings.
func (p *Progress) Continue(next *Stage) bool {
	if next.Name != p.stage.Name || next.Renews != p.stage.Renews || !slices.EqualFunc(next.Rings, p.stage.Rings, func(a, b Ring) bool { return slices.Equal(a.Cells, b.Cells) }) {
		return false
	}
	p.stage = next
	return true
}

// Stage is the document in force.
func (p *Progress) Stage() *Stage { return p.stage }

// Count books events of a cell, of whatever its tenants ask, of which so many were bad. A release that harms what else its cell serves is
// found so as well.
func (p *Progress) Count(cell string, m Measure, n, bad float64) {
	t := p.look[cell]
	if t == nil {
		t = &[measures]Tally{}
		p.look[cell] = t
	}
	t[m].N += n
	t[m].Bad += bad
}

// Lets is how a cell answers requests for the release's objects.
type Lets struct {
	Not  bool    // they are refused
	From float64 // only with copies made since this Unix ms; 0: any
	Age  float64 // copies may be so many ms old, where that is more than their class allows
}

// Lets tells how a cell answers them now. A ring that is shut keeps to copies of the old version for as long as the document says, and
// can't help getting the new one where it has none. Once the document has taken the release back, every cell renews: nobody knows which of
// its copies were made in between.
func (p *Progress) Lets(cell string) Lets {
	i, known := p.ring[cell]
	switch s := p.stage; {
	case !s.Renews:
		return Lets{Not: !p.Open(cell)}
	case p.back:
		return Lets{From: s.StopAt}
	case p.Open(cell):
		return Lets{From: s.Since}
	case known && p.rings[i].state == Stopped && p.rings[i].opened > 0:
		if s.Back != "serve" {
			return Lets{Not: true}
		}
	}
	return Lets{Age: p.stage.Keep}
}

// Apart reports that failures and fill errors of a cell are to be counted for the release's objects alone.
func (p *Progress) Apart(cell string) bool {
	_, known := p.ring[cell]
	return p.Open(cell) || known && p.stage.Renews
}

// Open reports that a cell has the release.
func (p *Progress) Open(cell string) bool {
	i, known := p.ring[cell]
	return known && (p.rings[i].state == Judging || p.rings[i].state == Passed || p.rings[i].state == Unsure)
}

// State tells where a ring stands, and with Stopped by which measure if harm was seen here.
func (p *Progress) State(ring int) (RingState, Measure) {
	return p.rings[ring].state, p.rings[ring].why
}

// Harmed reports that harm was seen in a ring, here.
func (p *Progress) Harmed(ring int) bool { return p.rings[ring].harmed }

// Evidence is the log of the bet on each measure of a ring.
func (p *Progress) Evidence(ring int) (all []float64) {
	for m := range measures {
		all = append(all, p.rings[ring].judge.Evidence(m))
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
	if p.stage.StopAt > 0 && now >= p.stage.StopAt {
		p.back = true
		for i := range p.rings {
			set(i, Stopped)
		}
		return changed
	}
	if now-p.at >= lookEvery {
		p.at = now
		p.judge()
	}
	for i := range p.rings {
		r, doc := &p.rings[i], &p.stage.Rings[i]
		switch r.state {
		case Shut:
			if now < doc.Open || i > 0 && !p.lets(i-1) {
				continue
			}
			r.opened = now
			set(i, Judging)
		case Judging, Unsure:
			v, why := r.judge.Verdict()
			switch {
			case v == Harm:
				r.why, r.harmed = why, true
				for k := range p.rings { // nothing that is harmful somewhere stays anywhere, or goes on
					set(k, Stopped)
				}
				return changed
			case v == Sound:
				set(i, Passed)
			case now >= r.opened+doc.For:
				set(i, Unsure)
			}
		}
	}
	return changed
}

// lets reports that the ring after one may open.
func (p *Progress) lets(ring int) bool {
	s := p.rings[ring].state
	return s == Passed || s == Unsure && p.stage.Unsure == "go"
}

// judge makes a look of what was counted: each ring against all cells that have not got the release.
func (p *Progress) judge() {
	var control [measures]Tally
	names := make([]string, 0, len(p.look))
	for cell := range p.look {
		names = append(names, cell)
	}
	slices.Sort(names) // sums must come out the same
	for _, cell := range names {
		if !p.Open(cell) {
			for m := range control {
				control[m].add(p.look[cell][m])
			}
		}
	}
	for i := range p.rings {
		r := &p.rings[i]
		var ring, rest [measures]Tally
		rest = control
		for _, cell := range p.stage.Rings[i].Cells {
			if t := p.look[cell]; t != nil {
				for m := range ring {
					ring[m].add(t[m])
					if !p.Open(cell) { // a ring still shut is not its own control
						rest[m].N -= t[m].N
						rest[m].Bad -= t[m].Bad
					}
				}
			}
		}
		switch r.state {
		case Shut:
			r.judge.Before(Look{Ring: ring, Control: rest})
		case Judging, Unsure, Passed:
			r.judge.Add(Look{Ring: ring, Control: rest})
		}
	}
	clear(p.look)
}
