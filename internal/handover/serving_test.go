package handover

import (
	"testing"

	"github.com/rs/zerolog"
)

// The next process claims that it serves, then dies or is told to end, before this one asks: it takes no work, and
// this one must not stop taking it. Until the claim is written whole nobody is replaced.
func TestClaimOfProcessThatEnds(t *testing.T) {
	for name, end := range map[string]func(*StateDir){
		"dies":           func(d *StateDir) { d.servingLock.Close() }, // as the system does for it
		"is told to end": (*StateDir).ReleaseServing,
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
			staged, err := next.writeTemp(servingFile, 1) // its claim is written but not renamed yet
			if err != nil || old.IsReplaced() {
				t.Errorf("replaced by half a claim, %v", err)
			}
			staged.Close()
			claim(next)
			if !old.IsReplaced() || next.IsReplaced() {
				t.Error("not replaced by one that serves")
			}
			end(next)
			if old.IsReplaced() || next.IsReplaced() {
				t.Error("replaced by one that serves no longer")
			}
			claim(last)
			if !old.IsReplaced() {
				t.Error("not replaced by the one after it")
			}
			old.ReleaseServing()
			last.ReleaseServing()
		})
	}
}
