package lab

import (
	"strings"
	"testing"
)

// smallWorld are changes that shrink the world of cells-flood, to keep the tests fast.
var smallWorld = []string{
	"sizes.small.dayS=4",
	"sizes.small.warmS=2",
	"sizes.small.rateS=200",
	"sizes.small.tenants=40",
	`days.unique.flood={"tenant":0,"times":10,"kind":"unique","fromS":3,"forS":2}`,
}

// loadSmallFlood loads the experiment cells-flood with smallWorld and further changes.
func loadSmallFlood(t *testing.T, changes ...string) *Experiment {
	t.Helper()
	e, err := Load("cells-flood", append(append([]string{}, smallWorld...), changes...)...)
	if err != nil {
		t.Fatal(err)
	}
	return e
}

func TestAllExperimentsLoad(t *testing.T) {
	names := Names()
	if len(names) < 3 {
		t.Fatalf("experiments %v, want at least 3", names)
	}
	for _, name := range names {
		e, err := Load(name)
		if err != nil {
			t.Error(err)
			continue
		}
		sizes := len(e.Sizes) + len(e.TopologyTrials) + len(e.OriginLimitTrials) + len(e.FleetLimitTrials)
		if e.Title == "" || len(e.Claims) == 0 || sizes != 2 {
			t.Errorf("%s: title %q, %d claims, %d sizes; want a title, claims and 2 sizes", name, e.Title, len(e.Claims), sizes)
		}
		for _, arm := range e.Chart.Arms {
			if _, known := e.Arms[arm]; !known {
				t.Errorf("%s: the chart shows arm %s, which is not defined", name, arm)
			}
		}
		checkWorlds(t, e)
	}
}

// checkWorlds checks that the emulator configuration of each size and arm is valid.
func checkWorlds(t *testing.T, e *Experiment) {
	t.Helper()
	for size := range e.Sizes {
		for arm := range e.Arms {
			cfg, err := e.configure(size, 1, e.Arms[arm], Day{})
			if err == nil {
				err = cfg.Validate()
			}
			if err != nil {
				t.Errorf("%s, %s, %s: %v", e.Name, size, arm, err)
			}
		}
	}
}

func TestInvalidChangesAndSizesAreRejected(t *testing.T) {
	for want, change := range map[string]string{
		"not of the form":       "sizes",
		"does not exist":        "days.nothing.flood=1",
		"is not an object":      "title.x=1",
		"unknown field":         "sizes.small.depot=3",
		"a number or an object": `arms.cells.cells="four"`,
	} {
		if _, err := Load("cells-flood", change); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want one that names the problem", change, err)
		}
	}
	if _, err := Load("nothing"); err == nil {
		t.Error("no error for an unknown experiment")
	}
	if _, err := loadSmallFlood(t).Run("huge", 1, nil); err == nil {
		t.Error("no error for an unknown size")
	}
	bad := loadSmallFlood(t, "sizes.small.depots=0")
	if _, err := bad.Run("small", 1, nil); err == nil || !strings.Contains(err.Error(), "depots: 0") {
		t.Errorf("depots of 0: error %v", err)
	}
}
