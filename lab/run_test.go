package lab

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// twoClaims has one claim that holds and one that can't hold.
const twoClaims = `claims=[` +
	`{"name":"sure","of":"none/calm/others","least":0.5},` +
	`{"name":"never","of":"none/calm/others","over":"cells/calm/others","least":5}]`

// Two runs with the same seed and size write byte-identical files. A claim that can't hold is reported as failed.
func TestRunIsReproducible(t *testing.T) {
	var texts [2][]byte
	for i := range texts {
		e := loadSmallFlood(t, twoClaims)
		progress := make(chan int, 64)
		outcome, err := e.Run("small", 7, func(_, all int) { progress <- all })
		if err != nil {
			t.Fatal(err)
		}
		if outcome.PassedCount() != 1 || !outcome.Claims[0].Passed || outcome.Claims[1].Passed {
			t.Errorf("claims %+v, want the first passed and the second failed", outcome.Claims)
		}
		want := "RESULT cells-flood seed=7 size=small verdict=short claims=1/2 sure="
		if line := outcome.Summary(); !strings.HasPrefix(line, want) {
			t.Error(line)
		}
		texts[i] = writeAndRead(t, e, outcome)
	}
	if !bytes.Equal(texts[0], texts[1]) {
		t.Error("two runs with the same seed wrote different files")
	}
}

// writeAndRead writes an outcome and returns the concatenated contents of the files.
func writeAndRead(t *testing.T, e *Experiment, outcome *Outcome) (all []byte) {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "out")
	if err := e.Write(dir, []*Outcome{outcome}); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"result.json", "table.md", "seconds.svg", "arms.svg"} {
		text, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil || len(text) < 200 {
			t.Errorf("%s: %d bytes, %v", name, len(text), err)
		}
		all = append(all, text...)
	}
	return all
}
