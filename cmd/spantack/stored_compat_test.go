package main

import (
	"bytes"
	"fmt"
	"os"
	"testing"

	"github.com/alecthomas/kong"
)

// Scripts of operators use the names of commands, arguments and flags.
func TestStoredCommandLinesAreTakenAlike(t *testing.T) {
	want, err := os.ReadFile("testdata/commandlines.txt")
	if err != nil {
		t.Fatal(err)
	}
	var c flags
	parser, err := kong.New(&c, kong.Name("spantack"))
	if err != nil {
		t.Fatal(err)
	}
	var got bytes.Buffer
	for _, node := range append(parser.Model.Leaves(false), parser.Model.Node) {
		fmt.Fprint(&got, node.FullPath())
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
