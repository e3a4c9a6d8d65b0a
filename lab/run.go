package lab

import (
	"fmt"
	"maps"
	"runtime"
	"slices"

	"golang.org/x/sync/errgroup"

	"spantack/emulator"
)

// worldSeedFactor separates the seeds of worlds on days with several worlds. World i of a day has the seed
// worldSeedFactor * (seed of the experiment) + i.
const worldSeedFactor = 1_000_003

// Run runs all arms on all days concurrently. progress, if not nil, is called from one goroutine after each world.
func (e *Experiment) Run(size string, seed uint64, progress func(done, all int)) (*Outcome, error) {
	switch {
	case e.TopologyTrials != nil:
		return e.runTopologyTrial(size, seed, progress)
	case e.OriginLimitTrials != nil:
		return e.runOriginLimitTrial(size, seed, progress)
	case e.FleetLimitTrials != nil:
		return e.runFleetLimitTrial(size, seed, progress)
	}
	runs := e.newRuns()
	worlds := newWorldSet(e, size, seed, runs)
	if err := worlds.runAll(progress); err != nil {
		return nil, err
	}
	for i := range runs {
		results := worlds.results[i]
		runs[i].addWorldFigures(&worlds.configs[i], &results[0])
		if len(results) > 1 {
			runs[i].addReleaseFigures(&worlds.configs[i], results)
		}
	}
	return e.newOutcome(size, seed, runs)
}

// newRuns returns a run without figures for each arm on each day.
func (e *Experiment) newRuns() (runs []Run) {
	for _, arm := range sortedKeys(e.Arms) {
		for _, day := range sortedKeys(e.Days) {
			runs = append(runs, Run{Arm: arm, Day: day})
		}
	}
	return runs
}

// sortedKeys returns the keys of a map, sorted.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// worldSet is the emulated worlds of all runs: one per run, or several on days that set Day.Worlds.
type worldSet struct {
	experiment *Experiment
	size       string
	seed       uint64
	runs       []Run

	configs []emulator.Config   // of the first world of each run
	results [][]emulator.Result // by run, then by world
}

// newWorldSet prepares the worlds of runs.
func newWorldSet(e *Experiment, size string, seed uint64, runs []Run) *worldSet {
	set := &worldSet{
		experiment: e,
		size:       size,
		seed:       seed,
		runs:       runs,
		configs:    make([]emulator.Config, len(runs)),
		results:    make([][]emulator.Result, len(runs)),
	}
	for i, run := range runs {
		set.results[i] = make([]emulator.Result, max(e.Days[run.Day].Worlds.forSize(size), 1))
	}
	return set
}

// runAll runs all worlds, GOMAXPROCS of them at a time.
func (set *worldSet) runAll(progress func(done, all int)) error {
	all := 0
	for _, results := range set.results {
		all += len(results)
	}
	ended := make(chan struct{}, all)
	go reportProgress(ended, all, progress)
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for run, results := range set.results {
		for world := range results {
			group.Go(func() error {
				defer func() { ended <- struct{}{} }()
				return set.runWorld(run, world)
			})
		}
	}
	return group.Wait()
}

// reportProgress calls progress, if not nil, for each of all worlds as it ends.
func reportProgress(ended <-chan struct{}, all int, progress func(done, all int)) {
	for i := range all {
		<-ended
		if progress != nil {
			progress(i+1, all)
		}
	}
}

// runWorld runs one world of a run and stores its result.
func (set *worldSet) runWorld(run, world int) error {
	e := set.experiment
	arm, day := set.runs[run].Arm, set.runs[run].Day
	cfg, err := e.configure(set.size, set.worldSeed(run, world), e.Arms[arm], e.Days[day])
	if err != nil {
		return err
	}
	w, err := emulator.New(cfg)
	if err != nil {
		return fmt.Errorf("%s/%s: %w", arm, day, err)
	}
	if cfg.Flood == nil && cfg.Poison == nil && e.WatchedTenant >= 0 {
		w.WatchTenant(e.WatchedTenant)
	}
	if world == 0 {
		set.configs[run] = cfg
	}
	set.results[run][world] = w.Run()
	return nil
}

// worldSeed returns the seed of a world of a run. On days with one world it is the experiment's seed. On days with
// several worlds it depends on the experiment's seed and the number of the world, but not on the arm or day. As a
// result, days with different releases have the same worlds.
func (set *worldSet) worldSeed(run, world int) uint64 {
	if len(set.results[run]) == 1 {
		return set.seed
	}
	return set.seed*worldSeedFactor + uint64(world)
}
