package handover

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"spantack/core/endpoints"
	"spantack/internal/testwait"
)

func adoptNothing([]string) error { return nil }

func changeNothing() error { return nil }

// A management call excludes a server while this process adopts the other process's change. The call must wait until
// the change is read and adopted; otherwise adopting the older state would undo the exclusion. The test checks that the
// lock, which the call needs, is held between reading and adopting, and that a call succeeds afterwards.
func TestAdoptionHoldsLock(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, excludedFile), []byte(`["s-1"]`), 0o600); err != nil {
		t.Fatal(err)
	}
	state := NewStateDir(dir, zerolog.Nop())
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	entered, resume, ended := make(chan struct{}), make(chan struct{}), make(chan error)
	go func() {
		ended <- state.WatchExcluded(ctx, func([]string) error { // called after the read, before the state is adopted
			entered <- struct{}{}
			<-resume
			return nil
		})
	}()
	testwait.Receive(t, entered, "the other process's change to be read")
	if unlock, err := state.lock(syscall.LOCK_EX | syscall.LOCK_NB); err == nil {
		t.Error("the lock is free between reading and adopting")
		unlock()
	} else if !errors.Is(err, syscall.EWOULDBLOCK) {
		t.Error(err)
	}
	stop()
	close(resume)
	if err := testwait.Receive(t, ended, "the end of WatchExcluded"); err != nil {
		t.Error(err)
	}
	if err := state.ChangeExcluded(adoptNothing, changeNothing, func() []string { return []string{"s-2"} }); err != nil {
		t.Error(err)
	}
	if ids, err := state.Excluded(); err != nil || !slices.Equal(ids, []string{"s-2"}) {
		t.Errorf("excluded %v, error %v, want s-2", ids, err)
	}
}

// Another process was stopped during a change and holds the lock: a call must fail within its time limit.
func TestChangeFailsInTimeWhileLockIsHeld(t *testing.T) {
	dir := t.TempDir()
	stopped, state := NewStateDir(dir, zerolog.Nop()), NewStateDir(dir, zerolog.Nop())
	entered, resume := make(chan struct{}), make(chan struct{})
	none := func() []string { return nil }
	ended := make(chan error)
	go func() {
		change := func() error {
			close(entered)
			<-resume
			return nil
		}
		ended <- stopped.ChangeExcluded(adoptNothing, change, none)
	}()
	testwait.Receive(t, entered, "the change to start")
	result := make(chan error, 1)
	go func() { result <- state.ChangeExcluded(adoptNothing, changeNothing, none) }()
	const limit = 10 * lockTimeout * time.Millisecond
	err := testwait.ReceiveWithin(t, limit, result, "the result of a call while the lock holder is stopped")
	if !errors.Is(err, syscall.EWOULDBLOCK) {
		t.Errorf("error %v, want EWOULDBLOCK", err)
	}
	close(resume)
	if err := testwait.Receive(t, ended, "the change to end"); err != nil {
		t.Error(err)
	}
}

// routerProcess is one of the processes of a router: its state directory, and the endpoint list whose exclusions the
// processes share.
type routerProcess struct {
	state *StateDir

	mu   sync.Mutex
	list *endpoints.List
}

// startRouterProcess returns a process that has adopted the excluded servers from the directory.
func startRouterProcess(t *testing.T, dir string) *routerProcess {
	t.Helper()
	p := &routerProcess{state: NewStateDir(dir, zerolog.Nop()), list: endpoints.New()}
	ids, err := p.state.Excluded()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.adopt(ids); err != nil {
		t.Fatal(err)
	}
	return p
}

func (p *routerProcess) adopt(ids []string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, err := p.list.ReplaceExclusions(ids)
	return err
}

func (p *routerProcess) excluded() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.list.Exclusions()
}

// exclude excludes a server, as a management call does.
func (p *routerProcess) exclude(id string) error {
	return p.change(func(ids []string) []string { return append(ids, id) })
}

// include includes a server, as a management call does.
func (p *routerProcess) include(id string) error {
	return p.change(func(ids []string) []string {
		return slices.DeleteFunc(ids, func(other string) bool { return other == id })
	})
}

// change makes a change, and retries while it fails because others hold the lock for too long.
func (p *routerProcess) change(edit func(ids []string) []string) error {
	attempt := func() error {
		return p.state.ChangeExcluded(p.adopt, func() error { return p.adopt(edit(p.excluded())) }, p.excluded)
	}
	err := attempt()
	for startedAt := time.Now(); errors.Is(err, syscall.EWOULDBLOCK) && time.Since(startedAt) < testwait.Limit; {
		err = attempt()
	}
	return err
}

// Two processes of one router change the excluded servers at the same time: no change may be lost, and each process
// adopts the other's changes from the file.
func TestConcurrentChangesAreNotLost(t *testing.T) {
	const changes = 40
	dir := t.TempDir()
	old := startRouterProcess(t, dir)
	if err := old.exclude("a"); err != nil {
		t.Fatal(err)
	}
	next := startRouterProcess(t, dir)
	var group sync.WaitGroup
	for i := range changes {
		group.Go(func() {
			if err := []*routerProcess{old, next}[i%2].exclude(fmt.Sprintf("s-%02d", i)); err != nil {
				t.Error(err)
			}
		})
	}
	testwait.WaitGroupWithin(t, 2*testwait.Limit, &group, "all changes")
	if err := next.include("a"); err != nil {
		t.Fatal(err)
	}
	if got := next.excluded(); len(got) != changes || slices.Contains(got, "a") {
		t.Errorf("%d servers excluded, want one for each change, and not a: %v", len(got), got)
	}
	checkAdopts(t, old, changes)
	if got := old.excluded(); slices.Contains(got, "a") {
		t.Errorf("the other process still has %v excluded", got)
	}
	if err := os.Remove(filepath.Join(dir, excludedFile)); err != nil {
		t.Fatal(err)
	}
	if err := next.exclude("b"); err != nil { // the loss of the file must not undo any exclusion
		t.Fatal(err)
	}
	if got := next.excluded(); len(got) != changes+1 {
		t.Errorf("%d servers excluded after the loss of the file, want all as before and b", len(got))
	}
	for _, id := range next.excluded() {
		if err := next.include(id); err != nil {
			t.Fatal(err)
		}
	}
	old.state.AdoptExcluded(old.adopt)
	if got := old.excluded(); len(got) != 0 {
		t.Errorf("still excluded in the other process after all were included: %v", got)
	}
	left, err := filepath.Glob(filepath.Join(dir, "*"))
	if err != nil || len(left) != 2 {
		t.Errorf("files in the directory: %v, error %v, want 2 files", left, err)
	}
}

// checkAdopts checks that a process that watches the file adopts the given number of excluded servers from it.
func checkAdopts(t *testing.T, p *routerProcess, excluded int) {
	t.Helper()
	adopted := make(chan struct{})
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	ended := make(chan error, 1)
	go func() {
		ended <- p.state.WatchExcluded(ctx, func(ids []string) error {
			if len(ids) == excluded {
				close(adopted)
			}
			return p.adopt(ids)
		})
	}()
	testwait.Receive(t, adopted, "the other process to adopt the changes")
	stop()
	if err := testwait.Receive(t, ended, "the end of WatchExcluded"); err != nil {
		t.Error(err)
	}
}
