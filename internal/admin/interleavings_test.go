package admin

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"spantack/internal/testwait"
)

// What the other process wrote is adopted here while a call excludes a server: the call must come after or before, not in between, or what was
// read before it would undo it.
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
		t.Error("a call may change what is out between reading and adopting")
		unlock()
	} else if !errors.Is(err, syscall.EWOULDBLOCK) {
		t.Error(err)
	}
	stop()
	close(leave)
	if err := testwait.Receive(t, ended, "the end of Follow"); err != nil {
		t.Error(err)
	}
	if err := state.ChangeExcluded(func([]string) error { return nil }, func() error { return nil }, func() []string { return []string{"s-2"} }); err != nil {
		t.Error(err)
	}
	if ids, err := state.Excluded(); err != nil || len(ids) != 1 || ids[0] != "s-2" {
		t.Errorf("%v, %v", ids, err)
	}
}

// The next process claims that it serves, then dies or is told to end, before this one asks: it takes no work, and this one must not
// stop taking it. Until the claim is written whole nobody is replaced.
func TestClaimOfProcessThatEnds(t *testing.T) {
	for name, end := range map[string]func(*StateDir){
		"dies":           func(s *StateDir) { s.servingLock.Close() }, // as the system does for it
		"is told to end": (*StateDir).ReleaseServing,
	} {
		dir := t.TempDir()
		old, next, last := NewStateDir(dir, zerolog.Nop()), NewStateDir(dir, zerolog.Nop()), NewStateDir(dir, zerolog.Nop())
		claim := func(s *StateDir) {
			if err := s.ClaimServing(); err != nil {
				t.Fatal(err)
			}
		}
		claim(old)
		if old.IsReplaced() {
			t.Errorf("%s: replaced by itself", name)
		}
		staged, err := next.writeTemp(servingFile, 1) // its claim is written but not renamed yet
		if err != nil || old.IsReplaced() {
			t.Errorf("%s: replaced by half a claim, %v", name, err)
		}
		staged.Close()
		claim(next)
		if !old.IsReplaced() || next.IsReplaced() {
			t.Errorf("%s: not replaced by one that serves", name)
		}
		end(next)
		if old.IsReplaced() || next.IsReplaced() {
			t.Errorf("%s: replaced by one that serves no longer", name)
		}
		claim(last)
		if !old.IsReplaced() {
			t.Errorf("%s: not replaced by the one after it", name)
		}
		old.ReleaseServing()
		last.ReleaseServing()
	}
}

// Another process was stopped in the middle of a change: a call is answered with an error, in time.
func TestChangeWhileLockHolderIsStopped(t *testing.T) {
	dir := t.TempDir()
	stopped, state := NewStateDir(dir, zerolog.Nop()), NewStateDir(dir, zerolog.Nop())
	in, leave := make(chan struct{}), make(chan struct{})
	ended := make(chan error)
	nothing := func([]string) error { return nil }
	go func() {
		ended <- stopped.ChangeExcluded(nothing, func() error { close(in); <-leave; return nil }, func() []string { return nil })
	}()
	testwait.Receive(t, in, "a change to begin")
	answer := make(chan error, 1)
	go func() {
		answer <- state.ChangeExcluded(nothing, func() error { return nil }, func() []string { return nil })
	}()
	const inTime = 10 * lockTimeout * time.Millisecond
	if err := testwait.ReceiveWithin(t, inTime, answer, "the answer to a call beside a process that is stopped"); !errors.Is(err, syscall.EWOULDBLOCK) {
		t.Errorf("answered %v", err)
	}
	close(leave)
	if err := testwait.Receive(t, ended, "the change to end"); err != nil {
		t.Error(err)
	}
}
