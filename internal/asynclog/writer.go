// Package asynclog writes log lines without blocking the caller. Lines are logged where locks are held and requests
// wait, and the reader of the log may be slow, stopped or gone: it must not stop the router.
package asynclog

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// Bounds of a Writer.
const (
	maxLines     = 256                    // capacity of the queue, in lines
	maxBytes     = 1 << 20                // and in bytes
	closeTimeout = 100 * time.Millisecond // how long Close waits for the queue to drain
)

// Writer queues lines and writes them from a goroutine of its own. Lines that find the queue full are dropped; the
// next line written is preceded by one that counts them. It is safe for concurrent use.
type Writer struct {
	queue        chan []byte
	quit         chan struct{} // closed by Close
	finished     chan struct{} // closed when the goroutine has ended
	pendingBytes atomic.Int64  // in the queue
	dropped      atomic.Int64  // lines dropped and not reported yet
}

// New returns a writer to a destination that may block or fail. Close ends it.
func New(destination io.Writer) *Writer {
	w := &Writer{
		queue:    make(chan []byte, maxLines),
		quit:     make(chan struct{}),
		finished: make(chan struct{}),
	}
	go w.forward(destination)
	return w
}

// Write queues a copy of one line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	size := int64(len(line))
	if w.pendingBytes.Add(size) <= maxBytes {
		select {
		case w.queue <- append([]byte(nil), line...):
			return len(line), nil
		default:
		}
	}
	w.pendingBytes.Add(-size)
	w.dropped.Add(1)
	return len(line), nil
}

// Close writes the queued lines, for closeTimeout at most. Later lines are dropped. It must be called once only.
func (w *Writer) Close() {
	close(w.quit)
	timeout := time.NewTimer(closeTimeout)
	defer timeout.Stop()
	select {
	case <-w.finished:
	case <-timeout.C:
	}
}

// forward writes queued lines until Close.
func (w *Writer) forward(destination io.Writer) {
	defer close(w.finished)
	for {
		select { // queued lines are written before quit is looked at
		case line := <-w.queue:
			w.writeLine(destination, line)
			continue
		default:
		}
		select {
		case line := <-w.queue:
			w.writeLine(destination, line)
		case <-w.quit:
			return
		}
	}
}

// writeLine writes a line, preceded by the count of dropped ones, if any. A write error is ignored: there is no
// other log to report it to.
func (w *Writer) writeLine(destination io.Writer, line []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(destination, "{\"level\":\"warn\",\"lost\":%d,\"message\":\"log lines were not taken\"}\n", n)
	}
	_, _ = destination.Write(line)
	w.pendingBytes.Add(-int64(len(line)))
}
