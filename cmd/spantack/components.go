package main

import (
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"
)

// componentGroup runs the components of a process, and knows which of them have not returned.
type componentGroup struct {
	group *errgroup.Group

	mu      sync.Mutex
	running []string // by name
}

// Go runs a component until it returns. An error of a component ends the context of the group.
func (g *componentGroup) Go(name string, run func() error) {
	g.mu.Lock()
	g.running = append(g.running, name)
	g.mu.Unlock()
	g.group.Go(func() error {
		defer g.remove(name)
		return run()
	})
}

// remove records that a component has returned.
func (g *componentGroup) remove(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := slices.Index(g.running, name)
	g.running = slices.Delete(g.running, i, i+1)
}

// Running returns the names of the components that have not returned.
func (g *componentGroup) Running() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.running)
}

// WaitUntil waits until all components have returned, or until expired is closed. isComplete is false in the second case.
func (g *componentGroup) WaitUntil(expired <-chan struct{}) (isComplete bool, err error) {
	ended := make(chan error, 1)
	go func() { ended <- g.group.Wait() }()
	select {
	case err := <-ended:
		return true, err
	case <-expired:
		return false, nil
	}
}
