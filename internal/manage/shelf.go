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
	dir  string
	log  zerolog.Logger
	word *os.File // locked while this process serves: the system lets go of it however the process ends; nil: it has not said so
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
	// lockPatience is how long a change waits for another's, and lockPause how long between looks, in milliseconds. An answer is owed in 1 s.
	lockPatience = 700
	lockPause    = 5
)

// NewShelf returns the shelf in a folder; nil where there is none.
func NewShelf(dir string, log zerolog.Logger) *Shelf {
	if dir == "" {
		return nil
	}
	return &Shelf{dir: dir, log: log}
}

// Serving says that this process serves, until Ending or its own end. It is called once.
func (s *Shelf) Serving() error {
	if s == nil {
		return nil
	}
	f, err := s.stage(servingFile, os.Getpid())
	if err != nil {
		return err
	}
	if err := errors.Join(syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB), s.put(f, servingFile)); err != nil {
		return fmt.Errorf("%s: %w", servingFile, errors.Join(err, f.Close()))
	}
	s.word = f
	return nil
}

// Ending takes back that this process serves.
func (s *Shelf) Ending() {
	if s != nil && s.word != nil {
		_ = syscall.Flock(int(s.word.Fd()), syscall.LOCK_UN) // it was locked: this can't fail
	}
}

// Replaced tells whether another process has said since that it serves, and still does. One that said so and died, or was told to end,
// takes no work from this one.
func (s *Shelf) Replaced() bool {
	if s == nil {
		return false
	}
	f, err := os.Open(filepath.Join(s.dir, servingFile))
	if err != nil {
		return false
	}
	defer f.Close()
	if s.word != nil {
		own, err := s.word.Stat()
		now, err2 := f.Stat()
		if err != nil || err2 != nil || os.SameFile(own, now) {
			return false
		}
	}
	return errors.Is(syscall.Flock(int(f.Fd()), syscall.LOCK_SH|syscall.LOCK_NB), syscall.EWOULDBLOCK)
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

// Leave puts what is believed on the shelf every now and then, for whoever takes over, until ctx ends; not while another process serves, or the
// older beliefs would take the place of the newer.
func (s *Shelf) Leave(ctx context.Context, beliefs func() rules.Beliefs) error {
	if s == nil {
		return nil
	}
	tick := time.NewTicker(clock.Duration(leaveEvery))
	defer tick.Stop()
	for {
		if !s.Replaced() {
			if err := s.write(beliefsFile, beliefs()); err != nil {
				s.log.Warn().Err(err).Msg("beliefs can't be left")
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
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
// change, and writes what is out after. Without a shelf it only calls change. Its error may be that another process, stopped in the middle of
// a change, holds the lock: the call is owed an answer all the same.
func (s *Shelf) Change(adopt func([]string) error, change func() error, outs func() []string) error {
	if s == nil {
		return change()
	}
	unlock, err := s.lock(syscall.LOCK_EX | syscall.LOCK_NB)
	for began := time.Now(); errors.Is(err, syscall.EWOULDBLOCK) && time.Since(began) < clock.Duration(lockPatience); {
		time.Sleep(clock.Duration(lockPause))
		unlock, err = s.lock(syscall.LOCK_EX | syscall.LOCK_NB)
	}
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
	f, err := s.stage(name, v)
	if err != nil {
		return err
	}
	if err := errors.Join(s.put(f, name), f.Close()); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// stage writes a file that put gives its name.
func (s *Shelf) stage(name string, v any) (*os.File, error) {
	text, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	f, err := os.CreateTemp(s.dir, name+"-*")
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if _, err = f.Write(text); err != nil {
		return nil, fmt.Errorf("%s: %w", name, errors.Join(err, f.Close(), os.Remove(f.Name())))
	}
	return f, nil
}

// put gives a staged file its name, or removes it.
func (s *Shelf) put(f *os.File, name string) error {
	err := os.Rename(f.Name(), filepath.Join(s.dir, name))
	if err != nil {
		err = errors.Join(err, os.Remove(f.Name()))
	}
	return err
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
