package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"spantack/internal/testfixture"
)

// Scripts of operators use the names of commands, arguments and flags.
func TestStoredCommandLinesAreTakenAlike(t *testing.T) {
	testfixture.CommandLines(t, "testdata/commandlines.txt", "spanctl", new(cli))
}

// The files that commands on moves and releases write are those that the release before wrote for the same command
// lines.
func TestStoredDocumentsAreWrittenAlike(t *testing.T) {
	source, err := os.ReadFile("testdata/f.jsonnet")
	if err != nil {
		t.Fatal(err)
	}
	put := folder(t)
	file := put("f.jsonnet", string(source))
	put("moves.json", `{"enabled": false}`)
	put("stage.json", `{"enabled": false}`)
	move := " t --to b --depot depot-1 --hot 00ab,00cd --warm 20s --now 1764576000000"
	start := " --name prices --prefix 00ef --families 3,4 --ring a --renews --keep 10m --back serve --go" +
		" --now 1764576000000"
	command(t, "cells move "+file+move, "version 1 written", "")
	command(t, "cells hold "+file+" t --now 1764576020000", "version 2 written", "")
	command(t, "stage start "+file+start, "version 1 written", "")
	command(t, "stage stop "+file+" --now 1764576090000", "version 2 written", "")
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
