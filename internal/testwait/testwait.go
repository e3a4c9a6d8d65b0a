// Package testwait has waits with time limits for tests. Every wait has a description of what it waits for, so that a
// test that would hang fails with this description instead. The limits are far longer than any wait takes, even on a
// machine that is starved of CPU. Only a test that hangs reaches them. Results therefore do not depend on the machine's
// speed. Only tests import the package.
package testwait

import (
	"sync"
	"testing"
	"time"
)

const (
	// Limit is the maximum duration of a single wait.
	Limit = 20 * time.Second
	// ConnLimit is the maximum time for which a test uses a connection, with many reads and writes.
	ConnLimit = time.Minute

	// pollInterval is the pause between two calls of Until's condition.
	pollInterval = 5 * time.Millisecond
)

// Receive returns the next value from c, or the zero value if c is closed. It fails the test after Limit.
func Receive[T any](t testing.TB, c <-chan T, what string) T {
	t.Helper()
	return ReceiveWithin(t, Limit, c, what)
}

// ReceiveWithin is Receive with another limit, for events that take many steps.
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

// Send sends v to c. It fails the test after Limit. what describes v.
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

// WaitGroup waits until all goroutines of g have ended. It fails the test after Limit.
func WaitGroup(t testing.TB, g *sync.WaitGroup, what string) {
	t.Helper()
	WaitGroupWithin(t, Limit, g, what)
}

// WaitGroupWithin is WaitGroup with another limit, for goroutines that contain waits of their own.
func WaitGroupWithin(t testing.TB, limit time.Duration, g *sync.WaitGroup, what string) {
	t.Helper()
	ended := make(chan struct{})
	go func() {
		g.Wait()
		close(ended)
	}()
	ReceiveWithin(t, limit, ended, what)
}

// Until calls condition every pollInterval until it returns true. It fails the test after Limit.
func Until(t testing.TB, what string, condition func() bool) {
	t.Helper()
	UntilWithin(t, Limit, what, condition)
}

// UntilWithin is Until with another limit, for conditions that take many steps.
func UntilWithin(t testing.TB, limit time.Duration, what string, condition func() bool) {
	t.Helper()
	for startedAt := time.Now(); !condition(); time.Sleep(pollInterval) {
		if time.Since(startedAt) > limit {
			t.Fatalf("waited %v for %s", limit, what)
		}
	}
}
