package main

import (
	"strings"
	"testing"
)

// Guards against commands that accept an invalid rollout, a second start or a second stop, and against a status that
// does not add the evidence of routers: together they must show a degradation that no router has found alone.
func TestCommandsOnRollouts(t *testing.T) {
	writeFile := newFileWriter(t)
	file := writeFile("f.jsonnet", withSection(cellsFile("1", "a"), "stage", "stage.json"))
	writeFile("stage.json", `{"enabled": false}`)
	record := `{"message":"stage","stage":{"name":"r1","version":1,` +
		`"rings":[{"cells":["a"],"state":"judging","evidence":[4.1,-1,0]}]}}` + "\n"
	one, two := writeFile("n0.log", record), writeFile("n1.log", record)
	other := writeFile("n2.log", strings.Replace(record, "r1", "r0", 1))
	const (
		r1       = "rollout start F --name r1 --now 1000"
		replaces = "rollout start F --name r2 --prefix ff --ring a --now 1000 --renews"
	)
	runCases(t, file, []commandCase{
		{"rollout stop F --now 1000", "", "no release is being rolled out"},
		{r1 + " --ring a", "", "neither prefix nor families"},
		{r1 + " --prefix ff --ring c", "", `"c" is no cell`},
		{r1 + " --prefix ff --ring a,b", "", "none is left to compare with"},
		{r1 + " --prefix ff --ring a --rate 100 --bad 0.01 --dry-run",
			"failures 2.0 times as likely: one router detects this after about", ""},
		{r1 + " --prefix ff --ring a", "stage.json: version 1 written", ""},
		{r1 + " --prefix ff --ring a", "", "already exists"},
		{replaces + " --dry-run", "", "keep: invalid rollout: 0 ms"},
		{replaces + " --keep 10m --back so --dry-run", "", "neither refuse nor serve"},
		{replaces + " --keep 10m --back serve --dry-run", "must have the new version by", ""},
		{"check F", "stage: on, release r1 version 1, 1 rings\n", ""},
		{"rollout status F " + one, "late answers 4.1 of 5.7; failures -1.0 of 5.7", ""},
		{"rollout status F " + one + " " + two, "harm in ring 0, by late answers: run spanctl rollout stop", ""},
		{"rollout status F " + other, "", `the status of release "r0" does not match the rollout`},
		{"rollout stop F --now 90000", "rolled back in all cells", ""},
		{"rollout stop F --now 91000", "", "has already been stopped"},
		{"rollout start F --name r3 --prefix ff --ring a --now 100000 --renews --keep 10m", "version 3 written", ""},
		{"rollout stop F --now 200000 --in 5s", "copies made before then are renewed", ""},
	})
}
