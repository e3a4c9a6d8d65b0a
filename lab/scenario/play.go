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

// play is a scenario under way.
type play struct {
	*Scenario
	opt    Options
	d      *process.Deployment
	res    *Result
	begin  time.Time
	dead   []int
	frozen chan error
}

// watchEvery is how often the request log is looked at. It keeps the greatest number out between two looks itself.
const watchEvery = 50 * time.Millisecond

// Play runs a scenario. Its error is of the rig; what fell short is in the result.
func (s *Scenario) Play(ctx context.Context, opt Options) (*Result, error) {
	limit := s.Asks * float64(opt.Routers)
	features := ""
	if s.Asks > 0 || s.Verdicts {
		text, err := json.Marshal(map[string]any{"fleet": s.fleetFeature(opt.Routers, limit)})
		if err != nil {
			return nil, err
		}
		features = string(text)
	}
	d, err := process.Start(ctx, process.Options{Routers: opt.Routers, Depots: s.Depots, Caches: 4, Areas: areas, Peers: features != "", Relayed: true, Seed: opt.Seed, Binary: opt.Binary,
		Delay: time.Duration(s.DelayMs * float64(time.Millisecond)), Features: features})
	if err != nil {
		return nil, err
	}
	p := &play{Scenario: s, opt: opt, d: d, begin: time.Now(), res: &Result{Scenario: s.Name, Routers: opt.Routers, Seed: opt.Seed, Limit: int(limit),
		Floors: int(math.Round(limit * s.Floor))}}
	err = p.run(ctx)
	return p.res, errors.Join(err, d.Stop())
}

func (p *play) run(ctx context.Context) error {
	if p.d.Mesh != nil {
		if err := p.set(&p.Conditions); err != nil {
			return err
		}
	}
	loading, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan error, 1)
	var rep *process.Report
	go func() {
		var err error
		rep, err = p.d.Run(loading, process.Load{Seed: p.opt.Seed, Requests: math.MaxInt32, Every: time.Duration(p.EveryMs * float64(time.Millisecond)),
			Conns: 2, Families: 1, Objects: math.MaxInt32, Redial: true})
		done <- err
	}()
	for i := range p.Steps {
		if p.opt.Tell != nil {
			p.opt.Tell(p.Steps[i].Name, i, len(p.Steps))
		}
		if err := p.step(ctx, &p.Steps[i]); err != nil {
			return fmt.Errorf("%s: %w", p.Steps[i].Name, err)
		}
	}
	stop()
	if err := <-done; err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	all := rep.All()
	p.res.Served, p.res.Refused, p.res.Failed, p.res.Lost, p.res.Wrong = all.Served, all.Refused, all.Failed, all.Lost, all.Wrong
	p.res.Overlaps = len(p.d.RequestLog.Overlaps())
	if p.d.Mesh != nil {
		p.res.Longest = p.d.Mesh.Counts().MaxBytes
	}
	return nil
}

// fleetElectors is how many routers elect the holder of the fleet in a tree.
const fleetElectors = 5

// fleetFeature is the section of the features file for a limit.
func (s *Scenario) fleetFeature(routers int, limit float64) map[string]any {
	feature := map[string]any{"enabled": true, "asks": limit, "floor": s.Floor, "verdicts": s.Verdicts}
	if s.Group > 0 {
		feature["tree"] = s.topology(routers)
	}
	return feature
}

// topology is the tree of a scenario's leases: groups of neighbouring ranks, and electors in different groups.
func (s *Scenario) topology(routers int) lease.Topology {
	t := lease.Topology{Routers: routers, GroupSizes: []int{s.Group}}
	for i := range fleetElectors {
		t.Electors = append(t.Electors, i*routers/fleetElectors)
	}
	return t
}

// set puts network conditions in force.
func (p *play) set(w *Conditions) error {
	ms := func(f float64) time.Duration { return time.Duration(f * float64(time.Millisecond)) }
	l := link.Conditions{LossRate: w.Loss, DuplicateRate: w.Double, Delay: ms(w.DelayMs), Jitter: ms(w.JitterMs)}
	if w.Blocks > 1 {
		for rank := range p.opt.Routers {
			l.PartitionByRank = append(l.PartitionByRank, rank*w.Blocks/p.opt.Routers)
		}
	}
	if w.Parts > 1 || w.Alone != "" {
		l.PartitionByRank = make([]int, p.opt.Routers)
		for i := range l.PartitionByRank {
			l.PartitionByRank[i] = i % max(w.Parts, 1)
		}
	}
	if w.Alone != "" {
		holder, err := p.holder()
		if err != nil {
			return err
		}
		l.PartitionByRank[holder] = -1
	}
	return p.d.Mesh.SetConditions(l)
}

