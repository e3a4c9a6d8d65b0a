// Command spanctl is for operators: it checks a features file, tells what it does to a request, and plans assignments, from files alone. `spanctl
// router` makes the calls of routers' second addresses.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/alecthomas/kong"

	"spantack/core/cells"
	"spantack/core/cells/plan"
	"spantack/core/migration"
	"spantack/internal/features"
	"spantack/internal/features/schema"
)

type cli struct {
	Check    checkCmd    `name:"check" cmd:"" help:"Checks a features file as the router would; one line for the first fault, exit code 1."`
	Topology topologyCmd `name:"shape" cmd:"" help:"Who fills from whom: show, diff, plan."`
	Rollout  rolloutCmd  `name:"stage" cmd:"" help:"Releases let into cells ring by ring: start, status, stop."`
	Router   routerCmd   `name:"router" cmd:"" help:"Running routers, by their second addresses: ready, figures, exclude, include, evacuate, rejoin."`
	Cells    cellsCmd    `name:"cells" cmd:"" help:"Cells: show, explain, diff, plan; and tenants that move between them: moves, move, empty, hold, resume, back, settle."`
}

type rolloutCmd struct {
	Start  rolloutStartCmd  `name:"start" cmd:"" help:"Begins a release: opens rings one after the other, each judged before the next."`
	Status rolloutStatusCmd `name:"status" cmd:"" help:"What routers see of a release, from their logs, and what that comes to together."`
	Stop   rolloutStopCmd   `name:"stop" cmd:"" help:"Takes a release back in all cells."`
}

type checkCmd struct {
	File   string `name:"file" arg:"" optional:"" help:"The features file."`
	Schema bool   `name:"schema" help:"Prints the JSON Schema of the file instead."`
}

func (c *checkCmd) Run(out io.Writer) error {
	if c.Schema {
		text, err := schema.JSON()
		if err != nil {
			return err
		}
		_, err = out.Write(text)
		return err
	}
	f, err := features.Load(c.File)
	if err != nil {
		return err
	}
	if spec := f.CellSpec(); spec != nil {
		fmt.Fprintf(out, "cells: on, version %d, %s, %d cells, %d tenants, %d keys\n", spec.Version, spec.Scheme, len(spec.Cells), len(spec.Tenants), len(spec.TenantKeys))
	} else {
		fmt.Fprintln(out, "cells: off")
	}
	if doc := f.ActiveMigration(); doc != nil {
		fmt.Fprintf(out, "moves: on, version %d, %d moves\n", doc.Version, len(doc.Migrations))
	}
	if s := f.ActiveRollout(); s != nil {
		fmt.Fprintf(out, "stage: on, %s version %d, %d rings\n", s.Name, s.Version, len(s.Rings))
	}
	if s := f.Topology.Topology; f.Topology.Enabled {
		fmt.Fprintf(out, "shape: on, version %d, %d depots, %d areas, %d ways\n", s.Version, len(s.Sites), len(s.ParentGroups), len(s.Links))
	}
	if d := f.ActiveOriginLimit(); d != nil {
		fmt.Fprintf(out, "shield: on, %s, %v at once, %v of them kept for uncacheable requests\n", d.Algorithm, d.MaxInFlight, d.Reserve)
	}
	return nil
}

type cellsCmd struct {
	Show      cellsShowCmd         `name:"show" cmd:"" help:"Cells and tenants of a file, and with --caches which cache is in which cell."`
	Explain   cellsExplainCmd      `name:"explain" cmd:"" help:"Whose a request is, and which caches it may go to."`
	Diff      cellsDiffCmd         `name:"diff" cmd:"" help:"What changes from one file to another."`
	Plan      cellsPlanCmd         `name:"plan" cmd:"" help:"Proposes cells for tenants from measured demand."`
	Migration migrationListCmd     `name:"moves" cmd:"" help:"The moves of a file and how far they are."`
	Migrate   cellsMigrateCmd      `name:"move" cmd:"" help:"Lets a tenant move to another cell."`
	Drain     cellsDrainCmd        `name:"empty" cmd:"" help:"Plans moves of all tenants of a cell to others."`
	Pause     migrationPauseCmd    `name:"hold" cmd:"" help:"Holds moves where they are."`
	Resume    migrationResumeCmd   `name:"resume" cmd:"" help:"Lets held moves go on."`
	Rollback  migrationRollbackCmd `name:"back" cmd:"" help:"Takes moves back."`
	Finalize  migrationFinalizeCmd `name:"settle" cmd:"" help:"Leaves out moves that are over, once the assignment has their tenants where they went."`
}

