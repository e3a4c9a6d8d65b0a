// Package lab runs experiments on the emulator: arms to compare, on days with and without trouble, and claims, which are
// bounds on figures. The same seed and size give the same result to the byte.
package lab

import (
	"bytes"
	"cmp"
	"embed"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"math"
	"path"
	"runtime"
	"slices"
	"strings"

	"github.com/google/go-jsonnet"
	"golang.org/x/sync/errgroup"

	"spantack/core/cells"
	"spantack/emulator"
)

//go:embed experiments
var files embed.FS

// Experiment is what a file under experiments says.
type Experiment struct {
	Name   string                     `json:"-"`
	Title  string                     `json:"title"`
	Sizes  map[string]emulator.Config `json:"sizes"`
	Shapes map[string]emulator.Shapes `json:"shapes,omitempty"` // by size: a trial of shapes in place of a world
	Shield map[string]emulator.Shield `json:"shield,omitempty"` // by size: a trial of limits at the head office
	Tier   map[string]emulator.Tier   `json:"tier,omitempty"`   // by size: a trial of a limit that a tier keeps together
	Watch  int                        `json:"watch"`            // the tenant that makes trouble on the other days
	Arms   map[string]Arm             `json:"arms"`
	Days   map[string]Day             `json:"days"`
	Claims []Claim                    `json:"claims"`
	Table  []string                   `json:"table,omitempty"` // figures in the table; left out: those of most experiments
	Chart  Chart                      `json:"chart"`
}

// Arm is a way to be compared.
type Arm struct {
	Cells  Count   `json:"cells,omitempty"` // how many; 0: none
	Scheme string  `json:"scheme,omitempty"`
	Width  int     `json:"width,omitempty"`
	Limit  float64 `json:"limit,omitempty"`
	// DropFetches lets area caches end what nobody waits for any more.
	DropFetches bool                      `json:"dropFetches,omitempty"`
	Law         string                    `json:"law,omitempty"`    // of a trial of limits
	Way         string                    `json:"way,omitempty"`    // of a trial of a tier's limit
	Burst       float64                   `json:"burst,omitempty"`  // of its limits
	Shield      string                    `json:"shield,omitempty"` // law of the head office's shield; none: rules alone
	Forget      bool                      `json:"forget,omitempty"` // the shield does not count fetches that were given up
	Shape       string                    `json:"shape,omitempty"`  // style of the hierarchy's shape; none: all area caches alike
	Trip        map[string]*emulator.Trip `json:"trip,omitempty"`   // by size
	Talk        *emulator.Talk            `json:"talk,omitempty"`   // routers tell one another of crowded area caches
	Site        *emulator.Site            `json:"site,omitempty"`   // in place of the world's own
}

// Count is a number, or one for each size.
type Count map[string]int

// UnmarshalJSON takes 4 as well as {"small": 4, "full": 8}.
func (c *Count) UnmarshalJSON(text []byte) error {
	var n int
	if json.Unmarshal(text, &n) == nil {
		*c = Count{"": n}
		return nil
	}
	var m map[string]int
	if err := json.Unmarshal(text, &m); err != nil {
		return fmt.Errorf("a number, or one for each size: %w", err)
	}
	*c = m
	return nil
}

func (c Count) of(size string) int { return cmp.Or(c[size], c[""]) }

// Day is what goes wrong.
type Day struct {
	Flood  *emulator.Flood  `json:"flood,omitempty"`
	Poison *emulator.Poison `json:"poison,omitempty"`
	Faults []emulator.Fault `json:"faults,omitempty"`
	SkewMs float64          `json:"skewMs,omitempty"`
	// Low is what is left of the head office from LowFromS on for LowForS, and DeadPart of the routers die at DeadAtS, in a trial of limits.
	Low      float64 `json:"low,omitempty"`
	LowFromS float64 `json:"lowFromS,omitempty"`
	LowForS  float64 `json:"lowForS,omitempty"`
	DeadPart float64 `json:"deadPart,omitempty"`
	// Parts is how many the tier falls into, from CutS on for CutForS, in a trial of a tier's limit; DeadPart of it die then.
	Parts   int     `json:"parts,omitempty"`
	CutS    float64 `json:"cutS,omitempty"`
	CutForS float64 `json:"cutForS,omitempty"`
	Loss    float64 `json:"loss,omitempty"` // of datagrams, more than the world's
	DeadAtS float64 `json:"deadAtS,omitempty"`
	// Release is a new version; Worlds plays the day so often, each time with a seed of its own, and takes means.
	Release *emulator.Release `json:"release,omitempty"`
	Worlds  Count             `json:"worlds,omitempty"`
	Hot     *emulator.Hot     `json:"hot,omitempty"` // a new object that all want
}

