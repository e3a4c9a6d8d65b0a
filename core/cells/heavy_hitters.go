package cells

import (
	"cmp"
	"slices"
)

// HeavyHitters tracks the keys with the greatest counts in bounded memory. It is the space-saving algorithm (Metwally,
// Agrawal and El Abbadi 2005) on a heap, with counts that decay by half in every half-life. Every key with more than
// 1/size of the total of all counts is stored.
type HeavyHitters struct {
	index    map[string]*heapEntry
	heap     []*heapEntry // smallest count first
	decay    decayScale
	capacity int // of the heap
}

type heapEntry struct {
	index        int // position in the heap; stored here so that a swap does not update a map
	key          string
	count        float64
	maxOvercount float64
}

// HeavyHitter is one of the keys with the greatest counts. Its true count is between Count-MaxOvercount and Count.
type HeavyHitter struct {
	Key          string  `json:"key"`
	Count        float64 `json:"count"`
	MaxOvercount float64 `json:"over"`
}

// maxHitterScale is the decay scale at which all counts are rescaled, well before float64 overflows.
const maxHitterScale = 1e100

// NewHeavyHitters returns a HeavyHitters that stores up to size keys, and at least one. The half-life is in
// microseconds.
func NewHeavyHitters(size int, halfLife float64) *HeavyHitters {
	return &HeavyHitters{
		index:    make(map[string]*heapEntry, size),
		capacity: max(size, 1),
		decay:    newDecayScale(halfLife),
	}
}

// Add adds an amount to the count of a key.
func (h *HeavyHitters) Add(now int64, key string, amount float64) {
	h.age(now)
	amount *= h.decay.scale
	entry, known := h.index[key]
	switch {
	case known:
		entry.count += amount
	case len(h.heap) < h.capacity:
		entry = &heapEntry{index: len(h.heap), key: key, count: amount}
		h.heap = append(h.heap, entry)
		h.index[key] = entry
		h.siftUp(entry.index)
		return
	default:
		// Replace the smallest entry. The count of the smallest entry is an upper bound on the earlier count of the new
		// key, so the new key's count starts from it.
		entry = h.heap[0]
		delete(h.index, entry.key)
		*entry = heapEntry{key: key, count: entry.count + amount, maxOvercount: entry.count}
		h.index[key] = entry
	}
	h.siftDown(entry.index)
}

// Top returns up to n stored keys with the greatest counts, the greatest first.
func (h *HeavyHitters) Top(n int) []HeavyHitter {
	entries := slices.Clone(h.heap)
	slices.SortFunc(entries, func(a, b *heapEntry) int {
		return cmp.Or(cmp.Compare(b.count, a.count), cmp.Compare(a.key, b.key))
	})
	top := make([]HeavyHitter, 0, n)
	for _, entry := range entries[:min(n, len(entries))] {
		top = append(top, HeavyHitter{
			Key:          entry.key,
			Count:        entry.count / h.decay.scale,
			MaxOvercount: entry.maxOvercount / h.decay.scale,
		})
	}
	return top
}

// age decays all counts to now.
func (h *HeavyHitters) age(now int64) {
	divisor := h.decay.age(now, maxHitterScale)
	if divisor == 1 {
		return
	}
	for _, entry := range h.heap {
		entry.count /= divisor
		entry.maxOvercount /= divisor
	}
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
		child := 2*i + 1
		if child >= len(h.heap) {
			return
		}
		if child+1 < len(h.heap) && h.heap[child+1].count < h.heap[child].count {
			child++
		}
		if h.heap[i].count <= h.heap[child].count {
			return
		}
		h.swap(i, child)
		i = child
	}
}
