package main

import (
	"testing"

	"spantack/internal/testfixture"
)

// Guards against a change of commands, arguments and flags that operators' scripts use.
func TestCommandLinesAreStillAccepted(t *testing.T) {
	testfixture.CommandLines(t, "testdata/commandlines.txt", "spanlab", new(cli))
}
