package main

import (
	"errors"
	"fmt"
	"io"

	"spantack/core/cells"
	"spantack/core/cells/plan"
)

type cellsPlanCmd struct {
	File             string   `name:"file" arg:"" help:"The current features file, with the cells and the current cell of each tenant."`
	Demand           []string `name:"demand" required:"" help:"Logs of routers, of which the last record 'demand' is used, or JSON files with a list of {name, loads, worth}, where worth is the priority weight."`
	MaxPriorityShare float64  `name:"most-worth" help:"Largest fraction of the total priority weight (worth) that one cell may have; 0: no bound."`
	MaxMigrations    int      `name:"most-moves" default:"-1" help:"Largest number of tenants that may change their cell; -1: no bound."`
	Seed             uint64   `name:"seed" default:"1" help:"Seed of the search."`
}

// noCell is the current cell of a tenant that is not in the file yet.
const noCell = -1

// Run proposes a cell for each tenant and prints the tenants whose cell changes. If no proposal is within the bounds,
// it prints the closest one and returns an error.
func (c *cellsPlanCmd) Run(out io.Writer) error {
	_, spec, err := loadCellSpec(c.File)
	if err != nil {
		return err
	}
	demand, err := gatherDemand(c.Demand)
	if err != nil {
		return err
	}
	objective := plan.Objective{MaxPriorityShare: c.MaxPriorityShare, MaxMigrations: c.MaxMigrations, Seed: c.Seed}
	for _, cell := range spec.Cells {
		objective.Shares = append(objective.Shares, cell.Share)
	}
	tenants := withCurrentCells(spec, demand)
	proposal, err := plan.Propose(tenants, objective)
	if err != nil && !errors.Is(err, plan.ErrInfeasible) {
		return err
	}
	printProposal(out, spec, tenants, proposal)
	return err
}

// withCurrentCells adds each tenant's current cell to its demand.
func withCurrentCells(spec *cells.Spec, demand []cells.TenantDemand) []plan.Demand {
	cellIndex := map[string]int{}
	for i, cell := range spec.Cells {
		cellIndex[cell.Name] = i
	}
	currentCell := map[string]int{}
	for _, tenant := range spec.Tenants {
		currentCell[tenant.Name] = cellIndex[tenant.Cell]
	}
	var tenants []plan.Demand
	for _, d := range demand {
		cell, known := currentCell[d.Name]
		if !known {
			cell = noCell
		}
		tenants = append(tenants, plan.Demand{
			Name:           d.Name,
			Loads:          d.Loads,
			PriorityWeight: d.PriorityWeight,
			CurrentCell:    cell,
		})
	}
	return tenants
}

func printProposal(out io.Writer, spec *cells.Spec, tenants []plan.Demand, p plan.Plan) {
	fmt.Fprintf(out,
		"highest cell load %.3f times its share, lower bound %.3f, %d migrations, at most %.3f of the weight in one cell\n",
		p.MaxLoad, p.MaxLoadLowerBound, p.Migrations, p.MaxPriorityShare)
	for i, tenant := range tenants {
		proposed := spec.Cells[p.CellByTenant[i]].Name
		switch {
		case tenant.CurrentCell == noCell:
			fmt.Fprintf(out, "%s: new, to %s\n", tenant.Name, proposed)
		case tenant.CurrentCell != p.CellByTenant[i]:
			fmt.Fprintf(out, "%s: from %s to %s\n", tenant.Name, spec.Cells[tenant.CurrentCell].Name, proposed)
		}
	}
}
