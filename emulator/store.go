package emulator

// lru is the store of a cache. It evicts the least recently used chunks when it exceeds its capacity.
type lru struct {
	capacityKB  float64
	usedKB      float64
	index       map[uint64]int32
	entries     []cachedChunk
	freeEntries []int32
	newest      int32 // -1: empty
	oldest      int32 // -1: empty
}

type cachedChunk struct {
	key        uint64
	sizeKB     float64
	producedAt int64 // when the origin sent the copy
	prev, next int32 // neighbours by recency: more and less recently used; -1: none
}

func newLRU(capacityKB float64) *lru {
	return &lru{capacityKB: capacityKB, index: map[uint64]int32{}, newest: -1, oldest: -1}
}

// unlink removes an entry from the recency list.
func (c *lru) unlink(i int32) {
	entry := &c.entries[i]
	if entry.prev >= 0 {
		c.entries[entry.prev].next = entry.next
	} else {
		c.newest = entry.next
	}
	if entry.next >= 0 {
		c.entries[entry.next].prev = entry.prev
	} else {
		c.oldest = entry.prev
	}
}

// pushFront inserts an unlinked entry at the front of the recency list, as the most recently used.
func (c *lru) pushFront(i int32) {
	entry := &c.entries[i]
	entry.prev = -1
	entry.next = c.newest
	if c.newest >= 0 {
		c.entries[c.newest].prev = i
	}
	c.newest = i
	if c.oldest < 0 {
		c.oldest = i
	}
}

// get returns when the copy of a chunk was produced and marks the copy as the most recently used. A copy that was
// produced before minProducedAt counts as absent.
func (c *lru) get(key uint64, minProducedAt int64) (producedAt int64, found bool) {
	i, found := c.index[key]
	if !found || c.entries[i].producedAt < minProducedAt {
		return 0, false
	}
	c.unlink(i)
	c.pushFront(i)
	return c.entries[i].producedAt, true
}

// put stores a chunk as the most recently used one. If a copy exists, the later of the two production times is kept. A
// chunk larger than the capacity is not stored.
func (c *lru) put(key uint64, sizeKB float64, producedAt int64) {
	if sizeKB > c.capacityKB {
		return
	}
	if i, found := c.index[key]; found {
		c.replace(i, sizeKB, producedAt)
	} else {
		c.insert(key, sizeKB, producedAt)
	}
	for c.usedKB > c.capacityKB {
		c.evict()
	}
}

func (c *lru) replace(i int32, sizeKB float64, producedAt int64) {
	entry := &c.entries[i]
	c.usedKB += sizeKB - entry.sizeKB
	entry.sizeKB = sizeKB
	entry.producedAt = max(producedAt, entry.producedAt)
	c.unlink(i)
	c.pushFront(i)
}

func (c *lru) insert(key uint64, sizeKB float64, producedAt int64) {
	i := allocate(&c.entries, &c.freeEntries)
	c.entries[i] = cachedChunk{key: key, sizeKB: sizeKB, producedAt: producedAt}
	c.index[key] = i
	c.usedKB += sizeKB
	c.pushFront(i)
}

// evict removes the least recently used chunk.
func (c *lru) evict() {
	i := c.oldest
	c.usedKB -= c.entries[i].sizeKB
	delete(c.index, c.entries[i].key)
	c.unlink(i)
	c.freeEntries = append(c.freeEntries, i)
}
