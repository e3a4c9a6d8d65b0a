package main

import (
	"testing"

	"spantack/internal/testfixture"
)

// Guards against a change of flags that operators' scripts use.
func TestCommandLinesAreStillAccepted(t *testing.T) {
	testfixture.CommandLines(t, "testdata/commandlines.txt", "spantack", new(flags))
}
