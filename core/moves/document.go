// Package moves takes tenants from one cell to another while they are served. What a move is at a moment follows from its
// document and the clock alone, so that routers which share nothing come to the same split.
//
// The bound: two routers that hold the same document and whose clocks are apart by d send at most the part d/Shift (while it warms, d/10/Warm) of a tenant's
// objects to different cells, and none once Settle has begun for both. Between two versions of a document a router goes on from the
// share that the later one gives.
//
// The package does no I/O and reads no clock: times come in as Unix milliseconds.
package moves

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Document holds all moves. A later version replaces an earlier one whole.
type Document struct {
	Version int64  `json:"version"`
	Moves   []Move `json:"moves"`
}

// Move is one tenant's way from one cell to another in one depot. Times are Unix milliseconds, spans milliseconds.
type Move struct {
	Tenant string   `json:"tenant"`
	Depot  string   `json:"depot"`
	From   string   `json:"from"`
	To     string   `json:"to"`
	Start  float64  `json:"start"`
	Warm   float64  `json:"warm"`   // the hottest objects alone go to the new cell, one after the other
	Shift  float64  `json:"shift"`  // the others follow
	Settle float64  `json:"settle"` // all have gone; the old cell still counts as the way back
	Hot    []string `json:"hot,omitempty"`
	HeldAt float64  `json:"heldAt,omitempty"` // the share stays what it was then; 0: not held
	BackAt float64  `json:"backAt,omitempty"` // from then on the share falls as fast as it may rise; 0: not taken back
}

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
	// leastShift keeps a step of the clock, or routers a second or two apart, from moving much at once.
	leastShift = 10_000
	// hotShare is the part of the split that the hot objects take up, named one after the other.
	hotShare = 0.1
)

var errMove = errors.New("can't be used")

// Check reports the first thing that can't be used. now is the time at which a document is taken in: a move that would be over by then
// and was never begun under an earlier document is refused, since it would jump.
func (d *Document) Check(now float64, before *Document) error {
	fault := func(i int, field, format string, args ...any) error {
		return fmt.Errorf("moves[%d].%s: %w: %s", i, field, errMove, fmt.Sprintf(format, args...))
	}
	if d.Version < 1 || before != nil && d.Version <= before.Version {
		return fmt.Errorf("version: %w: %d is not after the one in force", errMove, d.Version)
	}
	if len(d.Moves) > MaxMoves {
		return fmt.Errorf("moves: %w: %d of them, %d at most", errMove, len(d.Moves), MaxMoves)
	}
	type who struct{ tenant, depot string }
	seen := map[who]bool{}
	for i := range d.Moves {
		m := &d.Moves[i]
		at := who{m.Tenant, m.Depot}
		switch {
		case m.Tenant == "" || m.Depot == "":
			return fault(i, "tenant", "tenant and depot are needed")
		case seen[at]:
			return fault(i, "tenant", "%s moves twice in %s", m.Tenant, m.Depot)
		case m.From == "" || m.To == "" || m.From == m.To:
			return fault(i, "to", "%q to %q is no way", m.From, m.To)
		case !(m.Start > 0) || math.IsInf(m.Start, 1):
			return fault(i, "start", "%v is no time", m.Start)
		case !(m.Warm >= 0 && m.Warm < 1e9) || !(m.Settle >= 0 && m.Settle < 1e9):
			return fault(i, "warm", "%v and settle %v: 0 to 1e9 ms", m.Warm, m.Settle)
		case !(m.Shift >= leastShift && m.Shift < 1e9):
			return fault(i, "shift", "%v: %d to 1e9 ms", m.Shift, leastShift)
		case len(m.Hot) > MaxHot || m.Warm == 0 && len(m.Hot) > 0:
			return fault(i, "hot", "%d objects in %v ms of warming, %d at most", len(m.Hot), m.Warm, MaxHot)
		case !(m.HeldAt >= 0) || !(m.BackAt >= 0) || m.BackAt > 0 && m.BackAt < m.Start:
			return fault(i, "backAt", "held at %v and back at %v for a start at %v", m.HeldAt, m.BackAt, m.Start)
		}
		seen[at] = true
		if begun := before != nil && slices.ContainsFunc(before.Moves, func(o Move) bool {
			return o.Tenant == m.Tenant && o.Depot == m.Depot && o.From == m.From && o.To == m.To && o.Start <= m.Start
		}); !begun && m.BackAt == 0 && m.HeldAt == 0 && m.Start+m.Warm < now {
			return fault(i, "start", "would be %s already, and was never begun", m.Phase(now))
		}
	}
	return nil
}

// Share is the part of the tenant's objects, in their order, that belongs to the new cell at a time.
func (m *Move) Share(now float64) float64 {
	at := now
	if m.HeldAt > 0 {
		at = min(at, m.HeldAt)
	}
	if m.BackAt > 0 {
		at = min(at, m.BackAt)
	}
	share := m.forward(at)
	if m.BackAt > 0 && now > m.BackAt {
		share -= (now - m.BackAt) / m.Shift
	}
	return max(share, 0)
}

// forward is the share that a move which goes on has.
func (m *Move) forward(now float64) float64 {
	switch gone := now - m.Start; {
	case gone <= 0:
		return 0
	case gone < m.Warm:
		return m.hotPart() * gone / m.Warm
	default:
		return min(m.hotPart()+(1-m.hotPart())*(gone-m.Warm)/m.Shift, 1)
	}
}

func (m *Move) hotPart() float64 {
	if len(m.Hot) == 0 {
		return 0
	}
	return hotShare
}

// Phase is where the move stands at a time.
func (m *Move) Phase(now float64) Phase {
	share := m.Share(now)
	end := m.Start + m.Warm + m.Shift
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

// Cell is where an object of the tenant is served at a time.
func (m *Move) Cell(now float64, object string) string {
	if m.Place(object) < m.Share(now) {
		return m.To
	}
	return m.From
}

// Until is when the move needs no more looking at: done, or rolled back; math.Inf(1) while it is held.
func (m *Move) Until() float64 {
	switch {
	case m.BackAt > 0:
		return m.BackAt + m.Share(m.BackAt)*m.Shift
	case m.HeldAt > 0 && m.HeldAt < m.Start+m.Warm+m.Shift:
		return math.Inf(1)
	}
	return m.Start + m.Warm + m.Shift + m.Settle
}

// Circles lists tenants whose moves wait for each other's room, each circle from its least cell on: A to B, B to C, C to A.
func (d *Document) Circles() [][]string {
	next := map[string][]string{}
	for _, m := range d.Moves {
		if !slices.Contains(next[m.From], m.To) {
			next[m.From] = append(next[m.From], m.To)
		}
	}
	var circles [][]string
	var walk func(path []string)
	walk = func(path []string) {
		for _, to := range next[path[len(path)-1]] {
			switch {
			case to == path[0]:
				circles = append(circles, slices.Clone(path))
			case to > path[0] && !slices.Contains(path, to):
				walk(append(path, to))
			}
		}
	}
	for _, from := range sortedKeys(next) {
		slices.Sort(next[from])
	}
	for _, from := range sortedKeys(next) {
		walk([]string{from})
	}
	return circles
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, cmp.Compare[string])
	return keys
}
