package emulator

import (
	"fmt"
	"slices"

	"spantack/core/migration"
	"spantack/core/migration/schedule"
)

// MigrationStyle is the way in which the tenants of a MigrationTrial change their cells.
type MigrationStyle string

// The styles of migrations.
const (
	MigrateNone     MigrationStyle = "none"     // no tenant migrates
	MigratePaced    MigrationStyle = "paced"    // all concurrently, each within its bounds
	MigrateRamp     MigrationStyle = "ramp"     // all concurrently, at a fixed pace without bounds
	MigratePlanned  MigrationStyle = "planned"  // as planned by core/migration/schedule
	MigrateOneByOne MigrationStyle = "oneByOne" // each starts when the one before has ended
	MigrateAtOnce   MigrationStyle = "atOnce"   // the cell assignment changes at once, without migrations
)

// MigrationTrial describes the migrations of an experiment: either TenantCount tenants, chosen at random by the seed,
// each to another cell, or all tenants of DrainCell to the TargetCells cells that follow it.
type MigrationTrial struct {
	Style          MigrationStyle `json:"style"`
	TenantCount    int            `json:"count,omitempty"`
	DrainCell      string         `json:"evacuate,omitempty"`
	TargetCells    int            `json:"into,omitempty"`
	StartSeconds   float64        `json:"startS"`
	WarmUpSeconds  float64        `json:"warmS"`
	ShiftSeconds   float64        `json:"shiftS"`
	MaxShiftFactor float64        `json:"slow"` // maximum duration of a shift over ShiftSeconds
	SettleSeconds  float64        `json:"settleS"`
	HotObjects     int            `json:"hot"` // number listed in the document for each tenant and class

	// Times of later documents; 0: none.
	PauseSeconds    float64 `json:"holdS,omitempty"`
	ResumeSeconds   float64 `json:"resumeS,omitempty"`
	RollbackSeconds float64 `json:"backS,omitempty"`
}

// Lead times of documents.
const (
	documentLeadSeconds = 3    // time from the first document to the start of the migrations
	rollbackLeadMillis  = 3000 // time from the document of a rollback to its start
)

// PlanMigrations adds the migrations of a trial to Changes. It sets MigratedTenants also for MigrateNone. It returns an
// error if the style is unknown or the migrations cannot be planned.
func (c *Config) PlanMigrations(trial *MigrationTrial) error {
	tenants, requests := c.migrationRequests(trial)
	c.MigratedTenants = tenants
	switch trial.Style {
	case MigrateNone:
		return nil
	case MigrateAtOnce:
		c.reassign(trial.StartSeconds, tenants, requests)
		return nil
	}
	migrations, err := c.migrations(trial, requests)
	if err != nil {
		return err
	}
	for _, m := range migrations {
		c.MigrationEndSeconds = max(c.MigrationEndSeconds, (m.Start+m.WarmUp+m.MinShift)/1000)
	}
	c.Changes = append(c.Changes, Change{
		AtSeconds:  max(trial.StartSeconds-documentLeadSeconds, 0),
		Migrations: &migration.Document{Version: 1, Migrations: migrations},
	})
	c.changeMigrations(trial.PauseSeconds, func(m *migration.Migration) { m.PausedAt = trial.PauseSeconds * 1000 })
	c.changeMigrations(trial.ResumeSeconds, func(m *migration.Migration) { *m = m.Resumed(trial.ResumeSeconds * 1000) })
	c.changeMigrations(trial.RollbackSeconds, func(m *migration.Migration) {
		m.RollbackAt = trial.RollbackSeconds*1000 + rollbackLeadMillis
	})
	return nil
}

// reassign adds a change that moves the tenants to their new cells at once.
func (c *Config) reassign(atSeconds float64, tenants []int, requests []schedule.Request) {
	next := *c.Cells
	next.Version++
	next.Tenants = slices.Clone(c.Cells.Tenants)
	for i, tenant := range tenants {
		next.Tenants[tenant].Cell = requests[i].To
	}
	c.Changes = append(c.Changes, Change{AtSeconds: atSeconds, Cells: &next})
	c.MigrationEndSeconds = atSeconds
}

