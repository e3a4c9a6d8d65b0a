package router

import (
	"errors"

	"spantack/core/cells"
	"spantack/core/hierarchy"
	"spantack/core/migration"
	"spantack/core/originlimit"
	"spantack/core/rollout"
)

// Features holds the features of a features file. A nil field means that the feature is off.
type Features struct {
	Cells       *cells.Assignment
	Migrations  *migration.Document // valid for Cells
	Rollout     *rollout.Rollout    // valid for Cells
	Topology    *hierarchy.Graph
	OriginLimit *originlimit.Document
}

// ApplyFeatures puts features in force before it returns. Every request sees either all of them or none. The error
// is from the rollout or the origin limit; the one that failed is not in force.
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

// PlanOnTick makes Tick compute plans for many parent groups; the caller must then call Tick regularly. PlanOnTick
// must be called before the first request.
func (r *Router) PlanOnTick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.admission.PlansInBackground = true
}

// Tick advances migrations and the rollout while no requests arrive, and computes a due fill plan outside the lock.
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

// MigrationStatus returns the progress of this site's migrations, and the version of their document, which is 0
// without one.
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
