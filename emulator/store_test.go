package emulator

import "testing"

// A store never holds more than its capacity, and drops what was used longest ago.
func TestStore(t *testing.T) {
	c := newLRU(100)
	for i := range uint64(10) {
		c.put(i, 10, int64(i))
	}
	if _, found := c.get(0, 0); !found {
		t.Fatal("a chunk that fits is not found")
	}
	c.put(10, 10, 10)
	if _, found := c.get(1, 0); found {
		t.Error("the chunk that was used longest ago is found")
	}
	if _, found := c.get(0, 0); !found {
		t.Error("a chunk that was used is gone")
	}
	if _, found := c.get(5, 6); found {
		t.Error("a copy that is too old is found")
	}
	c.put(11, 1000, 0)
	if _, found := c.get(11, 0); found || c.usedKB > c.capacityKB {
		t.Errorf("%v KB in a capacity of %v", c.usedKB, c.capacityKB)
	}
}
