package scenario

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"gonum.org/v1/plot/plotter"

	"spantack/core/backoff"
	"spantack/core/lease"
	"spantack/lab/process"
	"spantack/standin/link"
)

// player is a scenario under way.
type player struct {
	*Scenario
	options    Options
	deployment *process.Deployment
	result     *Result
	startedAt  time.Time
	killed     []int
	unfrozen   chan error
}

// sampleInterval is how often the request log is looked at. It keeps the greatest number out between two looks itself.
const sampleInterval = 50 * time.Millisecond

// Run runs a scenario. Its error is of the rig; what fell short is in the result.
func (s *Scenario) Run(ctx context.Context, opt Options) (*Result, error) {
	limit := s.OriginFillsPerRouter * float64(opt.Routers)
	features := ""
	if s.OriginFillsPerRouter > 0 || s.HasVerdicts {
		text, err := json.Marshal(map[string]any{"fleet": s.fleetFeature(opt.Routers, limit)})
		if err != nil {
			return nil, err
		}
		features = string(text)
	}
	d, err := process.Start(ctx, process.Options{Routers: opt.Routers, Sites: s.Sites, EdgeCaches: 4, Parents: parentCount, HasGossip: features != "", HasDiscoveryRelay: true, GossipSeed: opt.Seed, RouterBinary: opt.RouterBinary,
		ResponseDelay: time.Duration(s.CacheDelayMillis * float64(time.Millisecond)), Features: features})
	if err != nil {
		return nil, err
	}
	p := &player{Scenario: s, options: opt, deployment: d, startedAt: time.Now(), result: &Result{Scenario: s.Name, Routers: opt.Routers, Seed: opt.Seed, Limit: int(limit),
		FloorSum: int(math.Round(limit * s.FloorShare))}}
	err = p.run(ctx)
	return p.result, errors.Join(err, d.Stop())
}

func (p *player) run(ctx context.Context) error {
	if p.deployment.Mesh != nil {
		if err := p.setConditions(&p.Conditions); err != nil {
			return err
		}
	}
	loading, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan error, 1)
	var rep *process.LoadResult
	go func() {
		var err error
		rep, err = p.deployment.RunLoad(loading, process.Load{Seed: p.options.Seed, Requests: math.MaxInt32, Interval: time.Duration(p.RequestIntervalMillis * float64(time.Millisecond)),
			ConnsPerRouter: 2, Families: 1, ObjectsPerFamily: math.MaxInt32, Reconnects: true})
		done <- err
	}()
	for i := range p.Steps {
		if p.options.OnStep != nil {
			p.options.OnStep(p.Steps[i].Name, i, len(p.Steps))
		}
		if err := p.runStep(ctx, &p.Steps[i]); err != nil {
			return fmt.Errorf("%s: %w", p.Steps[i].Name, err)
		}
	}
	stop()
	if err := <-done; err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	all := rep.Total()
	p.result.Served, p.result.Rejected, p.result.Failed, p.result.Lost, p.result.WrongBody = all.Served, all.Rejected, all.Failed, all.Lost, all.WrongBody
	p.result.Overlaps = len(p.deployment.RequestLog.Overlaps())
	if p.deployment.Mesh != nil {
		p.result.MaxDatagramBytes = p.deployment.Mesh.Counts().MaxBytes
	}
	return nil
}

// fleetElectors is how many routers elect the holder of the fleet in a tree.
const fleetElectors = 5

// fleetFeature is the section of the features file for a limit.
func (s *Scenario) fleetFeature(routers int, limit float64) map[string]any {
	feature := map[string]any{"enabled": true, "asks": limit, "floor": s.FloorShare, "verdicts": s.HasVerdicts}
	if s.GroupSize > 0 {
		feature["tree"] = s.leaseTopology(routers)
	}
	return feature
}

// leaseTopology is the tree of a scenario's leases: groups of neighbouring ranks, and electors in different groups.
func (s *Scenario) leaseTopology(routers int) lease.Topology {
	t := lease.Topology{Routers: routers, GroupSizes: []int{s.GroupSize}}
	for i := range fleetElectors {
		t.Electors = append(t.Electors, i*routers/fleetElectors)
	}
	return t
}

// setConditions puts network conditions in force.
func (p *player) setConditions(w *Conditions) error {
	ms := func(f float64) time.Duration { return time.Duration(f * float64(time.Millisecond)) }
	l := link.Conditions{LossRate: w.LossRate, DuplicateRate: w.DuplicateRate, Delay: ms(w.DelayMillis), Jitter: ms(w.JitterMillis)}
	if w.ContiguousPartitions > 1 {
		for rank := range p.options.Routers {
			l.PartitionByRank = append(l.PartitionByRank, rank*w.ContiguousPartitions/p.options.Routers)
		}
	}
	if w.InterleavedPartitions > 1 || w.Isolated != "" {
		l.PartitionByRank = make([]int, p.options.Routers)
		for i := range l.PartitionByRank {
			l.PartitionByRank[i] = i % max(w.InterleavedPartitions, 1)
		}
	}
	if w.Isolated != "" {
		holder, err := p.leaseHolder()
		if err != nil {
			return err
		}
		l.PartitionByRank[holder] = -1
	}
	return p.deployment.Mesh.SetConditions(l)
}

