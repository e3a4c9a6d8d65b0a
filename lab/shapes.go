package lab

import (
	"fmt"
	"runtime"

	"golang.org/x/sync/errgroup"

	"spantack/emulator"
)

// runTopologyTrial plays a trial of shapes: one run for each guard against circles.
func (e *Experiment) runTopologyTrial(size string, seed uint64, tick func(done, all int)) (*Outcome, error) {
	trial, known := e.TopologyTrials[size]
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
	for _, guard := range sortedKeys(res.ByGuard) {
		w := res.ByGuard[guard]
		n := float64(max(res.Fills, 1))
		runs = append(runs, Run{Arm: guard, Day: "changes", Figures: map[string]float64{
			"valid": float64(res.Valid), "validRefused": float64(res.ValidRejected), "planted": float64(res.WithLoop), "plantedTaken": float64(res.LoopsAccepted),
			"misnamed": float64(res.LoopsMisreported), "fills": float64(res.Fills), "twice": float64(w.Revisits), "served": roundFigure(float64(w.Served) / n),
			"stuck": roundFigure(float64(w.Stuck) / n), "hops": roundFigure(float64(w.Hops) / n)}})
	}
	return e.newOutcome(size, seed, runs)
}

// runOriginLimitTrial plays a trial of limits: each arm on each day.
func (e *Experiment) runOriginLimitTrial(size string, seed uint64, tick func(done, all int)) (*Outcome, error) {
	trial, known := e.OriginLimitTrials[size]
	if !known {
		return nil, fmt.Errorf("size %q: there is none", size)
	}
	runs := e.newRuns()
	results := make([]*emulator.OriginLimitResult, len(runs))
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for i := range runs {
		group.Go(func() (err error) {
			t, arm, day := trial, e.Arms[runs[i].Arm], e.Days[runs[i].Day]
			t.Algorithm, t.Burst = arm.Algorithm, arm.Burst
			t.BrownoutCapacity, t.BrownoutStartSeconds, t.BrownoutDurationSeconds, t.FailedFraction, t.FailureSeconds = day.BrownoutCapacity, day.BrownoutStartSeconds, day.BrownoutDurationSeconds, day.FailedFraction, day.FailureSeconds
			results[i], err = t.Run(seed)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	for i, r := range results {
		runs[i].Figures = map[string]float64{"wanted": float64(r.Operations), "served": roundFigure(float64(r.Served) / float64(max(r.Operations, 1))),
			"sentEach": roundFigure(float64(r.Sent) / float64(max(r.Operations, 1))), "turned": roundFigure(float64(r.Rejected) / float64(max(r.Operations, 1))),
			"reports": roundFigure(float64(r.ReportsServed) / float64(max(r.Reports, 1))), "outMost": roundFigure(r.MaxInFlight), "overS": roundFigure(r.OverloadSeconds), "settleS": roundFigure(r.SettleSeconds),
			"backS": roundFigure(r.RecoverySeconds), "before": roundFigure(r.ServedBefore), "low": roundFigure(r.ServedDuring), "end": roundFigure(r.ServedAtEnd)}
	}
	if tick != nil {
		tick(len(runs), len(runs))
	}
	return e.newOutcome(size, seed, runs)
}

// runFleetLimitTrial plays a trial of a limit that a tier keeps together: each arm on each day.
func (e *Experiment) runFleetLimitTrial(size string, seed uint64, tick func(done, all int)) (*Outcome, error) {
	trial, known := e.FleetLimitTrials[size]
	if !known {
		return nil, fmt.Errorf("size %q: there is none", size)
	}
	runs := e.newRuns()
	results := make([]*emulator.FleetLimitResult, len(runs))
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for i := range runs {
		group.Go(func() (err error) {
			t, day := trial, e.Days[runs[i].Day]
			t.Method, t.Partitions, t.PartitionSeconds, t.PartitionDurationSeconds, t.FailedFraction = e.Arms[runs[i].Arm].Method, day.Partitions, day.PartitionSeconds, day.PartitionDurationSeconds, day.FailedFraction
			t.LossRatio += day.ExtraLossRatio
			results[i], err = t.Run(seed)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	for i, r := range results {
		runs[i].Figures = map[string]float64{"over": roundFigure(r.MaxGranted), "overS": roundFigure(r.OverLimitSeconds), "use": roundFigure(r.Utilization), "cutUse": roundFigure(r.PartitionUtilization), "bytes": roundFigure(r.BytesPerSecond),
			"regainS": roundFigure(r.RecoverySeconds)}
	}
	if tick != nil {
		tick(len(runs), len(runs))
	}
	return e.newOutcome(size, seed, runs)
}
