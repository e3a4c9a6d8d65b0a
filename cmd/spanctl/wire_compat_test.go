package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/alecthomas/kong"
)

// oldPath is the path to a command by the names that it had in the release that wrote the fixture: those with a new
// name have the old one as alias.
func oldPath(node *kong.Node) string {
	name := node.Name
	if len(node.Aliases) > 0 {
		name = node.Aliases[0]
	}
	if node.Parent == nil {
		return name
	}
	return oldPath(node.Parent) + " " + name
}

// Scripts of operators use the names of commands, arguments and flags.
func TestStoredCommandLinesAreTakenAlike(t *testing.T) {
	want, err := os.ReadFile("testdata/commandlines.txt")
	if err != nil {
		t.Fatal(err)
	}
	var c cli
	parser, err := kong.New(&c, kong.Name("spanctl"))
	if err != nil {
		t.Fatal(err)
	}
	var got bytes.Buffer
	for _, node := range append(parser.Model.Leaves(false), parser.Model.Node) {
		fmt.Fprint(&got, oldPath(node))
		for _, arg := range node.Positional {
			fmt.Fprintf(&got, " <%s>", arg.Name)
		}
		for _, flag := range node.Flags {
			fmt.Fprintf(&got, " --%s", flag.Name)
		}
		got.WriteByte('\n')
	}
	if !bytes.Equal(got.Bytes(), want) {
		t.Errorf("command lines:\n%s\nwant:\n%s", got.Bytes(), want)
	}
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
