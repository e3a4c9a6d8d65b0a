// Package moves takes tenants from one cell to another while they are served. How far a move may be at a moment follows from its
// document and the clock alone, so that routers which share nothing stay together: a router's share of a move lies between Floor and
// Share, and what it does between them follows what it sees of the cells (Pace) and what the new cell bears (Room).
//
// The bound: two routers that hold the same document and whose clocks are apart by d differ in a tenant's objects by at most Share-Floor
// and d times the greatest slope of either; by none once Settle has begun for both. With Slow equal to Shift that is d/Shift alone. Between
// two versions of a document a router goes from its share to where the later one lets it be at SlewUp and SlewDown, and jumps nowhere.
//
// The package does no I/O and reads no clock: times come in as Unix milliseconds.
package moves

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Document holds all moves. A later version replaces an earlier one whole.
type Document struct {
	Version int64  `json:"version" jsonschema:"minimum=0" jsonschema_description:"number of this document; a later one is greater"`
	Moves   []Move `json:"moves"`
}

// Move is one tenant's way from one cell to another in one depot. Times are Unix milliseconds, spans milliseconds.
type Move struct {
	Tenant string   `json:"tenant"`
	Depot  string   `json:"depot" jsonschema_description:"the depot; * for all"`
	From   string   `json:"from"`
	To     string   `json:"to"`
	Start  float64  `json:"start" jsonschema_description:"Unix milliseconds"`
	Warm   float64  `json:"warm,omitempty" jsonschema_description:"ms in which the hottest objects alone go to the new cell, one after the other"`
	Shift  float64  `json:"shift" jsonschema_description:"ms in which the others follow, at the soonest"`
	Slow   float64  `json:"slow,omitempty" jsonschema_description:"the same at the latest; left out: as shift, a fixed ramp"`
	Settle float64  `json:"settle,omitempty" jsonschema_description:"ms after all have gone in which the old cell still takes what the new one can't bear"`
	Hot    []string `json:"hot,omitempty" jsonschema_description:"objects that go first, in hex, hottest first"`
	HeldAt float64  `json:"heldAt,omitempty" jsonschema_description:"the share stays what it was then; 0: not held"`
	BackAt float64  `json:"backAt,omitempty" jsonschema_description:"from then on the share falls as fast as it may rise; 0: not taken back"`
	// Unbounded lets the new cell take what comes, and the share follow the ramp: for emergencies, and to compare with.
	Unbounded bool `json:"unbounded,omitempty" jsonschema_description:"no bound on what the new cell is sent, and no look at how it does"`
}

// AllDepots is the depot of a move that is made in every one.
const AllDepots = "*"

// Phase is where a move stands.
type Phase int

// The phases.
const (
	Planned Phase = iota
	Warming
	Shifting
	Settling
	Done
	Held
	GoingBack
	Back // rolled back: the tenant is in its old cell
)

var phaseNames = []string{"planned", "warming", "shifting", "settling", "done", "held", "going back", "rolled back"}

func (p Phase) String() string { return phaseNames[p] }

// Bounds of a document.
const (
	MaxMoves = 1000
	MaxHot   = 1000
	// LeastShift, in ms, keeps a step of the clock, or routers a second or two apart, from moving much at once.
	LeastShift = 10_000
	// hotShare is the part of the split that the hot objects take up, named one after the other.
	hotShare = 0.1
)

// ErrMove is wrapped by every fault of a document.
var ErrMove = errors.New("can't be used")

// Check reports the first thing that can't be used. now is the time at which a document is taken in: a move that would be over by then
// and was never begun under an earlier document is refused, since it would jump.
func (d *Document) Check(now float64, before *Document) error {
	fault := func(i int, field, format string, args ...any) error {
		return fmt.Errorf("moves[%d].%s: %w: %s", i, field, ErrMove, fmt.Sprintf(format, args...))
	}
	if d.Version < 1 || before != nil && d.Version <= before.Version {
		return fmt.Errorf("version: %w: %d is not after the one in force", ErrMove, d.Version)
	}
	if len(d.Moves) > MaxMoves {
		return fmt.Errorf("moves: %w: %d of them, %d at most", ErrMove, len(d.Moves), MaxMoves)
	}
	type who struct{ tenant, depot string }
	seen, anywhere := map[who]bool{}, map[string]bool{}
	for i := range d.Moves {
		m := &d.Moves[i]
		at := who{m.Tenant, m.Depot}
		switch {
		case m.Tenant == "" || m.Depot == "":
			return fault(i, "tenant", "tenant and depot are needed")
		case seen[at] || seen[who{m.Tenant, AllDepots}] || m.Depot == AllDepots && anywhere[m.Tenant]:
			return fault(i, "tenant", "%s moves twice in %s", m.Tenant, m.Depot)
		case m.From == "" || m.To == "" || m.From == m.To:
			return fault(i, "to", "%q to %q is no way", m.From, m.To)
		case !(m.Start > 0) || math.IsInf(m.Start, 1):
			return fault(i, "start", "%v is no time", m.Start)
		case !(m.Warm >= 0 && m.Warm < 1e9) || !(m.Settle >= 0 && m.Settle < 1e9):
			return fault(i, "warm", "%v and settle %v: 0 to 1e9 ms", m.Warm, m.Settle)
		case !(m.Shift >= LeastShift && m.Shift < 1e9):
			return fault(i, "shift", "%v: %d to 1e9 ms", m.Shift, LeastShift)
		case m.Slow != 0 && !(m.Slow >= m.Shift && m.Slow < 1e9):
			return fault(i, "slow", "%v: shift (%v) to 1e9 ms, or left out", m.Slow, m.Shift)
		case len(m.Hot) > MaxHot || m.Warm == 0 && len(m.Hot) > 0:
			return fault(i, "hot", "%d objects in %v ms of warming, %d at most", len(m.Hot), m.Warm, MaxHot)
		case !(m.HeldAt >= 0) || !(m.BackAt >= 0) || m.BackAt > 0 && m.BackAt < m.Start:
			return fault(i, "backAt", "held at %v and back at %v for a start at %v", m.HeldAt, m.BackAt, m.Start)
		}
		seen[at], anywhere[m.Tenant] = true, true
		if begun := before != nil && slices.ContainsFunc(before.Moves, func(o Move) bool {
			return o.Tenant == m.Tenant && o.Depot == m.Depot && o.From == m.From && o.To == m.To && o.Start <= m.Start
		}); !begun && m.BackAt == 0 && m.HeldAt == 0 && m.Start+m.Warm < now {
			return fault(i, "start", "would be %s already, and was never begun", m.Phase(now))
		}
	}
	return d.keeps(now, before)
}

