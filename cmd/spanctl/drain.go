package main

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"spantack/core/migration"
	"spantack/core/migration/schedule"
)

type cellsDrainCmd struct {
	documentFlags
	Cell           string   `name:"cell" arg:"" help:"The cell to be emptied."`
	Targets        []string `name:"into" required:"" help:"The cells that its tenants go to: each to the one with most room left."`
	Demand         []string `name:"demand" required:"" help:"Logs or lists as for plan: of all routers of one depot."`
	Site           string   `name:"depot" default:"*" help:"The depot; * for all."`
	CapacityKBPerS float64  `name:"bears-kb-s" required:"" help:"KB a second that all caches of the depot send at most."`
	OriginFraction float64  `name:"deep" default:"0.2" help:"Part of fills that reach the head office."`
	pace
}

func (c *cellsDrainCmd) Run(out io.Writer) error {
	f, doc, err := c.loadMigration()
	if err != nil {
		return err
	}
	if err := c.validate(); err != nil {
		return err
	}
	spec := f.CellSpec()
	if !(c.CapacityKBPerS > 0) || !(c.OriginFraction >= 0 && c.OriginFraction <= 1) {
		return errors.New("--bears-kb-s: above 0; --deep: 0 to 1")
	}
	list, err := gatherDemand(c.Demand)
	if err != nil {
		return err
	}
	now := c.now()
	aim := schedule.Constraints{Site: c.Site, Start: now + millis(c.StartDelay), WarmUp: millis(c.WarmDuration), MinShift: millis(c.ShiftDuration), MaxShiftFactor: c.MaxSlowdown, Settle: millis(c.SettleDuration), Cells: map[string]schedule.CellCapacity{}, OriginFillFraction: c.OriginFraction}
	lives, fills := map[string]float64{}, map[string]float64{}
	home := map[string]string{}
	for _, t := range spec.Tenants {
		home[t.Name] = cellAtSite(&t, c.Site)
	}
	sum := 0.0
	for _, d := range list {
		if len(d.Loads) < 3 {
			return fmt.Errorf("demand of %s: requests, KB and KB to be filled a second are needed", d.Name)
		}
		lives[home[d.Name]] += d.Loads[1]
		fills[home[d.Name]] += d.Loads[2]
		sum += d.Loads[2]
	}
	for _, cell := range spec.Cells {
		room := schedule.CellCapacity{SendKbPerS: cell.Share * c.CapacityKBPerS, UsedKbPerS: lives[cell.Name]}
		if link := spec.Budget.FillKBPerSecond; link > 0 {
			room.FillKbPerS = max(cell.Share*link-fills[cell.Name], 1)
		}
		aim.Cells[cell.Name] = room
	}
	if link := spec.Budget.FillKBPerSecond; link > 0 {
		aim.SiteFillKbPerS = max(link-sum, 1)
	}
	for _, name := range append(slices.Clone(c.Targets), c.Cell) {
		if _, known := aim.Cells[name]; !known {
			return fmt.Errorf("%q is no cell", name)
		}
	}
	var wishes []schedule.Request
	of := map[string]schedule.Request{}
	come := map[string]float64{}
	for _, d := range list {
		if home[d.Name] != c.Cell {
			continue
		}
		to := slices.MaxFunc(c.Targets, func(a, b string) int {
			left := func(cell string) float64 { return aim.Cells[cell].SendKbPerS - lives[cell] - come[cell] }
			switch {
			case left(a) < left(b):
				return -1
			case left(a) > left(b):
				return 1
			}
			return strings.Compare(b, a)
		})
		come[to] += d.Loads[1]
		w := migrationRequest(d.Name, c.Cell, to, d.Loads[1])
		wishes, of[d.Name] = append(wishes, w), w
	}
	s, err := schedule.Plan(wishes, aim)
	if err != nil {
		return err
	}
	for _, name := range sortedKeys(s.Unscheduled) {
		fmt.Fprintf(out, "%s stays: %s\n", name, s.Unscheduled[name])
	}
	for _, t := range spec.Tenants { // who asked for nothing of late moves at the end: there is nothing to fill for it
		if _, known := of[t.Name]; !known && home[t.Name] == c.Cell && s.Unscheduled[t.Name] == "" {
			s.Migrations = append(s.Migrations, migration.Migration{Tenant: t.Name, Site: c.Site, From: c.Cell, To: c.Targets[0], Start: max(s.End, aim.Start), MinShift: aim.MinShift, MaxShift: aim.MaxShiftFactor * aim.MinShift, Settle: aim.Settle})
		}
	}
	if len(s.Migrations) == 0 {
		return fmt.Errorf("nobody moves out of %s", c.Cell)
	}
	for _, m := range s.Migrations {
		doc.Migrations = append(dropEnded(doc.Migrations, now, m.Tenant), m)
		printMigration(out, &m, now)
	}
	fmt.Fprintf(out, "%d tenants move within %s; no plan within the limits takes less than %s\n", len(s.Migrations), formatDuration(s.End-aim.Start), formatDuration(s.LowerBound-aim.Start))
	for _, name := range sortedKeys(s.PeakUse) {
		fmt.Fprintf(out, "%s: %.0f%% of its limit at most\n", name, 100*s.PeakUse[name])
	}
	for _, circle := range schedule.Cycles(&migration.Document{Migrations: s.Migrations}) {
		fmt.Fprintf(out, "go at one pace, since each needs the room of the next: %s\n", strings.Join(circle, ", "))
	}
	printCellLoads(out, spec, s.Migrations, of)
	return c.saveMigration(out, f, doc)
}

func sortedKeys[V any](m map[string]V) []string {
	var names []string
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
