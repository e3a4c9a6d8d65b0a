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
	Show topologyShowCmd `name:"show" cmd:"" help:"Print the levels and parents of sites and parent groups."`
	Diff topologyDiffCmd `name:"diff" cmd:"" help:"Print the changes of the topology from one file to another."`
	Plan topologyPlanCmd `name:"plan" cmd:"" help:"Print how fills are divided among parent groups and the origin, by the groups' capacity and the fraction of it that is available now."`
}

// loadTopology loads the topology of a features file. It returns an error if the topology is off.
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
		return nil, fmt.Errorf("%s: the topology (shape) is off", file)
	}
	return graph, nil
}

type topologyShowCmd struct {
	File string `name:"file" arg:"" help:"The features file."`
}

// Run prints the origin, and the level and parents of each parent group and site.
func (c *topologyShowCmd) Run(out io.Writer) error {
	graph, err := loadTopology(c.File)
	if err != nil {
		return err
	}
	topology := graph.Topology()
	fmt.Fprintf(out, "version %d; origin %s, %.0f KB/s\n",
		topology.Version, topology.Origin.Name, topology.Origin.CapacityKBPerS)
	for _, group := range topology.ParentGroups {
		printNode(out, graph, "parent group", group.Name, "servers "+strings.Join(group.ServerPrefixes, " "))
	}
	for _, site := range topology.Sites {
		printNode(out, graph, "site", site.Name, fmt.Sprintf("%.0f KB/s", site.PeakFillKBPerS))
	}
	return nil
}

func printNode(out io.Writer, graph *hierarchy.Graph, kind, name, details string) {
	level := "no path to the origin, so not used for fills"
	if n := graph.Level(name); n >= 0 {
		level = fmt.Sprintf("level %d", n)
	}
	fmt.Fprintf(out, "%s %s, %s, %s: fills from %s\n", kind, name, level, details, strings.Join(graph.Parents(name), ", "))
}

type topologyDiffCmd struct {
	Old string `name:"old" arg:"" help:"The current features file."`
	New string `name:"new" arg:"" help:"The new features file."`
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
	CapacityKBPerS map[string]float64 `name:"bears" required:"" help:"Capacity of a parent group (area in the features file) when warm, in KB/s. Groups that are not given count as having no capacity." placeholder:"AREA=KB"`
	WarmFraction   map[string]float64 `name:"warm" help:"Fraction of that capacity available now; default: 1." placeholder:"AREA=PART"`
}

// minPrintedFraction is the smallest fraction of a site's fills that is printed.
const minPrintedFraction = 0.0005

// Run prints the targets of each site's fills, and the load of parent groups and the origin.
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
				return fmt.Errorf("unknown parent group %q", name)
			}
		}
	}
	return nil
}

// groupStatus returns the status of the parent groups that have a capacity in the flags, by name.
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
	fmt.Fprintf(out, "site %s, %.0f KB/s: %s", site.Name, site.PeakFillKBPerS, strings.Join(targets, ", "))
	if route.RejectedFraction > 0 {
		fmt.Fprintf(out, "; no capacity for %.1f%%", 100*route.RejectedFraction)
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
		fmt.Fprintf(out, "parent group %s: %.0f of %.0f KB/s\n", group.Name, load, status[group.Name].CapacityKBPerS)
	}
	origin := topology.Origin
	fmt.Fprintf(out, "origin %s: %.0f of %.0f KB/s\n", origin.Name, plan.Allocation.OriginLoad, origin.CapacityKBPerS)
}

// printRejected prints the fraction of all fills that is rejected. It returns an error if no site has fills.
func printRejected(out io.Writer, plan *hierarchy.FillPlan) error {
	rejected, demand := 0.0, 0.0
	for i, site := range plan.Graph.Topology().Sites {
		rejected += plan.Allocation.Rejected[i]
		demand += site.PeakFillKBPerS
	}
	if demand > 0 && rejected > 0 {
		servedPerOriginKB := plan.Allocation.OriginPrice / hierarchy.RejectionCostMillis
		fmt.Fprintf(out,
			"no capacity for %.1f%% of all fills; each further KB/s at the origin would serve %.1f KB/s of the rejected fills\n",
			100*rejected/demand, servedPerOriginKB)
	}
	if demand == 0 {
		return errors.New("no site has fills")
	}
	return nil
}
