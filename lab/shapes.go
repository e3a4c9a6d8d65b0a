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
	for _, guard := range sorted(res.ByGuard) {
		w := res.ByGuard[guard]
		n := float64(max(res.Fills, 1))
		runs = append(runs, Run{Arm: guard, Day: "changes", Figures: map[string]float64{
			"valid": float64(res.Valid), "validRefused": float64(res.ValidRejected), "planted": float64(res.WithLoop), "plantedTaken": float64(res.LoopsAccepted),
			"misnamed": float64(res.LoopsMisreported), "fills": float64(res.Fills), "twice": float64(w.Revisits), "served": round(float64(w.Served) / n),
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
	results := make([]*emulator.OriginLimitResult, len(runs))
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for i := range runs {
		group.Go(func() (err error) {
			t, arm, day := trial, e.Arms[runs[i].Arm], e.Days[runs[i].Day]
			t.Algorithm, t.Burst = arm.Law, arm.Burst
			t.BrownoutCapacity, t.BrownoutStartSeconds, t.BrownoutDurationSeconds, t.FailedFraction, t.FailureSeconds = day.Low, day.LowFromS, day.LowForS, day.DeadPart, day.DeadAtS
			results[i], err = t.Run(seed)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	for i, r := range results {
		runs[i].Figures = map[string]float64{"wanted": float64(r.Operations), "served": round(float64(r.Served) / float64(max(r.Operations, 1))),
			"sentEach": round(float64(r.Sent) / float64(max(r.Operations, 1))), "turned": round(float64(r.Rejected) / float64(max(r.Operations, 1))),
			"reports": round(float64(r.ReportsServed) / float64(max(r.Reports, 1))), "outMost": round(r.MaxInFlight), "overS": round(r.OverloadSeconds), "settleS": round(r.SettleSeconds),
			"backS": round(r.RecoverySeconds), "before": round(r.ServedBefore), "low": round(r.ServedDuring), "end": round(r.ServedAtEnd)}
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
	results := make([]*emulator.FleetLimitResult, len(runs))
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for i := range runs {
		group.Go(func() (err error) {
			t, day := trial, e.Days[runs[i].Day]
			t.Method, t.Partitions, t.PartitionSeconds, t.PartitionDurationSeconds, t.FailedFraction = e.Arms[runs[i].Arm].Way, day.Parts, day.CutS, day.CutForS, day.DeadPart
			t.LossRatio += day.Loss
			results[i], err = t.Run(seed)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	for i, r := range results {
		runs[i].Figures = map[string]float64{"over": round(r.MaxGranted), "overS": round(r.OverLimitSeconds), "use": round(r.Utilization), "cutUse": round(r.PartitionUtilization), "bytes": round(r.BytesPerSecond),
			"regainS": round(r.RecoverySeconds)}
	}
	if tick != nil {
		tick(len(runs), len(runs))
	}
	return e.outcome(size, seed, runs)
}
