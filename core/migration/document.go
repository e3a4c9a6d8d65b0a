// Package migration takes tenants from one cell to another while they are served. How far a move may be at a moment follows from its
// document and the clock alone, so that routers which share nothing stay together: a router's share of a move lies between Floor and
// Share, and what it does between them follows what it sees of the cells (Pacer) and what the new cell bears (CapacityLimiter).
//
// The bound: two routers that hold the same document and whose clocks are apart by d differ in a tenant's objects by at most Share-Floor
// and d times the greatest slope of either; by none once Settle has begun for both. With Slow equal to Shift that is d/Shift alone. Between
// two versions of a document a router goes from its share to where the later one lets it be at MaxRiseRate and MaxFallRate, and jumps nowhere.
//
// The package does no I/O and reads no clock: times come in as Unix milliseconds.
package migration

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Document holds all moves. A later version replaces an earlier one whole.
type Document struct {
	Version    int64       `json:"version" jsonschema:"minimum=0" jsonschema_description:"number of this document; a later one is greater"`
	Migrations []Migration `json:"moves"`
}

// Migration is one tenant's way from one cell to another in one depot. Times are Unix milliseconds, spans milliseconds.
type Migration struct {
	Tenant     string   `json:"tenant"`
	Site       string   `json:"depot" jsonschema_description:"the depot; * for all"`
	From       string   `json:"from"`
	To         string   `json:"to"`
	Start      float64  `json:"start" jsonschema_description:"Unix milliseconds"`
	WarmUp     float64  `json:"warm,omitempty" jsonschema_description:"ms in which the hottest objects alone go to the new cell, one after the other"`
	MinShift   float64  `json:"shift" jsonschema_description:"ms in which the others follow, at the soonest"`
	MaxShift   float64  `json:"slow,omitempty" jsonschema_description:"the same at the latest; left out: as shift, a fixed ramp"`
	Settle     float64  `json:"settle,omitempty" jsonschema_description:"ms after all have gone in which the old cell still takes what the new one can't bear"`
	HotObjects []string `json:"hot,omitempty" jsonschema_description:"objects that go first, in hex, hottest first"`
	PausedAt   float64  `json:"heldAt,omitempty" jsonschema_description:"the share stays what it was then; 0: not held"`
	RollbackAt float64  `json:"backAt,omitempty" jsonschema_description:"from then on the share falls as fast as it may rise; 0: not taken back"`
	// Unbounded lets the new cell take what comes, and the share follow the ramp: for emergencies, and to compare with.
	Unbounded bool `json:"unbounded,omitempty" jsonschema_description:"no bound on what the new cell is sent, and no look at how it does"`
}

// AllSites is the depot of a move that is made in every one.
const AllSites = "*"

// Phase is where a move stands.
type Phase int

// The phases.
const (
	Planned Phase = iota
	Warming
	Shifting
	Settling
	Done
	Paused
	RollingBack
	RolledBack // rolled back: the tenant is in its old cell
)

var phaseNames = []string{"planned", "warming", "shifting", "settling", "done", "held", "going back", "rolled back"}

func (p Phase) String() string { return phaseNames[p] }

// Bounds of a document.
const (
	MaxMigrations = 1000
	MaxHotObjects = 1000
	// ShortestShiftMs, in ms, keeps a step of the clock, or routers a second or two apart, from moving much at once.
	ShortestShiftMs = 10_000
	// hotShare is the part of the split that the hot objects take up, named one after the other.
	hotShare = 0.1
)

// ErrInvalid is wrapped by every fault of a document.
var ErrInvalid = errors.New("can't be used")

