package cells

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// CountMinSketch estimates how much has been counted under each of any number of keys, in bounded memory and with age: a count-min
// sketch with conservative update (Estan and Varghese 2002), whose counts fade by half in every half-life.
//
// An estimate is never under the faded truth, and over it by at most e/width of all that is counted with probability
// 1-exp(-depth).
type CountMinSketch struct {
	width, depth int
	counters     []float32
	halfLife     float64 // microseconds
	scale        float64 // what is added now counts this much, so that what is old need not be touched
	agedAt       int64
}

// rescaleAt is the scale at which all counters are brought down: float32 holds 24 bits.
const rescaleAt = 1 << 20

// NewCountMinSketch returns a sketch with counters in rows of width; memory is 4 bytes for each.
func NewCountMinSketch(width, depth int, halfLife float64) *CountMinSketch {
	return &CountMinSketch{width: max(width, 1), depth: max(depth, 1), counters: make([]float32, max(width, 1)*max(depth, 1)), halfLife: halfLife, scale: 1}
}

func (c *CountMinSketch) age(now int64) {
	if c.agedAt == 0 {
		c.agedAt = now
	}
	if now <= c.agedAt {
		return
	}
	c.scale *= math.Exp2(float64(now-c.agedAt) / c.halfLife)
	c.agedAt = now
	if c.scale < rescaleAt {
		return
	}
	for i := range c.counters {
		c.counters[i] = float32(float64(c.counters[i]) / c.scale)
	}
	c.scale = 1
}

// slot is the place of a hash in a row: two halves of one hash stand for any number (Kirsch and Mitzenmacher 2006).
func (c *CountMinSketch) slot(h uint64, row int) int {
	x := uint32(h) + uint32(row)*(uint32(h>>32)|1)
	return row*c.width + int(uint64(x)*uint64(c.width)>>32)
}

// Add counts an amount under a key and returns the key's estimate with it.
func (c *CountMinSketch) Add(now int64, key string, amount float64) float64 {
	return c.addHash(now, xxhash.Sum64String(key), amount)
}

// partHash is the key of a part.
func partHash(object string, part int64) uint64 {
	return xxhash.Sum64String(object) ^ uint64(part+1)*0x9e3779b97f4a7c15
}

func (c *CountMinSketch) addHash(now int64, h uint64, amount float64) float64 {
	c.age(now)
	least := c.minCounter(h)
	to := least + float32(amount*c.scale)
	for row := range c.depth {
		if at := &c.counters[c.slot(h, row)]; *at < to {
			*at = to
		}
	}
	return float64(to) / c.scale
}

// estimateHash is the faded estimate of a key, which is not counted.
func (c *CountMinSketch) estimateHash(now int64, h uint64) float64 {
	c.age(now)
	return float64(c.minCounter(h)) / c.scale
}

func (c *CountMinSketch) minCounter(h uint64) float32 {
	least := float32(math.MaxFloat32)
	for row := range c.depth {
		least = min(least, c.counters[c.slot(h, row)])
	}
	return least
}

// Estimate is what is counted under a key, faded to now.
func (c *CountMinSketch) Estimate(now int64, key string) float64 {
	return c.estimateHash(now, xxhash.Sum64String(key))
}

// HeavyHitters finds the keys that take most, in bounded memory and with age: space saving (Metwally, Agrawal and El Abbadi 2005)
// over a heap. A key that has more than 1/size of all that is counted is among those kept.
type HeavyHitters struct {
	index    map[string]*heapEntry
	heap     []*heapEntry // least first
	halfLife float64
	scale    float64
	agedAt   int64
	capacity int
}

type heapEntry struct {
	index        int // in the heap: exchanging two touches no map
	key          string
	count        float64
	maxOvercount float64 // how much of it may be others'
}

// HeavyHitter is one heavy key: its count is between Count-Over and Count.
type HeavyHitter struct {
	Key          string  `json:"key"`
	Count        float64 `json:"count"`
	MaxOvercount float64 `json:"over"`
}

// NewHeavyHitters keeps so many keys.
func NewHeavyHitters(size int, halfLife float64) *HeavyHitters {
	return &HeavyHitters{index: make(map[string]*heapEntry, size), capacity: max(size, 1), halfLife: halfLife, scale: 1}
}

// Add counts an amount under a key.
func (h *HeavyHitters) Add(now int64, key string, amount float64) {
	if h.agedAt == 0 {
		h.agedAt = now
	}
	if now > h.agedAt {
		h.scale *= math.Exp2(float64(now-h.agedAt) / h.halfLife)
		h.agedAt = now
		if h.scale > 1e100 {
			for i := range h.heap {
				h.heap[i].count /= h.scale
				h.heap[i].maxOvercount /= h.scale
			}
			h.scale = 1
		}
	}
	amount *= h.scale
	x, known := h.index[key]
	switch {
	case known:
		x.count += amount
	case len(h.heap) < h.capacity:
		x = &heapEntry{index: len(h.heap), key: key, count: amount}
		h.heap = append(h.heap, x)
		h.index[key] = x
		h.siftUp(x.index)
		return
	default: // the least makes room, and what it had is the newcomer's doubt
		x = h.heap[0]
		delete(h.index, x.key)
		*x = heapEntry{key: key, count: x.count + amount, maxOvercount: x.count}
		h.index[key] = x
	}
	h.siftDown(x.index)
}

func (h *HeavyHitters) swap(i, j int) {
	h.heap[i], h.heap[j] = h.heap[j], h.heap[i]
	h.heap[i].index, h.heap[j].index = i, j
}

func (h *HeavyHitters) siftUp(i int) {
	for i > 0 && h.heap[i].count < h.heap[(i-1)/2].count {
		h.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (h *HeavyHitters) siftDown(i int) {
	for {
		c := 2*i + 1
		if c >= len(h.heap) {
			return
		}
		if c+1 < len(h.heap) && h.heap[c+1].count < h.heap[c].count {
			c++
		}
		if h.heap[i].count <= h.heap[c].count {
			return
		}
		h.swap(i, c)
		i = c
	}
}

// Top lists the heaviest keys, the heaviest first.
func (h *HeavyHitters) Top(n int) []HeavyHitter {
	all := slices.Clone(h.heap)
	slices.SortFunc(all, func(a, b *heapEntry) int { return cmp.Or(cmp.Compare(b.count, a.count), cmp.Compare(a.key, b.key)) })
	out := make([]HeavyHitter, 0, n)
	for _, x := range all[:min(n, len(all))] {
		out = append(out, HeavyHitter{x.key, x.count / h.scale, x.maxOvercount / h.scale})
	}
	return out
}
