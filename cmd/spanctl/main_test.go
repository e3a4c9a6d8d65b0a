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

func TestCommands(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
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
		var out bytes.Buffer
		err := run(strings.Fields(c.args), &out)
		if !strings.Contains(out.String(), c.out) {
			t.Errorf("%s: printed %q", c.args, out.String())
		}
		if c.err == "" && err != nil || c.err != "" && (err == nil || !strings.Contains(err.Error(), c.err)) {
			t.Errorf("%s: error %v, want %q", c.args, err, c.err)
		}
	}
}
