package cache

import "sync"

// gate blocks goroutines in wait while it is closed. The zero value is open.
type gate struct {
	mu     sync.Mutex
	opened chan struct{} // closed by open; nil while the gate is open
}

// close closes the gate. It has no effect on a closed gate.
func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened == nil {
		g.opened = make(chan struct{})
	}
}

// open opens the gate and unblocks all waiting goroutines.
func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened != nil {
		close(g.opened)
		g.opened = nil
	}
}

// wait blocks until the gate is open or done is closed.
func (g *gate) wait(done <-chan struct{}) {
	g.mu.Lock()
	opened := g.opened
	g.mu.Unlock()
	if opened == nil {
		return
	}
	select {
	case <-opened:
	case <-done:
	}
}
