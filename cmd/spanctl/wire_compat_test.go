package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"spantack/internal/testfixture"
)

// Guards against a change of commands, arguments and flags that operators' scripts use.
func TestCommandLinesAreStillAccepted(t *testing.T) {
	testfixture.CommandLines(t, "testdata/commandlines.txt", "spanctl", new(cli))
}

// Guards against documents of migrations and rollouts that differ from the documents that the previous release wrote
// for the same command lines.
func TestDocumentsAreWrittenUnchanged(t *testing.T) {
	source, err := os.ReadFile("testdata/f.jsonnet")
	if err != nil {
		t.Fatal(err)
	}
	writeFile := newFileWriter(t)
	file := writeFile("f.jsonnet", string(source))
	writeFile("moves.json", `{"enabled": false}`)
	writeFile("stage.json", `{"enabled": false}`)
	move := " t --to b --depot depot-1 --hot 00ab,00cd --warm 20s --now 1764576000000"
	start := " --name prices --prefix 00ef --families 3,4 --ring a --renews --keep 10m --back serve --go" +
		" --now 1764576000000"
	runCommand(t, "cells move "+file+move, "version 1 written", "")
	runCommand(t, "cells hold "+file+" t --now 1764576020000", "version 2 written", "")
	runCommand(t, "stage start "+file+start, "version 1 written", "")
	runCommand(t, "stage stop "+file+" --now 1764576090000", "version 2 written", "")
	for _, name := range []string{"moves.json", "stage.json"} {
		want, err := os.ReadFile(filepath.Join("testdata", name))
		if err != nil {
			t.Fatal(err)
		}
		got, err := os.ReadFile(filepath.Join(filepath.Dir(file), name))
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(got, want) {
			t.Errorf("%s: written as %s, want %s", name, got, want)
		}
	}
}
