package router

import (
	"errors"

	"spantack/core/cells"
	"spantack/core/hierarchy"
	"spantack/core/migration"
	"spantack/core/originlimit"
	"spantack/core/rollout"
)

// Features is the parsed content of a features file, with one field for each optional feature. A nil field means that
// the feature is off.
type Features struct {
	Cells       *cells.Assignment
	Migrations  *migration.Document // already validated against Cells
	Rollout     *rollout.Rollout    // already validated against Cells
	Topology    *hierarchy.Graph
	OriginLimit *originlimit.Document
}

// ApplyFeatures applies features, which are in effect when it returns. Every request sees either all of them or none.
// If the rollout or the origin limit is invalid, it is not applied, and the error gives the reason. The other features
// are applied.
func (r *Router) ApplyFeatures(f Features) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.advanceLocked()
	r.admission.SetTopology(now, f.Topology)
	r.admission.SetAssignment(now, f.Cells)
	r.admission.SetMigrations(now, f.Migrations)
	rolloutErr := r.admission.SetRollout(now, f.Rollout)
	originLimitErr := r.admission.SetOriginLimit(now, f.OriginLimit)
	return errors.Join(rolloutErr, originLimitErr)
}

// PlanOnTick makes Tick compute the fill plans of topologies with many parent groups. Otherwise such a plan is computed
// while an event is processed, which delays the event. The caller must then call Tick regularly. PlanOnTick must be
// called before the first request.
func (r *Router) PlanOnTick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.admission.PlansInBackground = true
}

// Tick advances migrations and the rollout. Requests advance them too; Tick does so when there is no traffic. If a fill
// plan of PlanOnTick is due, Tick computes it without holding the lock.
func (r *Router) Tick() {
	r.mu.Lock()
	actions := r.admission.Tick(r.advanceLocked())
	plan := r.admission.TakePlanJob()
	r.mu.Unlock()
	if plan != nil {
		plan.Run()
		r.mu.Lock()
		r.admission.ApplyPlanJob(plan)
		r.mu.Unlock()
	}
	for _, action := range actions {
		r.logModuleText(action)
	}
}

// OriginLimitStatus returns the state of the origin limit; nil without one.
func (r *Router) OriginLimitStatus() *cells.OriginLimitStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.admission.OriginLimitStatus()
}

// RolloutStatus returns the progress of the rollout; nil without one.
func (r *Router) RolloutStatus() *cells.RolloutStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.admission.RolloutStatus()
}

// MigrationStatus returns the progress of this site's migrations, and the version of the migration document; the
// version is 0 without a document.
func (r *Router) MigrationStatus() (statuses []cells.MigrationStatus, version int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.admission.Migrations(r.nowMicros()), r.admission.MigrationsVersion()
}

// maxReportedDemands bounds the number of tenants whose demand CellStatus returns.
const maxReportedDemands = 500

// CellStatus returns the current state of the cells and the recent demand of tenants; nil while cells are off.
func (r *Router) CellStatus() (*cells.Status, []cells.TenantDemand) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.nowMicros()
	return r.admission.Status(now), r.admission.TopDemand(now, maxReportedDemands)
}
