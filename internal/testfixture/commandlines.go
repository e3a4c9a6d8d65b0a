package testfixture

import (
	"bytes"
	"fmt"
	"os"
	"testing"

	"github.com/alecthomas/kong"
)

// CommandLines fails the test unless the commands, arguments and flags of a program are those listed in a file. The
// file has a line for each command. If a command has aliases, its first alias must be its name in the file.
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

// oldPath returns the full name of a command, such as "spanlab scale run", as it was in the release that wrote the
// file. The first alias of a renamed command is its old name.
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
