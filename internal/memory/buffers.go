package memory

import (
	"context"
	"math/bits"
	"sync"
)

// minBufferBits is the logarithm of the smallest size of a buffer, in bytes.
const minBufferBits = 9

// Buffers lends buffers whose memory is bounded by a budget. Returned buffers are lent again, so that a constant flow of
// buffers leaves no garbage. It is safe for concurrent use.
type Buffers struct {
	budget *Budget

	mu        sync.Mutex
	free      map[int][][]byte // by size
	freeBytes int64            // total size of free; with the lent buffers at most the capacity of the budget
}

// NewBuffers returns buffers of at most capacity bytes in all, the free ones included.
func NewBuffers(capacity int64) *Buffers {
	return &Buffers{budget: NewBudget(capacity), free: map[int][][]byte{}}
}

// TryGet lends a buffer of n bytes if there is memory for it now. The content of the buffer is undefined.
func (b *Buffers) TryGet(n int) (buffer []byte, ok bool) {
	size := bufferSize(n)
	if !b.budget.TryReserve(int64(size)) {
		return nil, false
	}
	return b.take(size)[:n], true
}

// Get lends a buffer of n bytes. It waits until there is memory for it; callers get their buffers in the order of their
// calls. It returns the error of ctx if ctx ends first.
func (b *Buffers) Get(ctx context.Context, n int) ([]byte, error) {
	size := bufferSize(n)
	if err := b.budget.Reserve(ctx, int64(size)); err != nil {
		return nil, err
	}
	return b.take(size)[:n], nil
}

// Put returns a buffer, which its borrower must not use again. A buffer may have been shortened, but not moved.
func (b *Buffers) Put(buffer []byte) {
	size := cap(buffer)
	b.mu.Lock()
	b.free[size] = append(b.free[size], buffer[:size])
	b.freeBytes += int64(size)
	b.mu.Unlock()
	b.budget.Release(int64(size))
}

// Lent returns the total size of the buffers that are lent, in bytes.
func (b *Buffers) Lent() int64 { return b.budget.Reserved() }

// take returns a free buffer of the given size, or a new one. The budget has been reserved for it. To make room for a
// new one, take drops free buffers of other sizes.
func (b *Buffers) take(size int) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	if last := len(b.free[size]) - 1; last >= 0 {
		buffer := b.free[size][last]
		b.free[size][last] = nil
		b.free[size] = b.free[size][:last]
		b.freeBytes -= int64(size)
		return buffer
	}
	b.dropFree(b.budget.Reserved() + b.freeBytes - b.budget.capacity)
	return make([]byte, size)
}

// dropFree drops free buffers of at least excess bytes, or all of them. b.mu is held.
func (b *Buffers) dropFree(excess int64) {
	for size, buffers := range b.free {
		for len(buffers) > 0 && excess > 0 {
			last := len(buffers) - 1
			buffers[last] = nil
			buffers = buffers[:last]
			b.freeBytes -= int64(size)
			excess -= int64(size)
		}
		b.free[size] = buffers
	}
}

// bufferSize returns the size of the buffers that are lent for n bytes: the next power of two, so that few sizes exist.
func bufferSize(n int) int {
	if n <= 1<<minBufferBits {
		return 1 << minBufferBits
	}
	return 1 << bits.Len(uint(n-1))
}
