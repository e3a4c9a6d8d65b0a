package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const text = `{ cells: { enabled: true, version: %V, scheme: 'fixed', cells: [{ name: 'a', share: 0.5, spill: 'b' }, { name: 'b', share: 0.5 }],
  tenants: [{ name: 't', cell: 'a' }, { name: 'u', cell: '%C' }], keys: [{ families: [1, 2], tenant: 'u' }, { tenant: 't' }], budget: {} } }`

// folder is a new one; what is returned writes a file there and tells its path.
func folder(t *testing.T) func(name, text string) string {
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

// command runs one, which must print out, and fail with err or, where that is empty, not at all. It returns all that was printed.
func command(t *testing.T, args, out, err string) string {
	t.Helper()
	var printed bytes.Buffer
	got := run(strings.Fields(args), &printed)
	if !strings.Contains(printed.String(), out) {
		t.Errorf("%s: printed %q", args, printed.String())
	}
	if err == "" && got != nil || err != "" && (got == nil || !strings.Contains(got.Error(), err)) {
		t.Errorf("%s: error %v, want %q", args, got, err)
	}
	return printed.String()
}

func TestCommands(t *testing.T) {
	file := folder(t)
	old := file("old.jsonnet", strings.NewReplacer("%V", "1", "%C", "a").Replace(text))
	next := file("new.jsonnet", strings.NewReplacer("%V", "2", "%C", "b").Replace(text))
	demand := file("demand.json", `[{"name":"t","loads":[3,1],"worth":5},{"name":"u","loads":[3,1],"worth":5},{"name":"v","loads":[0.1,0.1],"worth":1}]`)
	log := file("n0.log", `{"level":"info","message":"serving"}`+"\n"+`{"message":"demand","demand":[{"name":"t","loads":[9,9],"worth":9}]}`+"\n"+
		`{"message":"demand","demand":[{"name":"t","loads":[1,2],"worth":3},{"name":"u","loads":[1,2],"worth":3}]}`+"\nno JSON\n")
	for _, c := range []struct{ args, out, err string }{
		{"check " + old, "cells: on, version 1, fixed, 2 cells, 2 tenants, 2 keys\n", ""},
		{"check ../../deploy/features.jsonnet", "cells: off\n", ""},
		{"check --schema", `"cells"`, ""},
		{"cells show " + old + " --caches c1,c2,c3", "no live cache: use b", ""},
		{"cells explain " + old + " --family 2 --caches c1,c2", "keys[0]: tenant u, cell a; no live cache: use b; caches c", ""},
		{"cells diff " + old + " " + next, "tenant u: from cell a to b\n", ""},
		{"cells diff " + next + " " + old, "version 1 is not after 2\n", ""},
		{"cells plan " + old + " --demand " + demand, "t: from a to b", ""},
		{"cells plan " + old + " --demand " + demand + " --most-worth 0.1", "", "no assignment keeps the bound on worth"},
		{"cells plan " + old + " --demand " + log + "," + log, "worst cell 1.000 of an even one, bound 1.000, 1 moves", ""},
		{"cells plan " + old + " --demand " + log + "," + demand, "v: new, to b\n", ""},
		{"cells show ../../deploy/features.jsonnet", "", "cells are off"},
		{"check " + demand, "", "is not an object"},
		{"cells plan " + old + " --demand " + old, "", "old.jsonnet"},
		{"cells whatever", "", "unexpected argument"},
	} {
		command(t, c.args, c.out, c.err)
	}
}
