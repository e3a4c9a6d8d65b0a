package main

import "testing"

// Guards against limits under which a router has no connections to servers or from clients, or more connections than
// descriptors. Some cases have half the limits, as when two processes run during a replacement.
func TestDivideDescriptors(t *testing.T) {
	for _, tc := range []struct {
		descriptors      int
		memoryMB         float64
		clients, servers int
	}{
		{1024, 192, 708, 268},
		{384, 64, 247, 89},
		{192, 32, 100, 44},
		{64, 32, 21, 8},
		{32, 16, 10, 8},
	} {
		clients, servers := divideDescriptors(tc.descriptors, tc.memoryMB*(1<<20))
		if clients != tc.clients || servers != tc.servers {
			t.Errorf("%d descriptors, %v MB: %d from clients, %d to servers", tc.descriptors, tc.memoryMB, clients, servers)
		}
	}
}
