package lab

import (
	"fmt"
	"runtime"

	"golang.org/x/sync/errgroup"

	"spantack/emulator"
)

// shapes plays a trial of shapes: one run for each guard against circles.
func (e *Experiment) shapes(size string, seed uint64, tick func(done, all int)) (*Outcome, error) {
	trial, known := e.Shapes[size]
	if !known {
		return nil, fmt.Errorf("size %q: there is none", size)
	}
	res, err := trial.Run(seed)
	if err != nil {
		return nil, err
	}
	if tick != nil {
		tick(1, 1)
	}
	var runs []Run
	for _, guard := range sorted(res.Ways) {
		w := res.Ways[guard]
		n := float64(max(res.Fills, 1))
		runs = append(runs, Run{Arm: guard, Day: "changes", Figures: map[string]float64{
			"valid": float64(res.Valid), "validRefused": float64(res.ValidRefused), "planted": float64(res.Planted), "plantedTaken": float64(res.PlantedTaken),
			"misnamed": float64(res.Misnamed), "fills": float64(res.Fills), "twice": float64(w.Twice), "served": round(float64(w.Served) / n),
			"stuck": round(float64(w.Stuck) / n), "hops": round(float64(w.Hops) / n)}})
	}
	return e.outcome(size, seed, runs)
}

// shields plays a trial of limits: each arm on each day.
func (e *Experiment) shields(size string, seed uint64, tick func(done, all int)) (*Outcome, error) {
	trial, known := e.Shield[size]
	if !known {
		return nil, fmt.Errorf("size %q: there is none", size)
	}
	runs := e.runs()
	results := make([]*emulator.ShieldResult, len(runs))
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for i := range runs {
		group.Go(func() (err error) {
			t, arm, day := trial, e.Arms[runs[i].Arm], e.Days[runs[i].Day]
			t.Law, t.Burst = arm.Law, arm.Burst
			t.LowPart, t.LowFromS, t.LowForS, t.DeadPart, t.DeadAtS = day.Low, day.LowFromS, day.LowForS, day.DeadPart, day.DeadAtS
			results[i], err = t.Run(seed)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	for i, r := range results {
		runs[i].Figures = map[string]float64{"wanted": float64(r.Wanted), "served": round(float64(r.Served) / float64(max(r.Wanted, 1))),
			"sentEach": round(float64(r.Sent) / float64(max(r.Wanted, 1))), "turned": round(float64(r.Turned) / float64(max(r.Wanted, 1))),
			"reports": round(float64(r.ReportsOK) / float64(max(r.Reports, 1))), "outMost": round(r.OutMost), "overS": round(r.OverS), "settleS": round(r.SettleS),
			"backS": round(r.BackS), "before": round(r.Before), "low": round(r.Low), "end": round(r.End)}
	}
	if tick != nil {
		tick(len(runs), len(runs))
	}
	return e.outcome(size, seed, runs)
}

// tiers plays a trial of a limit that a tier keeps together: each arm on each day.
func (e *Experiment) tiers(size string, seed uint64, tick func(done, all int)) (*Outcome, error) {
	trial, known := e.Tier[size]
	if !known {
		return nil, fmt.Errorf("size %q: there is none", size)
	}
	runs := e.runs()
	results := make([]*emulator.TierResult, len(runs))
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for i := range runs {
		group.Go(func() (err error) {
			t, day := trial, e.Days[runs[i].Day]
			t.Way, t.Parts, t.CutS, t.CutForS, t.DeadPart = e.Arms[runs[i].Arm].Way, day.Parts, day.CutS, day.CutForS, day.DeadPart
			t.Loss += day.Loss
			results[i], err = t.Run(seed)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	for i, r := range results {
		runs[i].Figures = map[string]float64{"over": round(r.Over), "overS": round(r.OverS), "use": round(r.Use), "cutUse": round(r.CutUse), "bytes": round(r.Bytes),
			"regainS": round(r.Regains)}
	}
	if tick != nil {
		tick(len(runs), len(runs))
	}
	return e.outcome(size, seed, runs)
}
