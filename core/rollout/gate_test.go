package rollout

import (
	"fmt"
	"testing"
)

// Guards against cells that serve the wrong version of replaced objects. Closed rings serve old copies, open rings new
// copies. A ring stopped by a degradation rejects requests or serves old copies, depending on OnStop. After a rollback
// by the document all cells only serve copies made since RollbackAt.
func TestGateServesRightVersionOfReplacedObjects(t *testing.T) {
	const (
		maxAge     = 5000.0
		rollbackAt = 400_000.0
	)
	oldCopies := GateDecision{MaxAge: maxAge}
	newCopies := GateDecision{MadeSince: 1000}
	rejected := GateDecision{Rejected: true}
	restored := GateDecision{MadeSince: rollbackAt}
	for onStop, stopped := range map[string]GateDecision{"": rejected, ServeWhenStopped: oldCopies} {
		r := sampleRollout()
		r.ReplacesObjects = true
		r.OldCopyMaxAge = maxAge
		r.OnStop = onStop
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
			{"degradation in the second ring", 380_000, 0,
				map[string]GateDecision{"a": stopped, "b": stopped, "d": oldCopies, "h": oldCopies}},
			{"rolled back by the document", 402_000, rollbackAt,
				map[string]GateDecision{"a": restored, "b": restored, "d": restored, "h": restored}},
		} {
			t.Run(fmt.Sprintf("onStop=%q/%s", onStop, test.name), func(t *testing.T) {
				r.RollbackAt = test.rollbackAt
				p, _ := runRollout(t, r, 3, 300, failuresAfterFirstRing, test.until)
				for cell, want := range test.want {
					if got := p.Gate(cell); got != want {
						t.Errorf("cell %s: %+v, want %+v", cell, got, want)
					}
				}
			})
		}
	}
}

func TestGateRejectsNewObjectsInClosedRings(t *testing.T) {
	p, _ := runRollout(t, sampleRollout(), 3, 300, constantRate(0.01), 61_001)
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
		t.Error("a rollout that replaces objects continues one that adds objects")
	}
}
