package emulator

import (
	"fmt"

	"spantack/core/cells"
	"spantack/core/cells/plan"
)

// budgetFraction is the fraction of a capacity that budgets assign. The rest is headroom for bursts.
const budgetFraction = 0.8

// PlanCells divides the tenants of a world among the given number of cells, which have equal shares of each capacity.
// Tenants are placed by their shares of the load, and budgets follow from the world's capacities. It returns the
// assignment and the cell index of each tenant.
func PlanCells(cfg *Config, count int) (*cells.Spec, []int) {
	spec := &cells.Spec{Version: 1, Scheme: cells.SchemeFixed, Budget: cfg.cellBudget()}
	shares := make([]float64, count)
	for i := range shares {
		shares[i] = 1 / float64(count)
		spec.Cells = append(spec.Cells, cells.Cell{Name: fmt.Sprintf("cell-%02d", i), Share: shares[i]})
	}
	var demand []plan.Demand
	for tenant, share := range cfg.TenantShares() {
		demand = append(demand, plan.Demand{
			Name:           fmt.Sprintf("tenant-%05d", tenant),
			Loads:          plan.Loads{share},
			PriorityWeight: share,
			CurrentCell:    -1,
		})
	}
	proposal, err := plan.Propose(demand, plan.Objective{Shares: shares, MaxMigrations: -1, Seed: cfg.Seed})
	if err != nil {
		panic(err) // a plan always exists when migrations are unlimited
	}
	for tenant, d := range demand {
		cell := spec.Cells[proposal.CellByTenant[tenant]].Name
		spec.Tenants = append(spec.Tenants, cells.Tenant{Name: d.Name, Cell: cell})
		key := cells.TenantKey{ObjectPrefix: TenantPrefix(tenant), Tenant: d.Name}
		spec.TenantKeys = append(spec.TenantKeys, key)
	}
	fallback := cells.TenantKey{Tenant: demand[len(demand)-1].Name}
	spec.TenantKeys = append(spec.TenantKeys, fallback)
	return spec, proposal.CellByTenant
}

// cellBudget returns the budget that all cells share. Requests, uncacheable requests and site fills are for one site.
// The capacities of the parents and the origin are for all sites. Open requests are for one router.
func (c *Config) cellBudget() cells.Budget {
	return cells.Budget{
		RequestsPerSecond:    budgetFraction * 1e6 / max(c.RouterCPUMicros, 1) * float64(c.RoutersPerSite),
		FillKBPerSecond:      budgetFraction * c.siteLinkKBPerSecond(),
		ParentKBPerSecond:    budgetFraction * c.streamsPerParent() * float64(c.Parents) * responseKBPerSecond,
		OriginKBPerSecond:    budgetFraction * c.originKBPerSecond(),
		MaxOriginFills:       int(10 * c.originKnee()),
		MaxOpenRequests:      2000,
		ReclaimMillis:        1000,
		UncacheablePerSecond: 4 * c.RequestsPerSecond / float64(c.Sites) * classModels[classReport].share,
	}
}
