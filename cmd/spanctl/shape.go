package main

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"spantack/core/hierarchy"
	"spantack/internal/features"
)

type shapeCmd struct {
	Show shapeShowCmd `name:"show" cmd:"" help:"Levels and ways of a file's shape."`
	Diff shapeDiffCmd `name:"diff" cmd:"" help:"What changes from one file's shape to another's."`
	Plan shapePlanCmd `name:"plan" cmd:"" help:"How fills would be shared out, with areas as warm as told, and lost ones left out."`
}

// shapeOf takes a file in which the shape is on.
func shapeOf(file string) (*hierarchy.Graph, error) {
	f, err := features.Load(file)
	if err != nil {
		return nil, err
	}
	g, err := f.Graph()
	if err == nil && g == nil {
		err = fmt.Errorf("%s: the shape is off", file)
	}
	return g, err
}

type shapeShowCmd struct {
	File string `name:"file" arg:"" help:"The features file."`
}

func (c *shapeShowCmd) Run(out io.Writer) error {
	g, err := shapeOf(c.File)
	if err != nil {
		return err
	}
	s := g.Shape()
	fmt.Fprintf(out, "version %d; head office %s, %.0f KB/s\n", s.Version, s.Head.Name, s.Head.KbPerS)
	line := func(kind, name, more string) {
		level := fmt.Sprintf("level %d", g.Level(name))
		if g.Level(name) < 0 {
			level = "no way to the head office, so nothing fills from it"
		}
		fmt.Fprintf(out, "%s %s, %s%s: fills from %s\n", kind, name, level, more, strings.Join(g.Above(name), ", "))
	}
	for _, a := range s.Areas {
		line("area", a.Name, ", servers "+strings.Join(a.Servers, " "))
	}
	for _, d := range s.Depots {
		line("depot", d.Name, fmt.Sprintf(", %.0f KB/s", d.KbPerS))
	}
	return nil
}

type shapeDiffCmd struct {
	Old string `name:"old" arg:"" help:"The file before."`
	New string `name:"new" arg:"" help:"The file after."`
}

func (c *shapeDiffCmd) Run(out io.Writer) error {
	old, err := shapeOf(c.Old)
	if err != nil {
		return err
	}
	next, err := shapeOf(c.New)
	if err != nil {
		return err
	}
	for _, line := range hierarchy.Changes(old.Shape(), next.Shape()) {
		fmt.Fprintln(out, line)
	}
	return nil
}

type shapePlanCmd struct {
	File  string             `name:"file" arg:"" help:"The features file."`
	Bears map[string]float64 `name:"bears" required:"" help:"KB/s that an area's servers bear warm; one that is not named is lost." placeholder:"AREA=KB"`
	Warm  map[string]float64 `name:"warm" help:"Part of that which they bear now; 1 if left out." placeholder:"AREA=PART"`
}

func (c *shapePlanCmd) Run(out io.Writer) error {
	g, err := shapeOf(c.File)
	if err != nil {
		return err
	}
	s := g.Shape()
	now := map[string]hierarchy.Now{}
	for area, kb := range c.Bears {
		warm, told := c.Warm[area]
		if !told {
			warm = 1
		}
		now[area] = hierarchy.Now{KbPerS: kb * warm, Warm: warm}
	}
	known := map[string]bool{}
	for _, a := range s.Areas {
		known[a.Name] = true
	}
	for _, names := range []map[string]float64{c.Bears, c.Warm} {
		for _, name := range sortedKeys(names) {
			if !known[name] {
				return fmt.Errorf("%q is no area", name)
			}
		}
	}
	share, err := g.Plan(now)
	if err != nil {
		return err
	}
	refused, wanted := 0.0, 0.0
	for i, d := range s.Depots {
		route := share.Route(d.Name)
		var to []string
		for k, part := range route.Parts() {
			if part >= 0.0005 {
				to = append(to, fmt.Sprintf("%s %.1f%%", g.Place(k), 100*part))
			}
		}
		fmt.Fprintf(out, "depot %s, %.0f KB/s: %s", d.Name, d.KbPerS, strings.Join(to, ", "))
		if route.Short > 0 {
			fmt.Fprintf(out, "; no room for %.1f%%", 100*route.Short)
		}
		fmt.Fprintln(out)
		refused += share.Plan.Refused[i]
		wanted += d.KbPerS
	}
	for a, area := range s.Areas {
		sent := share.Above[a]
		for i := range s.Depots {
			sent += share.Plan.To[i][a]
		}
		fmt.Fprintf(out, "area %s: %.0f of %.0f KB/s\n", area.Name, sent, now[area.Name].KbPerS)
	}
	fmt.Fprintf(out, "head office %s: %.0f of %.0f KB/s\n", s.Head.Name, share.Plan.HeadKb, s.Head.KbPerS)
	if wanted > 0 && refused > 0 {
		fmt.Fprintf(out, "no room for %.1f%% of all fills; a KB/s more at the head office would save %.1f KB/s of that\n", 100*refused/wanted, share.Plan.Price/hierarchy.Refuse)
	}
	if wanted == 0 {
		return errors.New("no depot fills anything")
	}
	return nil
}