// Claim bounds a figure, "ARM/DAY/FIGURE", or its quotient by another. "all/broken" sums up the broken rules of all runs.
type Claim struct {
	Name  string   `json:"name"`
	Of    string   `json:"of"`
	Over  string   `json:"over,omitempty"`
	Least *float64 `json:"least,omitempty"`
	Most  *float64 `json:"most,omitempty"`
}

// Chart names the figure to draw, by arm and day.
type Chart struct {
	Figure string   `json:"figure"`
	Title  string   `json:"title"`
	Arms   []string `json:"arms"`
	Days   []string `json:"days"`
}

// Run is one arm on one day.
type Run struct {
	Arm     string             `json:"arm"`
	Day     string             `json:"day"`
	Figures map[string]float64 `json:"figures"`
	Seconds []float64          `json:"seconds"` // timely share of the others, by second
	Broken  map[string]int64   `json:"broken,omitempty"`
}

// Verdict is what became of a claim.
type Verdict struct {
	Claim
	Value float64 `json:"value"`
	Kept  bool    `json:"kept"`
}

// Outcome is an experiment on one seed.
type Outcome struct {
	Experiment string    `json:"experiment"`
	Size       string    `json:"size"`
	Seed       uint64    `json:"seed"`
	Runs       []Run     `json:"runs"`
	Claims     []Verdict `json:"claims"`
}

// Kept counts the claims that hold.
func (o *Outcome) Kept() (n int) {
	for _, c := range o.Claims {
		if c.Kept {
			n++
		}
	}
	return n
}

// Names lists the experiments.
func Names() []string {
	var names []string
	entries, err := fs.ReadDir(files, "experiments")
	if err != nil {
		return nil
	}
	for _, e := range entries {
		if name, is := strings.CutSuffix(e.Name(), ".jsonnet"); is {
			names = append(names, name)
		}
	}
	return names
}

// importer reads from the embedded folder and nowhere else.
type importer struct{ known map[string]jsonnet.Contents }

// Import is for jsonnet.Importer.
func (i *importer) Import(_, name string) (jsonnet.Contents, string, error) {
	at := path.Join("experiments", path.Clean("/" + name)[1:])
	if c, known := i.known[at]; known {
		return c, at, nil
	}
	text, err := files.ReadFile(at)
	if err != nil {
		return jsonnet.Contents{}, "", err
	}
	c := jsonnet.MakeContents(string(text))
	i.known[at] = c
	return c, at, nil
}

// Load reads an experiment; each change is a path and a value, as "days.unique.flood.times=5".
func Load(name string, changes ...string) (*Experiment, error) {
	if !slices.Contains(Names(), name) {
		return nil, fmt.Errorf("experiment %q: there is none; see spanlab list", name)
	}
	vm := jsonnet.MakeVM()
	vm.Importer(&importer{map[string]jsonnet.Contents{}})
	text, err := vm.EvaluateFile(name + ".jsonnet")
	if err != nil {
		return nil, fmt.Errorf("experiment %q: %w", name, err)
	}
	var doc any
	if err := json.Unmarshal([]byte(text), &doc); err != nil {
		return nil, fmt.Errorf("experiment %q: %w", name, err)
	}
	for _, c := range changes {
		if err := change(doc, c); err != nil {
			return nil, err
		}
	}
	again, err := json.Marshal(doc)
	if err != nil {
		return nil, fmt.Errorf("experiment %q: %w", name, err)
	}
	e := &Experiment{}
	dec := json.NewDecoder(bytes.NewReader(again))
	dec.DisallowUnknownFields()
	if err := dec.Decode(e); err != nil {
		return nil, fmt.Errorf("experiment %q: %w", name, err)
	}
	e.Name = name
	return e, nil
}

