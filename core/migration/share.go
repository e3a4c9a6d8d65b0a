package migration

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// hotShare is the share that HotObjects take up together, one after the other, whatever their number.
const hotShare = 0.1

// MaxShare is the greatest share of the tenant's objects, in the order of Position, that may belong to the new cell.
func (m *Migration) MaxShare(now float64) float64 { return m.scheduledShare(now, m.MinShift) }

// MinShare is the least share that does. A router that starts in the midst of a migration begins there.
func (m *Migration) MinShare(now float64) float64 { return m.scheduledShare(now, m.longestShift()) }

// longestShift is the span in which the objects that are not hot follow at the latest.
func (m *Migration) longestShift() float64 { return max(m.MaxShift, m.MinShift) }

// scheduledShare is the share at a time if the objects that are not hot follow within shift.
func (m *Migration) scheduledShare(now, shift float64) float64 {
	advancedTo := now
	if m.PausedAt > 0 {
		advancedTo = min(advancedTo, m.PausedAt)
	}
	if m.RollbackAt > 0 {
		advancedTo = min(advancedTo, m.RollbackAt)
	}
	share := m.forwardShare(advancedTo, shift)
	if m.RollbackAt > 0 && now > m.RollbackAt {
		share -= (now - m.RollbackAt) / m.MinShift
	}
	return max(share, 0)
}

// forwardShare is the share of a migration that is neither paused nor rolled back.
func (m *Migration) forwardShare(now, shift float64) float64 {
	elapsed := now - m.Start
	switch {
	case elapsed <= 0:
		return 0
	case elapsed < m.WarmUp:
		return m.hotObjectsShare() * elapsed / m.WarmUp
	}
	return min(m.hotObjectsShare()+(1-m.hotObjectsShare())*(elapsed-m.WarmUp)/shift, 1)
}

// hotObjectsShare is the share that this migration's hot objects take up; 0 without any.
func (m *Migration) hotObjectsShare() float64 {
	if len(m.HotObjects) == 0 {
		return 0
	}
	return hotShare
}

// Position is an object's place in the order in which objects move, from 0 to 1: first the hot ones as the document
// lists them, then the others by a hash that all routers share. The object belongs to the new cell while its position
// is below the share. All parts of a video have one position.
func (m *Migration) Position(object string) float64 {
	if i := slices.Index(m.HotObjects, object); i >= 0 {
		return hotShare * (float64(i) + 0.5) / float64(len(m.HotObjects))
	}
	uniform := (float64(xxhash.Sum64String(m.Tenant+"\x00"+object)>>11) + 0.5) / (1 << 53)
	return m.hotObjectsShare() + (1-m.hotObjectsShare())*uniform
}