// loadCellSpec takes a file in which cells are on.
func loadCellSpec(file string) (*cells.Spec, error) {
	f, err := features.Load(file)
	if err != nil {
		return nil, err
	}
	spec := f.CellSpec()
	if spec == nil {
		return nil, fmt.Errorf("%s: cells are off", file)
	}
	return spec, nil
}

type cellsShowCmd struct {
	File   string   `name:"file" arg:"" help:"The features file."`
	Caches []string `name:"caches" help:"Ids of a depot's caches."`
}

func (c *cellsShowCmd) Run(out io.Writer) error {
	spec, err := loadCellSpec(c.File)
	if err != nil {
		return err
	}
	tenants := map[string]int{}
	for _, t := range spec.Tenants {
		tenants[t.Cell]++
	}
	in := make([][]string, len(spec.Cells))
	if len(c.Caches) > 0 {
		in = spec.CachesByCell(c.Caches)
	}
	for i, cell := range spec.Cells {
		fmt.Fprintf(out, "%-16s share %.3f  tenants %5d  no live cache: %s", cell.Name, cell.Share, tenants[cell.Name], overflowText(cell.FallbackCell))
		if len(c.Caches) > 0 {
			fmt.Fprintf(out, "  caches %s", strings.Join(in[i], ","))
		}
		fmt.Fprintln(out)
	}
	return nil
}

func overflowText(to string) string {
	if to == "" {
		return "refuse"
	}
	return "use " + to
}

type cellsExplainCmd struct {
	File   string   `name:"file" arg:"" help:"The features file."`
	Family int      `name:"family" help:"Group of the object, 0 to 255."`
	Class  string   `name:"class" help:"Class of the request."`
	Object string   `name:"object" help:"The object, in hex."`
	Now    float64  `name:"now" help:"Unix milliseconds; the clock's if left out." hidden:""`
	Tenant string   `name:"tenant" help:"The tenant as the front names it."`
	Site   string   `name:"depot" help:"The depot."`
	Caches []string `name:"caches" help:"Ids of the depot's caches."`
}

func (c *cellsExplainCmd) Run(out io.Writer) error {
	f, err := features.Load(c.File)
	if err != nil {
		return err
	}
	spec := f.CellSpec()
	if spec == nil {
		return fmt.Errorf("%s: cells are off", c.File)
	}
	a, err := spec.Explain(c.Site, c.Caches, c.Family, c.Class, c.Object, c.Tenant)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "keys[%d]: tenant %s, cell %s; no live cache: %s", a.KeyIndex, a.Tenant, a.Cell, overflowText(a.FallbackCell))
	if a.OverflowCell != "" {
		fmt.Fprintf(out, "; no room: use %s", a.OverflowCell)
	}
	if len(c.Caches) > 0 {
		fmt.Fprintf(out, "; caches %s", strings.Join(a.Caches, ","))
	}
	fmt.Fprintln(out)
	if doc := f.ActiveMigration(); doc != nil {
		on := documentFlags{Now: c.Now}
		for i := range doc.Migrations {
			m := &doc.Migrations[i]
			if m.Tenant != a.Tenant || m.Site != c.Site && m.Site != migration.AllSites {
				continue
			}
			printMigration(out, m, on.now())
			if place := m.Position(c.Object); c.Object != "" {
				fmt.Fprintf(out, "object %s is at %.1f%% of the order: it goes to %s once the share is past that, to %s before\n", c.Object, 100*place, m.To, m.From)
			}
		}
	}
	return nil
}

type cellsDiffCmd struct {
	Old string `name:"old" arg:"" help:"The file in force."`
	New string `name:"new" arg:"" help:"The file to come."`
}

func (c *cellsDiffCmd) Run(out io.Writer) error {
	old, err := loadCellSpec(c.Old)
	if err != nil {
		return err
	}
	next, err := loadCellSpec(c.New)
	if err != nil {
		return err
	}
	for _, line := range cells.Changes(old, next) {
		fmt.Fprintln(out, line)
	}
	return nil
}

type cellsPlanCmd struct {
	File          string   `name:"file" arg:"" help:"The features file in force: its cells, and the present cell of each tenant."`
	Demand        []string `name:"demand" required:"" help:"Logs of routers with their lines 'demand', of which the last of each log counts, or JSON files with a list of {name, loads, worth}."`
	MaxCellWeight float64  `name:"most-worth" help:"The greatest part of all worth that one cell may hold; 0: any."`
	MaxMigrations int      `name:"most-moves" default:"-1" help:"Tenants that may change their cell; -1: any number."`
	Seed          uint64   `name:"seed" default:"1" help:"Seed of the search."`
}