// Validate reports the first thing that can't be used. now is the time at which a document is taken in: a move that would be over by then
// and was never begun under an earlier document is refused, since it would jump.
func (d *Document) Validate(now float64, before *Document) error {
	fault := func(i int, field, format string, args ...any) error {
		return fmt.Errorf("moves[%d].%s: %w: %s", i, field, ErrInvalid, fmt.Sprintf(format, args...))
	}
	if d.Version < 1 || before != nil && d.Version <= before.Version {
		return fmt.Errorf("version: %w: %d is not after the one in force", ErrInvalid, d.Version)
	}
	if len(d.Migrations) > MaxMigrations {
		return fmt.Errorf("moves: %w: %d of them, %d at most", ErrInvalid, len(d.Migrations), MaxMigrations)
	}
	type who struct{ tenant, depot string }
	seen, anywhere := map[who]bool{}, map[string]bool{}
	for i := range d.Migrations {
		m := &d.Migrations[i]
		at := who{m.Tenant, m.Site}
		switch {
		case m.Tenant == "" || m.Site == "":
			return fault(i, "tenant", "tenant and depot are needed")
		case seen[at] || seen[who{m.Tenant, AllSites}] || m.Site == AllSites && anywhere[m.Tenant]:
			return fault(i, "tenant", "%s moves twice in %s", m.Tenant, m.Site)
		case m.From == "" || m.To == "" || m.From == m.To:
			return fault(i, "to", "%q to %q is no way", m.From, m.To)
		case !(m.Start > 0) || math.IsInf(m.Start, 1):
			return fault(i, "start", "%v is no time", m.Start)
		case !(m.WarmUp >= 0 && m.WarmUp < 1e9) || !(m.Settle >= 0 && m.Settle < 1e9):
			return fault(i, "warm", "%v and settle %v: 0 to 1e9 ms", m.WarmUp, m.Settle)
		case !(m.MinShift >= ShortestShiftMs && m.MinShift < 1e9):
			return fault(i, "shift", "%v: %d to 1e9 ms", m.MinShift, ShortestShiftMs)
		case m.MaxShift != 0 && !(m.MaxShift >= m.MinShift && m.MaxShift < 1e9):
			return fault(i, "slow", "%v: shift (%v) to 1e9 ms, or left out", m.MaxShift, m.MinShift)
		case len(m.HotObjects) > MaxHotObjects || m.WarmUp == 0 && len(m.HotObjects) > 0:
			return fault(i, "hot", "%d objects in %v ms of warming, %d at most", len(m.HotObjects), m.WarmUp, MaxHotObjects)
		case !(m.PausedAt >= 0) || !(m.RollbackAt >= 0) || m.RollbackAt > 0 && m.RollbackAt < m.Start:
			return fault(i, "backAt", "held at %v and back at %v for a start at %v", m.PausedAt, m.RollbackAt, m.Start)
		}
		seen[at], anywhere[m.Tenant] = true, true
		if begun := before != nil && slices.ContainsFunc(before.Migrations, func(o Migration) bool {
			return o.Tenant == m.Tenant && o.Site == m.Site && o.From == m.From && o.To == m.To && o.Start <= m.Start
		}); !begun && m.RollbackAt == 0 && m.PausedAt == 0 && m.Start+m.WarmUp < now {
			return fault(i, "start", "would be %s already, and was never begun", m.Phase(now))
		}
	}
	return d.validateOngoing(now, before)
}

// validateOngoing reports a move under way that a document leaves out or leads elsewhere: its tenant would jump. Such a move is held, taken
// back, or left to its end.
func (d *Document) validateOngoing(now float64, before *Document) error {
	if before == nil {
		return nil
	}
	for _, b := range before.Migrations {
		if p := b.Phase(now); p == Planned || p == Done || p == RolledBack {
			continue
		}
		if !slices.ContainsFunc(d.Migrations, func(m Migration) bool {
			return m.Tenant == b.Tenant && m.Site == b.Site && m.From == b.From && m.To == b.To
		}) {
			return fmt.Errorf("moves: %w: that of %s in %s is %s, and missing or led elsewhere; hold it or take it back", ErrInvalid, b.Tenant, b.Site, b.Phase(now))
		}
	}
	return nil
}

