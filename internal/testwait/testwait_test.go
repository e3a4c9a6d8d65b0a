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

// Guards against waits that do not return when the awaited event happens, or return early.
func TestWaitsReturnWhenDone(t *testing.T) {
	c := make(chan int, 1)
	Send(t, c, 7, "the value 7")
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

// Guards against Accept returning another connection than the one that was dialled.
func TestAcceptReturnsDialledConnection(t *testing.T) {
	l := Listen(t)
	dialled := Dial(t, l.Addr().String())
	accepted := Accept(t, l, "the connection just dialled")
	if _, err := dialled.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	got := make([]byte, 1)
	if _, err := accepted.Read(got); err != nil || got[0] != 'x' {
		t.Errorf("read %q, %v", got, err)
	}
}

// Guards against AcceptHello failing on a connection that ends without data, instead of waiting for the next one.
func TestAcceptHelloSkipsConnectionWithoutData(t *testing.T) {
	l := Listen(t)
	Dial(t, l.Addr().String()).Close()
	if _, err := Dial(t, l.Addr().String()).Write([]byte("hello")); err != nil {
		t.Fatal(err)
	}
	AcceptHello(t, l, "hello", "the second connection")
}

// Guards against a stopwatch that counts more than the elapsed time, and against RetryIfStarved repeating a check that
// has passed or hiding one that always fails.
func TestStopwatchAndRetryIfStarved(t *testing.T) {
	stopwatch := StartStopwatch()
	time.Sleep(time.Millisecond)
	if took := stopwatch.Elapsed(); took > time.Since(stopwatch.startedAt) {
		t.Errorf("stopwatch shows %v, more than the %v since its start", took, time.Since(stopwatch.startedAt))
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
		t.Errorf("failed with %q, want a text with the error \"late\"", failure)
	}
}

// failingTB is a testing.TB that records its failure and ends the goroutine, as testing.T does.
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

// failureOf returns the text with which a check fails, or an empty one if it does not fail.
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

// Guards against waits that hang: a wait for an event that never happens fails the test and names the event.
func TestWaitsFailAfterLimit(t *testing.T) {
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