// keeps reports a move under way that a document leaves out or leads elsewhere: its tenant would jump. Such a move is held, taken
// back, or left to its end.
func (d *Document) keeps(now float64, before *Document) error {
	if before == nil {
		return nil
	}
	for _, b := range before.Moves {
		if p := b.Phase(now); p == Planned || p == Done || p == Back {
			continue
		}
		if !slices.ContainsFunc(d.Moves, func(m Move) bool {
			return m.Tenant == b.Tenant && m.Depot == b.Depot && m.From == b.From && m.To == b.To
		}) {
			return fmt.Errorf("moves: %w: that of %s in %s is %s, and missing or led elsewhere; hold it or take it back", ErrMove, b.Tenant, b.Depot, b.Phase(now))
		}
	}
	return nil
}

// Share is the greatest part of the tenant's objects, in their order, that may belong to the new cell at a time.
func (m *Move) Share(now float64) float64 { return m.share(now, m.Shift) }

// Floor is the least part that does: a router that starts in the midst of a move begins there.
func (m *Move) Floor(now float64) float64 { return m.share(now, m.slow()) }

func (m *Move) slow() float64 { return max(m.Slow, m.Shift) }

func (m *Move) share(now, shift float64) float64 {
	at := now
	if m.HeldAt > 0 {
		at = min(at, m.HeldAt)
	}
	if m.BackAt > 0 {
		at = min(at, m.BackAt)
	}
	share := m.forward(at, shift)
	if m.BackAt > 0 && now > m.BackAt {
		share -= (now - m.BackAt) / m.Shift
	}
	return max(share, 0)
}

// forward is the share that a move which goes on has.
func (m *Move) forward(now, shift float64) float64 {
	switch gone := now - m.Start; {
	case gone <= 0:
		return 0
	case gone < m.Warm:
		return m.hotPart() * gone / m.Warm
	default:
		return min(m.hotPart()+(1-m.hotPart())*(gone-m.Warm)/shift, 1)
	}
}

// Resumed is a held move as it goes on from a time: what was still to come is later by as long as it was held.
func (m Move) Resumed(now float64) Move {
	if m.HeldAt > 0 && now > m.HeldAt {
		m.Start += now - m.HeldAt
	}
	m.HeldAt = 0
	return m
}

// Pending reports that objects are on their way, or that the other cell still takes what the new one can't bear.
func (m *Move) Pending(now float64) bool { return now >= m.Start && now < m.Until() }

// GoesBack reports that the move has been taken back.
func (m *Move) GoesBack(now float64) bool { return m.BackAt > 0 && now >= m.BackAt }

func (m *Move) hotPart() float64 {
	if len(m.Hot) == 0 {
		return 0
	}
	return hotShare
}

// Phase is where the move stands at a time.
func (m *Move) Phase(now float64) Phase {
	share := m.Share(now)
	end := m.Start + m.Warm + m.slow()
	switch {
	case m.BackAt > 0 && now >= m.BackAt && share == 0:
		return Back
	case m.BackAt > 0 && now >= m.BackAt:
		return GoingBack
	case m.HeldAt > 0 && now >= m.HeldAt && m.HeldAt < end:
		return Held
	case now < m.Start:
		return Planned
	case now < m.Start+m.Warm:
		return Warming
	case now < end:
		return Shifting
	case now < end+m.Settle:
		return Settling
	}
	return Done
}

// Place is an object's place in the order in which objects move, 0 to 1: the hot ones first, as they are named, the others by a hash
// that all routers share. A video's parts move together.
func (m *Move) Place(object string) float64 {
	if i := slices.Index(m.Hot, object); i >= 0 {
		return hotShare * (float64(i) + 0.5) / float64(len(m.Hot))
	}
	u := (float64(xxhash.Sum64String(m.Tenant+"\x00"+object)>>11) + 0.5) / (1 << 53)
	return m.hotPart() + (1-m.hotPart())*u
}

// Until is when the move needs no more looking at: done, or rolled back; math.Inf(1) while it is held.
func (m *Move) Until() float64 {
	switch {
	case m.BackAt > 0:
		return m.BackAt + m.Share(m.BackAt)*m.Shift + m.Settle
	case m.HeldAt > 0 && m.HeldAt < m.Start+m.Warm+m.slow():
		return math.Inf(1)
	}
	return m.Start + m.Warm + m.slow() + m.Settle
}
