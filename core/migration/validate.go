package migration

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// Bounds of a document.
const (
	// MaxMigrations is the maximum number of migrations in a document.
	MaxMigrations = 1000
	// MaxHotObjects is the maximum number of hot objects of a migration.
	MaxHotObjects = 1000
	// ShortestShiftMs is the lower bound of MinShift, in ms. It limits how much of a tenant moves at once when a clock
	// steps or when the clocks of routers differ by a second or two.
	ShortestShiftMs = 10_000
	// durationLimitMs is the exclusive upper bound of all durations, in ms: about 11 days.
	durationLimitMs = 1e9
)

// Errors of Validate. All of them wrap ErrInvalid.
var (
	// ErrInvalid is wrapped by every error of Validate. The text is the field, then ErrInvalid, then the details.
	ErrInvalid = errors.New("invalid migration")
	// ErrStaleVersion means that the document's version is below 1 or not greater than that of the current document.
	ErrStaleVersion = fmt.Errorf("%w: stale version", ErrInvalid)
	// ErrWarmUpEnded means that the warm-up of the migration ends in the past and that the current document does not
	// have the migration. Objects of the tenant would jump to the new cell.
	ErrWarmUpEnded = fmt.Errorf("%w: warm-up ends in the past", ErrInvalid)
	// ErrInProgress means that the document lacks a migration that is in progress, or changes its site or cells.
	ErrInProgress = fmt.Errorf("%w: lacks or changes a migration in progress", ErrInvalid)
)

// Validate returns an error for the first invalid field of the document, or nil. The error names the field and wraps
// ErrInvalid. now is the time at which the document is loaded, in Unix ms. current is the document that it replaces, or
// nil.
func (d *Document) Validate(now float64, current *Document) error {
	if d.Version < 1 {
		return fmt.Errorf("version: %w: %d is less than 1", ErrStaleVersion, d.Version)
	}
	if current != nil && d.Version <= current.Version {
		return fmt.Errorf("version: %w: %d is not greater than the current version %d",
			ErrStaleVersion, d.Version, current.Version)
	}
	if len(d.Migrations) > MaxMigrations {
		return fmt.Errorf("moves: %w: %d migrations, at most %d allowed", ErrInvalid, len(d.Migrations), MaxMigrations)
	}
	seen := tenantSites{}
	for i := range d.Migrations {
		m := &d.Migrations[i]
		if err := m.validate(seen); err != nil {
			return fmt.Errorf("moves[%d].%w", i, err)
		}
		seen.add(m)
		if m.wouldJump(now) && !current.hasStarted(m) {
			return fmt.Errorf("moves[%d].start: %w: phase would already be %s", i, ErrWarmUpEnded, m.Phase(now))
		}
	}
	return d.validateInProgress(now, current)
}

// tenantSites maps each tenant to the sites at which it migrates, for the migrations validated so far.
type tenantSites map[string][]string

func (s tenantSites) add(m *Migration) { s[m.Tenant] = append(s[m.Tenant], m.Site) }

// overlaps reports whether the tenant of m already has a migration at the site of m.
func (s tenantSites) overlaps(m *Migration) bool {
	sites := s[m.Tenant]
	if m.Site == AllSites {
		return len(sites) > 0
	}
	return slices.Contains(sites, m.Site) || slices.Contains(sites, AllSites)
}

// validate returns an error for the first invalid field of the migration, or nil. seen has the sites of the migrations
// before it in the document.
func (m *Migration) validate(seen tenantSites) error {
	invalid := func(field, format string, args ...any) error {
		return fmt.Errorf("%s: %w: %s", field, ErrInvalid, fmt.Sprintf(format, args...))
	}
	switch {
	case m.Tenant == "" || m.Site == "":
		return invalid("tenant", "tenant %q and depot %q: neither may be empty", m.Tenant, m.Site)
	case seen.overlaps(m):
		return invalid("tenant", "%s moves twice: another of its migrations overlaps at site %q", m.Tenant, m.Site)
	case m.From == "" || m.To == "" || m.From == m.To:
		return invalid("to", "from %q to %q: must be two different cells", m.From, m.To)
	case !(m.Start > 0) || math.IsInf(m.Start, 1):
		return invalid("start", "%v is not a time in Unix ms", m.Start)
	case !isDuration(m.WarmUp) || !isDuration(m.Settle):
		return invalid("warm", "warm %v, settle %v: must be from 0 to below %v ms", m.WarmUp, m.Settle, durationLimitMs)
	case !isDuration(m.MinShift) || m.MinShift < ShortestShiftMs:
		return invalid("shift", "%v: must be from %d to below %v ms", m.MinShift, ShortestShiftMs, durationLimitMs)
	case m.MaxShift != 0 && (!isDuration(m.MaxShift) || m.MaxShift < m.MinShift):
		return invalid("slow", "%v: must be left out or from shift (%v) to below %v ms",
			m.MaxShift, m.MinShift, durationLimitMs)
	case len(m.HotObjects) > MaxHotObjects:
		return invalid("hot", "%d objects, at most %d allowed", len(m.HotObjects), MaxHotObjects)
	case len(m.HotObjects) > 0 && m.WarmUp == 0:
		return invalid("hot", "%d hot objects, but warm is 0; set a warm-up", len(m.HotObjects))
	case !(m.PausedAt >= 0):
		return invalid("heldAt", "%v is not a time in Unix ms", m.PausedAt)
	case !(m.RollbackAt >= 0):
		return invalid("backAt", "%v is not a time in Unix ms", m.RollbackAt)
	case m.RollbackAt > 0 && m.RollbackAt < m.Start:
		return invalid("backAt", "%v is before start (%v)", m.RollbackAt, m.Start)
	}
	return nil
}

// isDuration reports whether ms is a valid duration: at least 0 and below durationLimitMs. NaN is invalid.
func isDuration(ms float64) bool { return ms >= 0 && ms < durationLimitMs }

// wouldJump reports whether objects that are not hot would jump to the new cell if the migration started with this
// document. That cannot happen if it is paused or rolled back.
func (m *Migration) wouldJump(now float64) bool {
	return m.RollbackAt == 0 && m.PausedAt == 0 && m.Start+m.WarmUp < now
}

// hasStarted reports whether the document has the same migration with the same or an earlier start. d may be nil.
func (d *Document) hasStarted(m *Migration) bool {
	return d != nil && slices.ContainsFunc(d.Migrations, func(earlier Migration) bool {
		return earlier.isSameAs(m) && earlier.Start <= m.Start
	})
}

// validateInProgress returns an error for the first migration in progress that the document lacks, or whose site or
// cells it changes. With such a document, objects of the tenant would jump between cells. A migration in progress must
// stay in the document until it is done or rolled back. Operators stop it by setting PausedAt or RollbackAt.
func (d *Document) validateInProgress(now float64, current *Document) error {
	if current == nil {
		return nil
	}
	for i := range current.Migrations {
		inProgress := &current.Migrations[i]
		phase := inProgress.Phase(now)
		if phase == Planned || phase == Done || phase == RolledBack {
			continue
		}
		if !slices.ContainsFunc(d.Migrations, func(m Migration) bool { return m.isSameAs(inProgress) }) {
			return fmt.Errorf("moves: %w: tenant %s at site %s is %s; keep it until it ends, or set heldAt or backAt",
				ErrInProgress, inProgress.Tenant, inProgress.Site, phase)
		}
	}
	return nil
}
