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

// A blocked destination must not block Write. Once released, it must receive the queued lines in order, and the number
// of dropped lines. Writes continue after a destination returns an error.
func TestBlockedDestinationDoesNotBlockWrite(t *testing.T) {
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
			line = fmt.Appendf(line[:0], "%d\n", i) // the caller's buffer is reused
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
			t.Errorf("destination with error %v: got %.200q", err, got)
		}
	}
}

// Close must not wait for a blocked destination, and the queue must be bounded in bytes too.
func TestCloseDoesNotWaitForBlockedDestination(t *testing.T) {
	destination := &blockingWriter{entered: make(chan struct{}), release: make(chan struct{})}
	entered := destination.entered
	w := New(destination)
	half := []byte(strings.Repeat("x", maxBytes/2))
	w.Write(half)
	testwait.Receive(t, entered, "the first line to be written")
	w.Write(half)
	w.Write(half) // exceeds maxBytes
	w.Close()
	w.Write([]byte("after the end\n"))
	close(destination.release)
	testwait.Receive(t, w.finished, "the writer to end")
	report := "{\"level\":\"warn\",\"lost\":2,\"message\":\"log lines were not taken\"}\n"
	got, lost := destination.got.Len(), w.dropped.Load()
	if got < maxBytes || got > maxBytes+len(report) || lost != 0 {
		t.Errorf("%d bytes written, %d dropped lines not reported", got, lost)
	}
}
