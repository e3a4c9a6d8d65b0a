package admin

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
	"spantack/routing"
)

// StateDir is the directory that the processes of one router share while one replaces the other. It holds the servers that were excluded by
// hand, the process that serves, and the handover state (beliefs). A lost or unreadable file counts as empty, for the directory is new after
// a crash. A nil StateDir shares nothing; all its methods may be called.
type StateDir struct {
	dir         string
	log         zerolog.Logger
	servingLock *os.File // locked from ClaimServing on; the system releases it however the process ends; nil: not claimed
}

const (
	// The files keep their names between releases: a process may replace one of an older release.
	excludedFile     = "spantack-outs.json"
	lockFile         = "spantack-lock"
	servingFile      = "spantack-serving"
	learnedStateFile = "spantack-beliefs.json"
	maxFileBytes     = 256 << 10
	// watchInterval is how often excludedFile is checked for changes by the other process, in milliseconds. It must stay well under the
	// 500 ms after which an exclusion binds.
	watchInterval = 100
	// saveInterval is how often the beliefs are written while this process serves, in milliseconds.
	saveInterval = 500
	// lockTimeout is how long a change waits for the lock, and lockRetryInterval how long between attempts, in milliseconds. The call that
	// makes the change must be answered within 1 s.
	lockTimeout       = 700
	lockRetryInterval = 5
)

// NewStateDir returns the state directory at a path; nil for an empty path.
func NewStateDir(dir string, log zerolog.Logger) *StateDir {
	if dir == "" {
		return nil
	}
	return &StateDir{dir: dir, log: log}
}

// ClaimServing records that this process serves, until ReleaseServing or its own end. It must be called once only.
func (d *StateDir) ClaimServing() error {
	if d == nil {
		return nil
	}
	f, err := d.writeTemp(servingFile, os.Getpid())
	if err != nil {
		return err
	}
	if err := errors.Join(syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB), d.publish(f, servingFile)); err != nil {
		return fmt.Errorf("%s: %w", servingFile, errors.Join(err, f.Close()))
	}
	d.servingLock = f
	return nil
}

// ReleaseServing withdraws the claim of ClaimServing.
func (d *StateDir) ReleaseServing() {
	if d != nil && d.servingLock != nil {
		_ = syscall.Flock(int(d.servingLock.Fd()), syscall.LOCK_UN) // can't fail: it is locked
	}
}

// IsReplaced reports whether another process has claimed since that it serves, and still does. The claim of one that died or is shutting down
// does not count.
func (d *StateDir) IsReplaced() bool {
	if d == nil {
		return false
	}
	f, err := os.Open(filepath.Join(d.dir, servingFile))
	if err != nil {
		return false
	}
	defer f.Close()
	if d.servingLock != nil {
		own, ownErr := d.servingLock.Stat()
		current, currentErr := f.Stat()
		if ownErr != nil || currentErr != nil || os.SameFile(own, current) {
			return false
		}
	}
	return errors.Is(syscall.Flock(int(f.Fd()), syscall.LOCK_SH|syscall.LOCK_NB), syscall.EWOULDBLOCK)
}

// Excluded reads the servers that were excluded by hand; none without a file.
func (d *StateDir) Excluded() (ids []string, err error) {
	if d == nil {
		return nil, nil
	}
	if err = d.readFile(excludedFile, &ids); errors.Is(err, fs.ErrNotExist) {
		err = nil
	}
	return ids, err
}

// RestoreExcluded passes the excluded servers of the file to adopt. A missing or unreadable file changes nothing: it must neither undo a call nor keep
// the router from serving.
func (d *StateDir) RestoreExcluded(adopt func([]string) error) {
	if d == nil {
		return
	}
	ids, err := d.Excluded()
	if err == nil && ids != nil {
		err = adopt(ids)
	}
	if err != nil {
		d.log.Warn().Err(err).Msg("what is out can't be read")
	}
}

