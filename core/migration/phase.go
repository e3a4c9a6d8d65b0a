package migration

import "math"

// Phase is a stage of a migration, for example the warm-up or the rollback.
type Phase int

// The phases, in the order in which a migration passes them unless it is paused or rolled back.
const (
	Planned  Phase = iota // before Start
	Warming               // hot objects are moving
	Shifting              // the other objects are moving
	Settling              // all objects have moved; the old cell serves what the new one lacks capacity for
	Done
	Paused      // MinShare and MaxShare stay constant
	RollingBack // objects are moving back to the old cell
	RolledBack  // all objects are back in the old cell
)

var phaseNames = []string{"planned", "warming", "shifting", "settling", "done", "held", "going back", "rolled back"}

// String returns the name of the phase as it appears in logs and status output.
func (p Phase) String() string { return phaseNames[p] }

// Phase returns the phase of the migration at now.
func (m *Migration) Phase(now float64) Phase {
	if m.RollbackStarted(now) {
		if m.MaxShare(now) == 0 {
			return RolledBack
		}
		return RollingBack
	}
	shiftEnd := m.latestShiftEnd()
	switch {
	case m.PausedAt > 0 && now >= m.PausedAt && m.PausedAt < shiftEnd:
		return Paused
	case now < m.Start:
		return Planned
	case now < m.Start+m.WarmUp:
		return Warming
	case now < shiftEnd:
		return Shifting
	case now < shiftEnd+m.Settle:
		return Settling
	}
	return Done
}

// latestShiftEnd returns the latest time by which all objects have moved, disregarding PausedAt and RollbackAt.
func (m *Migration) latestShiftEnd() float64 { return m.Start + m.WarmUp + m.longestShift() }

// InProgress reports whether the migration has started and has not yet ended. During this time either cell may get
// requests. It includes the Settle time, also after a rollback, when the phase is already RolledBack.
func (m *Migration) InProgress(now float64) bool { return now >= m.Start && now < m.EndsAt() }

// RollbackStarted reports whether RollbackAt has passed. From then on objects move back to the old cell.
func (m *Migration) RollbackStarted(now float64) bool { return m.RollbackAt > 0 && now >= m.RollbackAt }

// EndsAt returns the time at which the migration, including its Settle time, is done or rolled back. It returns
// math.Inf(1) if the migration is paused and not rolled back.
func (m *Migration) EndsAt() float64 {
	switch {
	case m.RollbackAt > 0:
		return m.RollbackAt + m.MaxShare(m.RollbackAt)*m.MinShift + m.Settle
	case m.PausedAt > 0 && m.PausedAt < m.latestShiftEnd():
		return math.Inf(1)
	}
	return m.latestShiftEnd() + m.Settle
}

// Resumed returns the migration without its pause. The part after the pause is delayed by the length of the pause.
func (m Migration) Resumed(now float64) Migration {
	if m.PausedAt > 0 && now > m.PausedAt {
		m.Start += now - m.PausedAt
	}
	m.PausedAt = 0
	return m
}