// changeMigrations adds a later version of the last document, with change applied to each migration. It does nothing if
// atSeconds is 0.
func (c *Config) changeMigrations(atSeconds float64, change func(*migration.Migration)) {
	if atSeconds == 0 {
		return
	}
	last := c.Changes[len(c.Changes)-1].Migrations
	next := &migration.Document{Version: last.Version + 1, Migrations: slices.Clone(last.Migrations)}
	for i := range next.Migrations {
		change(&next.Migrations[i])
	}
	c.Changes = append(c.Changes, Change{AtSeconds: atSeconds, Migrations: next})
}

// migrations returns the migrations of a trial's first document. It returns an error if the style is unknown or the
// schedule cannot be planned.
func (c *Config) migrations(trial *MigrationTrial, requests []schedule.Request) ([]migration.Migration, error) {
	if trial.Style == MigratePlanned {
		planned, err := schedule.Plan(requests, c.scheduleConstraints(trial))
		if err != nil {
			return nil, err
		}
		return planned.Migrations, nil
	}
	var all []migration.Migration
	for i, request := range requests {
		m := migration.Migration{
			Tenant:     request.Tenant,
			Site:       migration.AllSites,
			From:       request.From,
			To:         request.To,
			Start:      trial.StartSeconds * 1000,
			WarmUp:     trial.WarmUpSeconds * 1000,
			MinShift:   trial.ShiftSeconds * 1000,
			MaxShift:   max(trial.MaxShiftFactor, 1) * trial.ShiftSeconds * 1000,
			Settle:     trial.SettleSeconds * 1000,
			HotObjects: request.HotObjects,
		}
		switch trial.Style {
		case MigratePaced:
		case MigrateRamp:
			m.Unbounded = true
			m.MaxShift = m.MinShift
		case MigrateOneByOne:
			m.Start += float64(i) * (m.WarmUp + m.MinShift)
		default:
			return nil, fmt.Errorf("style %q: must be none, paced, ramp, planned, oneByOne or atOnce", trial.Style)
		}
		all = append(all, m)
	}
	return all, nil
}

// migrationRequests returns the tenants that migrate and a request with the source and target cell for each.
func (c *Config) migrationRequests(trial *MigrationTrial) (tenants []int, requests []schedule.Request) {
	var targets []migrationTarget
	if trial.DrainCell != "" {
		targets = c.drainTargets(trial)
	} else {
		targets = c.drawTargets(trial)
	}
	for _, t := range targets {
		tenants = append(tenants, t.tenant)
		requests = append(requests, c.migrationRequest(trial, t.tenant, t.cell))
	}
	return tenants, requests
}

// migrationTarget is a tenant and the index of the cell that it migrates to.
type migrationTarget struct{ tenant, cell int }

// cellNumbers returns the index of each cell by its name.
func (c *Config) cellNumbers() map[string]int {
	numbers := map[string]int{}
	for i, cell := range c.Cells.Cells {
		numbers[cell.Name] = i
	}
	return numbers
}

// drainTargets returns all tenants of the drained cell, assigned round-robin to the TargetCells cells that follow it.
func (c *Config) drainTargets(trial *MigrationTrial) (targets []migrationTarget) {
	from := c.cellNumbers()[trial.DrainCell]
	for tenant := range c.Cells.Tenants {
		if c.Cells.Tenants[tenant].Cell == trial.DrainCell {
			to := (from + 1 + len(targets)%trial.TargetCells) % len(c.Cells.Cells)
			targets = append(targets, migrationTarget{tenant, to})
		}
	}
	return targets
}

// maxDrawnTenant restricts the choice to the tenants with the highest load, as tenants with little load have no
// measurable effect.
const maxDrawnTenant = 400

