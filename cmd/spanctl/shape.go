package main

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"spantack/core/hierarchy"
	"spantack/internal/features"
)

type topologyCmd struct {
	Show topologyShowCmd `name:"show" cmd:"" help:"Levels and ways of a file's shape."`
	Diff topologyDiffCmd `name:"diff" cmd:"" help:"What changes from one file's shape to another's."`
	Plan topologyPlanCmd `name:"plan" cmd:"" help:"How fills would be shared out, with areas as warm as told, and lost ones left out."`
}

// loadTopology takes a file in which the shape is on.
func loadTopology(file string) (*hierarchy.Graph, error) {
	f, err := features.Load(file)
	if err != nil {
		return nil, err
	}
	g, err := f.TopologyGraph()
	if err == nil && g == nil {
		err = fmt.Errorf("%s: the shape is off", file)
	}
	return g, err
}

type topologyShowCmd struct {
	File string `name:"file" arg:"" help:"The features file."`
}

func (c *topologyShowCmd) Run(out io.Writer) error {
	g, err := loadTopology(c.File)
	if err != nil {
		return err
	}
	s := g.Topology()
	fmt.Fprintf(out, "version %d; head office %s, %.0f KB/s\n", s.Version, s.Origin.Name, s.Origin.CapacityKBPerS)
	line := func(kind, name, more string) {
		level := fmt.Sprintf("level %d", g.Level(name))
		if g.Level(name) < 0 {
			level = "no way to the head office, so nothing fills from it"
		}
		fmt.Fprintf(out, "%s %s, %s%s: fills from %s\n", kind, name, level, more, strings.Join(g.Parents(name), ", "))
	}
	for _, a := range s.ParentGroups {
		line("area", a.Name, ", servers "+strings.Join(a.ServerPrefixes, " "))
	}
	for _, d := range s.Sites {
		line("depot", d.Name, fmt.Sprintf(", %.0f KB/s", d.PeakFillKBPerS))
	}
	return nil
}

type topologyDiffCmd struct {
	Old string `name:"old" arg:"" help:"The file before."`
	New string `name:"new" arg:"" help:"The file after."`
}

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
	CapacityKBPerS map[string]float64 `name:"bears" required:"" help:"KB/s that an area's servers bear warm; one that is not named is lost." placeholder:"AREA=KB"`
	WarmFraction   map[string]float64 `name:"warm" help:"Part of that which they bear now; 1 if left out." placeholder:"AREA=PART"`
}

func (c *topologyPlanCmd) Run(out io.Writer) error {
	g, err := loadTopology(c.File)
	if err != nil {
		return err
	}
	s := g.Topology()
	now := map[string]hierarchy.GroupStatus{}
	for area, kb := range c.CapacityKBPerS {
		warm, told := c.WarmFraction[area]
		if !told {
			warm = 1
		}
		now[area] = hierarchy.GroupStatus{CapacityKBPerS: kb * warm, WarmFraction: warm}
	}
	known := map[string]bool{}
	for _, a := range s.ParentGroups {
		known[a.Name] = true
	}
	for _, names := range []map[string]float64{c.CapacityKBPerS, c.WarmFraction} {
		for _, name := range sortedKeys(names) {
			if !known[name] {
				return fmt.Errorf("%q is no area", name)
			}
		}
	}
	share, err := g.PlanFills(now)
	if err != nil {
		return err
	}
	refused, wanted := 0.0, 0.0
	for i, d := range s.Sites {
		route := share.Route(d.Name)
		var to []string
		for k, part := range route.Fractions() {
			if part >= 0.0005 {
				to = append(to, fmt.Sprintf("%s %.1f%%", g.TargetName(k), 100*part))
			}
		}
		fmt.Fprintf(out, "depot %s, %.0f KB/s: %s", d.Name, d.PeakFillKBPerS, strings.Join(to, ", "))
		if route.RejectedFraction > 0 {
			fmt.Fprintf(out, "; no room for %.1f%%", 100*route.RejectedFraction)
		}
		fmt.Fprintln(out)
		refused += share.Allocation.Rejected[i]
		wanted += d.PeakFillKBPerS
	}
	for a, area := range s.ParentGroups {
		sent := share.ChildDemandKBPerS[a]
		for i := range s.Sites {
			sent += share.Allocation.ToGroup[i][a]
		}
		fmt.Fprintf(out, "area %s: %.0f of %.0f KB/s\n", area.Name, sent, now[area.Name].CapacityKBPerS)
	}
	fmt.Fprintf(out, "head office %s: %.0f of %.0f KB/s\n", s.Origin.Name, share.Allocation.OriginLoad, s.Origin.CapacityKBPerS)
	if wanted > 0 && refused > 0 {
		fmt.Fprintf(out, "no room for %.1f%% of all fills; a KB/s more at the head office would save %.1f KB/s of that\n", 100*refused/wanted, share.Allocation.OriginPrice/hierarchy.RejectionCostMillis)
	}
	if wanted == 0 {
		return errors.New("no depot fills anything")
	}
	return nil
}
