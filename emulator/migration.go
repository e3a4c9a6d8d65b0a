package emulator

import (
	"fmt"
	"slices"

	"spantack/core/migration"
	"spantack/core/migration/schedule"
)

// MigrationStyle is the way in which the tenants of a MigrationSpec change their cells.
type MigrationStyle string

// The styles of migrations. CapacityLimiter and Pacer are types of core/migration.
const (
	MigrateNone     MigrationStyle = "none"     // no tenant migrates
	MigratePaced    MigrationStyle = "paced"    // all concurrently, each limited by CapacityLimiter and Pacer
	MigrateRamp     MigrationStyle = "ramp"     // all concurrently, at a fixed rate without these limits
	MigratePlanned  MigrationStyle = "planned"  // as planned by core/migration/schedule
	MigrateOneByOne MigrationStyle = "oneByOne" // each starts at the earliest end of the previous shift
	MigrateAtOnce   MigrationStyle = "atOnce"   // the cell assignment changes at once, without migrations
)

// MigrationSpec describes the migrations of an experiment. If DrainCell is set, all its tenants migrate to the
// TargetCells cells that follow it in Config.Cells. Otherwise TenantCount tenants migrate, each to another cell; the
// tenants and cells are chosen at random by the seed.
type MigrationSpec struct {
	Style          MigrationStyle `json:"style"`
	TenantCount    int            `json:"count,omitempty"`
	DrainCell      string         `json:"evacuate,omitempty"`
	TargetCells    int            `json:"into,omitempty"`
	StartSeconds   float64        `json:"startS"`
	WarmUpSeconds  float64        `json:"warmS"`
	ShiftSeconds   float64        `json:"shiftS"`
	MaxShiftFactor float64        `json:"slow"` // maximum duration of a shift as a multiple of ShiftSeconds
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

// PlanMigrations adds the specified migrations to Changes and sets MigratedTenants. For MigrateNone it only sets
// MigratedTenants. It returns an error if the style is unknown or the migrations cannot be planned.
func (c *Config) PlanMigrations(spec *MigrationSpec) error {
	tenants, requests := c.migrationRequests(spec)
	c.MigratedTenants = tenants
	switch spec.Style {
	case MigrateNone:
		return nil
	case MigrateAtOnce:
		c.reassign(spec.StartSeconds, tenants, requests)
		return nil
	}
	migrations, err := c.migrations(spec, requests)
	if err != nil {
		return err
	}
	for _, m := range migrations {
		c.MigrationEndSeconds = max(c.MigrationEndSeconds, (m.Start+m.WarmUp+m.MinShift)/1000)
	}
	c.Changes = append(c.Changes, Change{
		AtSeconds:  max(spec.StartSeconds-documentLeadSeconds, 0),
		Migrations: &migration.Document{Version: 1, Migrations: migrations},
	})
	c.changeMigrations(spec.PauseSeconds, func(m *migration.Migration) { m.PausedAt = spec.PauseSeconds * 1000 })
	c.changeMigrations(spec.ResumeSeconds, func(m *migration.Migration) { *m = m.Resumed(spec.ResumeSeconds * 1000) })
	c.changeMigrations(spec.RollbackSeconds, func(m *migration.Migration) {
		m.RollbackAt = spec.RollbackSeconds*1000 + rollbackLeadMillis
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

// migrations returns the migrations of the first document. It returns an error if the style is unknown or the
// schedule cannot be planned.
func (c *Config) migrations(spec *MigrationSpec, requests []schedule.Request) ([]migration.Migration, error) {
	if spec.Style == MigratePlanned {
		planned, err := schedule.Plan(requests, c.scheduleConstraints(spec))
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
			Start:      spec.StartSeconds * 1000,
			WarmUp:     spec.WarmUpSeconds * 1000,
			MinShift:   spec.ShiftSeconds * 1000,
			MaxShift:   max(spec.MaxShiftFactor, 1) * spec.ShiftSeconds * 1000,
			Settle:     spec.SettleSeconds * 1000,
			HotObjects: request.HotObjects,
		}
		switch spec.Style {
		case MigratePaced:
		case MigrateRamp:
			m.Unbounded = true
			m.MaxShift = m.MinShift
		case MigrateOneByOne:
			m.Start += float64(i) * (m.WarmUp + m.MinShift)
		default:
			return nil, fmt.Errorf("style %q: must be none, paced, ramp, planned, oneByOne or atOnce", spec.Style)
		}
		all = append(all, m)
	}
	return all, nil
}

// migrationRequests returns the tenants that migrate and a request with the source and target cell for each.
func (c *Config) migrationRequests(spec *MigrationSpec) (tenants []int, requests []schedule.Request) {
	var targets []migrationTarget
	if spec.DrainCell != "" {
		targets = c.drainTargets(spec)
	} else {
		targets = c.drawTargets(spec)
	}
	for _, t := range targets {
		tenants = append(tenants, t.tenant)
		requests = append(requests, c.migrationRequest(spec, t.tenant, t.cell))
	}
	return tenants, requests
}

// migrationTarget is a tenant and the index of the cell that it migrates to.
type migrationTarget struct{ tenant, cell int }

// cellIndexByName returns the index of each cell by its name.
func (c *Config) cellIndexByName() map[string]int {
	indexes := map[string]int{}
	for i, cell := range c.Cells.Cells {
		indexes[cell.Name] = i
	}
	return indexes
}

// drainTargets returns all tenants of the drained cell, assigned round-robin to the TargetCells cells that follow it.
func (c *Config) drainTargets(spec *MigrationSpec) (targets []migrationTarget) {
	from := c.cellIndexByName()[spec.DrainCell]
	for tenant := range c.Cells.Tenants {
		if c.Cells.Tenants[tenant].Cell == spec.DrainCell {
			to := (from + 1 + len(targets)%spec.TargetCells) % len(c.Cells.Cells)
			targets = append(targets, migrationTarget{tenant, to})
		}
	}
	return targets
}

// drawnTenantCount is the number of tenants among which migrating tenants are chosen. These are the tenants with the
// highest load. Tenants with little load have no measurable effect.
const drawnTenantCount = 400

// migrationDrawFactor separates the random choices of different seeds.
const migrationDrawFactor = 0x51ed

// drawTargets returns random tenants, each with a random cell other than its own.
func (c *Config) drawTargets(spec *MigrationSpec) (targets []migrationTarget) {
	indexes := c.cellIndexByName()
	count := len(c.Cells.Cells)
	isDrawn := map[int]bool{}
	for i := uint64(0); len(targets) < min(spec.TenantCount, c.Tenants/2); i++ {
		draw := hashMix(c.Seed*migrationDrawFactor + i)
		tenant := int(draw % uint64(min(c.Tenants, drawnTenantCount)))
		if isDrawn[tenant] {
			continue
		}
		isDrawn[tenant] = true
		own := indexes[c.Cells.Tenants[tenant].Cell]
		to := (own + 1 + int(draw>>32)%(count-1)) % count
		targets = append(targets, migrationTarget{tenant, to})
	}
	return targets
}

// migrationRequest returns the request to the planner for a tenant that migrates.
func (c *Config) migrationRequest(spec *MigrationSpec, tenant, cell int) schedule.Request {
	demand := c.TenantShares()[tenant] * c.RequestsPerSecond * meanRequestKB() / float64(c.Sites)
	request := schedule.Request{
		Tenant:       c.Cells.Tenants[tenant].Name,
		From:         c.Cells.Tenants[tenant].Cell,
		To:           c.Cells.Cells[cell].Name,
		DemandKBPerS: demand,
		FillKB:       demand * schedule.WorkingSetSeconds,
	}
	drift := int(spec.StartSeconds / c.PopularityDriftSeconds)
	for rank := range spec.HotObjects {
		for class := classVideo; class <= classCatalogue; class++ {
			key := objectKey(tenant, class, uint64(rank+drift))
			request.HotObjects = append(request.HotObjects, objectName(tenant, key))
		}
	}
	return request
}

// expectedFillFraction is the fill rate that the planner expects, as a fraction of fillKBPerSecond, from which the
// capacities of links and servers are derived.
const expectedFillFraction = 0.8

// scheduleConstraints returns the constraints for the planner: the spare capacities of the world's cells under normal
// load.
func (c *Config) scheduleConstraints(spec *MigrationSpec) schedule.Constraints {
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
		Start:              spec.StartSeconds * 1000,
		WarmUp:             spec.WarmUpSeconds * 1000,
		MinShift:           spec.ShiftSeconds * 1000,
		MaxShiftFactor:     max(spec.MaxShiftFactor, 1),
		Settle:             spec.SettleSeconds * 1000,
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