// runStep begins what a step is about and watches the request log until its end.
func (p *player) runStep(ctx context.Context, s *Step) error {
	if s.Conditions != nil {
		if err := p.setConditions(s.Conditions); err != nil {
			return err
		}
	}
	if err := p.injectFault(s); err != nil {
		return err
	}
	if s.RestartsKilled {
		for _, i := range p.killed {
			if err := p.deployment.Restart(ctx, i); err != nil {
				return err
			}
		}
		p.killed = nil
	}
	k := StepResult{Step: s.Name, Bound: p.result.Limit + s.LimitSlack, TookSeconds: s.DurationSeconds}
	dialled, _, _, _ := p.deployment.DiscoveryRelay.Counts()
	p.setDiscovery(s.Discovery)
	lost := p.deployment.Parents[0].Name()
	if s.KillsParent {
		p.deployment.KillParent(0)
	}
	_, before := p.deployment.RequestLog.OriginFills()
	begin, broke, flips := time.Now(), time.Now(), 0
	regained := false
	for time.Since(begin).Seconds() < s.DurationSeconds && !regained {
		if err := ctx.Err(); err != nil {
			return err
		}
		time.Sleep(sampleInterval)
		if s.Discovery == "breaks" && time.Since(broke) >= resetInterval {
			broke = time.Now()
			p.setDiscovery("cut")
			p.setDiscovery("open")
		}
		if s.MustReconnect {
			if _, open, _, _ := p.deployment.DiscoveryRelay.Counts(); open >= p.options.Routers-len(p.killed) {
				regained, k.TookSeconds = true, time.Since(begin).Seconds()
			}
		}
		out, _ := p.deployment.RequestLog.OriginFills()
		bound := p.result.Limit + s.LimitSlack
		if s.IsLimitedToFloors && time.Since(begin).Seconds() > s.SettleSeconds {
			bound = p.result.FloorSum
			k.Bound = bound
		}
		k.MaxInFlight = max(k.MaxInFlight, out)
		at := time.Since(p.startedAt).Seconds()
		p.result.inFlightCurve, p.result.boundCurve = append(p.result.inFlightCurve, plotter.XY{X: at, Y: float64(out)}), append(p.result.boundCurve, plotter.XY{X: at, Y: float64(bound)})
		if p.OriginFillsPerRouter > 0 && out > bound && k.Fault == "" {
			k.Fault = fmt.Sprintf("%d out at the head office %.2f s into it, %d may be", out, time.Since(begin).Seconds(), bound)
		}
		if s.MustExceedFloors && out > p.result.FloorSum+p.result.FloorSum/4 {
			regained, k.TookSeconds = true, time.Since(begin).Seconds()
		}
		if w := s.Conditions; w != nil && w.PartitionFlips > 0 && time.Since(begin).Seconds() > s.DurationSeconds*float64(flips+1)/float64(2*w.PartitionFlips) {
			next := *w
			if flips++; flips%2 == 1 {
				next.InterleavedPartitions = 0
			}
			if err := p.setConditions(&next); err != nil {
				return err
			}
		}
	}
	_, after := p.deployment.RequestLog.OriginFills()
	namedAt := p.deadParentFills(s, lost, begin)
	k.DeadParentFills = len(namedAt)
	k.MaxDials, k.DialBound = p.deployment.DiscoveryRelay.MaxDialsWithin(len(dialled), dialWindow), p.maxDials()
	switch k.Fills = after - before; {
	case k.Fault != "":
	case s.MaxDeadParentFills != nil && k.DeadParentFills > *s.MaxDeadParentFills:
		k.Fault = fmt.Sprintf("%d fills name an area cache %.1f s after it died, %d may: %s", k.DeadParentFills, s.SettleSeconds, *s.MaxDeadParentFills, strings.Join(namedAt, ", "))
	case s.ChecksDials && k.MaxDials > k.DialBound:
		k.Fault = fmt.Sprintf("%d tries at the list service within %v, %d may be", k.MaxDials, dialWindow, k.DialBound)
	case s.MustReconnect && !regained:
		k.Fault = "not all routers are back at the list service"
	case s.MustExceedFloors && !regained:
		k.Fault = fmt.Sprintf("never more out than the %d of the floors", p.result.FloorSum)
	case s.MustFill && k.Fills == 0:
		k.Fault = "nothing was filled, though the floors are there"
	}
	p.result.Steps = append(p.result.Steps, k)
	if p.unfrozen != nil {
		err := <-p.unfrozen
		p.unfrozen = nil
		return err
	}
	return nil
}

