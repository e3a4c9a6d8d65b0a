package main

import runtimemetrics "runtime/metrics"

// Names of runtime metrics, in bytes.
const (
	heapLiveMetric = "/gc/heap/live:bytes"
	heapUsedMetric = "/memory/classes/heap/objects:bytes"
)

// heapSize is the size of Go's heap, in bytes.
type heapSize struct {
	live uint64 // reachable at the end of the last garbage collection
	used uint64 // reachable, or not freed yet
}

// readHeapSize returns the current size of the heap.
func readHeapSize() heapSize {
	samples := []runtimemetrics.Sample{{Name: heapLiveMetric}, {Name: heapUsedMetric}}
	runtimemetrics.Read(samples)
	return heapSize{live: samples[0].Value.Uint64(), used: samples[1].Value.Uint64()}
}
