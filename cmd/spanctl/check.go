package main

import (
	"fmt"
	"io"

	"spantack/internal/features"
	"spantack/internal/features/schema"
)

type checkCmd struct {
	File   string `name:"file" arg:"" optional:"" help:"The features file."`
	Schema bool   `name:"schema" help:"Print the JSON Schema of features files instead."`
}

// Run checks the file and prints a line for each feature that is on, and one if cells are off. With --schema it prints
// the JSON Schema.
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
	printFeatures(out, f)
	return nil
}

func printFeatures(out io.Writer, f *features.File) {
	if spec := f.CellSpec(); spec != nil {
		fmt.Fprintf(out, "cells: on, version %d, %s, %d cells, %d tenants, %d keys\n",
			spec.Version, spec.Scheme, len(spec.Cells), len(spec.Tenants), len(spec.TenantKeys))
	} else {
		fmt.Fprintln(out, "cells: off")
	}
	if document := f.ActiveMigration(); document != nil {
		fmt.Fprintf(out, "moves: on, version %d, %d migrations\n", document.Version, len(document.Migrations))
	}
	if active := f.ActiveRollout(); active != nil {
		fmt.Fprintf(out, "stage: on, release %s version %d, %d rings\n", active.Name, active.Version, len(active.Rings))
	}
	if topology := &f.Topology; topology.Enabled {
		fmt.Fprintf(out, "shape: on, version %d, %d sites, %d parent groups, %d links\n",
			topology.Version, len(topology.Sites), len(topology.ParentGroups), len(topology.Links))
	}
	if limit := f.ActiveOriginLimit(); limit != nil {
		fmt.Fprintf(out, "shield: on, %s, at most %v fills in flight, fraction %v reserved for uncacheable requests\n",
			limit.Algorithm, limit.MaxInFlight, limit.Reserve)
	}
}
