package testfixture

import (
	"bytes"
	"fmt"
	"os"
	"testing"

	"github.com/alecthomas/kong"
)

// CommandLines fails the test unless a program takes the commands, arguments and flags that a file lists, a line for
// each command. Commands that have a new name are compared by their first alias, the name that the file has.
func CommandLines(t testing.TB, file, program string, commands any) {
	t.Helper()
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	parser, err := kong.New(commands, kong.Name(program))
	if err != nil {
		t.Fatal(err)
	}
	var got bytes.Buffer
	for _, node := range append(parser.Model.Leaves(false), parser.Model.Node) {
		fmt.Fprint(&got, oldPath(node))
		for _, argument := range node.Positional {
			fmt.Fprintf(&got, " <%s>", argument.Name)
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

// oldPath is the path to a command by the names that it had in the release that wrote the file: those with a new name
// have the old one as alias.
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
