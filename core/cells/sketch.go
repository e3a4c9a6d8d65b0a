package cells

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Counts estimates how much has been counted under each of any number of keys, in bounded memory and with age: a count-min
// sketch with conservative update (Estan and Varghese 2002), whose counts fade by half in every half-life.
//
// An estimate is never under the faded truth, and over it by at most e/width of all that is counted with probability
// 1-exp(-depth).
type Counts struct {
	width, depth int
	cells        []float32
	halfLife     float64 // microseconds
	scale        float64 // what is added now counts this much, so that what is old need not be touched
	at           int64
}

// rescaleAt is the scale at which all counters are brought down: float32 holds 24 bits.
const rescaleAt = 1 << 20

// NewCounts returns a sketch with counters in rows of width; memory is 4 bytes for each.
func NewCounts(width, depth int, halfLife float64) *Counts {
	return &Counts{width: max(width, 1), depth: max(depth, 1), cells: make([]float32, max(width, 1)*max(depth, 1)), halfLife: halfLife, scale: 1}
}

func (c *Counts) age(now int64) {
	if c.at == 0 {
		c.at = now
	}
	if now <= c.at {
		return
	}
	c.scale *= math.Exp2(float64(now-c.at) / c.halfLife)
	c.at = now
	if c.scale < rescaleAt {
		return
	}
	for i := range c.cells {
		c.cells[i] = float32(float64(c.cells[i]) / c.scale)
	}
	c.scale = 1
}

// slot is the place of a hash in a row: two halves of one hash stand for any number (Kirsch and Mitzenmacher 2006).
func (c *Counts) slot(h uint64, row int) int {
	x := uint32(h) + uint32(row)*(uint32(h>>32)|1)
	return row*c.width + int(uint64(x)*uint64(c.width)>>32)
}

// Add counts an amount under a key and returns the key's estimate with it.
func (c *Counts) Add(now int64, key string, amount float64) float64 {
	return c.addHash(now, xxhash.Sum64String(key), amount)
}

// partHash is the key of a part.
func partHash(object string, part int64) uint64 {
	return xxhash.Sum64String(object) ^ uint64(part+1)*0x9e3779b97f4a7c15
}

func (c *Counts) addHash(now int64, h uint64, amount float64) float64 {
	c.age(now)
	least := c.least(h)
	to := least + float32(amount*c.scale)
	for row := range c.depth {
		if at := &c.cells[c.slot(h, row)]; *at < to {
			*at = to
		}
	}
	return float64(to) / c.scale
}

// hashNow is the faded estimate of a key, which is not counted.
func (c *Counts) hashNow(now int64, h uint64) float64 {
	c.age(now)
	return float64(c.least(h)) / c.scale
}

func (c *Counts) least(h uint64) float32 {
	least := float32(math.MaxFloat32)
	for row := range c.depth {
		least = min(least, c.cells[c.slot(h, row)])
	}
	return least
}

// Estimate is what is counted under a key, faded to now.
func (c *Counts) Estimate(now int64, key string) float64 {
	return c.hashNow(now, xxhash.Sum64String(key))
}

// Hitters finds the keys that take most, in bounded memory and with age: space saving (Metwally, Agrawal and El Abbadi 2005)
// over a heap. A key that has more than 1/size of all that is counted is among those kept.
type Hitters struct {
	index    map[string]*hitter
	heap     []*hitter // least first
	halfLife float64
	scale    float64
	at       int64
	most     int
}

type hitter struct {
	at    int // in the heap: exchanging two touches no map
	key   string
	count float64
	over  float64 // how much of it may be others'
}

// Hitter is one heavy key: its count is between Count-Over and Count.
type Hitter struct {
	Key   string  `json:"key"`
	Count float64 `json:"count"`
	Over  float64 `json:"over"`
}

// NewHitters keeps so many keys.
func NewHitters(size int, halfLife float64) *Hitters {
	return &Hitters{index: make(map[string]*hitter, size), most: max(size, 1), halfLife: halfLife, scale: 1}
}

// Add counts an amount under a key.
func (h *Hitters) Add(now int64, key string, amount float64) {
	if h.at == 0 {
		h.at = now
	}
	if now > h.at {
		h.scale *= math.Exp2(float64(now-h.at) / h.halfLife)
		h.at = now
		if h.scale > 1e100 {
			for i := range h.heap {
				h.heap[i].count /= h.scale
				h.heap[i].over /= h.scale
			}
			h.scale = 1
		}
	}
	amount *= h.scale
	x, known := h.index[key]
	switch {
	case known:
		x.count += amount
	case len(h.heap) < h.most:
		x = &hitter{at: len(h.heap), key: key, count: amount}
		h.heap = append(h.heap, x)
		h.index[key] = x
		h.up(x.at)
		return
	default: // the least makes room, and what it had is the newcomer's doubt
		x = h.heap[0]
		delete(h.index, x.key)
		*x = hitter{key: key, count: x.count + amount, over: x.count}
		h.index[key] = x
	}
	h.down(x.at)
}

func (h *Hitters) swap(i, j int) {
	h.heap[i], h.heap[j] = h.heap[j], h.heap[i]
	h.heap[i].at, h.heap[j].at = i, j
}

func (h *Hitters) up(i int) {
	for i > 0 && h.heap[i].count < h.heap[(i-1)/2].count {
		h.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (h *Hitters) down(i int) {
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
func (h *Hitters) Top(n int) []Hitter {
	all := slices.Clone(h.heap)
	slices.SortFunc(all, func(a, b *hitter) int { return cmp.Or(cmp.Compare(b.count, a.count), cmp.Compare(a.key, b.key)) })
	out := make([]Hitter, 0, n)
	for _, x := range all[:min(n, len(all))] {
		out = append(out, Hitter{x.key, x.count / h.scale, x.over / h.scale})
	}
	return out
}
