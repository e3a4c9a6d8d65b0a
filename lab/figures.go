package lab

import (
	"maps"
	"math"
	"slices"

	"spantack/core/cells"
	"spantack/emulator"
)

const (
	// endSeconds is the length of the period at the end of a day over which the figure "end" is taken.
	endSeconds = 15
	// datagramPrice is the fraction of the overall result that the platform deducts for each datagramPriceBytes bytes
	// of datagrams sent per request.
	datagramPrice      = 0.0075
	datagramPriceBytes = 256
)

// roundFigure rounds a figure to five decimal places, so that stored figures are short.
func roundFigure(x float64) float64 { return math.Round(x*1e5) / 1e5 }

// ratio returns part / whole; 0 if both are 0.
func ratio(part, whole int64) float64 { return float64(part) / max(float64(whole), 1) }

// addWorldFigures fills in the figures, violations and seconds of a run from the result of its world.
func (r *Run) addWorldFigures(cfg *emulator.Config, result *emulator.Result) {
	r.Violations = result.Violations
	r.Figures = requestFigures(result)
	maps.Copy(r.Figures, latencyFigures(result))
	if cfg.Hubs > 0 {
		maps.Copy(r.Figures, originFigures(result))
	}
	if len(cfg.MigratedTenants) > 0 {
		maps.Copy(r.Figures, migrationFigures(cfg, result))
	}
	for reason, count := range result.Admission.Rejected {
		if count > 0 {
			r.Figures["gate "+cells.Reason(reason).String()] = float64(count)
		}
	}
	for name, value := range r.Figures {
		r.Figures[name] = roundFigure(value)
	}
	for _, second := range result.Seconds {
		if second.OtherCells.OfferedWeight > 0 {
			r.Seconds = append(r.Seconds, roundFigure(second.OtherCells.TimelyRatio()))
		}
	}
}

// requestFigures returns the figures on the outcomes of requests and on their cost.
func requestFigures(result *emulator.Result) map[string]float64 {
	otherCells := result.OtherCells()
	noisyCell := result.NoisyCell()
	all := otherCells.Plus(noisyCell)
	price := datagramPrice * float64(result.DatagramBytes) / datagramPriceBytes / max(float64(result.Requests), 1)
	return map[string]float64{
		"others":         otherCells.TimelyRatio(),
		"cell":           noisyCell.TimelyRatio(),
		"guilty":         result.NoisyTenant.TimelyRatio(),
		"timely":         all.TimelyRatio(),
		"asked":          float64(all.Operations),
		"refused":        ratio(all.Rejected, all.Operations),
		"failed":         ratio(all.Failed, all.Operations),
		"attempts":       float64(result.Attempts),
		"attemptsEach":   ratio(result.Attempts, result.Requests),
		"hits":           result.HitRatio(),
		"originMb":       result.OriginKB / 1000,
		"fillMb":         result.FillKB / 1000,
		"touched":        result.SharedCacheFraction,
		"largest":        slices.Min(result.LargestServedRatio[:]),
		"next":           slices.Min(result.NextLargestServedRatio[:]),
		"words":          float64(result.Datagrams),
		"wordPrice":      price,
		"events":         float64(result.Events),
		violationsFigure: float64(result.ViolationCount()),
	}
}

// latencyFigures returns the latency quantiles. The emulator's order of classes is video, catalogue, reports.
func latencyFigures(result *emulator.Result) map[string]float64 {
	return map[string]float64{
		"p50VideoMs":     result.P50Millis[0],
		"p99VideoMs":     result.P99Millis[0],
		"p50CatalogueMs": result.P50Millis[1],
		"p99CatalogueMs": result.P99Millis[1],
		"p99ReportMs":    result.P99Millis[2],
	}
}

// originFigures returns the additional figures of worlds with hubs: load of the origin, load of caches in warm-up,
// unfinished requests, and the timely ratio at the end of the day.
func originFigures(result *emulator.Result) map[string]float64 {
	return map[string]float64{
		"originMost":  result.MaxOriginLoad,
		"originOverS": result.OriginOverloadSeconds,
		"coldMost":    result.MaxWarmUpLoad,
		"coldShare":   result.MaxWarmUpLoadPerRouter,
		"unanswered":  float64(result.Unanswered),
		"unended":     float64(result.Unfinished),
		"end":         result.TimelyRatioAtEnd(endSeconds),
	}
}

// migrationFigures returns the additional figures of runs with migrations.
func migrationFigures(cfg *emulator.Config, result *emulator.Result) map[string]float64 {
	return map[string]float64{
		"movers":        result.Migrated.TimelyRatio(),
		"stayers":       result.NotMigrated.TimelyRatio(),
		"moversRefused": ratio(result.Migrated.Rejected, result.Migrated.Operations),
		"coldMost":      result.MaxWarmUpLoad,
		"coldShare":     result.MaxWarmUpLoadPerRouter,
		"cellFill":      result.MaxCellFill,
		"cellBusy":      result.MaxCellUtilization,
		"spread":        result.MaxMigrationSpread,
		"doneS":         result.MigratedAtSeconds,
		"endS":          cfg.MigrationEndSeconds,
		"moved":         float64(result.Admission.Migrated),
		"kept":          float64(result.Admission.KeptInSource),
		"unanswered":    float64(result.Unanswered),
		"unended":       float64(result.Unfinished),
	}
}

// addReleaseFigures adds the figures of a day with a release, calculated over all worlds of the day.
func (r *Run) addReleaseFigures(cfg *emulator.Config, worlds []emulator.Result) {
	opensAtSeconds := cfg.Release.Rollout.Rings[0].OpensAt / 1000
	stopped, passed := 0.0, 0.0 // counts of worlds
	violations := 0.0
	// seconds from the opening of the first ring to the stop, summed over the worlds in which a router stopped the
	// release
	stopSeconds := 0.0
	var answers, pending, early, rolledBack int64
	for i := range worlds {
		world := &worlds[i]
		switch {
		case world.RoutersStopped > 0:
			stopped++
			stopSeconds += world.StoppedAtSeconds - opensAtSeconds
		case world.RoutersPassed > 0:
			passed++
		}
		violations += float64(world.ViolationCount())
		answers += world.ReleaseAnswers
		pending += world.PendingAnswers
		early += world.EarlyAnswers
		rolledBack += world.RolledBackAnswers
	}
	if cfg.Release.ReplacesObjects {
		r.Figures["renewed"] = float64(answers)
		r.Figures["restored"] = float64(rolledBack)
		r.Figures["early"] = roundFigure(ratio(early, pending)) // fraction of responses in cells without the release
	}
	count := float64(len(worlds))
	r.Figures["worlds"] = count
	r.Figures["stopped"] = roundFigure(stopped / count)
	r.Figures["passed"] = roundFigure(passed / count)
	r.Figures["unsure"] = roundFigure((count - stopped - passed) / count)
	r.Figures["foundS"] = roundFigure(stopSeconds / max(stopped, 1))
	r.Figures[violationsFigure] = violations
}
