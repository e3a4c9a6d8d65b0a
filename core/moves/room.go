package moves

import "math"

// Terms are the deployment's figures of what servers bear. Times are microseconds, as in rules.
type Terms struct {
	PaceKbPerS float64 // of one answer: a server sends Weight answers at that pace
	ColdFrom   float64 // part of it that a server bears at its start
	Cold       int64   // until it bears all
	Fall       int64   // over which a server's work is summed
}

// Server is one cache or area cache. Times are microseconds.
type Server struct {
	Weight float64
	CameUp int64 // 0: long ago
}

// Warmth is the part of its capacity that a server bears at a time. Its age is taken to be less by Fall, since work is summed over it.
func (t *Terms) Warmth(now, cameUp int64) float64 {
	age := now - cameUp - t.Fall
	if cameUp <= 0 || t.Cold <= 0 || age >= t.Cold {
		return 1
	}
	return t.ColdFrom + (1-t.ColdFrom)*float64(max(age, 0))/float64(t.Cold)
}

// KbPerS is what servers bear together at a time, and the part of it that warm ones would.
func (t *Terms) KbPerS(now int64, servers []Server) (kb, part float64) {
	whole := 0.0
	for _, s := range servers {
		kb += t.Warmth(now, s.CameUp) * s.Weight * t.PaceKbPerS
		whole += s.Weight * t.PaceKbPerS
	}
	if whole == 0 {
		return 0, 0
	}
	return kb, kb / whole
}

// What a Room keeps to.
const (
	roomPart    = 0.85 // part of what a cell bears that may be filled by those who move into it
	roomSpan    = 2e6  // microseconds over which the work of those that live there is averaged
	roomDepth   = 0.5  // seconds of the rate that may be taken at once
	costMost    = 4.0  // greatest cost of a fill, in sendings of the same size
	costStep    = 0.02
	costAtFirst = 1.0
)

// Room bounds what those that move into a cell may send there from one router: what its caches, and the links and tiers that its fills come
// over, bear at the moment, less what those that live in the cell use already. Over any span t the movers' work is at most
// roomPart times what is borne, less the residents', times (t + half a second), and one request.
//
// As each router keeps to its part of both, all routers together keep to the sum.
type Room struct {
	Cost       float64 // of a fill, in sendings of the same size, as seen
	bears      float64 // KB a second, sendings
	fills      float64 // KB a second, fills; math.Inf(1): no bound
	level      float64 // KB of sendings that may be taken now
	fillLevel  float64
	at         int64
	work, fill meter // of residents
}

// meter is a rate that forgets.
type meter struct {
	sum float64
	at  int64
}

func (m *meter) add(now int64, amount float64) {
	m.sum = m.now(now) + amount
	m.at = now
}

func (m *meter) now(now int64) float64 { return m.sum * math.Exp(-float64(max(now-m.at, 0))/roomSpan) }

func (m *meter) perS(now int64) float64 { return m.now(now) / (roomSpan / 1e6) }

// NewRoom returns a room that lets nothing in until Bears is called.
func NewRoom() Room { return Room{Cost: costAtFirst} }

// Bears sets what this router's part of the cell bears from now on, in KB a second: sendings of its caches, and fills into it.
func (r *Room) Bears(now int64, kb, fills float64) {
	r.pass(now)
	r.bears, r.fills = kb, fills
}

// Lives books what one that lives in the cell is let in with.
func (r *Room) Lives(now int64, kb, fill float64) {
	r.work.add(now, kb+r.Cost*fill)
	r.fill.add(now, fill)
}

// Learn takes in what a fill cost: the time waited for it, in sendings of the same size.
func (r *Room) Learn(waited float64) {
	if waited >= 0 {
		r.Cost += costStep * (min(waited, costMost) - r.Cost)
	}
}

// Left is what movers may send and have filled now, KB a second.
func (r *Room) Left(now int64) (kb, fill float64) {
	kb = max(roomPart*r.bears-r.work.perS(now), 0)
	if math.IsInf(r.fills, 1) {
		return kb, r.fills
	}
	return kb, max(roomPart*r.fills-r.fill.perS(now), 0)
}

func (r *Room) pass(now int64) {
	gone := float64(max(now-r.at, 0)) / 1e6
	if r.at == 0 {
		gone = roomDepth
	}
	r.at = now
	kb, fill := r.Left(now)
	r.level = min(r.level+kb*gone, kb*roomDepth)
	if math.IsInf(fill, 1) {
		r.fillLevel = fill
	} else {
		r.fillLevel = min(min(r.fillLevel, fill*roomDepth)+fill*gone, fill*roomDepth)
	}
}

// Take lets a mover's request in, if there is room for it; what it takes more than is left is paid back before the next. A request
// whose copy is there takes no fill.
func (r *Room) Take(now int64, kb, fill float64) bool {
	r.pass(now)
	if r.level <= 0 || fill > 0 && r.fillLevel <= 0 {
		return false
	}
	r.level -= kb + r.Cost*fill
	r.fillLevel -= fill
	return true
}
