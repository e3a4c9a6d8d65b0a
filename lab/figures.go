package lab

import (
	"math"
	"slices"

	"spantack/core/cells"
	"spantack/emulator"
)

// roundFigure keeps figures short and free of the last bits.
func roundFigure(x float64) float64 { return math.Round(x*1e5) / 1e5 }

// endSpanSeconds is how many of a day's last seconds count for how it ends.
const endSpanSeconds = 15

// datagramPrice is the platform's for 256 bytes of datagrams a request, in parts of the result.
const datagramPrice = 0.0075

func (r *Run) addWorldFigures(cfg *emulator.Config, res *emulator.Result) {
	all := res.OtherCells()
	all = all.Plus(res.NoisyCell())
	r.Broken = res.Violations
	r.Figures = map[string]float64{"others": res.OtherCells().TimelyRatio(), "cell": res.NoisyCell().TimelyRatio(), "guilty": res.NoisyTenant.TimelyRatio(),
		"timely": all.TimelyRatio(), "hits": res.HitRatio(), "touched": res.SharedCacheFraction, "originMb": res.OriginKB / 1000, "fillMb": res.FillKB / 1000,
		"refused": float64(all.Rejected) / max(float64(all.Operations), 1), "failed": float64(all.Failed) / max(float64(all.Operations), 1),
		"asked": float64(all.Operations), "attempts": float64(res.Attempts), "attemptsEach": float64(res.Attempts) / max(float64(res.Requests), 1), "events": float64(res.Events), "broken": float64(res.ViolationCount()),
		"p50VideoMs": res.P50Millis[0], "p99VideoMs": res.P99Millis[0], "p50CatalogueMs": res.P50Millis[1], "p99CatalogueMs": res.P99Millis[1],
		"p99ReportMs": res.P99Millis[2], "largest": slices.Min(res.LargestServedRatio[:]), "next": slices.Min(res.NextLargestServedRatio[:])}
	if cfg.Hubs > 0 {
		r.Figures["originMost"], r.Figures["originOverS"], r.Figures["coldMost"] = res.MaxOriginLoad, res.OriginOverloadSeconds, res.MaxWarmUpLoad
		r.Figures["coldShare"], r.Figures["unanswered"], r.Figures["unended"] = res.MaxWarmUpLoadPerRouter, float64(res.Unanswered), float64(res.Unfinished)
		r.Figures["end"] = res.TimelyRatioAtEnd(endSpanSeconds)
	}
	r.Figures["words"] = float64(res.Datagrams)
	r.Figures["wordPrice"] = datagramPrice * float64(res.DatagramBytes) / 256 / max(float64(res.Requests), 1)
	if len(cfg.MigratedTenants) > 0 {
		for name, v := range map[string]float64{"movers": res.Migrated.TimelyRatio(), "stayers": res.NotMigrated.TimelyRatio(), "coldMost": res.MaxWarmUpLoad,
			"coldShare": res.MaxWarmUpLoadPerRouter, "cellFill": res.MaxCellFill, "cellBusy": res.MaxCellUtilization, "spread": res.MaxMigrationSpread, "doneS": res.MigratedAtSeconds, "moved": float64(res.Admission.Migrated), "kept": float64(res.Admission.Deferred),
			"unanswered": float64(res.Unanswered), "unended": float64(res.Unfinished), "endS": cfg.MigrationEndSeconds, "moversRefused": float64(res.Migrated.Rejected) / max(float64(res.Migrated.Operations), 1)} {
			r.Figures[name] = v
		}
	}
	for why, n := range res.Admission.Rejected {
		if n > 0 {
			r.Figures["gate "+cells.Reason(why).String()] = float64(n)
		}
	}
	for name, v := range r.Figures {
		r.Figures[name] = roundFigure(v)
	}
	for _, s := range res.Seconds {
		if s.OtherCells.OfferedWeight > 0 {
			r.Seconds = append(r.Seconds, roundFigure(s.OtherCells.TimelyRatio()))
		}
	}
}

// addReleaseFigures sums up the worlds of a day with a release.
func (r *Run) addReleaseFigures(cfg *emulator.Config, all []emulator.Result) {
	stopped, passed, broken, sum := 0.0, 0.0, 0.0, 0.0
	var renewed, held, early, restored int64
	for i := range all {
		if all[i].RoutersStopped > 0 {
			stopped++
			sum += all[i].StoppedAtSeconds - cfg.Release.Rollout.Rings[0].OpensAt/1000
		}
		if all[i].RoutersStopped == 0 && all[i].RoutersPassed > 0 {
			passed++
		}
		broken += float64(all[i].ViolationCount())
		renewed, held = renewed+all[i].ReleaseAnswers, held+all[i].PendingAnswers
		early, restored = early+all[i].EarlyAnswers, restored+all[i].RolledBackAnswers
	}
	if cfg.Release.ReplacesObjects { // answers with its objects, and in cells that have not got it the part that was new
		r.Figures["renewed"], r.Figures["restored"] = float64(renewed), float64(restored)
		r.Figures["early"] = roundFigure(float64(early) / float64(max(held, 1)))
	}
	n := float64(len(all))
	r.Figures["worlds"], r.Figures["stopped"], r.Figures["passed"], r.Figures["broken"] = n, roundFigure(stopped/n), roundFigure(passed/n), broken
	r.Figures["unsure"] = roundFigure((n - stopped - passed) / n)
	r.Figures["foundS"] = roundFigure(sum / max(stopped, 1))
}