// readDemand reads one file: a list, or a router's log, of which the last line with a demand counts.
func readDemand(file string) (list []cells.TenantDemand, err error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	if bytes.HasPrefix(bytes.TrimSpace(text), []byte("[")) {
		if err := json.Unmarshal(text, &list); err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		return list, nil
	}
	var entry struct {
		Demand []cells.TenantDemand `json:"demand"`
	}
	if !lastLogRecord(text, "demand", &entry) {
		return nil, fmt.Errorf("%s: neither a list nor a log with a line 'demand'", file)
	}
	return entry.Demand, nil
}

// lastLogRecord reads the last line of a router's log that has a message; lines that are none of ours are passed over.
func lastLogRecord(log []byte, message string, into any) (found bool) {
	for line := range bytes.Lines(log) {
		var entry struct {
			Message string `json:"message"`
		}
		if json.Unmarshal(line, &entry) == nil && entry.Message == message && json.Unmarshal(line, into) == nil {
			found = true
		}
	}
	return found
}

// gatherDemand sums the demand of all files by tenant.
func gatherDemand(files []string) ([]cells.TenantDemand, error) {
	var all []cells.TenantDemand
	place := map[string]int{}
	for _, file := range files {
		list, err := readDemand(file)
		if err != nil {
			return nil, err
		}
		for i, d := range list {
			for _, load := range append(slices.Clone(d.Loads), d.PriorityWeight) {
				if !(load >= 0 && load < 1e15) {
					return nil, fmt.Errorf("%s[%d]: %v is no load", file, i, load)
				}
			}
			at, known := place[d.Name]
			if !known {
				place[d.Name] = len(all)
				all = append(all, d)
				continue
			}
			if len(all[at].Loads) != len(d.Loads) {
				return nil, fmt.Errorf("%s[%d]: %d loads of %s, %d before", file, i, len(d.Loads), d.Name, len(all[at].Loads))
			}
			for r, load := range d.Loads {
				all[at].Loads[r] += load
			}
			all[at].PriorityWeight += d.PriorityWeight
		}
	}
	return all, nil
}

func (c *cellsPlanCmd) Run(out io.Writer) error {
	spec, err := loadCellSpec(c.File)
	if err != nil {
		return err
	}
	lines, err := gatherDemand(c.Demand)
	if err != nil {
		return err
	}
	place := map[string]int{}
	aim := plan.Objective{MaxPriorityShare: c.MaxCellWeight, MaxMigrations: c.MaxMigrations, Seed: c.Seed}
	for i, cell := range spec.Cells {
		place[cell.Name] = i
		aim.Shares = append(aim.Shares, cell.Share)
	}
	now := map[string]int{}
	for _, t := range spec.Tenants {
		now[t.Name] = place[t.Cell]
	}
	var demand []plan.Demand
	for _, l := range lines {
		at, known := now[l.Name]
		if !known {
			at = -1
		}
		demand = append(demand, plan.Demand{Name: l.Name, Loads: l.Loads, PriorityWeight: l.PriorityWeight, CurrentCell: at})
	}
	p, err := plan.Propose(demand, aim)
	if err != nil && !errors.Is(err, plan.ErrInfeasible) {
		return err
	}
	fmt.Fprintf(out, "worst cell %.3f of an even one, bound %.3f, %d moves, at most %.3f of the worth in one cell\n", p.MaxLoad, p.MaxLoadLowerBound, p.Migrations, p.MaxPriorityShare)
	for i, d := range demand {
		switch {
		case d.CurrentCell < 0:
			fmt.Fprintf(out, "%s: new, to %s\n", d.Name, spec.Cells[p.CellByTenant[i]].Name)
		case d.CurrentCell != p.CellByTenant[i]:
			fmt.Fprintf(out, "%s: from %s to %s\n", d.Name, spec.Cells[d.CurrentCell].Name, spec.Cells[p.CellByTenant[i]].Name)
		}
	}
	return err
}

func main() {
	if err := run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "spanctl:", err)
		os.Exit(1)
	}
}

// run carries one command line out.
func run(args []string, out io.Writer) error {
	var c cli
	parser, err := kong.New(&c, kong.Name("spanctl"), kong.Description("Checks, explains and plans what routers are told."))
	if err != nil {
		return err
	}
	ctx, err := parser.Parse(args)
	if err != nil {
		return err
	}
	ctx.BindTo(out, (*io.Writer)(nil))
	return ctx.Run()
}
