package handover

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"spantack/internal/clock"
)

// Times in milliseconds.
const (
	// watchInterval is the time between checks of excludedFile for changes by the other process. It must be well below
	// the 500 ms within which an exclusion must take effect.
	watchInterval = 100
	// lockTimeout is how long a change waits for the lock, which it tries to take every lockRetryInterval. The management
	// call that makes the change must get its response within 1 s.
	lockTimeout       = 700
	lockRetryInterval = 5
)

// Excluded reads the ids of the servers that operators have excluded. Without a file there are none.
func (d *StateDir) Excluded() (ids []string, err error) {
	if d == nil {
		return nil, nil
	}
	if err = d.readFile(excludedFile, &ids); errors.Is(err, fs.ErrNotExist) {
		err = nil
	}
	return ids, err
}

// AdoptExcluded reads the excluded servers from the file and passes them to adopt, at the start of a process and
// after changes by the other process. A missing or unreadable file changes nothing: it must neither undo an exclusion
// nor keep the router from serving. Errors are logged.
func (d *StateDir) AdoptExcluded(adopt func(ids []string) error) {
	if d == nil {
		return
	}
	ids, err := d.Excluded()
	if err == nil && ids != nil {
		err = adopt(ids)
	}
	if err != nil {
		d.log.Warn().Err(err).Msg("can't read or adopt the excluded servers")
	}
}

// ChangeExcluded makes one change to the excluded servers under the lock that the processes share: it adopts the
// servers that the other process wrote, calls change, and writes the servers that excluded returns after the change. A
// nil StateDir only calls change. The error wraps EWOULDBLOCK if another process holds the lock for longer than
// lockTimeout, for example because it was stopped during a change.
func (d *StateDir) ChangeExcluded(adopt func(ids []string) error, change func() error, excluded func() []string) error {
	if d == nil {
		return change()
	}
	unlock, err := d.lockWithin(lockTimeout)
	if err != nil {
		return err
	}
	defer unlock()
	d.AdoptExcluded(adopt)
	if err := change(); err != nil {
		return err
	}
	ids := append([]string{}, excluded()...) // never nil, which would be written as null
	return d.writeFile(excludedFile, ids)
}

// WatchExcluded adopts changes that the other process writes, until ctx ends. It reads and adopts under the lock.
// Otherwise a change that this process makes after the read and before the adoption would be undone. While another
// process holds the lock, it retries at the next tick.
func (d *StateDir) WatchExcluded(ctx context.Context, adopt func(ids []string) error) error {
	if d == nil {
		return nil
	}
	ticker := time.NewTicker(clock.Duration(watchInterval))
	defer ticker.Stop()
	var adopted fs.FileInfo // nil: none yet
	for {
		adopted = d.adoptIfChanged(adopted, adopt)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// adoptIfChanged adopts the excluded servers if their file was replaced or modified since the last adoption. The
// parameter adopted describes the file at that time; nil: none yet. The result is the new value of adopted.
func (d *StateDir) adoptIfChanged(adopted fs.FileInfo, adopt func(ids []string) error) fs.FileInfo {
	current, err := os.Stat(filepath.Join(d.dir, excludedFile))
	if err != nil || adopted != nil && os.SameFile(adopted, current) && current.ModTime() == adopted.ModTime() {
		return adopted
	}
	unlock, err := d.lock(syscall.LOCK_SH | syscall.LOCK_NB)
	if err != nil {
		return adopted
	}
	defer unlock()
	d.AdoptExcluded(adopt)
	return current // read before the lock was taken, so a later write is noticed at the next tick
}

// lockWithin takes the exclusive lock, and retries for timeout milliseconds while another process holds it.
func (d *StateDir) lockWithin(timeout float64) (unlock func(), err error) {
	const mode = syscall.LOCK_EX | syscall.LOCK_NB
	startedAt := time.Now()
	unlock, err = d.lock(mode)
	for errors.Is(err, syscall.EWOULDBLOCK) && time.Since(startedAt) < clock.Duration(timeout) {
		time.Sleep(clock.Duration(lockRetryInterval))
		unlock, err = d.lock(mode)
	}
	return unlock, err
}

// lock takes the lock on the excluded servers with flock. mode is the operation of flock, such as LOCK_EX. With LOCK_NB
// the error wraps EWOULDBLOCK while another process holds the lock.
func (d *StateDir) lock(mode int) (unlock func(), err error) {
	file, err := os.OpenFile(filepath.Join(d.dir, lockFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("lock excluded servers: %w", err)
	}
	if err := syscall.Flock(int(file.Fd()), mode); err != nil {
		file.Close()
		return nil, fmt.Errorf("lock excluded servers: %w", err)
	}
	return func() { file.Close() }, nil // releases the lock too
}