// SaveLearnedState writes the beliefs every saveInterval until ctx ends, for the process that takes over. It writes nothing while this process is
// replaced, or older beliefs would overwrite newer ones.
func (d *StateDir) SaveLearnedState(ctx context.Context, beliefs func() routing.LearnedState) error {
	if d == nil {
		return nil
	}
	ticker := time.NewTicker(clock.Duration(saveInterval))
	defer ticker.Stop()
	for {
		if !d.IsReplaced() {
			if err := d.writeFile(learnedStateFile, beliefs()); err != nil {
				d.log.Warn().Err(err).Msg("beliefs can't be left")
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// LoadLearnedState reads the beliefs that the previous process saved; found is false where there are none.
func (d *StateDir) LoadLearnedState() (b routing.LearnedState, found bool, err error) {
	if d == nil {
		return b, false, nil
	}
	if err = d.readFile(learnedStateFile, &b); errors.Is(err, fs.ErrNotExist) {
		return b, false, nil
	}
	return b, err == nil, err
}

// ChangeExcluded makes one change to the excluded servers under the lock that the processes share: it adopts what the other process wrote, calls
// change, and writes what excluded returns then. A nil StateDir only calls change. Where another process, stopped in the middle of a change,
// holds the lock for longer than lockTimeout, the error is EWOULDBLOCK.
func (d *StateDir) ChangeExcluded(adopt func([]string) error, change func() error, excluded func() []string) error {
	if d == nil {
		return change()
	}
	unlock, err := d.lock(syscall.LOCK_EX | syscall.LOCK_NB)
	for startedAt := time.Now(); errors.Is(err, syscall.EWOULDBLOCK) && time.Since(startedAt) < clock.Duration(lockTimeout); {
		time.Sleep(clock.Duration(lockRetryInterval))
		unlock, err = d.lock(syscall.LOCK_EX | syscall.LOCK_NB)
	}
	if err != nil {
		return err
	}
	defer unlock()
	d.RestoreExcluded(adopt)
	if err := change(); err != nil {
		return err
	}
	return d.writeFile(excludedFile, append([]string{}, excluded()...)) // never nil, which would be written as null
}

// lock takes the lock on the excluded servers; mode is that of flock. With LOCK_NB the error is EWOULDBLOCK while another process holds it.
func (d *StateDir) lock(mode int) (unlock func(), err error) {
	file, err := os.OpenFile(filepath.Join(d.dir, lockFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err == nil {
		if err = syscall.Flock(int(file.Fd()), mode); err == nil {
			return func() { file.Close() }, nil // releases the lock too
		}
		file.Close()
	}
	return nil, fmt.Errorf("lock of what is out: %w", err)
}

// WatchExcluded adopts what the other process writes, until ctx ends. It reads and adopts under the lock, or a change made between the two
// would be undone. While another process holds the lock it retries at the next tick.
func (d *StateDir) WatchExcluded(ctx context.Context, adopt func([]string) error) error {
	if d == nil {
		return nil
	}
	ticker := time.NewTicker(clock.Duration(watchInterval))
	defer ticker.Stop()
	var adopted fs.FileInfo
	for {
		info, err := os.Stat(filepath.Join(d.dir, excludedFile))
		if err == nil && (adopted == nil || !os.SameFile(adopted, info) || info.ModTime() != adopted.ModTime()) {
			if unlock, err := d.lock(syscall.LOCK_SH | syscall.LOCK_NB); err == nil {
				adopted = info // from before the lock: a later write is noticed at the next tick
				d.RestoreExcluded(adopt)
				unlock()
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// writeFile replaces a file atomically: no reader sees a part of it.
func (d *StateDir) writeFile(name string, v any) error {
	f, err := d.writeTemp(name, v)
	if err != nil {
		return err
	}
	if err := errors.Join(d.publish(f, name), f.Close()); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// writeTemp writes v as JSON to a temporary file, which publish renames.
func (d *StateDir) writeTemp(name string, v any) (*os.File, error) {
	text, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	f, err := os.CreateTemp(d.dir, name+"-*")
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if _, err = f.Write(text); err != nil {
		return nil, fmt.Errorf("%s: %w", name, errors.Join(err, f.Close(), os.Remove(f.Name())))
	}
	return f, nil
}

// publish renames a temporary file to its name, or removes it.
func (d *StateDir) publish(f *os.File, name string) error {
	err := os.Rename(f.Name(), filepath.Join(d.dir, name))
	if err != nil {
		err = errors.Join(err, os.Remove(f.Name()))
	}
	return err
}

// readFile reads JSON of at most maxFileBytes.
func (d *StateDir) readFile(name string, into any) error {
	path := filepath.Join(d.dir, name)
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	if info.Size() > maxFileBytes {
		return fmt.Errorf("%s: %d bytes are more than %d", name, info.Size(), maxFileBytes)
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
