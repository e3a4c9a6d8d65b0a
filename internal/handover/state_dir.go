// Package handover implements the state that the processes of one router share, so that one can replace another without
// refusing connections: the listening socket that a supervisor holds (Socket), and a directory (StateDir) with the
// servers that operators have excluded, the claim of the process that serves, and the learned state of that process.
//
// A new process reads the excluded servers and the learned state, and claims to serve once it is ready. The old process
// detects the new one through IsReplaced: it then no longer saves its learned state, and accepts no more requests once
// it is stopped. Until the old process has ended, both processes accept management calls that exclude servers, and each
// adopts the changes that the other writes.
package handover

import (
	"os"

	"github.com/rs/zerolog"
)

// Files of the directory. Their names and formats must not change between releases: a process may replace one of an
// older release.
const (
	excludedFile     = "spantack-outs.json"    // JSON array of server ids
	lockFile         = "spantack-lock"         // empty; locked by flock during changes of excludedFile
	servingFile      = "spantack-serving"      // id of the process that serves; locked by flock while it serves
	learnedStateFile = "spantack-beliefs.json" // routing.LearnedState as JSON
)

// StateDir is the directory that the processes of one router share. A missing file counts as empty, since the
// directory is new after a crash. Nothing is adopted from an unreadable file: Excluded and LoadLearnedState return an
// error, AdoptExcluded logs it, and IsReplaced does not count a claim that it can't open. A nil StateDir shares
// nothing; all its methods may be called.
type StateDir struct {
	dir string
	log zerolog.Logger

	// servingLock is servingFile, locked from ClaimServing to ReleaseServing; nil: not claimed. It stays open until the
	// process ends; the system then releases the lock, however the process ended.
	servingLock *os.File
}

// NewStateDir returns the state directory at a path; nil for an empty path.
func NewStateDir(dir string, log zerolog.Logger) *StateDir {
	if dir == "" {
		return nil
	}
	return &StateDir{dir: dir, log: log}
}
