package lab

import (
	"cmp"
	"fmt"
	"runtime"

	"golang.org/x/sync/errgroup"

	"spantack/core/cells"
	"spantack/emulator"
)

// configure lays out the world of an arm on a day.
func (e *Experiment) configure(size string, seed uint64, arm Arm, day Day) (emulator.Config, error) {
	cfg, known := e.Sizes[size]
	if !known {
		return cfg, fmt.Errorf("size %q: there is none", size)
	}
	cfg.Seed, cfg.Flood, cfg.Poison, cfg.Faults, cfg.RateLimitFactor = seed, day.Flood, day.Poison, day.Faults, arm.RateLimitFactor
	cfg.MaxClockSkewMillis, cfg.CancelsAbandonedFetches, cfg.Gossip, cfg.HotObject = day.MaxClockSkewMillis, arm.CancelsAbandonedFetches, arm.Gossip, day.HotObject
	if arm.Deployment != nil {
		cfg.Deployment = arm.Deployment
	}
	if arm.OriginLimit != "" {
		cfg.OriginLimit = cfg.OriginLimitDocument(arm.OriginLimit, arm.ForgetsAbandonedFills)
	}
	if arm.TopologyStyle != "" {
		var err error
		if cfg.Topology, err = cfg.BuildTopology(arm.TopologyStyle); err != nil {
			return cfg, err
		}
	}
	// Tenants are counted by the cells that they would have, also where none are in force.
	count := arm.Cells.forSize(size)
	group := count
	for _, other := range sortedKeys(e.Arms) {
		group = cmp.Or(group, e.Arms[other].Cells.forSize(size))
	}
	if group == 0 {
		return cfg, nil
	}
	spec, groups := emulator.PlanCells(&cfg, group)
	cfg.CellByTenant = groups
	if count == 0 {
		return cfg, nil
	}
	spec.Scheme, spec.Width = cmp.Or(cells.Scheme(arm.Scheme), cells.SchemeFixed), arm.ShardWidth
	if spec.Scheme == cells.SchemeOverflow {
		addOverflowCell(spec)
	}
	cfg.Cells = spec
	if day.Release != nil {
		release := *day.Release
		cfg.Release = &release
	}
	if trip := arm.Migrations[size]; trip != nil {
		if err := cfg.PlanMigrations(trip); err != nil {
			return cfg, fmt.Errorf("trip: %w", err)
		}
	}
	return cfg, nil
}

// addOverflowCell sets an eighth of all caches apart for what cells have no room for.
func addOverflowCell(spec *cells.Spec) {
	for i := range spec.Cells {
		spec.Cells[i].Share *= 7.0 / 8
	}
	spec.Cells = append(spec.Cells, cells.Cell{Name: "spare", Share: 1.0 / 8})
	spec.OverflowCell = "spare"
}

// Run runs all arms on all days, some at once; tick is called after each.
func (e *Experiment) Run(size string, seed uint64, tick func(done, all int)) (*Outcome, error) {
	if e.TopologyTrials != nil {
		return e.runTopologyTrial(size, seed, tick)
	}
	if e.OriginLimitTrials != nil {
		return e.runOriginLimitTrial(size, seed, tick)
	}
	if e.FleetLimitTrials != nil {
		return e.runFleetLimitTrial(size, seed, tick)
	}
	runs := e.newRuns()
	type world struct{ run, nth int }
	var all []world
	results := make([][]emulator.Result, len(runs))
	for i := range runs {
		n := max(e.Days[runs[i].Day].Worlds.forSize(size), 1)
		results[i] = make([]emulator.Result, n)
		for nth := range n {
			all = append(all, world{i, nth})
		}
	}
	done := make(chan struct{}, len(all))
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	go func() {
		for i := range all {
			<-done
			if tick != nil {
				tick(i+1, len(all))
			}
		}
	}()
	configs := make([]emulator.Config, len(runs))
	for _, at := range all {
		group.Go(func() error {
			defer func() { done <- struct{}{} }()
			r := &runs[at.run]
			own := seed
			if len(results[at.run]) > 1 { // of each world its own, the same on days that differ in the release alone
				own = seed*1_000_003 + uint64(at.nth)
			}
			cfg, err := e.configure(size, own, e.Arms[r.Arm], e.Days[r.Day])
			if err != nil {
				return err
			}
			w, err := emulator.New(cfg)
			if err != nil {
				return fmt.Errorf("%s/%s: %w", r.Arm, r.Day, err)
			}
			if cfg.Flood == nil && cfg.Poison == nil && e.WatchedTenant >= 0 {
				w.WatchTenant(e.WatchedTenant)
			}
			if at.nth == 0 {
				configs[at.run] = cfg
			}
			results[at.run][at.nth] = w.Run()
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	for i := range runs {
		runs[i].addWorldFigures(&configs[i], &results[i][0])
		if len(results[i]) > 1 {
			runs[i].addReleaseFigures(&configs[i], results[i])
		}
	}
	return e.newOutcome(size, seed, runs)
}

// newRuns is each arm on each day, with nothing in it yet.
func (e *Experiment) newRuns() (runs []Run) {
	for _, arm := range sortedKeys(e.Arms) {
		for _, day := range sortedKeys(e.Days) {
			runs = append(runs, Run{Arm: arm, Day: day})
		}
	}
	return runs
}

// newOutcome holds runs against the claims.
func (e *Experiment) newOutcome(size string, seed uint64, runs []Run) (*Outcome, error) {
	o := &Outcome{Experiment: e.Name, Size: size, Seed: seed, Runs: runs}
	for _, c := range e.Claims {
		v, err := o.evaluate(c)
		if err != nil {
			return nil, err
		}
		o.Claims = append(o.Claims, v)
	}
	return o, nil
}
