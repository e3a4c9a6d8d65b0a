package main

import "testing"

// However small the limits, and halved for two processes, there are connections to servers and for clients, and not
// more than descriptors.
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
			t.Errorf("%d descriptors, %v MB: %d for clients, %d to servers", tc.descriptors, tc.memoryMB, clients, servers)
		}
	}
}
