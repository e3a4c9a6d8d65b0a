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

// Guards against parts of the process whose bounds together exceed its memory limit. The sum of all bounds must fit into
// the share of Go's runtime, so that its collector has room, for any limits that the platform gives, and for each of the
// two processes during a replacement. The sums are those of the table in docs/operation.md.
func TestMemoryBoundsAddUp(t *testing.T) {
	for _, descriptors := range []int{64, 128, 256, 512, 1024, 4096} {
		for _, memoryMB := range []float64{16, 32, 64, 128, 192, 2048} {
			memory := memoryMB * (1 << 20)
			limits := divideLimits(descriptors, memory)
			sum := limits.fixedBytes() + float64(limits.queuedBytes+limits.bodyBytes)
			if sum > heapShare*memory {
				t.Errorf("%v MB, %d descriptors: %.1f MB of bounds, want at most %.1f; %+v", memoryMB, descriptors,
					sum/(1<<20), heapShare*memoryMB, limits)
			}
		}
	}
}
