package main

import "testing"

// Guards against wrong output of check and the cells commands, and against a missing error for invalid input or for
// cells that are off.
func TestCommandsOnCells(t *testing.T) {
	writeFile := newFileWriter(t)
	old := writeFile("old.jsonnet", cellsFile("1", "a"))
	next := writeFile("new.jsonnet", cellsFile("2", "b"))
	demand := writeFile("demand.json", `[{"name":"t","loads":[3,1],"worth":5},{"name":"u","loads":[3,1],"worth":5},`+
		`{"name":"v","loads":[0.1,0.1],"worth":1}]`)
	log := writeFile("n0.log", `{"level":"info","message":"serving"}`+"\n"+
		`{"message":"demand","demand":[{"name":"t","loads":[9,9],"worth":9}]}`+"\n"+
		`{"message":"demand","demand":[{"name":"t","loads":[1,2],"worth":3},{"name":"u","loads":[1,2],"worth":3}]}`+
		"\nno JSON\n")
	runCases(t, old, []commandCase{
		{"check F", "cells: on, version 1, fixed, 2 cells, 2 tenants, 2 keys\n", ""},
		{"check ../../deploy/features.jsonnet", "cells: off\n", ""},
		{"check --schema", `"cells"`, ""},
		{"cells show F --caches c1,c2,c3", "no live cache: use b", ""},
		{"cells explain F --family 2 --caches c1,c2",
			"keys[0]: tenant u, cell a; no live cache: use b; caches c", ""},
		{"cells diff F " + next, "tenant u: from cell a to b\n", ""},
		{"cells diff " + next + " F", "version 1 is not after 2\n", ""},
		{"cells plan F --demand " + demand, "t: from a to b", ""},
		{"cells plan F --demand " + demand + " --most-worth 0.1", "", "no assignment keeps the bound on worth"},
		{"cells plan F --demand " + log + "," + log,
			"highest cell load 1.000 times its share, lower bound 1.000, 1 migrations", ""},
		{"cells plan F --demand " + log + "," + demand, "v: new, to b\n", ""},
		{"cells show ../../deploy/features.jsonnet", "", "cells are off"},
		{"check " + demand, "", "is not an object"},
		{"cells plan F --demand F", "", "old.jsonnet"},
		{"cells whatever", "", "unexpected argument"},
	})
}
