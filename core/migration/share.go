package migration

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// hotPositionRange is the share of all HotObjects of a migration together, regardless of their number. Their positions
// are from 0 to hotPositionRange.
const hotPositionRange = 0.1

// MaxShare returns the maximum share of the tenant's objects that may be in the new cell at now. Objects move to the
// new cell in the order of Position.
func (m *Migration) MaxShare(now float64) float64 { return m.scheduledShare(now, m.MinShift) }

// MinShare returns the minimum share that must be in the new cell at now. A router that starts during a migration
// starts with MinShare.
func (m *Migration) MinShare(now float64) float64 { return m.scheduledShare(now, m.longestShift()) }

// longestShift returns the longest time in which the objects that are not hot move, in ms.
func (m *Migration) longestShift() float64 { return max(m.MaxShift, m.MinShift) }

// scheduledShare returns the share at now if the objects that are not hot move within shift, in ms.
func (m *Migration) scheduledShare(now, shift float64) float64 {
	forwardUntil := now
	if m.PausedAt > 0 {
		forwardUntil = min(forwardUntil, m.PausedAt)
	}
	if m.RollbackAt > 0 {
		forwardUntil = min(forwardUntil, m.RollbackAt)
	}
	share := m.forwardShare(forwardUntil, shift)
	if m.RollbackAt > 0 && now > m.RollbackAt {
		share -= (now - m.RollbackAt) / m.MinShift
	}
	return max(share, 0)
}

// forwardShare returns the share at now, disregarding PausedAt and RollbackAt.
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

// hotObjectsShare returns the share of this migration's hot objects, 0 if it has none.
func (m *Migration) hotObjectsShare() float64 {
	if len(m.HotObjects) == 0 {
		return 0
	}
	return hotPositionRange
}

// Position returns the position of an object in the order in which objects move, from 0 to 1: first the hot objects in
// the order of the document, then the others by a hash that is the same on all routers. An object belongs to the new
// cell if its position is below the share. All chunks of an object have the same position.
func (m *Migration) Position(object string) float64 {
	if i := slices.Index(m.HotObjects, object); i >= 0 {
		return hotPositionRange * (float64(i) + 0.5) / float64(len(m.HotObjects))
	}
	uniform := (float64(xxhash.Sum64String(m.Tenant+"\x00"+object)>>11) + 0.5) / (1 << 53)
	return m.hotObjectsShare() + (1-m.hotObjectsShare())*uniform
}