// step begins what a step is about and watches the request log until its end.
func (p *play) step(ctx context.Context, s *Step) error {
	if s.Conditions != nil {
		if err := p.set(s.Conditions); err != nil {
			return err
		}
	}
	if err := p.strike(s); err != nil {
		return err
	}
	if s.Restart {
		for _, i := range p.dead {
			if err := p.d.Restart(ctx, i); err != nil {
				return err
			}
		}
		p.dead = nil
	}
	k := Kept{Step: s.Name, Bound: p.res.Limit + s.Slack, TookS: s.ForS}
	dialled, _, _, _ := p.d.DiscoveryLink.Counts()
	p.board(s.Board)
	lost := p.d.Areas[0].Name()
	if s.Lose {
		p.d.Cut(0)
	}
	_, before := p.d.RequestLog.OriginFills()
	begin, broke, flips := time.Now(), time.Now(), 0
	regained := false
	for time.Since(begin).Seconds() < s.ForS && !regained {
		if err := ctx.Err(); err != nil {
			return err
		}
		time.Sleep(watchEvery)
		if s.Board == "breaks" && time.Since(broke) >= breaksEvery {
			broke = time.Now()
			p.board("cut")
			p.board("open")
		}
		if s.AllBack {
			if _, open, _, _ := p.d.DiscoveryLink.Counts(); open >= p.opt.Routers-len(p.dead) {
				regained, k.TookS = true, time.Since(begin).Seconds()
			}
		}
		out, _ := p.d.RequestLog.OriginFills()
		bound := p.res.Limit + s.Slack
		if s.Floors && time.Since(begin).Seconds() > s.SettleS {
			bound = p.res.Floors
			k.Bound = bound
		}
		k.Most = max(k.Most, out)
		at := time.Since(p.begin).Seconds()
		p.res.out, p.res.bound = append(p.res.out, plotter.XY{X: at, Y: float64(out)}), append(p.res.bound, plotter.XY{X: at, Y: float64(bound)})
		if p.Asks > 0 && out > bound && k.Fault == "" {
			k.Fault = fmt.Sprintf("%d out at the head office %.2f s into it, %d may be", out, time.Since(begin).Seconds(), bound)
		}
		if s.Regains && out > p.res.Floors+p.res.Floors/4 {
			regained, k.TookS = true, time.Since(begin).Seconds()
		}
		if w := s.Conditions; w != nil && w.Flips > 0 && time.Since(begin).Seconds() > s.ForS*float64(flips+1)/float64(2*w.Flips) {
			next := *w
			if flips++; flips%2 == 1 {
				next.Parts = 0
			}
			if err := p.set(&next); err != nil {
				return err
			}
		}
	}
	_, after := p.d.RequestLog.OriginFills()
	namedAt := p.fillsNaming(s, lost, begin)
	k.Named = len(namedAt)
	k.Tries, k.TriesMay = p.d.DiscoveryLink.MaxDialsWithin(len(dialled), triesIn), p.triesMay()
	switch k.Fills = after - before; {
	case k.Fault != "":
	case s.Named != nil && k.Named > *s.Named:
		k.Fault = fmt.Sprintf("%d fills name an area cache %.1f s after it died, %d may: %s", k.Named, s.SettleS, *s.Named, strings.Join(namedAt, ", "))
	case s.Tries && k.Tries > k.TriesMay:
		k.Fault = fmt.Sprintf("%d tries at the list service within %v, %d may be", k.Tries, triesIn, k.TriesMay)
	case s.AllBack && !regained:
		k.Fault = "not all routers are back at the list service"
	case s.Regains && !regained:
		k.Fault = fmt.Sprintf("never more out than the %d of the floors", p.res.Floors)
	case s.Fills && k.Fills == 0:
		k.Fault = "nothing was filled, though the floors are there"
	}
	p.res.Steps = append(p.res.Steps, k)
	if p.frozen != nil {
		err := <-p.frozen
		p.frozen = nil
		return err
	}
	return nil
}

