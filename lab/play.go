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
	cfg.Seed, cfg.Flood, cfg.Poison, cfg.Faults, cfg.RateLimitFactor = seed, day.Flood, day.Poison, day.Faults, arm.Limit
	cfg.MaxClockSkewMillis, cfg.CancelsAbandonedFetches, cfg.Gossip, cfg.HotObject = day.SkewMs, arm.DropFetches, arm.Talk, day.Hot
	if arm.Site != nil {
		cfg.Deployment = arm.Site
	}
	if arm.Shield != "" {
		cfg.OriginLimit = cfg.OriginLimitDocument(arm.Shield, arm.Forget)
	}
	if arm.Shape != "" {
		var err error
		if cfg.Topology, err = cfg.BuildTopology(arm.Shape); err != nil {
			return cfg, err
		}
	}
	// Tenants are counted by the cells that they would have, also where none are in force.
	count := arm.Cells.of(size)
	group := count
	for _, other := range sorted(e.Arms) {
		group = cmp.Or(group, e.Arms[other].Cells.of(size))
	}
	if group == 0 {
		return cfg, nil
	}
	spec, groups := emulator.PlanCells(&cfg, group)
	cfg.CellByTenant = groups
	if count == 0 {
		return cfg, nil
	}
	spec.Scheme, spec.Width = cmp.Or(cells.Scheme(arm.Scheme), cells.SchemeFixed), arm.Width
	if spec.Scheme == cells.SchemeOverflow {
		overflow(spec)
	}
	cfg.Cells = spec
	if day.Release != nil {
		release := *day.Release
		cfg.Release = &release
	}
	if trip := arm.Trip[size]; trip != nil {
		if err := cfg.PlanMigrations(trip); err != nil {
			return cfg, fmt.Errorf("trip: %w", err)
		}
	}
	return cfg, nil
}

// overflow sets an eighth of all caches apart for what cells have no room for.
func overflow(spec *cells.Spec) {
	for i := range spec.Cells {
		spec.Cells[i].Share *= 7.0 / 8
	}
	spec.Cells = append(spec.Cells, cells.Cell{Name: "spare", Share: 1.0 / 8})
	spec.OverflowCell = "spare"
}

// Play runs all arms on all days, some at once; tick is called after each.
func (e *Experiment) Play(size string, seed uint64, tick func(done, all int)) (*Outcome, error) {
	if e.Shapes != nil {
		return e.shapes(size, seed, tick)
	}
	if e.Shield != nil {
		return e.shields(size, seed, tick)
	}
	if e.Tier != nil {
		return e.tiers(size, seed, tick)
	}
	runs := e.runs()
	type world struct{ run, nth int }
	var all []world
	results := make([][]emulator.Result, len(runs))
	for i := range runs {
		n := max(e.Days[runs[i].Day].Worlds.of(size), 1)
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
			if cfg.Flood == nil && cfg.Poison == nil && e.Watch >= 0 {
				w.WatchTenant(e.Watch)
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
		runs[i].take(&configs[i], &results[i][0])
		if len(results[i]) > 1 {
			runs[i].releases(&configs[i], results[i])
		}
	}
	return e.outcome(size, seed, runs)
}

// runs is each arm on each day, with nothing in it yet.
func (e *Experiment) runs() (runs []Run) {
	for _, arm := range sorted(e.Arms) {
		for _, day := range sorted(e.Days) {
			runs = append(runs, Run{Arm: arm, Day: day})
		}
	}
	return runs
}

// outcome holds runs against the claims.
func (e *Experiment) outcome(size string, seed uint64, runs []Run) (*Outcome, error) {
	o := &Outcome{Experiment: e.Name, Size: size, Seed: seed, Runs: runs}
	for _, c := range e.Claims {
		v, err := o.judge(c)
		if err != nil {
			return nil, err
		}
		o.Claims = append(o.Claims, v)
	}
	return o, nil
}