// deadParentFills lists the fills that named a dead area cache after a step had settled, each as its time from the step's begin. None where the step states no bound.
func (p *player) deadParentFills(s *Step, areaCache string, begin time.Time) (times []string) {
	if s.MaxDeadParentFills == nil {
		return nil
	}
	for _, get := range p.deployment.RequestLog.Requests() {
		if after := get.ArrivedAt.Sub(begin).Seconds(); get.FillFrom == areaCache && after > s.SettleSeconds {
			times = append(times, fmt.Sprintf("%.2f s", after))
		}
	}
	return times
}

// maxDials is the bound of core/coldstart on tries within dialWindow, twice over for processes that a busy machine runs late.
func (p *player) maxDials() int {
	period := backoff.Schedule{FleetSize: p.options.Routers}.Period()
	return 2 * (p.options.Routers*int(dialWindow.Microseconds())/int(period) + 1)
}

// setDiscovery does to the list service what a step says.
func (p *player) setDiscovery(how string) {
	switch how {
	case "cut":
		p.deployment.DiscoveryRelay.SetConditions(link.RelayConditions{Resets: true})
	case "silent":
		p.deployment.DiscoveryRelay.SetConditions(link.RelayConditions{Blackholes: true})
	case "open", "breaks":
		p.deployment.DiscoveryRelay.SetConditions(link.RelayConditions{})
	}
}

// injectFault kills or freezes whom a step names.
func (p *player) injectFault(s *Step) error {
	var victims []int
	if s.Kill == "holder" || s.Freeze == "holder" {
		holder, err := p.leaseHolder()
		if err != nil {
			return err
		}
		victims = []int{holder}
	} else if s.Kill == "fleet" {
		holder, err := p.fleetLeaseHolder()
		if err != nil {
			return err
		}
		victims = []int{holder}
	} else if part, err := strconv.ParseFloat(s.Kill, 64); err == nil {
		for i := range int(math.Ceil(part * float64(p.options.Routers))) {
			victims = append(victims, i)
		}
	}
	if s.Freeze != "" {
		p.unfrozen = make(chan error, 1)
		go func() {
			p.unfrozen <- p.deployment.Routers[victims[0]].Freeze(time.Duration(s.FreezeSeconds * float64(time.Second)))
		}()
		return nil
	}
	for _, i := range victims {
		if err := p.deployment.Routers[i].Kill(); err != nil {
			return err
		}
		p.killed = append(p.killed, i)
	}
	return nil
}

// leaseHolder asks routers, one after the other, whom they have for the holder, until one knows.
func (p *player) leaseHolder() (int, error) {
	for begin := time.Now(); time.Since(begin) < 20*time.Second; time.Sleep(200 * time.Millisecond) {
		for _, r := range p.deployment.Routers {
			if rank := reportedLeaseHolder(r); rank >= 0 && rank < len(p.deployment.Routers) {
				return rank, nil
			}
		}
	}
	return 0, errors.New("no router knows a holder")
}

// fleetLevel is that of the fleet in a tree above groups of one size.
const fleetLevel = 2

// fleetLeaseHolder asks routers, one after the other, until one says that it holds the fleet.
func (p *player) fleetLeaseHolder() (int, error) {
	for begin := time.Now(); time.Since(begin) < 20*time.Second; time.Sleep(200 * time.Millisecond) {
		for rank, r := range p.deployment.Routers {
			if slices.Contains(reportedLimit(r).Levels, fleetLevel) {
				return rank, nil
			}
		}
	}
	return 0, errors.New("no router holds the fleet")
}

// reportedLeaseHolder reads from a router's log whom it has for the holder; -1: nobody.
func reportedLeaseHolder(r *process.Router) int { return reportedLimit(r).Holder }

// limitRecord is what the line fleet of a router's log tells of a limit.
type limitRecord struct {
	Holder int   `json:"Holder"`
	Levels []int `json:"Levels"`
}

// reportedLimit has a router log its counters and reads its part in the limit; Holder -1 where it tells nothing.
func reportedLimit(r *process.Router) limitRecord {
	last := limitRecord{Holder: -1}
	if r.Signal(syscall.SIGUSR1) != nil {
		return last
	}
	time.Sleep(100 * time.Millisecond)
	text, err := os.ReadFile(r.LogPath)
	if err != nil {
		return last
	}
	for lines := bufio.NewScanner(bytes.NewReader(text)); lines.Scan(); {
		var line struct {
			Limits []limitRecord `json:"limits"`
		}
		if strings.Contains(lines.Text(), `"message":"fleet"`) && json.Unmarshal(lines.Bytes(), &line) == nil && len(line.Limits) == 1 {
			last = line.Limits[0]
		}
	}
	return last
}
