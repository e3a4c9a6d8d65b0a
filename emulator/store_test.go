package emulator

import "testing"

// Guards against a store that exceeds its capacity, evicts another than the least recently used chunk, or returns a
// copy that is too old.
func TestStoreEvictsLeastRecentlyUsed(t *testing.T) {
	c := newLRU(100)
	for i := range uint64(10) {
		c.put(i, 10, int64(i))
	}
	if _, found := c.get(0, 0); !found {
		t.Fatal("a chunk within the capacity is not found")
	}
	c.put(10, 10, 10)
	if _, found := c.get(1, 0); found {
		t.Error("the least recently used chunk was not evicted")
	}
	if _, found := c.get(0, 0); !found {
		t.Error("a recently used chunk was evicted")
	}
	if _, found := c.get(5, 6); found {
		t.Error("get returned a copy that is too old")
	}
	c.put(11, 1000, 0)
	if _, found := c.get(11, 0); found || c.usedKB > c.capacityKB {
		t.Errorf("after a chunk that is too large: %v KB stored, capacity %v KB", c.usedKB, c.capacityKB)
	}
}