// MaxShare is the greatest part of the tenant's objects, in their order, that may belong to the new cell at a time.
func (m *Migration) MaxShare(now float64) float64 { return m.scheduledShare(now, m.MinShift) }

// MinShare is the least part that does: a router that starts in the midst of a move begins there.
func (m *Migration) MinShare(now float64) float64 { return m.scheduledShare(now, m.longestShift()) }

func (m *Migration) longestShift() float64 { return max(m.MaxShift, m.MinShift) }

func (m *Migration) scheduledShare(now, shift float64) float64 {
	at := now
	if m.PausedAt > 0 {
		at = min(at, m.PausedAt)
	}
	if m.RollbackAt > 0 {
		at = min(at, m.RollbackAt)
	}
	share := m.forwardShare(at, shift)
	if m.RollbackAt > 0 && now > m.RollbackAt {
		share -= (now - m.RollbackAt) / m.MinShift
	}
	return max(share, 0)
}

// forwardShare is the share that a move which goes on has.
func (m *Migration) forwardShare(now, shift float64) float64 {
	switch gone := now - m.Start; {
	case gone <= 0:
		return 0
	case gone < m.WarmUp:
		return m.hotObjectsShare() * gone / m.WarmUp
	default:
		return min(m.hotObjectsShare()+(1-m.hotObjectsShare())*(gone-m.WarmUp)/shift, 1)
	}
}

// Resumed is a held move as it goes on from a time: what was still to come is later by as long as it was held.
func (m Migration) Resumed(now float64) Migration {
	if m.PausedAt > 0 && now > m.PausedAt {
		m.Start += now - m.PausedAt
	}
	m.PausedAt = 0
	return m
}

// InProgress reports that objects are on their way, or that the other cell still takes what the new one can't bear.
func (m *Migration) InProgress(now float64) bool { return now >= m.Start && now < m.EndsAt() }

// RollbackStarted reports that the move has been taken back.
func (m *Migration) RollbackStarted(now float64) bool { return m.RollbackAt > 0 && now >= m.RollbackAt }

func (m *Migration) hotObjectsShare() float64 {
	if len(m.HotObjects) == 0 {
		return 0
	}
	return hotShare
}

// Phase is where the move stands at a time.
func (m *Migration) Phase(now float64) Phase {
	share := m.MaxShare(now)
	end := m.Start + m.WarmUp + m.longestShift()
	switch {
	case m.RollbackAt > 0 && now >= m.RollbackAt && share == 0:
		return RolledBack
	case m.RollbackAt > 0 && now >= m.RollbackAt:
		return RollingBack
	case m.PausedAt > 0 && now >= m.PausedAt && m.PausedAt < end:
		return Paused
	case now < m.Start:
		return Planned
	case now < m.Start+m.WarmUp:
		return Warming
	case now < end:
		return Shifting
	case now < end+m.Settle:
		return Settling
	}
	return Done
}

// Position is an object's place in the order in which objects move, 0 to 1: the hot ones first, as they are named, the others by a hash
// that all routers share. A video's parts move together.
func (m *Migration) Position(object string) float64 {
	if i := slices.Index(m.HotObjects, object); i >= 0 {
		return hotShare * (float64(i) + 0.5) / float64(len(m.HotObjects))
	}
	u := (float64(xxhash.Sum64String(m.Tenant+"\x00"+object)>>11) + 0.5) / (1 << 53)
	return m.hotObjectsShare() + (1-m.hotObjectsShare())*u
}

// EndsAt is when the move needs no more looking at: done, or rolled back; math.Inf(1) while it is held.
func (m *Migration) EndsAt() float64 {
	switch {
	case m.RollbackAt > 0:
		return m.RollbackAt + m.MaxShare(m.RollbackAt)*m.MinShift + m.Settle
	case m.PausedAt > 0 && m.PausedAt < m.Start+m.WarmUp+m.longestShift():
		return math.Inf(1)
	}
	return m.Start + m.WarmUp + m.longestShift() + m.Settle
}
