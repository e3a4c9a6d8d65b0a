package scenario

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"time"

	"spantack/core/lease"
	"spantack/lab/process"
)

const (
	// edgeCacheCount and parentCount are the numbers of caches in every scenario. There are three parents because
	// verdicts eject at most a third of them.
	edgeCacheCount = 4
	parentCount    = 3
	// fleetElectors is the number of routers that elect the lease holder of the fleet in a lease tree.
	fleetElectors = 5
)

// Options are the parameters of a run of a scenario.
type Options struct {
	Routers      int
	Seed         uint64 // of the load and of random datagram faults
	RouterBinary string // path of the router binary; empty: Run builds it
	// OnStep, if not nil, is called before each step. done is the number of completed steps.
	OnStep func(step string, done, all int)
}

// player is a running scenario.
type player struct {
	*Scenario
	options    Options
	deployment *process.Deployment
	result     *Result
	startedAt  time.Time
	killed     []int      // ranks of the killed routers
	unfrozen   chan error // receives the error of Router.Freeze when a frozen router resumes; nil: none is frozen
}

// Run runs the scenario. The error is a failure of the deployment; unmet conditions of steps are in the result.
func (s *Scenario) Run(ctx context.Context, options Options) (*Result, error) {
	limit := s.OriginFillsPerRouter * float64(options.Routers)
	features, err := s.features(options.Routers, limit)
	if err != nil {
		return nil, err
	}
	deployment, err := process.Start(ctx, process.Options{
		Routers:           options.Routers,
		Sites:             s.Sites,
		EdgeCaches:        edgeCacheCount,
		Parents:           parentCount,
		Features:          features,
		ResponseDelay:     millis(s.CacheDelayMillis),
		RouterBinary:      options.RouterBinary,
		HasGossip:         features != "",
		GossipSeed:        options.Seed,
		HasDiscoveryRelay: true,
	})
	if err != nil {
		return nil, err
	}
	p := &player{
		Scenario:   s,
		options:    options,
		deployment: deployment,
		startedAt:  time.Now(),
		result: &Result{
			Scenario: s.Name,
			Routers:  options.Routers,
			Seed:     options.Seed,
			Limit:    int(limit),
			FloorSum: int(math.Round(limit * s.FloorShare)),
		},
	}
	err = p.run(ctx)
	return p.result, errors.Join(err, deployment.Stop())
}

// features returns the text of the routers' features file; empty if the scenario needs none.
func (s *Scenario) features(routers int, limit float64) (string, error) {
	if s.OriginFillsPerRouter == 0 && !s.HasVerdicts {
		return "", nil
	}
	fleet := map[string]any{"enabled": true, "asks": limit, "floor": s.FloorShare, "verdicts": s.HasVerdicts}
	if s.GroupSize > 0 {
		fleet["tree"] = s.leaseTopology(routers)
	}
	text, err := json.Marshal(map[string]any{"fleet": fleet})
	return string(text), err
}

// leaseTopology returns the lease tree of the scenario. Groups have neighbouring ranks, and the electors are spread
// evenly over the ranks.
func (s *Scenario) leaseTopology(routers int) lease.Topology {
	topology := lease.Topology{Routers: routers, GroupSizes: []int{s.GroupSize}}
	for i := range fleetElectors {
		topology.Electors = append(topology.Electors, i*routers/fleetElectors)
	}
	return topology
}

// run runs the steps under load, and then adds the request totals to the result.
func (p *player) run(ctx context.Context) error {
	if p.deployment.Mesh != nil {
		if err := p.setConditions(&p.Conditions); err != nil {
			return err
		}
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	done := make(chan error, 1)
	var load *process.LoadResult
	go func() {
		var err error
		load, err = p.deployment.RunLoad(loadCtx, p.load())
		done <- err
	}()
	for i := range p.Steps {
		step := &p.Steps[i]
		if p.options.OnStep != nil {
			p.options.OnStep(step.Name, i, len(p.Steps))
		}
		if err := p.runStep(ctx, step); err != nil {
			return fmt.Errorf("%s: %w", step.Name, err)
		}
	}
	stopLoad()
	if err := <-done; err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	p.addTotals(load.Total())
	return nil
}

// load returns an endless load of requests for random objects. The objects are almost always different. Therefore
// almost every request needs a fill.
func (p *player) load() process.Load {
	return process.Load{
		Seed:             p.options.Seed,
		Requests:         math.MaxInt32,
		Interval:         millis(p.RequestIntervalMillis),
		ConnsPerRouter:   2,
		Families:         1,
		ObjectsPerFamily: math.MaxInt32,
		Reconnects:       true,
	}
}

// addTotals adds the request totals, overlaps and datagram sizes to the result.
func (p *player) addTotals(total process.Tally) {
	p.result.Served = total.Served
	p.result.Rejected = total.Rejected
	p.result.Failed = total.Failed
	p.result.Lost = total.Lost
	p.result.WrongBody = total.WrongBody
	p.result.Overlaps = len(p.deployment.RequestLog.Overlaps())
	if p.deployment.Mesh != nil {
		p.result.MaxDatagramBytes = p.deployment.Mesh.Counts().MaxBytes
	}
}

// millis and seconds convert numbers in scenario files to durations.
func millis(n float64) time.Duration  { return time.Duration(n * float64(time.Millisecond)) }
func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
