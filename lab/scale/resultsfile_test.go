package scale

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// What is written can be read, and there are charts; a folder that can't be made is named.
func TestWriteResults(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "out")
	results := []*Result{
		run(t, "purges", Options{Routers: 300, Seed: 1}),
		run(t, "purges", Options{Routers: 1_000, Seed: 1}),
	}
	if err := WriteResults(dir, results); err != nil {
		t.Fatal(err)
	}
	back, err := ReadResults(dir)
	if err != nil || len(back) != 2 || back[1].Line() != results[1].Line() {
		t.Fatalf("%+v, %v", back, err)
	}
	for _, file := range []string{"bytes.svg", "datagrams.svg", "memory.svg"} {
		if text, err := os.ReadFile(filepath.Join(dir, file)); err != nil || !strings.Contains(string(text), "<svg") {
			t.Errorf("%s: %v", file, err)
		}
	}
	err = WriteResults(filepath.Join(dir, ResultsFile), results)
	if err == nil || !strings.Contains(err.Error(), "--out") {
		t.Errorf("a folder where a file is: %v", err)
	}
}
