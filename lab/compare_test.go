package lab

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
)

// Compare prints a header and one row for each figure of both runs, and refuses results of different sizes.
func TestCompareRowsAndSizeMismatch(t *testing.T) {
	e := loadSmallFlood(t, `arms={"none":{},"cells":{"cells":4}}`, `days={"calm":{}}`, `claims=[]`)
	a := []*Outcome{runAndReadBack(t, e, 0), runAndReadBack(t, e, 1)}
	b := []*Outcome{runAndReadBack(t, e, 2), runAndReadBack(t, e, 3)}
	var out bytes.Buffer
	if err := Compare(&out, a, b); err != nil {
		t.Fatal(err)
	}
	if lines := strings.Count(out.String(), "\n"); lines != 1+2*len(defaultTableFigures) {
		t.Errorf("Compare wrote %d lines:\n%s", lines, out.String())
	}
	b[0].Size = "full"
	if err := Compare(&out, a, b); err == nil {
		t.Error("no error for results of different sizes")
	}
}

// runAndReadBack runs an experiment and returns its outcome, encoded as JSON and decoded again.
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
