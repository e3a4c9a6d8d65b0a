package emulator

import (
	"fmt"

	"spantack/core/cells"
	"spantack/core/cells/plan"
)

// budgetFraction is the part of a thing's capacity that is shared out: what is over it takes up bursts.
const budgetFraction = 0.8

// PlanCells is an assignment of a world's tenants to n cells of equal shares, planned from their parts of the load, with the
// budgets that the world's links bear; and the cell of each tenant.
func PlanCells(cfg *Config, n int) (*cells.Spec, []int) {
	shares := make([]float64, n)
	spec := &cells.Spec{Version: 1, Scheme: cells.SchemeFixed}
	for i := range n {
		shares[i] = 1 / float64(n)
		spec.Cells = append(spec.Cells, cells.Cell{Name: fmt.Sprintf("cell-%02d", i), Share: shares[i]})
	}
	var demand []plan.Demand
	for i, share := range cfg.TenantShares() {
		demand = append(demand, plan.Demand{Name: fmt.Sprintf("tenant-%05d", i), Loads: plan.Loads{share}, PriorityWeight: share, CurrentCell: -1})
	}
	proposed, err := plan.Propose(demand, plan.Objective{Shares: shares, MaxMigrations: -1, Seed: cfg.Seed})
	if err != nil {
		panic(err) // no bound on worth was asked for: there is always a plan
	}
	for i, d := range demand {
		spec.Tenants = append(spec.Tenants, cells.Tenant{Name: d.Name, Cell: spec.Cells[proposed.CellByTenant[i]].Name})
		spec.TenantKeys = append(spec.TenantKeys, cells.TenantKey{ObjectPrefix: TenantPrefix(i), Tenant: d.Name})
	}
	spec.TenantKeys = append(spec.TenantKeys, cells.TenantKey{Tenant: demand[len(demand)-1].Name})
	spec.Budget = cells.Budget{
		RequestsPerSecond:    budgetFraction * 1e6 / max(cfg.RouterCPUMicros, 1) * float64(cfg.RoutersPerSite),
		FillKBPerSecond:      budgetFraction * cfg.siteLinkKBPerSecond(),
		ParentKBPerSecond:    budgetFraction * cfg.streamsPerParent() * float64(cfg.Parents) * responseKBPerSecond,
		OriginKBPerSecond:    budgetFraction * cfg.originKBPerSecond(),
		MaxOriginFills:       int(10 * cfg.originKnee()),
		MaxOpenRequests:      2000,
		ReclaimMillis:        1000,
		UncacheablePerSecond: 4 * cfg.RequestsPerSecond / float64(cfg.Sites) * classModels[classReport].share,
	}
	return spec, proposed.CellByTenant
}
