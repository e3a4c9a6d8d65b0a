package lab

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// smallFlood makes an experiment end in a second.
var smallFlood = []string{"sizes.small.dayS=4", "sizes.small.warmS=2", "sizes.small.rateS=200", "sizes.small.tenants=40",
	`days.unique.flood={"tenant":0,"times":10,"kind":"unique","fromS":3,"forS":2}`}

func loadSmallFlood(t *testing.T, more ...string) *Experiment {
	t.Helper()
	e, err := Load("cells-flood", append(append([]string{}, smallFlood...), more...)...)
	if err != nil {
		t.Fatal(err)
	}
	return e
}

func TestAllExperimentsLoad(t *testing.T) {
	names := Names()
	if len(names) < 3 {
		t.Fatalf("experiments: %v", names)
	}
	for _, name := range names {
		e, err := Load(name)
		if err != nil {
			t.Error(err)
			continue
		}
		if e.Title == "" || len(e.Claims) == 0 || len(e.Sizes)+len(e.TopologyTrials)+len(e.OriginLimitTrials)+len(e.FleetLimitTrials) != 2 {
			t.Errorf("%s: title %q, %d claims, %d sizes", name, e.Title, len(e.Claims), len(e.Sizes))
		}
		for _, arm := range e.Chart.Arms {
			if _, known := e.Arms[arm]; !known {
				t.Errorf("%s: the chart shows arm %s, which there is not", name, arm)
			}
		}
		for size := range e.Sizes {
			for arm := range e.Arms {
				cfg, err := e.configure(size, 1, e.Arms[arm], Day{})
				if err == nil {
					err = cfg.Validate()
				}
				if err != nil {
					t.Errorf("%s, %s, %s: %v", name, size, arm, err)
				}
			}
		}
	}
}

func TestLoadAndRunErrors(t *testing.T) {
	for want, change := range map[string]string{
		"not of the form":         "sizes",
		"there is no":             "days.nothing.flood=1",
		"holds no fields":         "title.x=1",
		"unknown field":           "sizes.small.depot=3",
		"a number, or one for ea": `arms.cells.cells="four"`,
	} {
		if _, err := Load("cells-flood", change); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got %v", change, err)
		}
	}
	if _, err := Load("nothing"); err == nil {
		t.Error("an experiment that there is not")
	}
	if _, err := loadSmallFlood(t).Run("huge", 1, nil); err == nil {
		t.Error("a size that there is not")
	}
	bad := loadSmallFlood(t, "sizes.small.depots=0")
	if _, err := bad.Run("small", 1, nil); err == nil || !strings.Contains(err.Error(), "depots: 0") {
		t.Errorf("got %v", err)
	}
}

// The same seed and size give the same files to the byte; a claim that can't hold falls short.
func TestRunIsReproducible(t *testing.T) {
	var texts [2][]byte
	for i := range texts {
		e := loadSmallFlood(t, `claims=[{"name":"sure","of":"none/calm/others","least":0.5},{"name":"never","of":"none/calm/others","over":"cells/calm/others","least":5}]`)
		ticks := make(chan int, 64)
		o, err := e.Run("small", 7, func(done, all int) { ticks <- all })
		if err != nil {
			t.Fatal(err)
		}
		if o.PassedCount() != 1 || !o.Claims[0].Passed || o.Claims[1].Passed {
			t.Errorf("claims: %+v", o.Claims)
		}
		if line := o.Summary(); !strings.HasPrefix(line, "RESULT cells-flood seed=7 size=small verdict=short claims=1/2 sure=") {
			t.Error(line)
		}
		dir := filepath.Join(t.TempDir(), "out")
		if err := e.Write(dir, []*Outcome{o}); err != nil {
			t.Fatal(err)
		}
		for _, name := range []string{"result.json", "table.md", "seconds.svg", "arms.svg"} {
			text, err := os.ReadFile(filepath.Join(dir, name))
			if err != nil || len(text) < 200 {
				t.Errorf("%s: %d bytes, %v", name, len(text), err)
			}
			texts[i] = append(texts[i], text...)
		}
	}
	if !bytes.Equal(texts[0], texts[1]) {
		t.Error("two runs of one seed wrote different files")
	}
}

func TestCompare(t *testing.T) {
	e := loadSmallFlood(t, `arms={"none":{},"cells":{"cells":4}}`, `days={"calm":{}}`, `claims=[]`)
	var both [2][]*Outcome
	for i := range both {
		for seed := range uint64(2) {
			o, err := e.Run("small", seed+uint64(2*i), nil)
			if err != nil {
				t.Fatal(err)
			}
			text, err := json.Marshal(o)
			if err != nil {
				t.Fatal(err)
			}
			back := &Outcome{}
			if err := json.Unmarshal(text, back); err != nil {
				t.Fatal(err)
			}
			both[i] = append(both[i], back)
		}
	}
	var out bytes.Buffer
	if err := Compare(&out, both[0], both[1]); err != nil {
		t.Fatal(err)
	}
	if lines := strings.Count(out.String(), "\n"); lines != 1+2*len(defaultTableFigures) {
		t.Errorf("%d lines:\n%s", lines, out.String())
	}
	both[1][0].Size = "full"
	if err := Compare(&out, both[0], both[1]); err == nil {
		t.Error("two sizes compared")
	}
}

// Welch's interval of a known sample.
func TestIntervals(t *testing.T) {
	d := differenceOfMeans([]float64{1, 2, 3, 4}, []float64{3, 4, 5, 6})
	if d.Mean != 2 || d.HalfWidth < 2.2 || d.HalfWidth > 2.25 { // t(0.975, 6) = 2.447 times sqrt(5/6)
		t.Errorf("%+v", d)
	}
	if i := meanInterval([]float64{1, 2, 3}); i.Mean != 2 || i.HalfWidth < 2.48 || i.HalfWidth > 2.49 { // 4.303/sqrt(3)
		t.Errorf("%+v", i)
	}
}
