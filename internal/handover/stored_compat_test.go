package handover

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"testing"

	"github.com/rs/zerolog"

	"spantack/routing"
)

// storedDir is a state directory that a process of an earlier release wrote.
const storedDir = "testdata/statedir"

// fileContent returns the content of a file.
func fileContent(t *testing.T, dir, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(dir, name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// The state directory of an earlier release must be readable, and this release must write files with the same names and
// the same bytes. The file of the process that serves holds its process id.
func TestStoredStateDirCompat(t *testing.T) {
	old := NewStateDir(storedDir, zerolog.Nop())
	ids, err := old.Excluded()
	if want := []string{"s-00c41f7a", "s-00000002"}; err != nil || !slices.Equal(ids, want) {
		t.Fatalf("excluded: %v, error %v, want %v", ids, err, want)
	}
	learned, found, err := old.LoadLearnedState()
	if err != nil || !found || len(learned.Servers) != 2 || learned.TakenAt != 1 ||
		learned.Servers[1].Name == "" || learned.CancelBudget == 0 {
		t.Fatalf("learned state: %+v, found %v, error %v", learned, found, err)
	}
	if pid, err := strconv.Atoi(string(fileContent(t, storedDir, "spantack-serving"))); err != nil || pid <= 0 {
		t.Fatalf("serving: process id %d, error %v", pid, err)
	}

	dir := t.TempDir()
	d := NewStateDir(dir, zerolog.Nop())
	nothing := func() error { return nil }
	if err := d.ChangeExcluded(func([]string) error { return nil }, nothing, func() []string { return ids }); err != nil {
		t.Fatal(err)
	}
	if err := d.ClaimServing(); err != nil {
		t.Fatal(err)
	}
	defer d.servingLock.Close()
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // the state is written once before the end of ctx is checked
	if err := d.SaveLearnedState(ctx, func() routing.LearnedState { return learned }); err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, folder := range []string{storedDir, dir} {
		entries, err := os.ReadDir(folder)
		if err != nil {
			t.Fatal(err)
		}
		var list []string
		for _, e := range entries {
			list = append(list, e.Name())
		}
		if names != nil && !slices.Equal(names, list) {
			t.Errorf("files %v, want %v", list, names)
		}
		names = list
	}
	for _, name := range []string{"spantack-outs.json", "spantack-beliefs.json", "spantack-lock"} {
		if got, want := fileContent(t, dir, name), fileContent(t, storedDir, name); !bytes.Equal(got, want) {
			t.Errorf("%s: written as %s, want %s", name, got, want)
		}
	}
	if got, want := string(fileContent(t, dir, "spantack-serving")), strconv.Itoa(os.Getpid()); got != want {
		t.Errorf("spantack-serving: written as %s, want %s", got, want)
	}
}
