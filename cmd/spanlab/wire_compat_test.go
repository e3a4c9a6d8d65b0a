package main

import (
	"testing"

	"spantack/internal/testfixture"
)

// Scripts of operators use the names of commands, arguments and flags.
func TestStoredCommandLinesAreTakenAlike(t *testing.T) {
	testfixture.CommandLines(t, "testdata/commandlines.txt", "spanlab", new(cli))
}
