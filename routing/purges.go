package routing

import "container/heap"

// purgeKey names an object, or with no object a group of them.
type purgeKey struct {
	object string
	group  int64
}

// datedPurge is a purge and when it was made.
type datedPurge struct {
	key    purgeKey
	madeAt int64
}

// purgeHeap is a heap of purges for container/heap, the oldest first.
type purgeHeap []datedPurge

// Len is part of heap.Interface.
func (h purgeHeap) Len() int { return len(h) }

// Less is part of heap.Interface.
func (h purgeHeap) Less(i, j int) bool { return h[i].madeAt < h[j].madeAt }

// Swap is part of heap.Interface.
func (h purgeHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push is part of heap.Interface.
func (h *purgeHeap) Push(purge any) { *h = append(*h, purge.(datedPurge)) }

// Pop is part of heap.Interface.
func (h *purgeHeap) Pop() any {
	last := len(*h) - 1
	purge := (*h)[last]
	(*h)[last] = datedPurge{} // so that its name can be collected
	*h = (*h)[:last]
	return purge
}

// recordPurge keeps a purge for Engine.purgeRetention: until all caches have dropped older copies, and a fill that
// began before has ended.
func (e *Engine) recordPurge(ev *Event) {
	e.forgetOldPurges()
	key := purgeKey{object: ev.Object}
	if ev.Object == "" {
		key.group = ev.PurgeGroup
	}
	madeAt := max(e.purgedAt[key], e.now-ev.PurgeAge)
	e.purgedAt[key] = madeAt
	heap.Push(&e.purges, datedPurge{key, madeAt})
}

// forgetOldPurges drops purges past their retention. A key that was purged once more since is kept.
func (e *Engine) forgetOldPurges() {
	for len(e.purges) > 0 && e.now-e.purges[0].madeAt > e.purgeRetention {
		oldest := heap.Pop(&e.purges).(datedPurge)
		if e.purgedAt[oldest.key] == oldest.madeAt {
			delete(e.purgedAt, oldest.key)
		}
	}
}
