package scale

import (
	"math"
	"os"
	"strings"
	"testing"
)

// The page says what the files of results say: every figure and table on it, of every test at every size.
func TestCapacityPage(t *testing.T) {
	set, err := ReadResultSet("../../docs/results/scale")
	if err != nil {
		t.Fatal(err)
	}
	for test, results := range set {
		if len(results) != len(DefaultSizes) {
			t.Fatalf("%s: results of %d sizes", test, len(results))
		}
		for i, r := range results {
			if r.Test != test || r.Routers != DefaultSizes[i] || r.SimulatedProcesses < 1 || len(r.Phases) < 3 {
				t.Errorf("%s: %+v", test, r)
			}
		}
	}
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	want, err := set.UpdatePage(page)
	if err != nil {
		t.Fatal(err)
	}
	if len(inlineFigure.FindAll(page, -1)) < 30 || len(tableBlock.FindAll(page, -1)) != len(Tests()) {
		t.Error("the page has few figures of the results, or not a table of each test")
	}
	old, now := strings.Split(string(page), "\n"), strings.Split(string(want), "\n")
	for i := range min(len(old), len(now)) {
		if old[i] != now[i] {
			t.Fatalf("docs/CAPACITY.md, line %d, differs from the results (spanlab scale page puts that right):\n%s\n%s", i+1, old[i], now[i])
		}
	}
	if len(old) != len(now) {
		t.Errorf("docs/CAPACITY.md has %d lines, by the results %d", len(old), len(now))
	}
}

// A figure that differs is put right, one that the results lack is an error that names it, and a fit is that of the law behind the figures.
func TestUpdatePage(t *testing.T) {
	set := ResultSet{}
	for _, routers := range []int{100, 1_000, 10_000} {
		set["limits"] = append(set["limits"], &Result{Test: "limits", Routers: routers, SimulatedProcesses: 1, Metrics: []Metric{{"used", 0.5}},
			Phases: []Phase{{Scenario: SteadyState, WorstBytesPerSecond: 3 * float64(routers*routers), MemoryKB: 7}}})
	}
	page := "At 100 it has 1<!--limits/100/bytes-->, as a power 9<!--limits/slope/bytes-->, used 1<!--limits/1000/used-->, both 2<!--limits/100/memory + limits/1000/memory-->.\n<!-- table limits -->\nold\n<!-- end -->\n"
	got, err := set.UpdatePage([]byte(page))
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"it has 30,000<!--", "power 2<!--", "used 0.5<!--", "both 14<!--", "| bytes/s, ordinary day | 30,000 | 3,000,000 | 300,000,000 | 2.00 | 0% |\n", "| state, KB, ordinary day | 7 | 7 | 7 | 0.00 | 0% |\n"} {
		if !strings.Contains(string(got), want) {
			t.Errorf("%s\nlacks %s", got, want)
		}
	}
	if again, err := set.UpdatePage(got); err != nil || string(again) != string(got) {
		t.Errorf("%v: updated again it is\n%s", err, again)
	}
	for _, bad := range []string{"1<!--limits/5/bytes-->", "1<!--limits/100/weight-->", "1<!--limits/100/zone lost/bytes-->", "1<!--limits-->", "<!-- table x -->\n<!-- end -->"} {
		if _, err := set.UpdatePage([]byte(bad)); err == nil {
			t.Errorf("%s: no error", bad)
		}
	}
	set["limits"][1].Phases[0].WorstBytesPerSecond *= 2
	if f, err := set.fit("limits", "", "bytes"); err != nil || math.Abs(f.MaxRelativeError-0.587) > 0.01 {
		t.Errorf("a size that is off by two: %+v, %v", f, err)
	}
}
