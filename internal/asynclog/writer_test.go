package asynclog

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// gate is a destination that stands in its first write until the test lets it go on.
type gate struct {
	entered, leave chan struct{}
	got            bytes.Buffer
	err            error
}

func (g *gate) Write(line []byte) (int, error) {
	if g.entered != nil {
		close(g.entered)
		g.entered = nil
		<-g.leave
	}
	g.got.Write(line)
	return len(line), g.err
}

// A destination that takes nothing makes nobody wait; once it goes on it has the lines in order, and the number of those dropped. One that
// fails is written to again.
func TestStuck(t *testing.T) {
	for _, err := range []error{nil, errors.New("broken pipe")} {
		g := &gate{entered: make(chan struct{}), leave: make(chan struct{}), err: err}
		entered := g.entered
		w := New(g)
		line := make([]byte, 0, 32)
		line = append(line, "first\n"...)
		if n, err := w.Write(line); n != len(line) || err != nil {
			t.Fatal(n, err)
		}
		<-entered
		for i := range room + 7 {
			line = fmt.Appendf(line[:0], "%d\n", i) // the caller's buffer is used again
			w.Write(line)
		}
		close(g.leave)
		w.Close()
		<-w.ended
		want := "first\n{\"level\":\"warn\",\"lost\":7,\"message\":\"log lines were not taken\"}\n"
		for i := range room {
			want += fmt.Sprintf("%d\n", i)
		}
		if got := g.got.String(); got != want {
			t.Errorf("%v: got %.200q", err, got)
		}
	}
}

// The end does not wait for a destination that takes nothing, and what waits is bounded in bytes too.
func TestEndWhileStuck(t *testing.T) {
	g := &gate{entered: make(chan struct{}), leave: make(chan struct{})}
	entered := g.entered
	w := New(g)
	half := []byte(strings.Repeat("x", most/2))
	w.Write(half)
	<-entered
	w.Write(half)
	w.Write(half) // the one too many
	w.Close()
	w.Write([]byte("after the end\n"))
	close(g.leave)
	<-w.ended
	if got, lost := g.got.Len(), w.lost.Load(); got < most || got > most+len(`{"level":"warn","lost":2,"message":"log lines were not taken"}`)+1 || lost != 0 {
		t.Errorf("%d bytes passed on, %d lines lost and not told of", got, lost)
	}
}
