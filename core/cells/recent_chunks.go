package cells

import "github.com/cespare/xxhash/v2"

const (
	recentSketchWidth = 1 << 16 // counters in a row
	recentSketchDepth = 3
	recentHalfLife    = 20e6 // half-life of the counts, microseconds
	// recentThreshold is the minimum decayed count of requests for a recent chunk. After a single request, a chunk is
	// recent for 46 s.
	recentThreshold = 0.2
)

// recentChunks tracks which chunks of objects were requested recently, at the site and in each cell. It may have false
// positives, because the sketch overestimates, but no false negatives.
type recentChunks struct{ sketch *CountMinSketch }

func newRecentChunks() recentChunks {
	return recentChunks{NewCountMinSketch(recentSketchWidth, recentSketchDepth, recentHalfLife)}
}

// record counts a request for a chunk and reports whether the chunk was already recent.
func (r recentChunks) record(now int64, object string, chunk int64) bool {
	return r.sketch.addHash(now, chunkHash(object, chunk), 1) >= 1+recentThreshold
}

// recordInCell counts a request for a chunk that goes to a cell.
func (r recentChunks) recordInCell(now int64, object string, chunk int64, cell int) {
	r.sketch.addHash(now, chunkInCellHash(object, chunk, cell), 1)
}

// isRecentInCell reports whether a chunk was requested recently in a cell.
func (r recentChunks) isRecentInCell(now int64, object string, chunk int64, cell int) bool {
	return r.sketch.estimateHash(now, chunkInCellHash(object, chunk, cell)) >= recentThreshold
}

func chunkHash(object string, chunk int64) uint64 {
	return xxhash.Sum64String(object) ^ uint64(chunk+1)*0x9e3779b97f4a7c15
}

func chunkInCellHash(object string, chunk int64, cell int) uint64 {
	return chunkHash(object, chunk) + uint64(cell+1)*0xd1342543de82ef95
}
