package manage

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"spantack/internal/clock"
	"spantack/rules"
)

// Shelf is what the processes of one router share while one replaces the other: a folder that both have. It holds which servers are out,
// and which process serves. A lost or unreadable file is an empty one: the folder is new after a crash.
type Shelf struct {
	dir string
	log zerolog.Logger
}

const (
	outsFile    = "spantack-outs.json"
	lockFile    = "spantack-lock"
	servingFile = "spantack-serving"
	beliefsFile = "spantack-beliefs.json"
	mostBytes   = 256 << 10
	// lookEvery, in milliseconds, the file of outs is looked at for what the other process wrote. With the pick after it, it must
	// stay well under the grace of 500 ms.
	lookEvery = 100
	// leaveEvery, in milliseconds, what is believed is put on the shelf while this process serves.
	leaveEvery = 500
)

// NewShelf returns the shelf in a folder; nil where there is none.
func NewShelf(dir string, log zerolog.Logger) *Shelf {
	if dir == "" {
		return nil
	}
	return &Shelf{dir: dir, log: log}
}

// Serving says that this process serves.
func (s *Shelf) Serving() error {
	if s == nil {
		return nil
	}
	return s.write(servingFile, os.Getpid())
}

// Replaced tells whether another process has said since that it serves.
func (s *Shelf) Replaced() bool {
	if s == nil {
		return false
	}
	pid := 0
	return s.read(servingFile, &pid) == nil && pid != os.Getpid()
}

// Outs are the servers that are out, by the file; none without a file or a shelf.
func (s *Shelf) Outs() (ids []string, err error) {
	if s == nil {
		return nil, nil
	}
	if err = s.read(outsFile, &ids); errors.Is(err, fs.ErrNotExist) {
		err = nil
	}
	return ids, err
}

// Restore adopts what is out by the file. One that is missing or can't be read changes nothing: it must neither undo a call nor keep the
// router from its work.
func (s *Shelf) Restore(adopt func([]string) error) {
	if s == nil {
		return
	}
	ids, err := s.Outs()
	if err == nil && ids != nil {
		err = adopt(ids)
	}
	if err != nil {
		s.log.Warn().Err(err).Msg("what is out can't be read")
	}
}

// Leave puts what is believed on the shelf every now and then, for whoever takes over, until another process serves or ctx ends.
func (s *Shelf) Leave(ctx context.Context, beliefs func() rules.Beliefs) error {
	if s == nil {
		return nil
	}
	tick := time.NewTicker(clock.Duration(leaveEvery))
	defer tick.Stop()
	for !s.Replaced() { // or the older beliefs would take the place of the newer
		if err := s.write(beliefsFile, beliefs()); err != nil {
			s.log.Warn().Err(err).Msg("beliefs can't be left")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
	return nil
}

// Beliefs are those that the process before left; found is false where there are none.
func (s *Shelf) Beliefs() (b rules.Beliefs, found bool, err error) {
	if s == nil {
		return b, false, nil
	}
	if err = s.read(beliefsFile, &b); errors.Is(err, fs.ErrNotExist) {
		return b, false, nil
	}
	return b, err == nil, err
}

// Change makes one change to what is out, here and on the shelf, alone among the processes: it adopts what the other wrote before it calls
// change, and writes what is out after. Without a shelf it only calls change.
func (s *Shelf) Change(adopt func([]string) error, change func() error, outs func() []string) error {
	if s == nil {
		return change()
	}
	unlock, err := s.lock(syscall.LOCK_EX)
	if err != nil {
		return err
	}
	defer unlock()
	s.Restore(adopt)
	if err := change(); err != nil {
		return err
	}
	return s.write(outsFile, append([]string{}, outs()...)) // an empty list, where nothing is out: null would be no list
}

// lock takes the lock on what is out in the way named. With LOCK_NB its error may be EWOULDBLOCK: another has it.
func (s *Shelf) lock(how int) (unlock func(), err error) {
	file, err := os.OpenFile(filepath.Join(s.dir, lockFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err == nil {
		if err = syscall.Flock(int(file.Fd()), how); err == nil {
			return func() { file.Close() }, nil // gives the lock back too
		}
		file.Close()
	}
	return nil, fmt.Errorf("lock of what is out: %w", err)
}

// Follow adopts what the other process writes, until ctx ends. It reads and adopts under the lock: a change made between the two would
// be undone by what was read before it. Where another has the lock, it looks again later.
func (s *Shelf) Follow(ctx context.Context, adopt func([]string) error) error {
	if s == nil {
		return nil
	}
	tick := time.NewTicker(clock.Duration(lookEvery))
	defer tick.Stop()
	var seen fs.FileInfo
	for {
		if now, err := os.Stat(filepath.Join(s.dir, outsFile)); err == nil && (seen == nil || !os.SameFile(seen, now) || now.ModTime() != seen.ModTime()) {
			if unlock, err := s.lock(syscall.LOCK_SH | syscall.LOCK_NB); err == nil {
				seen = now // of before the lock: what was written since is looked at again
				s.Restore(adopt)
				unlock()
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// write replaces a file whole, so that no reader sees a part of it.
func (s *Shelf) write(name string, v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	f, err := os.CreateTemp(s.dir, name+"-*")
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	_, err = f.Write(text)
	if err := errors.Join(err, f.Close()); err != nil {
		return fmt.Errorf("%s: %w", name, errors.Join(err, os.Remove(f.Name())))
	}
	if err := os.Rename(f.Name(), filepath.Join(s.dir, name)); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

func (s *Shelf) read(name string, into any) error {
	path := filepath.Join(s.dir, name)
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	if info.Size() > mostBytes {
		return fmt.Errorf("%s: %d bytes are more than %d", name, info.Size(), mostBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(text, into); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}
