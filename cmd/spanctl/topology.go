package main

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"spantack/core/hierarchy"
	"spantack/internal/features"
)

type topologyCmd struct {
	Show topologyShowCmd `name:"show" cmd:"" help:"Levels and links of a file's topology."`
	Diff topologyDiffCmd `name:"diff" cmd:"" help:"What changes from one file's topology to another's."`
	Plan topologyPlanCmd `name:"plan" cmd:"" help:"How fills would be divided, with areas as warm as given, and lost ones left out."`
}

// loadTopology loads a file in which the topology must be on.
func loadTopology(file string) (*hierarchy.Graph, error) {
	f, err := features.Load(file)
	if err != nil {
		return nil, err
	}
	graph, err := f.TopologyGraph()
	if err != nil {
		return nil, err
	}
	if graph == nil {
		return nil, fmt.Errorf("%s: the shape is off", file)
	}
	return graph, nil
}

type topologyShowCmd struct {
	File string `name:"file" arg:"" help:"The features file."`
}

// Run prints the origin, and for each node its level and parents.
func (c *topologyShowCmd) Run(out io.Writer) error {
	graph, err := loadTopology(c.File)
	if err != nil {
		return err
	}
	topology := graph.Topology()
	fmt.Fprintf(out, "version %d; head office %s, %.0f KB/s\n",
		topology.Version, topology.Origin.Name, topology.Origin.CapacityKBPerS)
	for _, group := range topology.ParentGroups {
		printNode(out, graph, "area", group.Name, "servers "+strings.Join(group.ServerPrefixes, " "))
	}
	for _, site := range topology.Sites {
		printNode(out, graph, "depot", site.Name, fmt.Sprintf("%.0f KB/s", site.PeakFillKBPerS))
	}
	return nil
}

func printNode(out io.Writer, graph *hierarchy.Graph, kind, name, details string) {
	level := "no way to the head office, so nothing fills from it"
	if n := graph.Level(name); n >= 0 {
		level = fmt.Sprintf("level %d", n)
	}
	fmt.Fprintf(out, "%s %s, %s, %s: fills from %s\n", kind, name, level, details, strings.Join(graph.Parents(name), ", "))
}

type topologyDiffCmd struct {
	Old string `name:"old" arg:"" help:"The file before."`
	New string `name:"new" arg:"" help:"The file after."`
}

// Run prints a line for each change of the topology.
func (c *topologyDiffCmd) Run(out io.Writer) error {
	old, err := loadTopology(c.Old)
	if err != nil {
		return err
	}
	next, err := loadTopology(c.New)
	if err != nil {
		return err
	}
	for _, line := range hierarchy.Changes(old.Topology(), next.Topology()) {
		fmt.Fprintln(out, line)
	}
	return nil
}

type topologyPlanCmd struct {
	File           string             `name:"file" arg:"" help:"The features file."`
	CapacityKBPerS map[string]float64 `name:"bears" required:"" help:"KB/s that an area's servers can send when warm; one that is not named is lost." placeholder:"AREA=KB"`
	WarmFraction   map[string]float64 `name:"warm" help:"Part of that which they can send now; 1 if left out." placeholder:"AREA=PART"`
}

// minPrintedFraction is the least fraction of a site's fills that is printed.
const minPrintedFraction = 0.0005

// Run prints where each site's fills go, and what areas and the head office get.
func (c *topologyPlanCmd) Run(out io.Writer) error {
	graph, err := loadTopology(c.File)
	if err != nil {
		return err
	}
	if err := c.checkGroupNames(graph.Topology()); err != nil {
		return err
	}
	status := c.groupStatus()
	plan, err := graph.PlanFills(status)
	if err != nil {
		return err
	}
	for _, site := range graph.Topology().Sites {
		printRoute(out, graph, site, plan.Route(site.Name))
	}
	printGroupLoads(out, plan, status)
	return printRejected(out, plan)
}

func (c *topologyPlanCmd) checkGroupNames(topology *hierarchy.Topology) error {
	known := map[string]bool{}
	for _, group := range topology.ParentGroups {
		known[group.Name] = true
	}
	for _, flag := range []map[string]float64{c.CapacityKBPerS, c.WarmFraction} {
		for _, name := range slices.Sorted(maps.Keys(flag)) {
			if !known[name] {
				return fmt.Errorf("%q is no area", name)
			}
		}
	}
	return nil
}

// groupStatus returns the status of each group that the flags name.
func (c *topologyPlanCmd) groupStatus() map[string]hierarchy.GroupStatus {
	status := map[string]hierarchy.GroupStatus{}
	for name, warmCapacity := range c.CapacityKBPerS {
		warm, given := c.WarmFraction[name]
		if !given {
			warm = 1
		}
		status[name] = hierarchy.GroupStatus{CapacityKBPerS: warmCapacity * warm, WarmFraction: warm}
	}
	return status
}

func printRoute(out io.Writer, graph *hierarchy.Graph, site hierarchy.Site, route hierarchy.Route) {
	var targets []string
	for target, fraction := range route.Fractions() {
		if fraction >= minPrintedFraction {
			targets = append(targets, fmt.Sprintf("%s %.1f%%", graph.TargetName(target), 100*fraction))
		}
	}
	fmt.Fprintf(out, "depot %s, %.0f KB/s: %s", site.Name, site.PeakFillKBPerS, strings.Join(targets, ", "))
	if route.RejectedFraction > 0 {
		fmt.Fprintf(out, "; no room for %.1f%%", 100*route.RejectedFraction)
	}
	fmt.Fprintln(out)
}

func printGroupLoads(out io.Writer, plan *hierarchy.FillPlan, status map[string]hierarchy.GroupStatus) {
	topology := plan.Graph.Topology()
	for i, group := range topology.ParentGroups {
		load := plan.ChildDemandKBPerS[i]
		for site := range topology.Sites {
			load += plan.Allocation.ToGroup[site][i]
		}
		fmt.Fprintf(out, "area %s: %.0f of %.0f KB/s\n", group.Name, load, status[group.Name].CapacityKBPerS)
	}
	origin := topology.Origin
	fmt.Fprintf(out, "head office %s: %.0f of %.0f KB/s\n", origin.Name, plan.Allocation.OriginLoad, origin.CapacityKBPerS)
}

// printRejected prints what part of all fills is rejected. It returns an error if no site fills anything.
func printRejected(out io.Writer, plan *hierarchy.FillPlan) error {
	rejected, demand := 0.0, 0.0
	for i, site := range plan.Graph.Topology().Sites {
		rejected += plan.Allocation.Rejected[i]
		demand += site.PeakFillKBPerS
	}
	if demand > 0 && rejected > 0 {
		saved := plan.Allocation.OriginPrice / hierarchy.RejectionCostMillis
		fmt.Fprintf(out, "no room for %.1f%% of all fills; a KB/s more at the head office would save %.1f KB/s of that\n",
			100*rejected/demand, saved)
	}
	if demand == 0 {
		return errors.New("no depot fills anything")
	}
	return nil
}
