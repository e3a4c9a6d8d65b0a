package cache

import "sync"

// gate holds up goroutines while it is closed. The zero value is open.
type gate struct {
	mu     sync.Mutex
	opened chan struct{} // closed by open; nil while the gate is open
}

// close closes the gate; a closed one stays as it is.
func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened == nil {
		g.opened = make(chan struct{})
	}
}

// open opens the gate and lets through all that wait.
func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened != nil {
		close(g.opened)
		g.opened = nil
	}
}

// wait returns once the gate is open, or done is closed.
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
