package main

import (
	"bytes"
	"strings"
	"testing"

	"spantack/internal/features"
)

// A tenant's whole way by commands: moved, held, resumed, taken back, moved again and settled. What can't be done says why and leaves the
// document as it was.
func TestCommandsOnMoves(t *testing.T) {
	put := folder(t)
	file := put("f.jsonnet", "")
	cells := func(cell string) {
		body := strings.NewReplacer("%V", "1", "%C", cell).Replace(text)
		body = strings.Replace(body, "budget: {}", "budget: { fillKbPerS: 400 }", 1)
		put("f.jsonnet", strings.TrimSuffix(strings.TrimSpace(body), "}")+", moves: import 'moves.json' }")
	}
	cells("a")
	put("moves.json", `{"enabled": false}`)
	demand := put("demand.json", `[{"name":"t","loads":[3,100,20],"worth":5},{"name":"u","loads":[3,50,10],"worth":5}]`)
	log := put("n0.log", `{"message":"moves","version":1,"moves":[{"tenant":"u","share":0.25}]}`+"\n")
	plain := put("plain.jsonnet", strings.NewReplacer("%V", "1", "%C", "a").Replace(text))
	version := int64(0)
	for i, c := range []struct{ args, out, err string }{
		{"cells move F u --to b --now 1000000 --dry-run", "u in *: a to b, planned, 0 to 0% over; begins 1970-01-01 00:17:10Z", ""},
		{"cells move F u --to c --now 1000000", "", `moves.moves[0].to: "c" is no cell`},
		{"cells move F x --to b --now 1000000", "", `"x" is no tenant`},
		{"cells move F u --to b --shift 2s --now 1000000", "", "--shift 10s or more"},
		{"cells move " + plain + " u --to b --now 1000000", "", "does not take its section moves from"},
		{"cells hold F u --now 1000000", "", "u does not move"},
		{"cells move F u --to b --now 1000000 --in 10s --shift 20s --settle 20s --demand " + demand, "cell b: +50 KB/s in the end; fills of 50 KB/s", ""},
		{"cells moves F --now 1020000 --status " + log, "shifting, 10 to 50% over", ""},
		{"cells moves F --now 1020000 --status " + log, "at 1 routers: 25 to 25% over", ""},
		{"cells explain F --family 1 --object 00ff --now 1020000", "of the order: it goes to b once", ""},
		{"cells move F u --to b --now 1020000", "", "u moves twice"},
		{"cells hold F --now 1020000", "", "tenants, or --all"},
		{"cells hold F u --now 1020000", "u in *: a to b, held", ""},
		{"cells hold F u --now 1021000", "", "u is held: it can't be held"},
		{"cells resume F --all --now 1060000", "u in *: a to b, shifting, 10 to 50% over", ""},
		{"cells back F u --now 1061000 --dry-run", "dry run: version 4 not written", ""},
		{"cells back F u --now 1061000", "u in *: a to b, going back", ""},
		{"cells resume F u --now 1062000", "", "can't be resumed"},
		{"cells settle F --now 1062000", "no move is over", ""},
		{"cells move F u --to b --now 1200000 --in 10s --shift 20s --settle 20s", "begins 1970-01-01 00:20:10Z", ""},
		{"cells settle F --now 1400000", "u in *: set its cell to b (now a)", "1 moves are over"},
		{"check F", "moves: on, version 5, 1 moves\n", ""},
	} {
		printed := command(t, strings.ReplaceAll(c.args, " F", " "+file), c.out, c.err)
		f, err := features.Load(file)
		if err != nil {
			t.Fatalf("%d, %s: %v", i, c.args, err)
		}
		now := int64(0)
		if f.ActiveMigration() != nil {
			now = f.ActiveMigration().Version
		}
		if wrote := now != version; wrote != strings.Contains(printed, "written; send SIGHUP") || now > version+1 {
			t.Errorf("%d, %s: version %d after %d", i, c.args, now, version)
		}
		version = now
	}
	cells("b")
	var out bytes.Buffer
	if err := run([]string{"cells", "settle", file, "--now", "1400000"}, &out); err != nil || !strings.Contains(out.String(), "over, left out") {
		t.Errorf("%v, %q", err, out.String())
	}
	cells("a")
	for want, more := range map[string][]string{
		"tenants move within":         {"--bears-kb-s", "1000"},
		"t stays: load of b: 100 KB":  {"--bears-kb-s", "150"},
		"% of its limit at most":      {"--bears-kb-s", "1000"},
		"no plan within the limits t": {"--bears-kb-s", "1000"},
	} {
		out.Reset()
		if err := run(append([]string{"cells", "empty", file, "a", "--into", "b", "--demand", demand, "--now", "1500000", "--dry-run"}, more...), &out); err != nil || !strings.Contains(out.String(), want) {
			t.Errorf("empty: %v, %q, want %q", err, out.String(), want)
		}
	}
}