// change sets what a path leads to.
func change(doc any, text string) error {
	at, value, ok := strings.Cut(text, "=")
	if !ok || at == "" {
		return fmt.Errorf("--set %q: not of the form path=value", text)
	}
	var v any
	if json.Unmarshal([]byte(value), &v) != nil {
		v = value
	}
	steps := strings.Split(at, ".")
	for i, step := range steps {
		m, is := doc.(map[string]any)
		if !is {
			return fmt.Errorf("--set %q: %s holds no fields", text, strings.Join(steps[:i], "."))
		}
		if i == len(steps)-1 {
			m[step] = v
			return nil
		}
		next, known := m[step]
		if !known {
			return fmt.Errorf("--set %q: there is no %s", text, strings.Join(steps[:i+1], "."))
		}
		doc = next
	}
	return nil
}

// configure lays out the world of an arm on a day.
func (e *Experiment) configure(size string, seed uint64, arm Arm, day Day) (emulator.Config, error) {
	cfg, known := e.Sizes[size]
	if !known {
		return cfg, fmt.Errorf("size %q: there is none", size)
	}
	cfg.Seed, cfg.Flood, cfg.Poison, cfg.Faults, cfg.Limit = seed, day.Flood, day.Poison, day.Faults, arm.Limit
	cfg.SkewMs, cfg.DropFetches, cfg.Talk, cfg.Hot = day.SkewMs, arm.DropFetches, arm.Talk, day.Hot
	if arm.Site != nil {
		cfg.Site = arm.Site
	}
	if arm.Shield != "" {
		cfg.Shield = cfg.ShieldBy(arm.Shield, arm.Forget)
	}
	if arm.Shape != "" {
		var err error
		if cfg.Shape, err = cfg.Hierarchy(arm.Shape); err != nil {
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
	spec, groups := emulator.Spec(&cfg, group)
	cfg.Group = groups
	if count == 0 {
		return cfg, nil
	}
	spec.Scheme, spec.Width = cmp.Or(arm.Scheme, cells.Fixed), arm.Width
	if spec.Scheme == cells.Overflow {
		overflow(spec)
	}
	cfg.Cells = spec
	if day.Release != nil {
		release := *day.Release
		cfg.Release = &release
	}
	if trip := arm.Trip[size]; trip != nil {
		if err := cfg.Relocate(trip); err != nil {
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
	spec.Spare = "spare"
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
				w.Watch(e.Watch)
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

// round keeps figures short and free of the last bits.
func round(x float64) float64 { return math.Round(x*1e5) / 1e5 }

// endSpan is how many of a day's last seconds count for how it ends.
const endSpan = 15

// wordPrice is the platform's for 256 bytes of datagrams a request, in parts of the result.
const wordPrice = 0.0075

func (r *Run) take(cfg *emulator.Config, res *emulator.Result) {
	all := res.Others()
	all = all.Plus(res.Cell())
	r.Broken = res.Broken
	r.Figures = map[string]float64{"others": res.Others().Share(), "cell": res.Cell().Share(), "guilty": res.Guilty.Share(),
		"timely": all.Share(), "hits": res.HitShare(), "touched": res.Touched, "originMb": res.OriginKb / 1000, "fillMb": res.FillKb / 1000,
		"refused": float64(all.Refused) / max(float64(all.Asked), 1), "failed": float64(all.Failed) / max(float64(all.Asked), 1),
		"asked": float64(all.Asked), "attempts": float64(res.Attempts), "attemptsEach": float64(res.Attempts) / max(float64(res.Requests), 1), "events": float64(res.Events), "broken": float64(res.BrokenRules()),
		"p50VideoMs": res.P50Ms[0], "p99VideoMs": res.P99Ms[0], "p50CatalogueMs": res.P50Ms[1], "p99CatalogueMs": res.P99Ms[1],
		"p99ReportMs": res.P99Ms[2], "largest": slices.Min(res.Largest[:]), "next": slices.Min(res.Next[:])}
	if cfg.Hubs > 0 {
		r.Figures["originMost"], r.Figures["originOverS"], r.Figures["coldMost"] = res.OriginMost, res.OriginOverS, res.ColdMost
		r.Figures["coldShare"], r.Figures["unanswered"], r.Figures["unended"] = res.ColdShare, float64(res.Overdue), float64(res.Unended)
		r.Figures["end"] = res.End(endSpan)
	}
	r.Figures["words"] = float64(res.Words)
	r.Figures["wordPrice"] = wordPrice * float64(res.WordBytes) / 256 / max(float64(res.Requests), 1)
	if len(cfg.Movers) > 0 {
		for name, v := range map[string]float64{"movers": res.Movers.Share(), "stayers": res.Stayers.Share(), "coldMost": res.ColdMost,
			"coldShare": res.ColdShare, "cellFill": res.CellFill, "cellBusy": res.CellBusy, "spread": res.Spread, "doneS": res.DoneS, "moved": float64(res.Gate.Moved), "kept": float64(res.Gate.Kept),
			"unanswered": float64(res.Overdue), "unended": float64(res.Unended), "endS": cfg.EndS, "moversRefused": float64(res.Movers.Refused) / max(float64(res.Movers.Asked), 1)} {
			r.Figures[name] = v
		}
	}
	for why, n := range res.Gate.Refused {
		if n > 0 {
			r.Figures["gate "+cells.Reason(why).String()] = float64(n)
		}
	}
	for name, v := range r.Figures {
		r.Figures[name] = round(v)
	}
	for _, s := range res.Seconds {
		if s.Others.Offered > 0 {
			r.Seconds = append(r.Seconds, round(s.Others.Share()))
		}
	}
}

// releases sums up the worlds of a day with a release.
func (r *Run) releases(cfg *emulator.Config, all []emulator.Result) {
	stopped, passed, broken, sum := 0.0, 0.0, 0.0, 0.0
	var renewed, held, early, restored int64
	for i := range all {
		if all[i].Stopped > 0 {
			stopped++
			sum += all[i].StoppedS - cfg.Release.Stage.Rings[0].Open/1000
		}
		if all[i].Stopped == 0 && all[i].Passed > 0 {
			passed++
		}
		broken += float64(all[i].BrokenRules())
		renewed, held = renewed+all[i].Renewed, held+all[i].Held
		early, restored = early+all[i].Early, restored+all[i].Restored
	}
	if cfg.Release.Renews { // answers with its objects, and in cells that have not got it the part that was new
		r.Figures["renewed"], r.Figures["restored"] = float64(renewed), float64(restored)
		r.Figures["early"] = round(float64(early) / float64(max(held, 1)))
	}
	n := float64(len(all))
	r.Figures["worlds"], r.Figures["stopped"], r.Figures["passed"], r.Figures["broken"] = n, round(stopped/n), round(passed/n), broken
	r.Figures["unsure"] = round((n - stopped - passed) / n)
	r.Figures["foundS"] = round(sum / max(stopped, 1))
}

// Figure finds "ARM/DAY/FIGURE", or "all/broken".
func (o *Outcome) Figure(at string) (float64, error) {
	parts := strings.Split(at, "/")
	if at == "all/broken" {
		sum := 0.0
		for _, r := range o.Runs {
			sum += r.Figures["broken"]
		}
		return sum, nil
	}
	if len(parts) == 3 {
		for _, r := range o.Runs {
			if v, known := r.Figures[parts[2]]; known && r.Arm == parts[0] && r.Day == parts[1] {
				return v, nil
			}
		}
	}
	return 0, fmt.Errorf("claim on %q: there is no such figure", at)
}

func (o *Outcome) judge(c Claim) (Verdict, error) {
	v := Verdict{Claim: c}
	if c.Least == nil && c.Most == nil {
		return v, errors.New("claim " + c.Name + ": neither least nor most")
	}
	value, err := o.Figure(c.Of)
	if err != nil {
		return v, err
	}
	if c.Over != "" {
		base, err := o.Figure(c.Over)
		if err != nil {
			return v, err
		}
		if base == 0 {
			return v, fmt.Errorf("claim %s: %s is 0", c.Name, c.Over)
		}
		value = round(value / base)
	}
	v.Value = value
	v.Kept = (c.Least == nil || value >= *c.Least) && (c.Most == nil || value <= *c.Most)
	return v, nil
}

func sorted[V any](m map[string]V) []string {
	var names []string
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
