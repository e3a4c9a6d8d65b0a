package handover

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// ClaimServing records that this process serves, until ReleaseServing or the end of the process. It must be called only
// once.
func (d *StateDir) ClaimServing() error {
	if d == nil {
		return nil
	}
	f, err := d.writeTemp(servingFile, os.Getpid())
	if err != nil {
		return err
	}
	lockErr := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err := errors.Join(lockErr, d.publish(f, servingFile)); err != nil {
		return fmt.Errorf("%s: %w", servingFile, errors.Join(err, f.Close()))
	}
	d.servingLock = f
	return nil
}

// ReleaseServing withdraws the claim of ClaimServing.
func (d *StateDir) ReleaseServing() {
	if d != nil && d.servingLock != nil {
		_ = syscall.Flock(int(d.servingLock.Fd()), syscall.LOCK_UN) // can't fail: the lock is held
	}
}

// IsReplaced reports whether another process has claimed to serve since this one did, and still serves. The claim of a
// process that has died or is shutting down does not count.
func (d *StateDir) IsReplaced() bool {
	if d == nil {
		return false
	}
	claim, err := os.Open(filepath.Join(d.dir, servingFile))
	if err != nil {
		return false
	}
	defer claim.Close()
	if d.isOwnClaim(claim) {
		return false
	}
	err = syscall.Flock(int(claim.Fd()), syscall.LOCK_SH|syscall.LOCK_NB)
	return errors.Is(err, syscall.EWOULDBLOCK)
}

// isOwnClaim reports whether a claim is this process's own. It also returns true if that can't be determined.
func (d *StateDir) isOwnClaim(claim *os.File) bool {
	if d.servingLock == nil {
		return false
	}
	own, ownErr := d.servingLock.Stat()
	current, currentErr := claim.Stat()
	return ownErr != nil || currentErr != nil || os.SameFile(own, current)
}
