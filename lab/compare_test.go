package lab

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
)

func TestCompare(t *testing.T) {
	e := loadSmallFlood(t, `arms={"none":{},"cells":{"cells":4}}`, `days={"calm":{}}`, `claims=[]`)
	a := []*Outcome{runAndReadBack(t, e, 0), runAndReadBack(t, e, 1)}
	b := []*Outcome{runAndReadBack(t, e, 2), runAndReadBack(t, e, 3)}
	var out bytes.Buffer
	if err := Compare(&out, a, b); err != nil {
		t.Fatal(err)
	}
	if lines := strings.Count(out.String(), "\n"); lines != 1+2*len(defaultTableFigures) {
		t.Errorf("%d lines:\n%s", lines, out.String())
	}
	b[0].Size = "full"
	if err := Compare(&out, a, b); err == nil {
		t.Error("two sizes compared")
	}
}

// runAndReadBack runs an experiment and returns its outcome as a file has it.
func runAndReadBack(t *testing.T, e *Experiment, seed uint64) *Outcome {
	t.Helper()
	outcome, err := e.Run("small", seed, nil)
	if err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(outcome)
	if err != nil {
		t.Fatal(err)
	}
	stored := &Outcome{}
	if err := json.Unmarshal(text, stored); err != nil {
		t.Fatal(err)
	}
	return stored
}
