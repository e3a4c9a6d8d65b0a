package handover

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

// A corrupt file of excluded servers must give an error. A missing claim, the process's own claim and a claim without a
// lock must not count.
func TestCorruptFilesAreNotUsed(t *testing.T) {
	dir := t.TempDir()
	d := NewStateDir(dir, zerolog.Nop())
	if d.IsReplaced() {
		t.Error("replaced although there is no claim")
	}
	if err := d.ClaimServing(); err != nil || d.IsReplaced() {
		t.Errorf("replaced by itself, error %v", err)
	}
	for _, text := range []string{"", "{", `{"a":1}`, strings.Repeat(" ", maxFileBytes+1)} {
		if err := os.WriteFile(filepath.Join(dir, excludedFile), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if ids, err := d.Excluded(); err == nil || ids != nil {
			t.Errorf("%.10q: excluded servers read as %v", text, ids)
		}
	}
	claim := filepath.Join(dir, servingFile)
	err := errors.Join(os.Remove(claim), os.WriteFile(claim, []byte("1"), 0o600))
	if err != nil || d.IsReplaced() {
		t.Errorf("replaced by a claim without a lock, error %v", err)
	}
}

// Without a state directory, changes and claims work but are not shared.
func TestNilStateDirIsUsable(t *testing.T) {
	none := NewStateDir("", zerolog.Nop())
	isCalled := false
	change := func() error {
		isCalled = true
		return nil
	}
	if err := none.ChangeExcluded(nil, change, nil); err != nil || !isCalled {
		t.Errorf("change called: %v, error %v", isCalled, err)
	}
	if err := none.ClaimServing(); err != nil || none.IsReplaced() {
		t.Errorf("replaced without a state directory, error %v", err)
	}
}
