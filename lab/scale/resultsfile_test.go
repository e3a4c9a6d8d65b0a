package scale

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against results that change when they are written and read, missing charts, and an error about the directory
// that does not name its flag.
func TestWriteResults(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "out")
	results := []*Result{
		run(t, "purges", Options{Routers: 300, Seed: 1}),
		run(t, "purges", Options{Routers: 1_000, Seed: 1}),
	}
	if err := WriteResults(dir, results); err != nil {
		t.Fatal(err)
	}
	read, err := ReadResults(dir)
	if err != nil || len(read) != 2 || read[1].Line() != results[1].Line() {
		t.Fatalf("read results %+v, error %v", read, err)
	}
	for _, file := range []string{"bytes.svg", "datagrams.svg", "memory.svg"} {
		if text, err := os.ReadFile(filepath.Join(dir, file)); err != nil || !strings.Contains(string(text), "<svg") {
			t.Errorf("chart %s is not an SVG file, or cannot be read: %v", file, err)
		}
	}
	err = WriteResults(filepath.Join(dir, ResultsFile), results)
	if err == nil || !strings.Contains(err.Error(), "--out") {
		t.Errorf("directory path that is a file: error %v, want one with --out", err)
	}
}
