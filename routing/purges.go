package routing

import "container/heap"

// purgeKey identifies an object or, if object is empty, a purge group.
type purgeKey struct {
	object string
	group  int64
}

// datedPurge is a purge and the time at which it was issued.
type datedPurge struct {
	key    purgeKey
	madeAt int64
}

// purgeHeap is a container/heap of purges, the oldest first.
type purgeHeap []datedPurge

// Len implements heap.Interface.
func (h purgeHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h purgeHeap) Less(i, j int) bool { return h[i].madeAt < h[j].madeAt }

// Swap implements heap.Interface.
func (h purgeHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *purgeHeap) Push(purge any) { *h = append(*h, purge.(datedPurge)) }

// Pop implements heap.Interface.
func (h *purgeHeap) Pop() any {
	last := len(*h) - 1
	purge := (*h)[last]
	(*h)[last] = datedPurge{} // releases its strings for garbage collection
	*h = (*h)[:last]
	return purge
}

// recordPurge records a purge and keeps it for Engine.purgeRetention. After that time all caches have dropped older
// copies, and all fills that began before the purge have ended.
func (e *Engine) recordPurge(ev *Event) {
	e.dropExpiredPurges()
	key := purgeKey{object: ev.Object}
	if ev.Object == "" {
		key.group = ev.PurgeGroup
	}
	madeAt := max(e.purgedAt[key], e.now-ev.PurgeAge)
	e.purgedAt[key] = madeAt
	heap.Push(&e.purges, datedPurge{key, madeAt})
}

// dropExpiredPurges deletes purges past their retention. A key that was purged again later is kept.
func (e *Engine) dropExpiredPurges() {
	for len(e.purges) > 0 && e.now-e.purges[0].madeAt > e.purgeRetention {
		oldest := heap.Pop(&e.purges).(datedPurge)
		if e.purgedAt[oldest.key] == oldest.madeAt {
			delete(e.purgedAt, oldest.key)
		}
	}
}
