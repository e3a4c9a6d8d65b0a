package main

import (
	"runtime"
	"testing"
)

// Guards against a misspelled runtime metric, whose value would be unusable: reachable memory must be part of both
// figures.
func TestHeapSizeIncludesReachableMemory(t *testing.T) {
	const held = 8 << 20
	block := make([]byte, held)
	runtime.GC()
	size := readHeapSize()
	if size.live < held || size.used < held {
		t.Errorf("live %d, used %d bytes, want at least %d", size.live, size.used, held)
	}
	runtime.KeepAlive(block)
}
