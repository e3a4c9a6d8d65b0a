package handover

import (
	"testing"

	"github.com/rs/zerolog"
)

// The next process claims to serve, then dies or starts to shut down before this process checks. The next process then
// accepts no requests, so this process must not count as replaced. A claim that is not published yet must not count
// either.
func TestClaimOfEndedProcessDoesNotCount(t *testing.T) {
	for name, end := range map[string]func(*StateDir){
		"dies":       func(d *StateDir) { d.servingLock.Close() }, // as the system does at the end of a process
		"shuts down": (*StateDir).ReleaseServing,
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			newProcess := func() *StateDir { return NewStateDir(dir, zerolog.Nop()) }
			old, next, last := newProcess(), newProcess(), newProcess()
			claim := func(d *StateDir) {
				t.Helper()
				if err := d.ClaimServing(); err != nil {
					t.Fatal(err)
				}
			}
			claim(old)
			if old.IsReplaced() {
				t.Error("replaced by itself")
			}
			staged, err := next.writeTemp(servingFile, 1) // the claim is written, but its file is not renamed yet
			if err != nil || old.IsReplaced() {
				t.Errorf("replaced by an unpublished claim, error %v", err)
			}
			staged.Close()
			claim(next)
			if !old.IsReplaced() || next.IsReplaced() {
				t.Error("not replaced by a process that serves")
			}
			end(next)
			if old.IsReplaced() || next.IsReplaced() {
				t.Error("replaced by a process that no longer serves")
			}
			claim(last)
			if !old.IsReplaced() {
				t.Error("not replaced by a later process that serves")
			}
			old.ReleaseServing()
			last.ReleaseServing()
		})
	}
}
