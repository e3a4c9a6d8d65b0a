package migration

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// Bounds of a document.
const (
	// MaxMigrations is how many migrations a document may hold.
	MaxMigrations = 1000
	// MaxHotObjects is how many objects a migration may name.
	MaxHotObjects = 1000
	// ShortestShiftMs is the least MinShift, in ms: a step of the clock, or routers a second or two apart, must not move
	// much of a tenant at once.
	ShortestShiftMs = 10_000
	// spanLimitMs is above every span, in ms: some 11 days.
	spanLimitMs = 1e9
)

// The errors of Validate. Each of them wraps ErrInvalid.
var (
	// ErrInvalid is wrapped by every error of Validate, after the field and before what is wrong with its value.
	ErrInvalid = errors.New("invalid migration")
	// ErrStaleVersion: the document's version is not greater than that of the one in force.
	ErrStaleVersion = fmt.Errorf("%w: stale version", ErrInvalid)
	// ErrNeverBegun: the migration would be under way or over already, and no earlier document began it, so that its
	// tenant would jump from cell to cell.
	ErrNeverBegun = fmt.Errorf("%w: never begun", ErrInvalid)
	// ErrOngoing: the document leaves out a migration that is under way, or leads it elsewhere.
	ErrOngoing = fmt.Errorf("%w: under way", ErrInvalid)
)

// Validate returns the first fault of the document, as an error that names the field and wraps ErrInvalid. now is the
// time at which the document is loaded, inForce the document that it replaces; nil if there is none.
func (d *Document) Validate(now float64, inForce *Document) error {
	if d.Version < 1 {
		return fmt.Errorf("version: %w: %d is under 1", ErrStaleVersion, d.Version)
	}
	if inForce != nil && d.Version <= inForce.Version {
		return fmt.Errorf("version: %w: %d is not above %d, which is in force", ErrStaleVersion, d.Version, inForce.Version)
	}
	if len(d.Migrations) > MaxMigrations {
		return fmt.Errorf("moves: %w: %d of them, %d at most", ErrInvalid, len(d.Migrations), MaxMigrations)
	}
	seen := tenantSites{}
	for i := range d.Migrations {
		m := &d.Migrations[i]
		if err := m.validate(seen); err != nil {
			return fmt.Errorf("moves[%d].%w", i, err)
		}
		seen.add(m)
		if m.wouldJump(now) && !inForce.began(m) {
			return fmt.Errorf("moves[%d].start: %w: would be %s already", i, ErrNeverBegun, m.Phase(now))
		}
	}
	return d.validateOngoing(now, inForce)
}

// tenantSites are the sites at which each tenant migrates by the part of a document that has been validated.
type tenantSites map[string][]string

func (s tenantSites) add(m *Migration) { s[m.Tenant] = append(s[m.Tenant], m.Site) }

// overlaps reports whether the tenant of m migrates at one of m's sites already.
func (s tenantSites) overlaps(m *Migration) bool {
	sites := s[m.Tenant]
	if m.Site == AllSites {
		return len(sites) > 0
	}
	return slices.Contains(sites, m.Site) || slices.Contains(sites, AllSites)
}

// validate returns the first fault of the migration by itself. seen holds those before it in the document.
func (m *Migration) validate(seen tenantSites) error {
	invalid := func(field, format string, args ...any) error {
		return fmt.Errorf("%s: %w: %s", field, ErrInvalid, fmt.Sprintf(format, args...))
	}
	switch {
	case m.Tenant == "" || m.Site == "":
		return invalid("tenant", "tenant %q and depot %q: both are needed", m.Tenant, m.Site)
	case seen.overlaps(m):
		return invalid("tenant", "%s moves twice in %s", m.Tenant, m.Site)
	case m.From == "" || m.To == "" || m.From == m.To:
		return invalid("to", "from %q to %q: two different cells are needed", m.From, m.To)
	case !(m.Start > 0) || math.IsInf(m.Start, 1):
		return invalid("start", "%v is not a time in Unix ms", m.Start)
	case !isSpan(m.WarmUp) || !isSpan(m.Settle):
		return invalid("warm", "%v and settle %v: not 0 to %v ms", m.WarmUp, m.Settle, spanLimitMs)
	case !isSpan(m.MinShift) || m.MinShift < ShortestShiftMs:
		return invalid("shift", "%v: not %d to %v ms", m.MinShift, ShortestShiftMs, spanLimitMs)
	case m.MaxShift != 0 && (!isSpan(m.MaxShift) || m.MaxShift < m.MinShift):
		return invalid("slow", "%v: not shift (%v) to %v ms, nor left out", m.MaxShift, m.MinShift, spanLimitMs)
	case len(m.HotObjects) > MaxHotObjects:
		return invalid("hot", "%d objects, %d at most", len(m.HotObjects), MaxHotObjects)
	case len(m.HotObjects) > 0 && m.WarmUp == 0:
		return invalid("hot", "%d objects and warm 0: there is no time in which they go first", len(m.HotObjects))
	case !(m.PausedAt >= 0):
		return invalid("heldAt", "%v is not a time in Unix ms", m.PausedAt)
	case !(m.RollbackAt >= 0):
		return invalid("backAt", "%v is not a time in Unix ms", m.RollbackAt)
	case m.RollbackAt > 0 && m.RollbackAt < m.Start:
		return invalid("backAt", "%v is before start (%v)", m.RollbackAt, m.Start)
	}
	return nil
}

// isSpan reports whether ms is a span that a document may give. NaN is none.
func isSpan(ms float64) bool { return ms >= 0 && ms < spanLimitMs }

// wouldJump reports whether objects other than the hot ones would have moved by now, were the migration to begin with
// this document. One that is paused or rolled back is let through: it stands still or goes back.
func (m *Migration) wouldJump(now float64) bool {
	return m.RollbackAt == 0 && m.PausedAt == 0 && m.Start+m.WarmUp < now
}

// began reports whether the document holds the same migration with a start no later. A nil document holds none.
func (d *Document) began(m *Migration) bool {
	return d != nil && slices.ContainsFunc(d.Migrations, func(earlier Migration) bool {
		return earlier.isSameAs(m) && earlier.Start <= m.Start
	})
}

// validateOngoing returns an error for a migration under way that the document leaves out or leads elsewhere: its
// tenant would jump. Such a migration must be paused, rolled back, or left to its end.
func (d *Document) validateOngoing(now float64, inForce *Document) error {
	if inForce == nil {
		return nil
	}
	for i := range inForce.Migrations {
		ongoing := &inForce.Migrations[i]
		phase := ongoing.Phase(now)
		if phase == Planned || phase == Done || phase == RolledBack {
			continue
		}
		if !slices.ContainsFunc(d.Migrations, func(m Migration) bool { return m.isSameAs(ongoing) }) {
			return fmt.Errorf("moves: %w: that of %s in %s is %s, and missing or led elsewhere; hold it or take it back",
				ErrOngoing, ongoing.Tenant, ongoing.Site, phase)
		}
	}
	return nil
}
