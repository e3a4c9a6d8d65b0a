package memory

import (
	"context"
	"testing"

	"spantack/internal/testwait"
)

// Guards against a budget that gives out more than it has, or passes over a caller that waits: while one waits, nobody
// else gets bytes that are free.
func TestBudgetIsSharedInOrder(t *testing.T) {
	b := NewBudget(10)
	if !b.TryReserve(6) || b.TryReserve(5) || b.Reserved() != 6 || !b.IsScarce() {
		t.Fatalf("reserved %d of 10", b.Reserved())
	}
	waited := make(chan error, 1)
	go func() { waited <- b.Reserve(t.Context(), 5) }()
	testwait.Until(t, "the large reservation to wait", func() bool { return !isFree(b, 4) })
	b.Release(6)
	if err := testwait.Receive(t, waited, "the large reservation"); err != nil || b.Reserved() != 5 {
		t.Errorf("error %v, reserved %d, want 5", err, b.Reserved())
	}
	if !b.TryReserve(5) {
		t.Error("the rest is not free")
	}
}

// isFree reports whether n bytes can be reserved at present.
func isFree(b *Budget, n int64) bool {
	if !b.TryReserve(n) {
		return false
	}
	b.Release(n)
	return true
}

// Guards against waits that never end: a reservation ends with its context, also one above the capacity.
func TestReservationEndsWithItsContext(t *testing.T) {
	b := NewBudget(10)
	ctx, cancel := context.WithCancel(t.Context())
	waited := make(chan error, 1)
	go func() { waited <- b.Reserve(ctx, 11) }()
	cancel()
	if err := testwait.Receive(t, waited, "the reservation to end"); err == nil || b.Reserved() != 0 {
		t.Errorf("error %v, reserved %d", err, b.Reserved())
	}
}
