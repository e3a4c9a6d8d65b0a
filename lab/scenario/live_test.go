package scenario

import (
	"context"
	"testing"
	"time"

	"spantack/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// Sixteen real processes under each script. The verdict is the stand-ins' request logs'; how long a step takes decides nothing but whether what must come back did at
// all within its time. fleet-verdicts: without verdicts seven fills still name the dead area cache after the step has settled.
func TestScenarios(t *testing.T) {
	for _, name := range []string{"fleet-limits", "fleet-verdicts", "fleet-tree"} {
		t.Run(name, func(t *testing.T) {
			s, err := Load(name)
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 4*time.Minute)
			defer cancel()
			r, err := s.Run(ctx, Options{Routers: 16, Seed: 7})
			if err != nil {
				t.Fatal(err)
			}
			for _, fault := range r.Failures() {
				t.Error(fault)
			}
			t.Log(r.Summary())
		})
	}
}

func TestNames(t *testing.T) {
	for _, name := range Names() {
		if _, err := Load(name); err != nil {
			t.Error(err)
		}
	}
	if _, err := Load("nothing"); err == nil {
		t.Error("a scenario that is not there")
	}
}
