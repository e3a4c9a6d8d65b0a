package migration

import "math"

// Phase is where a migration stands.
type Phase int

// The phases, in the order in which a migration passes them unless it is paused or rolled back.
const (
	Planned  Phase = iota // Start is still to come
	Warming               // the hot objects move
	Shifting              // the other objects move
	Settling              // all objects have moved; the old cell still takes what the new one lacks capacity for
	Done
	Paused      // the share stays what it was
	RollingBack // objects move back to the old cell
	RolledBack  // the tenant is in its old cell
)

var phaseNames = []string{"planned", "warming", "shifting", "settling", "done", "held", "going back", "rolled back"}

// String returns the word for the phase that status output uses.
func (p Phase) String() string { return phaseNames[p] }

// Phase returns where the migration stands at a time.
func (m *Migration) Phase(now float64) Phase {
	if m.RollbackStarted(now) {
		if m.MaxShare(now) == 0 {
			return RolledBack
		}
		return RollingBack
	}
	shifted := m.shiftedBy()
	switch {
	case m.PausedAt > 0 && now >= m.PausedAt && m.PausedAt < shifted:
		return Paused
	case now < m.Start:
		return Planned
	case now < m.Start+m.WarmUp:
		return Warming
	case now < shifted:
		return Shifting
	case now < shifted+m.Settle:
		return Settling
	}
	return Done
}

// shiftedBy is when all objects have moved, at the latest, if the migration is neither paused nor rolled back.
func (m *Migration) shiftedBy() float64 { return m.Start + m.WarmUp + m.longestShift() }

// InProgress reports whether objects are moving, or the other cell still takes what the target lacks capacity for.
func (m *Migration) InProgress(now float64) bool { return now >= m.Start && now < m.EndsAt() }

// RollbackStarted reports whether the migration has been rolled back by now. From then on objects move to its old cell.
func (m *Migration) RollbackStarted(now float64) bool { return m.RollbackAt > 0 && now >= m.RollbackAt }

// EndsAt is when the migration is done or rolled back, and settled; math.Inf(1) while it is paused.
func (m *Migration) EndsAt() float64 {
	switch {
	case m.RollbackAt > 0:
		return m.RollbackAt + m.MaxShare(m.RollbackAt)*m.MinShift + m.Settle
	case m.PausedAt > 0 && m.PausedAt < m.shiftedBy():
		return math.Inf(1)
	}
	return m.shiftedBy() + m.Settle
}

// Resumed is a paused migration as it goes on from now: what was still to come is later by the length of the pause.
func (m Migration) Resumed(now float64) Migration {
	if m.PausedAt > 0 && now > m.PausedAt {
		m.Start += now - m.PausedAt
	}
	m.PausedAt = 0
	return m
}
