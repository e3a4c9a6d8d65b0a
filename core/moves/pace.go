package moves

import "math"

// What a router's pace goes by. Times are milliseconds.
const (
	paceEvery = 250.0  // between two looks
	pastPace  = 2000.0 // without a look after which a router goes on from the document
	paceSpan  = 3000.0 // over which what was seen is forgotten
	paceFew   = 20.0   // answers of a cell that tell something
	lateMore  = 0.03   // part of late answers past that of the other cell that is harm
	lateDoubt = 2.0    // and so many standard errors beside
	fullPart  = 0.25   // part of what should go over and can't, past which the share stays
	calmPart  = 0.8    // part of what a cell would bear warm, under which nothing more is moved into or out of it
	speedUp   = 0.25   // of the greatest speed, added at each look that finds nothing wrong
	// speedMost, in shares of a Shift: a router that has waited may catch up.
	speedMost = 2.0
)

// SlewDown is the greatest speed, a millisecond, at which a share falls.
const SlewDown = 1.0 / LeastShift

// SlewUp is the greatest speed at which the share of a move rises.
func (m *Move) SlewUp() float64 { return speedMost / m.Shift }

// Pace is how far one router is with one move. Between the document's Floor and Share it goes up while the new cell answers as well as the
// old one, stays while the new cell has no room or either cell is being replaced, and goes back while the new one answers later.
//
// It is stable in this sense: its speed is bounded by SlewUp and SlewDown, it looks every 250 ms at evidence that is forgotten over 3 s,
// and it turns at the first look that finds harm. So it passes the share from which the new cell does harm by at most
// SlewUp times (250 ms + the time in which 20 late answers come + a forgetting), and goes to and fro there by no more than that.
type Pace struct {
	share float64
	speed float64 // a millisecond
	at    float64
	begun bool
	into  seen // answers of the cell that objects go to
	other seen // and of the one that they come from
	calm  bool // both cells bear most of what they can
	offer seen // requests that should go over: late counts those that could not
}

// seen fades by itself.
type seen struct{ all, late, at float64 }

func (s *seen) add(now, late float64) {
	s.fade(now)
	s.all++
	s.late += late
}

func (s *seen) fade(now float64) {
	if now > s.at {
		keep := math.Exp((s.at - now) / paceSpan)
		s.all, s.late, s.at = s.all*keep, s.late*keep, now
	}
}

func (s *seen) part() float64 { return s.late / max(s.all, 1) }

// Saw books an answer: of the cell that objects go to or of the other one, and whether it was late or no answer at all.
func (p *Pace) Saw(now float64, into, late bool) {
	at := &p.other
	if into {
		at = &p.into
	}
	n := 0.0
	if late {
		n = 1
	}
	at.add(now, n)
}

// Offered books a request that should go over, and whether there was room for it.
func (p *Pace) Offered(now float64, room bool) {
	n := 0.0
	if !room {
		n = 1
	}
	p.offer.add(now, n)
}

// Bears tells which part of what they would bear warm the cells of a move bear now, the lesser of both: in a deploy, or while caches are
// lost, the share stays as far as the document lets it, and goes on by itself afterwards.
func (p *Pace) Bears(part float64) { p.calm = part >= calmPart }

// Share is the present part of the tenant's objects, in their order, that this router sends to the move's new cell.
func (p *Pace) Share() float64 { return p.share }

// Step lets time pass. A move that was taken back goes down as its document says: Saw then speaks of the old cell as the one that objects
// go to, and does not hold it up, since the way back must be open.
func (p *Pace) Step(now float64, m *Move) float64 {
	if !p.begun {
		p.begun, p.at, p.share = true, now, m.Floor(now)
		return p.share
	}
	gone := now - p.at
	if gone < paceEvery {
		return p.share
	}
	p.at = now
	low, high := m.Floor(now), m.Share(now)
	if gone > pastPace { // it had nothing to do meanwhile: it is where one that starts now is, or further if it was
		p.share = min(max(p.share, low), high)
		gone = paceEvery
	}
	switch {
	case m.Unbounded || m.GoesBack(now):
		p.share = approach(p.share, high, gone*m.SlewUp(), gone*max(SlewDown, m.SlewUp()))
		return p.share
	case p.harm(now):
		p.speed = -m.SlewUp() / 2
	case !p.calm || p.full(now):
		p.speed = min(p.speed, 0)
	default:
		p.speed = min(max(p.speed, 0)+speedUp*m.SlewUp(), m.SlewUp())
	}
	to := min(max(p.share+p.speed*gone, low), high)
	p.share = approach(p.share, to, gone*m.SlewUp(), gone*SlewDown)
	return p.share
}

// approach goes from one share towards another by bounded steps.
func approach(from, to, up, down float64) float64 {
	return min(max(to, from-down), from+up)
}

// harm reports that the new cell answers late more often than the old one, past doubt.
func (p *Pace) harm(now float64) bool {
	p.into.fade(now)
	p.other.fade(now)
	if p.into.all < paceFew {
		return false
	}
	a := p.into.part()
	b := p.other.part()
	v := a * (1 - a) / p.into.all
	if p.other.all >= paceFew {
		v += b * (1 - b) / p.other.all
	}
	return a > b+lateMore+lateDoubt*math.Sqrt(v)
}

// full reports that the new cell takes too little of what should go over for more to be sent its way.
func (p *Pace) full(now float64) bool {
	p.offer.fade(now)
	return p.offer.all >= paceFew && p.offer.part() > fullPart
}
