package main

import (
	"strings"
	"testing"

	"spantack/internal/features"
)

// Guards against migration commands that set wrong times or phases, that succeed in a phase in which they are not
// possible, or that write the document although they fail.
func TestCommandsOnMigrations(t *testing.T) {
	writeFile := newFileWriter(t)
	file := writeFeatures(writeFile, "a")
	writeFile("moves.json", `{"enabled": false}`)
	demand := writeDemand(writeFile)
	log := writeFile("n0.log", `{"message":"moves","version":1,"moves":[{"tenant":"u","share":0.25}]}`+"\n")
	plain := writeFile("plain.jsonnet", cellsFile("1", "a"))
	version := int64(0)
	for i, c := range []commandCase{
		{"cells migrate F u --to b --now 1000000 --dry-run",
			"u in *: a to b, planned, 0 to 0% migrated; starts 1970-01-01 00:17:10Z", ""},
		{"cells migrate F u --to c --now 1000000", "", `moves.moves[0].to: "c" is no cell`},
		{"cells migrate F x --to b --now 1000000", "", `unknown tenant "x"`},
		{"cells migrate F u --to b --shift 2s --now 1000000", "", "--shift 10s or more"},
		{"cells migrate " + plain + " u --to b --now 1000000", "", "can't load the section moves written to"},
		{"cells pause F u --now 1000000", "", "u has no migration"},
		{"cells migrate F u --to b --now 1000000 --in 10s --shift 20s --settle 20s --demand " + demand,
			"cell b: +50 KB/s at the end; fills of at most 50 KB/s", ""},
		{"cells migration F --now 1020000 --status " + log, "shifting, 10 to 50% migrated", ""},
		{"cells migration F --now 1020000 --status " + log, "at 1 routers: 25 to 25% migrated", ""},
		{"cells explain F --family 1 --object 00ff --now 1020000", "of the migration order: it uses b once", ""},
		{"cells migrate F u --to b --now 1020000", "", "u moves twice"},
		{"cells pause F --now 1020000", "", "give either tenants or --all"},
		{"cells pause F u --now 1020000", "u in *: a to b, held", ""},
		{"cells pause F u --now 1021000", "", "u is held: it can't be paused"},
		{"cells resume F --all --now 1060000", "u in *: a to b, shifting, 10 to 50% migrated", ""},
		{"cells rollback F u --now 1061000 --dry-run", "dry run: version 4 not written", ""},
		{"cells rollback F u --now 1061000", "u in *: a to b, going back", ""},
		{"cells resume F u --now 1062000", "", "can't be resumed"},
		{"cells finalize F --now 1062000", "no migration is over", ""},
		{"cells migrate F u --to b --now 1200000 --in 10s --shift 20s --settle 20s", "starts 1970-01-01 00:20:10Z", ""},
		{"cells finalize F --now 1400000", "u in *: first set the tenant's cell to b (now a)", "1 migrations are over"},
		{"check F", "moves: on, version 5, 1 migrations\n", ""},
	} {
		printed := runCommand(t, strings.ReplaceAll(c.args, " F", " "+file), c.out, c.err)
		after := documentVersion(t, file)
		wrote := strings.Contains(printed, "written; send SIGHUP")
		if (after != version) != wrote || after > version+1 {
			t.Errorf("%d, %s: document version %d, was %d", i, c.args, after, version)
		}
		version = after
	}
	writeFeatures(writeFile, "b")
	runCommand(t, "cells finalize "+file+" --now 1400000", "over, removed", "")
}

// writeFeatures writes a features file that imports its migrations from moves.json, with a cell for tenant u.
func writeFeatures(writeFile func(name, text string) string, cell string) string {
	body := strings.Replace(cellsFile("1", cell), "budget: {}", "budget: { fillKbPerS: 400 }", 1)
	return writeFile("f.jsonnet", withSection(body, "moves", "moves.json"))
}

// writeDemand writes the demand of both tenants.
func writeDemand(writeFile func(name, text string) string) string {
	return writeFile("demand.json", `[{"name":"t","loads":[3,100,20],"worth":5},{"name":"u","loads":[3,50,10],"worth":5}]`)
}

// documentVersion returns the version of a features file's migrations, 0 if there are none.
func documentVersion(t *testing.T, file string) int64 {
	t.Helper()
	f, err := features.Load(file)
	if err != nil {
		t.Fatal(err)
	}
	if f.ActiveMigration() == nil {
		return 0
	}
	return f.ActiveMigration().Version
}
