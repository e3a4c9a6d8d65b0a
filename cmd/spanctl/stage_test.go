package main

import (
	"strings"
	"testing"
)

// A release from its start to its stop by commands; routers' evidence adds up, and names the harm that none has found alone.
func TestCommandsOnReleases(t *testing.T) {
	put := folder(t)
	body := strings.NewReplacer("%V", "1", "%C", "a").Replace(text)
	file := put("f.jsonnet", strings.TrimSuffix(strings.TrimSpace(body), "}")+", stage: import 'stage.json' }")
	put("stage.json", `{"enabled": false}`)
	line := `{"message":"stage","stage":{"name":"r1","version":1,"rings":[{"cells":["a"],"state":"judging","evidence":[4.1,-1,0]}]}}` + "\n"
	one, two := put("n0.log", line), put("n1.log", line)
	other := put("n2.log", strings.Replace(line, "r1", "r0", 1))
	for _, c := range []struct{ args, out, err string }{
		{"stage stop F --now 1000", "", "there is no release"},
		{"stage start F --name r1 --ring a --now 1000", "", "neither prefix nor families"},
		{"stage start F --name r1 --prefix ff --ring c --now 1000", "", `"c" is no cell`},
		{"stage start F --name r1 --prefix ff --ring a,b --now 1000", "", "none is left to compare with"},
		{"stage start F --name r1 --prefix ff --ring a --now 1000 --rate 100 --bad 0.01 --dry-run", "harm of 2.0 times the odds: found by one router after some", ""},
		{"stage start F --name r1 --prefix ff --ring a --now 1000", "stage.json: version 1 written", ""},
		{"stage start F --name r1 --prefix ff --ring a --now 1000", "", "is there already"},
		{"stage start F --name r2 --prefix ff --ring a --now 1000 --renews --dry-run", "", "keep: can't be used: 0 ms"},
		{"stage start F --name r2 --prefix ff --ring a --now 1000 --renews --keep 10m --back so --dry-run", "", "neither refuse nor serve"},
		{"stage start F --name r2 --prefix ff --ring a --now 1000 --renews --keep 10m --back serve --dry-run", "must have the new version by", ""},
		{"check F", "stage: on, r1 version 1, 1 rings\n", ""},
		{"stage status F " + one, "late answers 4.1 of 5.7; failures -1.0 of 5.7", ""},
		{"stage status F " + one + " " + two, "ring 0 does harm, by late answers: spanctl stage stop", ""},
		{"stage status F " + other, "", `tells of release "r0"`},
		{"stage stop F --now 90000", "taken back in all cells", ""},
		{"stage stop F --now 91000", "", "was stopped already"},
		{"stage start F --name r3 --prefix ff --ring a --now 100000 --renews --keep 10m", "version 3 written", ""},
		{"stage stop F --now 200000 --in 5s", "all copies made before are renewed", ""},
	} {
		command(t, strings.ReplaceAll(c.args, " F", " "+file), c.out, c.err)
	}
}
