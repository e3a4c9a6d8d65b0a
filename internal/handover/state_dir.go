// Package handover has what the processes of one router share while one replaces the other without a connection
// refused: the listening socket that a supervisor holds (Socket), and a directory (StateDir) with the servers that
// were excluded by hand, the process that serves, and what that process has learnt.
//
// A new process reads the excluded servers and the learned state, claims to serve once it is ready, and is noticed
// by the old one through IsReplaced when that is told to end. Until it has ended both take calls that exclude
// servers, and each adopts what the other wrote.
package handover

import (
	"os"

	"github.com/rs/zerolog"
)

// The files of the directory. They keep their names and their form between releases: a process may replace one of
// an older release.
const (
	excludedFile     = "spantack-outs.json"    // JSON array of server ids
	lockFile         = "spantack-lock"         // empty; locked by flock while excludedFile changes
	servingFile      = "spantack-serving"      // id of the process that serves; locked by flock while it does
	learnedStateFile = "spantack-beliefs.json" // routing.LearnedState as JSON
)

// StateDir is the directory that the processes of one router share. A lost or unreadable file counts as empty, for
// the directory is new after a crash. A nil StateDir shares nothing; all its methods may be called.
type StateDir struct {
	dir string
	log zerolog.Logger

	// servingLock is servingFile, locked from ClaimServing to ReleaseServing; nil: not claimed. It stays open until
	// the process ends, when the system releases the lock, however that comes about.
	servingLock *os.File
}

// NewStateDir returns the state directory at a path; nil for an empty path.
func NewStateDir(dir string, log zerolog.Logger) *StateDir {
	if dir == "" {
		return nil
	}
	return &StateDir{dir: dir, log: log}
}
