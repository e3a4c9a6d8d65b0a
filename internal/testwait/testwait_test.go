package testwait

import (
	"errors"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"
)

// The waits end with what they wait for.
func TestWaits(t *testing.T) {
	c := make(chan int, 1)
	Send(t, c, 7, "room in the channel")
	if v := Receive(t, c, "the value that was sent"); v != 7 {
		t.Errorf("received %d", v)
	}
	close(c)
	if v := Receive(t, c, "the end of the channel"); v != 0 {
		t.Errorf("received %d from a closed channel", v)
	}
	var g sync.WaitGroup
	ran := false
	g.Go(func() { ran = true })
	WaitGroup(t, &g, "a goroutine")
	if !ran {
		t.Error("the goroutine has not run")
	}
	calls := 0
	Until(t, "the third call", func() bool { calls++; return calls == 3 })
	if calls != 3 {
		t.Errorf("%d calls", calls)
	}
}

// Both ends of a connection carry bytes.
func TestConnections(t *testing.T) {
	l := Listen(t)
	near := Dial(t, l.Addr().String())
	far := Accept(t, l, "the connection just dialled")
	if _, err := near.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	got := make([]byte, 1)
	if _, err := far.Read(got); err != nil || got[0] != 'x' {
		t.Errorf("read %q, %v", got, err)
	}
}

// A connection that ends without a byte is passed over, and one on which something is written is taken.
func TestAcceptHello(t *testing.T) {
	l := Listen(t)
	Dial(t, l.Addr().String()).Close()
	if _, err := Dial(t, l.Addr().String()).Write([]byte("hello")); err != nil {
		t.Fatal(err)
	}
	AcceptHello(t, l, "hello", "the second connection")
}

// A stopwatch counts no more than the time that passes, and RetryIfStarved ends with the first run without a fault.
func TestRetryIfStarved(t *testing.T) {
	stopwatch := StartStopwatch()
	time.Sleep(time.Millisecond)
	if took := stopwatch.Elapsed(); took > time.Since(stopwatch.startedAt) {
		t.Errorf("%v, of %v in all", took, time.Since(stopwatch.startedAt))
	}
	runs := 0
	RetryIfStarved(t, func() error { runs++; return nil })
	if runs != 1 {
		t.Errorf("%d runs", runs)
	}
	errLate := errors.New("late")
	failure := failureOf(t, func(f *failingTB) {
		RetryIfStarved(f, func() error { return errLate })
	})
	if !strings.Contains(failure, "late") {
		t.Errorf("failed with %q", failure)
	}
}

// failingTB is a testing.TB that records its failure and ends the goroutine, as a test's does.
type failingTB struct {
	testing.TB
	failure string
}

// Helper implements testing.TB.
func (f *failingTB) Helper() {}

// Logf implements testing.TB.
func (f *failingTB) Logf(string, ...any) {}

// Fatalf implements testing.TB.
func (f *failingTB) Fatalf(format string, args ...any) {
	f.failure = fmt.Sprintf(format, args...)
	runtime.Goexit()
}

// failureOf returns with what text a check fails, or an empty one where it does not.
func failureOf(t *testing.T, check func(f *failingTB)) string {
	t.Helper()
	f := &failingTB{}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		check(f)
	}()
	Receive(t, ended, "the end of the check")
	return f.failure
}

// A wait for what never comes fails the test and names it.
func TestWaitsEnd(t *testing.T) {
	const limit = 5 * time.Millisecond
	for name, wait := range map[string]func(f *failingTB){
		"Receive": func(f *failingTB) { ReceiveWithin(f, limit, make(chan int), "a value") },
		"Until":   func(f *failingTB) { UntilWithin(f, limit, "a value", func() bool { return false }) },
	} {
		t.Run(name, func(t *testing.T) {
			if failure := failureOf(t, wait); failure != "waited 5ms for a value" {
				t.Errorf("failed with %q", failure)
			}
		})
	}
}
