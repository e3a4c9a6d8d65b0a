package memory

import (
	"testing"

	"pgregory.net/rapid"

	"spantack/internal/testwait"
)

// Guards against buffers that together take more than the capacity, free ones included, and against a buffer that is
// lent twice at once.
func TestBuffersStayWithinTheirCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity = 64 << 10
		b := NewBuffers(capacity)
		lent := map[*byte][]byte{}
		var lentBytes int64
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "return one") {
				for first, buffer := range lent {
					lentBytes -= int64(cap(buffer))
					delete(lent, first)
					b.Put(buffer)
					break
				}
				continue
			}
			n := rapid.IntRange(1, capacity).Draw(t, "size")
			buffer, ok := b.TryGet(n)
			if wantOK := lentBytes+int64(bufferSize(n)) <= capacity; ok != wantOK {
				t.Fatalf("%d bytes with %d of %d lent: lent %v", n, lentBytes, capacity, ok)
			}
			if !ok {
				continue
			}
			first := &buffer[0]
			if len(buffer) != n || lent[first] != nil {
				t.Fatalf("%d bytes lent for %d, lent before: %v", len(buffer), n, lent[first] != nil)
			}
			lent[first] = buffer
			lentBytes += int64(cap(buffer))
			if total := b.Lent() + b.freeBytes; total > capacity || b.Lent() != lentBytes {
				t.Fatalf("%d bytes lent and free, %d lent; capacity %d, lent %d", total, b.Lent(), capacity, lentBytes)
			}
		}
	})
}

// Guards against a constant flow of bodies that leaves garbage: returned buffers must be lent again.
func TestBuffersAreReused(t *testing.T) {
	b := NewBuffers(1 << 20)
	allocations := testing.AllocsPerRun(100, func() {
		buffer, ok := b.TryGet(200_000)
		if !ok {
			t.Fatal("no buffer")
		}
		b.Put(buffer)
	})
	if allocations != 0 {
		t.Errorf("%v allocations for each buffer", allocations)
	}
}

// Guards against a caller that waits although memory is returned.
func TestGetWaitsForMemory(t *testing.T) {
	b := NewBuffers(1024)
	first, _ := b.TryGet(1024)
	got := make(chan []byte, 1)
	go func() {
		buffer, err := b.Get(t.Context(), 600)
		if err != nil {
			t.Error(err)
		}
		got <- buffer
	}()
	b.Put(first)
	if buffer := testwait.Receive(t, got, "the second buffer"); len(buffer) != 600 {
		t.Errorf("%d bytes", len(buffer))
	}
}
