package manage

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/rs/zerolog"
)

// What the other process wrote is adopted here while a call takes a server out: the call must come after or before, not in
// between, or what was read before it would undo it.
func TestFollowCrossesChange(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, outsFile), []byte(`["s-1"]`), 0o600); err != nil {
		t.Fatal(err)
	}
	s := NewShelf(dir, zerolog.Nop())
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	entered, leave, ended := make(chan struct{}), make(chan struct{}), make(chan error)
	go func() {
		ended <- s.Follow(ctx, func([]string) error { // it has read, and stands before it adopts
			entered <- struct{}{}
			<-leave
			return nil
		})
	}()
	<-entered
	if unlock, err := s.lock(syscall.LOCK_EX | syscall.LOCK_NB); err == nil {
		t.Error("a call may change what is out between reading and adopting")
		unlock()
	} else if !errors.Is(err, syscall.EWOULDBLOCK) {
		t.Error(err)
	}
	stop()
	close(leave)
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if err := s.Change(func([]string) error { return nil }, func() error { return nil }, func() []string { return []string{"s-2"} }); err != nil {
		t.Error(err)
	}
	if ids, err := s.Outs(); err != nil || len(ids) != 1 || ids[0] != "s-2" {
		t.Errorf("%v, %v", ids, err)
	}
}
