package rollout

import (
	"fmt"
	"testing"
)

// What cells answer with of a release that replaces objects, at each point of its life: old copies where the ring is
// closed, new ones where it is open, none or whatever there is where it was stopped for harm, and only what was made
// since the document rolled it back.
func TestGateOfReplacedObjects(t *testing.T) {
	const (
		maxAge     = 5000.0
		rollbackAt = 400_000.0
	)
	oldCopies := GateDecision{MaxAge: maxAge}
	newCopies := GateDecision{MadeSince: 1000}
	rejected := GateDecision{Rejected: true}
	restored := GateDecision{MadeSince: rollbackAt}
	for onRollback, stopped := range map[string]GateDecision{"": rejected, ServeOnRollback: oldCopies} {
		r := sampleRollout()
		r.ReplacesObjects = true
		r.OldCopyMaxAge = maxAge
		r.OnRollback = onRollback
		for _, test := range []struct {
			name       string
			until      float64
			rollbackAt float64
			want       map[string]GateDecision // by cell
		}{
			{"before the first ring", 59_000, 0,
				map[string]GateDecision{"a": oldCopies, "b": oldCopies, "d": oldCopies, "h": oldCopies}},
			{"first ring open", 61_001, 0,
				map[string]GateDecision{"a": newCopies, "b": oldCopies, "d": oldCopies, "h": oldCopies}},
			{"harm in the second ring", 380_000, 0,
				map[string]GateDecision{"a": stopped, "b": stopped, "d": oldCopies, "h": oldCopies}},
			{"rolled back by the document", 402_000, rollbackAt,
				map[string]GateDecision{"a": restored, "b": restored, "d": restored, "h": restored}},
		} {
			t.Run(fmt.Sprintf("onRollback=%q/%s", onRollback, test.name), func(t *testing.T) {
				r.RollbackAt = test.rollbackAt
				p, _ := play(t, r, 3, 300, harmAfterTheFirstRing, test.until)
				for cell, want := range test.want {
					if got := p.Gate(cell); got != want {
						t.Errorf("cell %s: %+v, want %+v", cell, got, want)
					}
				}
			})
		}
	}
}

func TestGateOfNewObjects(t *testing.T) {
	p, _ := play(t, sampleRollout(), 3, 300, constantRate(0.01), 61_001)
	for cell, want := range map[string]GateDecision{"a": {}, "b": {Rejected: true}, "h": {Rejected: true}} {
		if got := p.Gate(cell); got != want {
			t.Errorf("cell %s: %+v, want %+v", cell, got, want)
		}
	}
	other := sampleRollout()
	other.Version = 2
	other.ReplacesObjects = true
	other.OldCopyMaxAge = 5000
	if p.Continue(&other) {
		t.Error("a release of another kind goes on as the same")
	}
}
