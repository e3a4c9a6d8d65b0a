package main

import (
	"strings"
	"testing"

	"spantack/internal/features"
)

// A tenant's migrations by commands: begun, paused, resumed, rolled back, begun again and finalized. A command that
// can't be carried out says why and leaves the document as it was.
func TestCommandsOnMigrations(t *testing.T) {
	put := folder(t)
	file := putFeatures(put, "a")
	put("moves.json", `{"enabled": false}`)
	demand := putDemand(put)
	log := put("n0.log", `{"message":"moves","version":1,"moves":[{"tenant":"u","share":0.25}]}`+"\n")
	plain := put("plain.jsonnet", cellsFile("1", "a"))
	version := int64(0)
	for i, c := range []commandCase{
		{"cells migrate F u --to b --now 1000000 --dry-run",
			"u in *: a to b, planned, 0 to 0% over; begins 1970-01-01 00:17:10Z", ""},
		{"cells migrate F u --to c --now 1000000", "", `moves.moves[0].to: "c" is no cell`},
		{"cells migrate F x --to b --now 1000000", "", `"x" is no tenant`},
		{"cells migrate F u --to b --shift 2s --now 1000000", "", "--shift 10s or more"},
		{"cells migrate " + plain + " u --to b --now 1000000", "", "does not take its section moves from"},
		{"cells pause F u --now 1000000", "", "u does not move"},
		{"cells migrate F u --to b --now 1000000 --in 10s --shift 20s --settle 20s --demand " + demand,
			"cell b: +50 KB/s in the end; fills of 50 KB/s", ""},
		{"cells migration F --now 1020000 --status " + log, "shifting, 10 to 50% over", ""},
		{"cells migration F --now 1020000 --status " + log, "at 1 routers: 25 to 25% over", ""},
		{"cells explain F --family 1 --object 00ff --now 1020000", "of the order: it goes to b once", ""},
		{"cells migrate F u --to b --now 1020000", "", "u moves twice"},
		{"cells pause F --now 1020000", "", "tenants, or --all"},
		{"cells pause F u --now 1020000", "u in *: a to b, held", ""},
		{"cells pause F u --now 1021000", "", "u is held: it can't be held"},
		{"cells resume F --all --now 1060000", "u in *: a to b, shifting, 10 to 50% over", ""},
		{"cells rollback F u --now 1061000 --dry-run", "dry run: version 4 not written", ""},
		{"cells rollback F u --now 1061000", "u in *: a to b, going back", ""},
		{"cells resume F u --now 1062000", "", "can't be resumed"},
		{"cells finalize F --now 1062000", "no move is over", ""},
		{"cells migrate F u --to b --now 1200000 --in 10s --shift 20s --settle 20s", "begins 1970-01-01 00:20:10Z", ""},
		{"cells finalize F --now 1400000", "u in *: set its cell to b (now a)", "1 moves are over"},
		{"check F", "moves: on, version 5, 1 moves\n", ""},
	} {
		printed := command(t, strings.ReplaceAll(c.args, " F", " "+file), c.out, c.err)
		after := documentVersion(t, file)
		wrote := strings.Contains(printed, "written; send SIGHUP")
		if (after != version) != wrote || after > version+1 {
			t.Errorf("%d, %s: version %d after %d", i, c.args, after, version)
		}
		version = after
	}
	putFeatures(put, "b")
	command(t, "cells finalize "+file+" --now 1400000", "over, left out", "")
}

// putFeatures writes a features file that imports its migrations from moves.json, and in which tenant u has a cell.
func putFeatures(put func(name, text string) string, cell string) string {
	body := strings.Replace(cellsFile("1", cell), "budget: {}", "budget: { fillKbPerS: 400 }", 1)
	return put("f.jsonnet", withSection(body, "moves", "moves.json"))
}

// putDemand writes the demand of both tenants.
func putDemand(put func(name, text string) string) string {
	return put("demand.json", `[{"name":"t","loads":[3,100,20],"worth":5},{"name":"u","loads":[3,50,10],"worth":5}]`)
}

// documentVersion returns the version of the migrations in force, 0 if there are none.
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
