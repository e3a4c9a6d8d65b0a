package lab

import (
	"runtime"

	"golang.org/x/sync/errgroup"

	"spantack/emulator"
)

// runTopologyTrial runs a trial of topologies, with one run for each guard against cycles.
func (e *Experiment) runTopologyTrial(size string, seed uint64, progress func(done, all int)) (*Outcome, error) {
	trial, known := e.TopologyTrials[size]
	if !known {
		return nil, unknownSize(size)
	}
	result, err := trial.Run(seed)
	if err != nil {
		return nil, err
	}
	if progress != nil {
		progress(1, 1)
	}
	var runs []Run
	for _, guard := range sortedKeys(result.ByGuard) {
		outcomes := result.ByGuard[guard]
		fills := float64(max(result.Fills, 1))
		runs = append(runs, Run{Arm: guard, Day: "changes", Figures: map[string]float64{
			"valid":        float64(result.Valid),
			"validRefused": float64(result.ValidRejected),
			"planted":      float64(result.WithLoop),
			"plantedTaken": float64(result.LoopsAccepted),
			"misnamed":     float64(result.LoopsMisreported),
			"fills":        float64(result.Fills),
			"twice":        float64(outcomes.Revisits),
			"served":       roundFigure(float64(outcomes.Served) / fills),
			"stuck":        roundFigure(float64(outcomes.Stuck) / fills),
			"hops":         roundFigure(float64(outcomes.Hops) / fills),
		}})
	}
	return e.newOutcome(size, seed, runs)
}

// runOriginLimitTrial runs a trial of limits at the origin, with one run for each arm and day.
func (e *Experiment) runOriginLimitTrial(size string, seed uint64, progress func(done, all int)) (*Outcome, error) {
	trial, known := e.OriginLimitTrials[size]
	if !known {
		return nil, unknownSize(size)
	}
	run := func(arm Arm, day Day) (*emulator.OriginLimitResult, error) {
		armTrial := trial
		armTrial.Algorithm = arm.Algorithm
		armTrial.Burst = arm.Burst
		armTrial.BrownoutCapacity = day.BrownoutCapacity
		armTrial.BrownoutStartSeconds = day.BrownoutStartSeconds
		armTrial.BrownoutDurationSeconds = day.BrownoutDurationSeconds
		armTrial.FailedFraction = day.FailedFraction
		armTrial.FailureSeconds = day.FailureSeconds
		return armTrial.Run(seed)
	}
	runs, err := runTrial(e, run, originLimitFigures)
	if err != nil {
		return nil, err
	}
	if progress != nil {
		progress(len(runs), len(runs))
	}
	return e.newOutcome(size, seed, runs)
}

// originLimitFigures returns the figures of a trial of limits at the origin.
func originLimitFigures(result *emulator.OriginLimitResult) map[string]float64 {
	operations := float64(max(result.Operations, 1))
	return map[string]float64{
		"wanted":   float64(result.Operations),
		"served":   roundFigure(float64(result.Served) / operations),
		"sentEach": roundFigure(float64(result.Sent) / operations),
		"turned":   roundFigure(float64(result.Rejected) / operations),
		"reports":  roundFigure(float64(result.ReportsServed) / float64(max(result.Reports, 1))),
		"outMost":  roundFigure(result.MaxInFlight),
		"overS":    roundFigure(result.OverloadSeconds),
		"settleS":  roundFigure(result.SettleSeconds),
		"backS":    roundFigure(result.RecoverySeconds),
		"before":   roundFigure(result.ServedBefore),
		"low":      roundFigure(result.ServedDuring),
		"end":      roundFigure(result.ServedAtEnd),
	}
}

// runFleetLimitTrial runs a trial of a limit shared by a fleet, with one run for each arm and day.
func (e *Experiment) runFleetLimitTrial(size string, seed uint64, progress func(done, all int)) (*Outcome, error) {
	trial, known := e.FleetLimitTrials[size]
	if !known {
		return nil, unknownSize(size)
	}
	run := func(arm Arm, day Day) (*emulator.FleetLimitResult, error) {
		armTrial := trial
		armTrial.Method = arm.Method
		armTrial.Partitions = day.Partitions
		armTrial.PartitionSeconds = day.PartitionSeconds
		armTrial.PartitionDurationSeconds = day.PartitionDurationSeconds
		armTrial.FailedFraction = day.FailedFraction
		armTrial.LossRatio += day.ExtraLossRatio
		return armTrial.Run(seed)
	}
	runs, err := runTrial(e, run, fleetLimitFigures)
	if err != nil {
		return nil, err
	}
	if progress != nil {
		progress(len(runs), len(runs))
	}
	return e.newOutcome(size, seed, runs)
}

// fleetLimitFigures returns the figures of a trial of a limit shared by a fleet.
func fleetLimitFigures(result *emulator.FleetLimitResult) map[string]float64 {
	return map[string]float64{
		"over":    roundFigure(result.MaxGranted),
		"overS":   roundFigure(result.OverLimitSeconds),
		"use":     roundFigure(result.Utilization),
		"cutUse":  roundFigure(result.PartitionUtilization),
		"bytes":   roundFigure(result.BytesPerSecond),
		"regainS": roundFigure(result.RecoverySeconds),
	}
}

// runTrial runs a trial for each arm on each day, GOMAXPROCS of them at a time, and returns the runs with their
// figures.
func runTrial[R any](e *Experiment, run func(Arm, Day) (R, error), figures func(R) map[string]float64) ([]Run, error) {
	runs := e.newRuns()
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for i := range runs {
		group.Go(func() error {
			result, err := run(e.Arms[runs[i].Arm], e.Days[runs[i].Day])
			if err == nil {
				runs[i].Figures = figures(result)
			}
			return err
		})
	}
	return runs, group.Wait()
}
