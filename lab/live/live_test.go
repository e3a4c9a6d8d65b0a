package live

import (
	"context"
	"testing"
	"time"

	"spantack/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// Sixteen real processes under the whole script. The verdict is the stand-ins' ledger's; how long a step takes decides nothing but whether
// the pool came back at all within its time. A loan's end left unchecked, and a keeper that needs a third of the tier, each fail it.
func TestFleetLimits(t *testing.T) {
	s, err := Load("fleet-limits")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Minute)
	defer cancel()
	r, err := s.Play(ctx, Options{Routers: 16, Seed: 7})
	if err != nil {
		t.Fatal(err)
	}
	for _, fault := range r.Faults() {
		t.Error(fault)
	}
	t.Log(r.Line())
}

// Sixteen processes of four depots lose one of three area caches that the list goes on calling ready. Without verdicts seven fills still name it after
// the step has settled.
func TestFleetVerdicts(t *testing.T) {
	s, err := Load("fleet-verdicts")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	r, err := s.Play(ctx, Options{Routers: 16, Seed: 7})
	if err != nil {
		t.Fatal(err)
	}
	for _, fault := range r.Faults() {
		t.Error(fault)
	}
	t.Log(r.Line(), r.Steps)
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