// fillsNaming lists the fills that named a dead area cache after a step had settled, each as its time from the step's begin. None where the step states no bound.
func (p *play) fillsNaming(s *Step, areaCache string, begin time.Time) (times []string) {
	if s.Named == nil {
		return nil
	}
	for _, get := range p.d.RequestLog.Requests() {
		if after := get.ArrivedAt.Sub(begin).Seconds(); get.FillFrom == areaCache && after > s.SettleS {
			times = append(times, fmt.Sprintf("%.2f s", after))
		}
	}
	return times
}

// triesMay is the bound of core/coldstart on tries within triesIn, twice over for processes that a busy machine runs late.
func (p *play) triesMay() int {
	period := backoff.Schedule{FleetSize: p.opt.Routers}.Period()
	return 2 * (p.opt.Routers*int(triesIn.Microseconds())/int(period) + 1)
}

// board does to the list service what a step says.
func (p *play) board(how string) {
	switch how {
	case "cut":
		p.d.DiscoveryLink.SetConditions(link.RelayConditions{Resets: true})
	case "silent":
		p.d.DiscoveryLink.SetConditions(link.RelayConditions{Blackholes: true})
	case "open", "breaks":
		p.d.DiscoveryLink.SetConditions(link.RelayConditions{})
	}
}

// strike kills or freezes whom a step names.
func (p *play) strike(s *Step) error {
	var victims []int
	if s.Kill == "holder" || s.Freeze == "holder" {
		holder, err := p.holder()
		if err != nil {
			return err
		}
		victims = []int{holder}
	} else if s.Kill == "fleet" {
		holder, err := p.fleetHolder()
		if err != nil {
			return err
		}
		victims = []int{holder}
	} else if part, err := strconv.ParseFloat(s.Kill, 64); err == nil {
		for i := range int(math.Ceil(part * float64(p.opt.Routers))) {
			victims = append(victims, i)
		}
	}
	if s.Freeze != "" {
		p.frozen = make(chan error, 1)
		go func() { p.frozen <- p.d.Routers[victims[0]].Freeze(time.Duration(s.FreezeS * float64(time.Second))) }()
		return nil
	}
	for _, i := range victims {
		if err := p.d.Routers[i].Kill(); err != nil {
			return err
		}
		p.dead = append(p.dead, i)
	}
	return nil
}

// holder asks routers, one after the other, whom they have for the holder, until one knows.
func (p *play) holder() (int, error) {
	for begin := time.Now(); time.Since(begin) < 20*time.Second; time.Sleep(200 * time.Millisecond) {
		for _, r := range p.d.Routers {
			if rank := reportedHolder(r); rank >= 0 && rank < len(p.d.Routers) {
				return rank, nil
			}
		}
	}
	return 0, errors.New("no router knows a holder")
}

// fleetLevel is that of the fleet in a tree above groups of one size.
const fleetLevel = 2

// fleetHolder asks routers, one after the other, until one says that it holds the fleet.
func (p *play) fleetHolder() (int, error) {
	for begin := time.Now(); time.Since(begin) < 20*time.Second; time.Sleep(200 * time.Millisecond) {
		for rank, r := range p.d.Routers {
			if slices.Contains(reportedLimit(r).Levels, fleetLevel) {
				return rank, nil
			}
		}
	}
	return 0, errors.New("no router holds the fleet")
}

// reportedHolder reads from a router's log whom it has for the holder; -1: nobody.
func reportedHolder(r *process.Router) int { return reportedLimit(r).Holder }

// limitLine is what the line fleet of a router's log tells of a limit.
type limitLine struct {
	Holder int   `json:"Holder"`
	Levels []int `json:"Levels"`
}

// reportedLimit has a router log its counters and reads its part in the limit; Holder -1 where it tells nothing.
func reportedLimit(r *process.Router) limitLine {
	last := limitLine{Holder: -1}
	if r.Signal(syscall.SIGUSR1) != nil {
		return last
	}
	time.Sleep(100 * time.Millisecond)
	text, err := os.ReadFile(r.Log)
	if err != nil {
		return last
	}
	for lines := bufio.NewScanner(bytes.NewReader(text)); lines.Scan(); {
		var line struct {
			Limits []limitLine `json:"limits"`
		}
		if strings.Contains(lines.Text(), `"message":"fleet"`) && json.Unmarshal(lines.Bytes(), &line) == nil && len(line.Limits) == 1 {
			last = line.Limits[0]
		}
	}
	return last
}
