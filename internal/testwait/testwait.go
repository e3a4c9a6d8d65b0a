// Package testwait bounds the waits of tests. Every wait names what it waits for, so that a test that would hang
// fails instead and says where. The bounds are far above what any wait takes on a machine that is starved of CPU:
// they end tests that hang, and no verdict depends on the machine's speed by way of them. Only tests import it.
package testwait

import (
	"sync"
	"testing"
	"time"
)

const (
	// Limit bounds a single wait.
	Limit = 20 * time.Second
	// ConnLimit bounds the use of a connection by a test, which reads and writes on it many times.
	ConnLimit = time.Minute

	// pollInterval is the time between two calls of Until's condition.
	pollInterval = 5 * time.Millisecond
)

// Receive returns the next value from c, or the zero value once c is closed.
func Receive[T any](t testing.TB, c <-chan T, what string) T {
	t.Helper()
	return ReceiveWithin(t, Limit, c, what)
}

// ReceiveWithin is Receive with a bound of its own, for waits that consist of many steps.
func ReceiveWithin[T any](t testing.TB, limit time.Duration, c <-chan T, what string) T {
	t.Helper()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case v := <-c:
		return v
	case <-timer.C:
		t.Fatalf("waited %v for %s", limit, what)
		panic("unreachable")
	}
}

// Send hands v to a receiver of c.
func Send[T any](t testing.TB, c chan<- T, v T, what string) {
	t.Helper()
	timer := time.NewTimer(Limit)
	defer timer.Stop()
	select {
	case c <- v:
	case <-timer.C:
		t.Fatalf("waited %v for a receiver of %s", Limit, what)
	}
}

// WaitGroup waits until all goroutines of g have ended.
func WaitGroup(t testing.TB, g *sync.WaitGroup, what string) {
	t.Helper()
	WaitGroupWithin(t, Limit, g, what)
}

// WaitGroupWithin is WaitGroup with a bound of its own, for goroutines that wait themselves.
func WaitGroupWithin(t testing.TB, limit time.Duration, g *sync.WaitGroup, what string) {
	t.Helper()
	ended := make(chan struct{})
	go func() {
		g.Wait()
		close(ended)
	}()
	ReceiveWithin(t, limit, ended, what)
}

// Until calls holds, every pollInterval, until it returns true.
func Until(t testing.TB, what string, holds func() bool) {
	t.Helper()
	UntilWithin(t, Limit, what, holds)
}

// UntilWithin is Until with a bound of its own, for waits that consist of many steps.
func UntilWithin(t testing.TB, limit time.Duration, what string, holds func() bool) {
	t.Helper()
	for startedAt := time.Now(); !holds(); time.Sleep(pollInterval) {
		if time.Since(startedAt) > limit {
			t.Fatalf("waited %v for %s", limit, what)
		}
	}
}
