package lab

import (
	"math"
	"slices"

	"spantack/core/cells"
	"spantack/emulator"
)

// round keeps figures short and free of the last bits.
func round(x float64) float64 { return math.Round(x*1e5) / 1e5 }

// endSpan is how many of a day's last seconds count for how it ends.
const endSpan = 15

// wordPrice is the platform's for 256 bytes of datagrams a request, in parts of the result.
const wordPrice = 0.0075

func (r *Run) take(cfg *emulator.Config, res *emulator.Result) {
	all := res.Others()
	all = all.Plus(res.Cell())
	r.Broken = res.Broken
	r.Figures = map[string]float64{"others": res.Others().Share(), "cell": res.Cell().Share(), "guilty": res.Guilty.Share(),
		"timely": all.Share(), "hits": res.HitShare(), "touched": res.Touched, "originMb": res.OriginKb / 1000, "fillMb": res.FillKb / 1000,
		"refused": float64(all.Refused) / max(float64(all.Asked), 1), "failed": float64(all.Failed) / max(float64(all.Asked), 1),
		"asked": float64(all.Asked), "attempts": float64(res.Attempts), "attemptsEach": float64(res.Attempts) / max(float64(res.Requests), 1), "events": float64(res.Events), "broken": float64(res.BrokenRules()),
		"p50VideoMs": res.P50Ms[0], "p99VideoMs": res.P99Ms[0], "p50CatalogueMs": res.P50Ms[1], "p99CatalogueMs": res.P99Ms[1],
		"p99ReportMs": res.P99Ms[2], "largest": slices.Min(res.Largest[:]), "next": slices.Min(res.Next[:])}
	if cfg.Hubs > 0 {
		r.Figures["originMost"], r.Figures["originOverS"], r.Figures["coldMost"] = res.OriginMost, res.OriginOverS, res.ColdMost
		r.Figures["coldShare"], r.Figures["unanswered"], r.Figures["unended"] = res.ColdShare, float64(res.Overdue), float64(res.Unended)
		r.Figures["end"] = res.End(endSpan)
	}
	r.Figures["words"] = float64(res.Words)
	r.Figures["wordPrice"] = wordPrice * float64(res.WordBytes) / 256 / max(float64(res.Requests), 1)
	if len(cfg.Movers) > 0 {
		for name, v := range map[string]float64{"movers": res.Movers.Share(), "stayers": res.Stayers.Share(), "coldMost": res.ColdMost,
			"coldShare": res.ColdShare, "cellFill": res.CellFill, "cellBusy": res.CellBusy, "spread": res.Spread, "doneS": res.DoneS, "moved": float64(res.Gate.Migrated), "kept": float64(res.Gate.Deferred),
			"unanswered": float64(res.Overdue), "unended": float64(res.Unended), "endS": cfg.EndS, "moversRefused": float64(res.Movers.Refused) / max(float64(res.Movers.Asked), 1)} {
			r.Figures[name] = v
		}
	}
	for why, n := range res.Gate.Rejected {
		if n > 0 {
			r.Figures["gate "+cells.Reason(why).String()] = float64(n)
		}
	}
	for name, v := range r.Figures {
		r.Figures[name] = round(v)
	}
	for _, s := range res.Seconds {
		if s.Others.Offered > 0 {
			r.Seconds = append(r.Seconds, round(s.Others.Share()))
		}
	}
}

// releases sums up the worlds of a day with a release.
func (r *Run) releases(cfg *emulator.Config, all []emulator.Result) {
	stopped, passed, broken, sum := 0.0, 0.0, 0.0, 0.0
	var renewed, held, early, restored int64
	for i := range all {
		if all[i].Stopped > 0 {
			stopped++
			sum += all[i].StoppedS - cfg.Release.Stage.Rings[0].OpensAt/1000
		}
		if all[i].Stopped == 0 && all[i].Passed > 0 {
			passed++
		}
		broken += float64(all[i].BrokenRules())
		renewed, held = renewed+all[i].Renewed, held+all[i].Held
		early, restored = early+all[i].Early, restored+all[i].Restored
	}
	if cfg.Release.Renews { // answers with its objects, and in cells that have not got it the part that was new
		r.Figures["renewed"], r.Figures["restored"] = float64(renewed), float64(restored)
		r.Figures["early"] = round(float64(early) / float64(max(held, 1)))
	}
	n := float64(len(all))
	r.Figures["worlds"], r.Figures["stopped"], r.Figures["passed"], r.Figures["broken"] = n, round(stopped/n), round(passed/n), broken
	r.Figures["unsure"] = round((n - stopped - passed) / n)
	r.Figures["foundS"] = round(sum / max(stopped, 1))
}
