package emulator

import (
	"testing"

	"spantack/core/rollout"
)

// Guards against responses of the wrong version during a release that replaces objects, while a router crashes, clocks
// differ and caches are replaced. A cell that has the release must not respond with the old version, a cell without it
// must mostly respond with the old version, and after the rollback no cell may respond with the new version. A router
// may stop the release on its own verdict, before the rollback in the document. It may then still respond with the new
// version until RollbackAt.
func TestReleaseVersionsDuringFaults(t *testing.T) {
	for name, c := range map[string]struct {
		harmful    float64
		onRollback string
		skew       float64
	}{
		"harmless release": {},
		"clock skew":       {skew: 1000},
		"harmful, replaced objects rejected after the stop": {harmful: 0.5},
		"harmful, replaced objects served after the stop":   {harmful: 0.5, onRollback: "serve"},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := smallConfig(11)
			cfg.DurationSeconds = 34
			cfg.MaxClockSkewMillis = c.skew
			addCells(&cfg, 3)
			cfg.Faults = []Fault{
				{Kind: FaultRouter, Site: 0, Index: 1, AtSeconds: 18, DurationSeconds: 4},
				{Kind: FaultDeploy, Site: -1, AtSeconds: 20, DurationSeconds: 8, Fraction: 0.4},
			}
			ring := rollout.Ring{Cells: []string{cfg.Cells.Cells[0].Name}, OpensAt: 12_000, JudgeWithin: 60_000}
			cfg.Release = &Release{
				StartSeconds:      10,
				CatalogueFraction: 0.5,
				HarmfulFraction:   c.harmful,
				ReplacesObjects:   true,
				RollbackSeconds:   27,
				Rollout: &rollout.Rollout{
					Version:         1,
					Name:            "prices",
					FamilyRange:     []int{255, 255},
					Since:           10_000 + c.skew,
					ReplacesObjects: true,
					OldCopyMaxAge:   300_000,
					OnStop:          c.onRollback,
					RollbackAt:      28_000,
					Rings:           []rollout.Ring{ring},
				},
			}
			r := runWorld(t, cfg)
			if r.ReleaseAnswers < 20 || r.PendingAnswers < 300 || r.RolledBackAnswers < 100 {
				t.Errorf("responses: %d with release, %d before it, %d after rollback; want at least 20, 300 and 100",
					r.ReleaseAnswers, r.PendingAnswers, r.RolledBackAnswers)
			}
			if float64(r.EarlyAnswers) > 0.4*float64(r.PendingAnswers) {
				t.Errorf("%d of %d responses before the release have the new version", r.EarlyAnswers, r.PendingAnswers)
			}
			isStoppedEarly := r.StoppedAtSeconds < 27
			if r.RoutersStopped != cfg.routerCount() || (c.harmful > 0) != isStoppedEarly {
				t.Errorf("release stopped at %d routers, first at %.1f s; want all, before 27 s only if it is harmful",
					r.RoutersStopped, r.StoppedAtSeconds)
			}
		})
	}
}

func TestReleaseKindMustMatchRollout(t *testing.T) {
	cfg := smallConfig(11)
	addCells(&cfg, 3)
	cfg.Release = &Release{Rollout: &rollout.Rollout{ReplacesObjects: true}}
	if _, err := New(cfg); err == nil {
		t.Error("New accepted a rollout that replaces objects for a release that does not")
	}
}