// migrationDrawFactor separates the random choices of different seeds.
const migrationDrawFactor = 0x51ed

// drawTargets returns random tenants, each with a random cell other than its own.
func (c *Config) drawTargets(trial *MigrationTrial) (targets []migrationTarget) {
	numbers := c.cellNumbers()
	count := len(c.Cells.Cells)
	isDrawn := map[int]bool{}
	for i := uint64(0); len(targets) < min(trial.TenantCount, c.Tenants/2); i++ {
		draw := hashMix(c.Seed*migrationDrawFactor + i)
		tenant := int(draw % uint64(min(c.Tenants, maxDrawnTenant)))
		if isDrawn[tenant] {
			continue
		}
		isDrawn[tenant] = true
		own := numbers[c.Cells.Tenants[tenant].Cell]
		to := (own + 1 + int(draw>>32)%(count-1)) % count
		targets = append(targets, migrationTarget{tenant, to})
	}
	return targets
}

// migrationRequest returns the request to the planner for a tenant that migrates.
func (c *Config) migrationRequest(trial *MigrationTrial, tenant, cell int) schedule.Request {
	demand := c.TenantShares()[tenant] * c.RequestsPerSecond * meanRequestKB() / float64(c.Sites)
	request := schedule.Request{
		Tenant:       c.Cells.Tenants[tenant].Name,
		From:         c.Cells.Tenants[tenant].Cell,
		To:           c.Cells.Cells[cell].Name,
		DemandKBPerS: demand,
		FillKB:       demand * schedule.WorkingSetSeconds,
	}
	drift := int(trial.StartSeconds / c.PopularityDriftSeconds)
	for rank := range trial.HotObjects {
		for class := classVideo; class <= classCatalogue; class++ {
			key := objectKey(tenant, class, uint64(rank+drift))
			request.HotObjects = append(request.HotObjects, objectName(tenant, key))
		}
	}
	return request
}

// expectedFillFraction is the fill rate that the planner expects, as a fraction of the fill rate that capacities are
// sized for.
const expectedFillFraction = 0.8

// scheduleConstraints returns the constraints for the planner: the spare capacities of the world's cells under normal
// load.
func (c *Config) scheduleConstraints(trial *MigrationTrial) schedule.Constraints {
	sites := float64(c.Sites)
	sentKB := c.RequestsPerSecond * meanRequestKB() / sites
	fillKB := c.fillKBPerSecond() / sites * expectedFillFraction
	originSpareKB := budgetFraction*c.originKBPerSecond() - c.fillKBPerSecond()*originFillRatio
	shareOfCell := map[string]float64{}
	for tenant, share := range c.TenantShares() {
		shareOfCell[c.Cells.Tenants[tenant].Cell] += share
	}
	constraints := schedule.Constraints{
		Site:               migration.AllSites,
		Start:              trial.StartSeconds * 1000,
		WarmUp:             trial.WarmUpSeconds * 1000,
		MinShift:           trial.ShiftSeconds * 1000,
		MaxShiftFactor:     max(trial.MaxShiftFactor, 1),
		Settle:             trial.SettleSeconds * 1000,
		Cells:              map[string]schedule.CellCapacity{},
		SiteFillKBPerS:     max(budgetFraction*c.siteLinkKBPerSecond()-fillKB, 1),
		OriginFillKBPerS:   max(originSpareKB/sites, 0.02*c.originKBPerSecond()/sites),
		OriginFillFraction: 0.2,
	}
	for _, cell := range c.Cells.Cells {
		streams := float64(c.CachesPerSite * c.StreamsPerCache)
		share := shareOfCell[cell.Name]
		constraints.Cells[cell.Name] = schedule.CellCapacity{
			SendKBPerS: cell.Share * streams * responseKBPerSecond,
			UsedKBPerS: share * sentKB,
			FillKBPerS: max(budgetFraction*cell.Share*c.siteLinkKBPerSecond()-share*fillKB, 1),
		}
	}
	return constraints
}
