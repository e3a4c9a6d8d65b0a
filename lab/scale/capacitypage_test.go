package scale

import (
	"os"
	"strings"
	"testing"
)

// Guards against figures and tables on the capacity page that differ from the results files, and against results that
// are missing for a test or a default size.
func TestCapacityPageMatchesResults(t *testing.T) {
	set, err := ReadResultSet("../../docs/results/scale")
	if err != nil {
		t.Fatal(err)
	}
	for test, results := range set {
		if len(results) != len(DefaultSizes) {
			t.Fatalf("%s: results at %d sizes, want one for each default size", test, len(results))
		}
		for i, result := range results {
			if result.Test != test || result.Routers != DefaultSizes[i] ||
				result.SimulatedProcesses < 1 || len(result.Phases) < 3 {
				t.Errorf("%s: result is incomplete, or belongs to another test or size: %+v", test, result)
			}
		}
	}
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	updated, err := set.UpdatePage(page)
	if err != nil {
		t.Fatal(err)
	}
	if len(inlineFigure.FindAll(page, -1)) < 30 || len(tableBlock.FindAll(page, -1)) != len(Tests()) {
		t.Error("the page has fewer than 30 figures, or not one table for each test")
	}
	got, want := strings.Split(string(page), "\n"), strings.Split(string(updated), "\n")
	for i := range min(len(got), len(want)) {
		if got[i] != want[i] {
			t.Fatalf("docs/CAPACITY.md, line %d, differs from the results (spanlab scale page updates it):\n%s\n%s",
				i+1, got[i], want[i])
		}
	}
	if len(got) != len(want) {
		t.Errorf("docs/CAPACITY.md has %d lines, want %d", len(got), len(want))
	}
}

// squareLawSet returns results at three sizes, with bytes that grow with the square of the size.
func squareLawSet() ResultSet {
	set := ResultSet{}
	for _, routers := range []int{100, 1_000, 10_000} {
		set["limits"] = append(set["limits"], &Result{
			Test:               "limits",
			Routers:            routers,
			SimulatedProcesses: 1,
			Metrics:            []Metric{{"used", 0.5}},
			Phases: []Phase{{
				Scenario:            SteadyState,
				WorstBytesPerSecond: 3 * float64(routers*routers),
				MemoryKB:            7,
			}},
		})
	}
	return set
}

// Guards against figures and tables that are not updated, are formatted wrongly, or change in a second update.
func TestUpdatePageReplacesFiguresAndTables(t *testing.T) {
	set := squareLawSet()
	const page = "At 100 it has 1<!--limits/100/bytes-->, as a power 9<!--limits/slope/bytes-->, " +
		"used 1<!--limits/1000/used-->, both 2<!--limits/100/memory + limits/1000/memory-->.\n" +
		"<!-- table limits -->\nold\n<!-- end -->\n"
	got, err := set.UpdatePage([]byte(page))
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"it has 30,000<!--",
		"power 2<!--",
		"used 0.5<!--",
		"both 14<!--",
		"| bytes/s, ordinary day | 30,000 | 3,000,000 | 300,000,000 | 2.00 | 0% |\n",
		"| state, KB, ordinary day | 7 | 7 | 7 | 0.00 | 0% |\n",
	} {
		if !strings.Contains(string(got), want) {
			t.Errorf("%s\ndoes not contain %s", got, want)
		}
	}
	if again, err := set.UpdatePage(got); err != nil || string(again) != string(got) {
		t.Errorf("second update: error %v, page:\n%s", err, again)
	}
}

// Guards against paths to unknown figures, malformed paths and unknown tables that are accepted without an error.
func TestUpdatePageRejectsUnknownFigure(t *testing.T) {
	set := squareLawSet()
	for _, page := range []string{
		"1<!--limits/5/bytes-->",
		"1<!--limits/100/weight-->",
		"1<!--limits/100/zone lost/bytes-->",
		"1<!--limits-->",
		"<!-- table x -->\n<!-- end -->",
	} {
		if _, err := set.UpdatePage([]byte(page)); err == nil {
			t.Errorf("%s: no error", page)
		}
	}
}
