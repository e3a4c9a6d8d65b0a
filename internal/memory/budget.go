// Package memory bounds the memory that parts of the process hold together.
package memory

import (
	"context"
	"sync/atomic"

	"golang.org/x/sync/semaphore"
)

// Budget is a number of bytes that its users share. It is safe for concurrent use. Each reservation has one owner,
// which releases it.
type Budget struct {
	capacity int64
	free     *semaphore.Weighted
	reserved atomic.Int64
}

// NewBudget returns a budget of capacity bytes.
func NewBudget(capacity int64) *Budget {
	return &Budget{capacity: capacity, free: semaphore.NewWeighted(capacity)}
}

// TryReserve reserves n bytes if they are free and nobody waits for the budget, and reports whether it did.
func (b *Budget) TryReserve(n int64) bool {
	if !b.free.TryAcquire(n) {
		return false
	}
	b.reserved.Add(n)
	return true
}

// Reserve reserves n bytes. It waits until they are free; callers get them in the order of their calls. It returns the
// error of ctx if ctx ends first, which is always the case if n exceeds the capacity.
func (b *Budget) Reserve(ctx context.Context, n int64) error {
	if err := b.free.Acquire(ctx, n); err != nil {
		return err
	}
	b.reserved.Add(n)
	return nil
}

// Release returns n reserved bytes to the budget.
func (b *Budget) Release(n int64) {
	b.reserved.Add(-n)
	b.free.Release(n)
}

// Reserved returns the number of reserved bytes.
func (b *Budget) Reserved() int64 { return b.reserved.Load() }

// IsScarce reports whether more than half of the budget is reserved.
func (b *Budget) IsScarce() bool { return b.reserved.Load() > b.capacity/2 }
