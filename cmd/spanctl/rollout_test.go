package main

import (
	"strings"
	"testing"
)

// A release from its start to its stop by commands. The routers' evidence adds up, and shows the harm that no router
// has found alone.
func TestCommandsOnRollouts(t *testing.T) {
	put := folder(t)
	file := put("f.jsonnet", withSection(cellsFile("1", "a"), "stage", "stage.json"))
	put("stage.json", `{"enabled": false}`)
	record := `{"message":"stage","stage":{"name":"r1","version":1,` +
		`"rings":[{"cells":["a"],"state":"judging","evidence":[4.1,-1,0]}]}}` + "\n"
	one, two := put("n0.log", record), put("n1.log", record)
	other := put("n2.log", strings.Replace(record, "r1", "r0", 1))
	const (
		r1       = "rollout start F --name r1 --now 1000"
		replaces = "rollout start F --name r2 --prefix ff --ring a --now 1000 --renews"
	)
	runCases(t, file, []commandCase{
		{"rollout stop F --now 1000", "", "there is no release"},
		{r1 + " --ring a", "", "neither prefix nor families"},
		{r1 + " --prefix ff --ring c", "", `"c" is no cell`},
		{r1 + " --prefix ff --ring a,b", "", "none is left to compare with"},
		{r1 + " --prefix ff --ring a --rate 100 --bad 0.01 --dry-run",
			"harm of 2.0 times the odds: found by one router after some", ""},
		{r1 + " --prefix ff --ring a", "stage.json: version 1 written", ""},
		{r1 + " --prefix ff --ring a", "", "is there already"},
		{replaces + " --dry-run", "", "keep: invalid rollout: 0 ms"},
		{replaces + " --keep 10m --back so --dry-run", "", "neither refuse nor serve"},
		{replaces + " --keep 10m --back serve --dry-run", "must have the new version by", ""},
		{"check F", "stage: on, r1 version 1, 1 rings\n", ""},
		{"rollout status F " + one, "late answers 4.1 of 5.7; failures -1.0 of 5.7", ""},
		{"rollout status F " + one + " " + two, "ring 0 does harm, by late answers: spanctl stage stop", ""},
		{"rollout status F " + other, "", `tells of release "r0"`},
		{"rollout stop F --now 90000", "taken back in all cells", ""},
		{"rollout stop F --now 91000", "", "was stopped already"},
		{"rollout start F --name r3 --prefix ff --ring a --now 100000 --renews --keep 10m", "version 3 written", ""},
		{"rollout stop F --now 200000 --in 5s", "all copies made before are renewed", ""},
	})
}
