// Package asynclog writes log lines without blocking the caller. Lines are logged where locks are held and requests wait; who reads the log
// may be slow, stopped or gone, and must not stop the router.
package asynclog

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	room     = 256     // lines that wait at the most
	most     = 1 << 20 // bytes of them
	patience = 100     // milliseconds that Close waits for what is left
)

// Writer passes lines on from a goroutine of its own. What finds no room is dropped, and counted in a line of its own once there is room
// again. It is safe for concurrent use.
type Writer struct {
	queue chan []byte
	quit  chan struct{}
	ended chan struct{}
	held  atomic.Int64 // bytes that wait
	lost  atomic.Int64 // lines dropped and not told of
}

// New returns a writer to a destination that may block or fail. Close ends it.
func New(to io.Writer) *Writer {
	w := &Writer{queue: make(chan []byte, room), quit: make(chan struct{}), ended: make(chan struct{})}
	go w.pass(to)
	return w
}

// Write takes one line. It never waits and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	size := int64(len(line))
	if w.held.Add(size) <= most {
		select {
		case w.queue <- append([]byte(nil), line...):
			return len(line), nil
		default:
		}
	}
	w.held.Add(-size)
	w.lost.Add(1)
	return len(line), nil
}

// Close writes what is left, unless that takes too long. What comes later is dropped. It is called once.
func (w *Writer) Close() {
	close(w.quit)
	patient := time.NewTimer(patience * time.Millisecond)
	defer patient.Stop()
	select {
	case <-w.ended:
	case <-patient.C:
	}
}

func (w *Writer) pass(to io.Writer) {
	defer close(w.ended)
	for {
		select { // what waits comes before the end
		case line := <-w.queue:
			w.put(to, line)
			continue
		default:
		}
		select {
		case line := <-w.queue:
			w.put(to, line)
		case <-w.quit:
			return
		}
	}
}

// put writes a line, and before it how many were lost. What a destination does not take is lost: there is nobody to tell.
func (w *Writer) put(to io.Writer, line []byte) {
	if n := w.lost.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(to, "{\"level\":\"warn\",\"lost\":%d,\"message\":\"log lines were not taken\"}\n", n)
	}
	_, _ = to.Write(line)
	w.held.Add(-int64(len(line)))
}
