package main

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// cellsText is a features file with two cells, with placeholders %V for the version and %C for the cell of tenant u.
const cellsText = `{ cells: { enabled: true, version: %V, scheme: 'fixed',
  cells: [{ name: 'a', share: 0.5, spill: 'b' }, { name: 'b', share: 0.5 }],
  tenants: [{ name: 't', cell: 'a' }, { name: 'u', cell: '%C' }],
  keys: [{ families: [1, 2], tenant: 'u' }, { tenant: 't' }], budget: {} } }`

// cellsFile returns cellsText with a version and a cell of tenant u.
func cellsFile(version, cell string) string {
	return strings.NewReplacer("%V", version, "%C", cell).Replace(cellsText)
}

// withSection returns a features file with one more section, imported from a document.
func withSection(file, name, document string) string {
	return strings.TrimSuffix(strings.TrimSpace(file), "}") + ", " + name + ": import '" + document + "' }"
}

// newFileWriter returns a function that writes a file to a new temporary folder and returns its path.
func newFileWriter(t *testing.T) func(name, text string) string {
	dir := t.TempDir()
	return func(name, text string) string {
		t.Helper()
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
}

// commandCase is a command line, with text that its output and its error must contain. An empty err means no error.
type commandCase struct{ args, out, err string }

// runCases runs command lines one after the other. F in them is replaced by the path of the features file.
func runCases(t *testing.T, file string, cases []commandCase) {
	t.Helper()
	for _, c := range cases {
		runCommand(t, strings.ReplaceAll(c.args, " F", " "+file), c.out, c.err)
	}
}

// runCommand runs a command line. Its output must contain out, and its error err; an empty err means no error. It
// returns the output.
func runCommand(t *testing.T, args, out, err string) string {
	t.Helper()
	var printed bytes.Buffer
	got := run(strings.Fields(args), &printed)
	if !strings.Contains(printed.String(), out) {
		t.Errorf("%s: printed %q, want %q", args, printed.String(), out)
	}
	if err == "" && got != nil || err != "" && (got == nil || !strings.Contains(got.Error(), err)) {
		t.Errorf("%s: error %v, want %q", args, got, err)
	}
	return printed.String()
}

// Guards against command names of earlier releases that are rejected or select another command. The lines here have the
// required arguments; testdata/commandlines.txt has all flags.
func TestOldCommandNamesAreAccepted(t *testing.T) {
	const (
		timingFlags = " --in 1s --warm 2s --shift 10s --slow 2 --settle 3s"
		drainFlags  = " --into b --demand d --bears-kb-s 9 --deep 0.1" + timingFlags
	)
	for _, c := range []struct{ old, new string }{
		{"shape show f", "topology show f"},
		{"shape diff f g", "topology diff f g"},
		{"shape plan f --bears a=1 --warm a=0.5", "topology plan f --bears a=1 --warm a=0.5"},
		{"stage start f --name n --ring a --in 1s", "rollout start f --name n --ring a --in 1s"},
		{"stage status f g", "rollout status f g"},
		{"stage stop f --in 1s", "rollout stop f --in 1s"},
		{"router figures r:1", "router metrics r:1"},
		{"router evacuate r:1 r:2", "router drain r:1 r:2"},
		{"cells moves f --status g", "cells migration f --status g"},
		{"cells move f t --to b --hot 00,01" + timingFlags, "cells migrate f t --to b --hot 00,01" + timingFlags},
		{"cells empty f a" + drainFlags, "cells drain f a" + drainFlags},
		{"cells hold f t u", "cells pause f t u"},
		{"cells back f --all", "cells rollback f --all"},
		{"cells settle f --dry-run", "cells finalize f --dry-run"},
	} {
		t.Run(c.old, func(t *testing.T) {
			oldValues, oldCommand := parsed(t, c.old)
			newValues, newCommand := parsed(t, c.new)
			if oldCommand != newCommand || !reflect.DeepEqual(oldValues, newValues) {
				t.Errorf("parsed as %s, %+v; with the new name as %s, %+v", oldCommand, oldValues, newCommand, newValues)
			}
		})
	}
}

// parsed returns the values of a command line, and the command that it selects.
func parsed(t *testing.T, line string) (cli, string) {
	t.Helper()
	var c cli
	parser, err := newParser(&c)
	if err != nil {
		t.Fatal(err)
	}
	ctx, err := parser.Parse(strings.Fields(line))
	if err != nil {
		t.Fatal(err)
	}
	return c, ctx.Command()
}

// Guards against a help that lacks names of commands, or shows names from earlier releases.
func TestHelpHidesOldCommandNames(t *testing.T) {
	var c cli
	parser, err := newParser(&c)
	if err != nil {
		t.Fatal(err)
	}
	var printed bytes.Buffer
	parser.Stdout = &printed
	parser.Exit = func(int) {}
	if _, err := parser.Parse([]string{"--help"}); err != nil {
		t.Logf("after the help: %v", err) // only here, where Exit does nothing, the parser continues after the help
	}
	help := printed.String()
	for _, name := range []string{"topology show", "rollout start", "router drain", "cells migrate"} {
		if !strings.Contains(help, name) {
			t.Errorf("the help lacks %s: %s", name, help)
		}
	}
	for _, name := range []string{"shape", "(stage", "evacuate", "(move"} {
		if strings.Contains(help, name) {
			t.Errorf("the help has %s: %s", name, help)
		}
	}
}
