package asynclog

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"go.uber.org/goleak"

	"spantack/internal/testwait"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// blockingWriter is a destination whose first write blocks until the test releases it.
type blockingWriter struct {
	entered, release chan struct{}
	got              bytes.Buffer
	err              error
}

func (w *blockingWriter) Write(line []byte) (int, error) {
	if w.entered != nil {
		close(w.entered)
		w.entered = nil
		<-w.release
	}
	w.got.Write(line)
	return len(line), w.err
}

// A destination that blocks does not block Write; once released it gets the lines in order, and the number of those
// dropped. One that fails is written to again.
func TestBlockedDestination(t *testing.T) {
	for _, err := range []error{nil, errors.New("broken pipe")} {
		destination := &blockingWriter{entered: make(chan struct{}), release: make(chan struct{}), err: err}
		entered := destination.entered
		w := New(destination)
		line := make([]byte, 0, 32)
		line = append(line, "first\n"...)
		if n, err := w.Write(line); n != len(line) || err != nil {
			t.Fatal(n, err)
		}
		testwait.Receive(t, entered, "the first line to be written")
		for i := range maxLines + 7 {
			line = fmt.Appendf(line[:0], "%d\n", i) // the caller's buffer is used again
			w.Write(line)
		}
		close(destination.release)
		w.Close()
		testwait.Receive(t, w.finished, "the writer to end")
		want := "first\n{\"level\":\"warn\",\"lost\":7,\"message\":\"log lines were not taken\"}\n"
		for i := range maxLines {
			want += fmt.Sprintf("%d\n", i)
		}
		if got := destination.got.String(); got != want {
			t.Errorf("%v: got %.200q", err, got)
		}
	}
}

// Close does not wait for a destination that blocks, and the queue is bounded in bytes too.
func TestCloseWhileBlocked(t *testing.T) {
	destination := &blockingWriter{entered: make(chan struct{}), release: make(chan struct{})}
	entered := destination.entered
	w := New(destination)
	half := []byte(strings.Repeat("x", maxBytes/2))
	w.Write(half)
	testwait.Receive(t, entered, "the first line to be written")
	w.Write(half)
	w.Write(half) // the one too many
	w.Close()
	w.Write([]byte("after the end\n"))
	close(destination.release)
	testwait.Receive(t, w.finished, "the writer to end")
	report := "{\"level\":\"warn\",\"lost\":2,\"message\":\"log lines were not taken\"}\n"
	got, lost := destination.got.Len(), w.dropped.Load()
	if got < maxBytes || got > maxBytes+len(report) || lost != 0 {
		t.Errorf("%d bytes passed on, %d lines dropped and not reported", got, lost)
	}
}
