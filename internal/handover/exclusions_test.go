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

// noAdopt adopts nothing.
func noAdopt([]string) error { return nil }

// noChange changes nothing.
func noChange() error { return nil }

// What the other process wrote is adopted here while a call excludes a server: the call must come after or before,
// not in between, or what was read before it would undo it.
func TestWatchInterleavedWithChange(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, excludedFile), []byte(`["s-1"]`), 0o600); err != nil {
		t.Fatal(err)
	}
	state := NewStateDir(dir, zerolog.Nop())
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	entered, leave, ended := make(chan struct{}), make(chan struct{}), make(chan error)
	go func() {
		ended <- state.WatchExcluded(ctx, func([]string) error { // it has read, and stands before it adopts
			entered <- struct{}{}
			<-leave
			return nil
		})
	}()
	testwait.Receive(t, entered, "the other process's change to be read")
	if unlock, err := state.lock(syscall.LOCK_EX | syscall.LOCK_NB); err == nil {
		t.Error("a call may change the excluded servers between reading and adopting")
		unlock()
	} else if !errors.Is(err, syscall.EWOULDBLOCK) {
		t.Error(err)
	}
	stop()
	close(leave)
	if err := testwait.Receive(t, ended, "the end of WatchExcluded"); err != nil {
		t.Error(err)
	}
	if err := state.ChangeExcluded(noAdopt, noChange, func() []string { return []string{"s-2"} }); err != nil {
		t.Error(err)
	}
	if ids, err := state.Excluded(); err != nil || !slices.Equal(ids, []string{"s-2"}) {
		t.Errorf("%v, %v", ids, err)
	}
}

// Another process was stopped in the middle of a change: a call is answered with an error, in time.
func TestChangeWhileLockHolderIsStopped(t *testing.T) {
	dir := t.TempDir()
	stopped, state := NewStateDir(dir, zerolog.Nop()), NewStateDir(dir, zerolog.Nop())
	entered, leave := make(chan struct{}), make(chan struct{})
	none := func() []string { return nil }
	ended := make(chan error)
	go func() {
		change := func() error {
			close(entered)
			<-leave
			return nil
		}
		ended <- stopped.ChangeExcluded(noAdopt, change, none)
	}()
	testwait.Receive(t, entered, "a change to begin")
	answer := make(chan error, 1)
	go func() { answer <- state.ChangeExcluded(noAdopt, noChange, none) }()
	const inTime = 10 * lockTimeout * time.Millisecond
	err := testwait.ReceiveWithin(t, inTime, answer, "the answer to a call beside a process that is stopped")
	if !errors.Is(err, syscall.EWOULDBLOCK) {
		t.Errorf("answered %v", err)
	}
	close(leave)
	if err := testwait.Receive(t, ended, "the change to end"); err != nil {
		t.Error(err)
	}
}

// routerProcess is one of the processes of a router: its state directory, and the endpoint list whose exclusions it
// shares.
type routerProcess struct {
	state *StateDir

	mu   sync.Mutex
	list *endpoints.List
}

// startRouterProcess starts one that has adopted what is in the directory.
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

// exclude and include make a change as a call of staff does.
func (p *routerProcess) exclude(id string) error {
	return p.change(func(ids []string) []string { return append(ids, id) })
}

func (p *routerProcess) include(id string) error {
	return p.change(func(ids []string) []string {
		return slices.DeleteFunc(ids, func(other string) bool { return other == id })
	})
}

// change makes a change, again where others had the lock for so long that a caller is told no.
func (p *routerProcess) change(edit func(ids []string) []string) error {
	once := func() error {
		return p.state.ChangeExcluded(p.adopt, func() error { return p.adopt(edit(p.excluded())) }, p.excluded)
	}
	err := once()
	for begin := time.Now(); errors.Is(err, syscall.EWOULDBLOCK) && time.Since(begin) < testwait.Limit; {
		err = once()
	}
	return err
}

// Two processes of one router change what is excluded: none forgets what the other did, and each hears of it by the
// file.
func TestTwoProcesses(t *testing.T) {
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
		t.Errorf("%d are excluded: %v", len(got), got)
	}
	checkHearsOf(t, old, changes)
	if got := old.excluded(); slices.Contains(got, "a") {
		t.Errorf("the other process still has %v excluded", got)
	}
	if err := os.Remove(filepath.Join(dir, excludedFile)); err != nil {
		t.Fatal(err)
	}
	if err := next.exclude("b"); err != nil { // a file that was lost undoes nothing
		t.Fatal(err)
	}
	if got := next.excluded(); len(got) != changes+1 {
		t.Errorf("%d are excluded after the file was lost", len(got))
	}
	for _, id := range next.excluded() {
		if err := next.include(id); err != nil {
			t.Fatal(err)
		}
	}
	old.state.RestoreExcluded(old.adopt)
	if got := old.excluded(); len(got) != 0 {
		t.Errorf("the last one included is still excluded at the other process: %v", got)
	}
	left, err := filepath.Glob(filepath.Join(dir, "*"))
	if err != nil || len(left) != 2 {
		t.Errorf("files left: %v, %v", left, err)
	}
}

// checkHearsOf checks that a process that watches the file adopts so many excluded servers from it.
func checkHearsOf(t *testing.T, p *routerProcess, excluded int) {
	t.Helper()
	heard := make(chan struct{})
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	ended := make(chan error, 1)
	go func() {
		ended <- p.state.WatchExcluded(ctx, func(ids []string) error {
			if len(ids) == excluded {
				close(heard)
			}
			return p.adopt(ids)
		})
	}()
	testwait.Receive(t, heard, "the other process to hear of the changes")
	stop()
	if err := testwait.Receive(t, ended, "the end of WatchExcluded"); err != nil {
		t.Error(err)
	}
}
