package emulator

import (
	"fmt"

	"spantack/core/cells"
	"spantack/core/migration"
)

// compileChanges validates the configured changes and compiles their cell assignments.
func (w *World) compileChanges() error {
	current := w.assignment
	var lastDocument *migration.Document
	for i, change := range w.config.Changes {
		var assignment *cells.Assignment
		if change.Cells != nil {
			var err error
			if assignment, err = cells.Compile(change.Cells); err != nil {
				return fmt.Errorf("changes[%d]: %w", i, err)
			}
			current = assignment
		}
		if doc := change.Migrations; doc != nil {
			if err := doc.Validate(change.AtSeconds*1000, lastDocument); err != nil {
				return fmt.Errorf("changes[%d]: %w", i, err)
			}
			if err := current.ValidateMigrations(doc); err != nil {
				return fmt.Errorf("changes[%d]: %w", i, err)
			}
			lastDocument = doc
		}
		w.assignmentByChange = append(w.assignmentByChange, assignment)
	}
	return nil
}

// scheduleChanges schedules each change at each router, at a random time within maxReloadDelay after the time of the
// change.
func (w *World) scheduleChanges() {
	for i, change := range w.config.Changes {
		for r := range w.routers {
			w.pushChange(int32(r), i, fromSeconds(change.AtSeconds)+drawDelay(w.miscRandom, maxReloadDelay))
		}
	}
}

func (w *World) pushChange(router int32, change int, at int64) {
	w.push(event{
		time:       at,
		kind:       eventConfigChange,
		target:     router,
		generation: w.routers[router].generation,
		value:      int64(change),
	})
}

// applyChange applies a change at a router, unless the router has already applied this or a later one.
func (w *World) applyChange(router *simulatedRouter, change int) {
	if change < router.appliedChanges {
		return
	}
	router.appliedChanges = change + 1
	if assignment := w.assignmentByChange[change]; assignment != nil {
		router.module.SetAssignment(w.now, assignment)
	}
	if doc := w.config.Changes[change].Migrations; doc != nil {
		router.module.SetMigrations(w.now, doc)
	}
}

// applyPastChanges applies the changes up to now at a router that has just started. The router has the documents but
// has lost the progress of its migrations. After a restart, applyPastChanges also schedules the later changes for the
// new generation of the router. At the start of the run, scheduleChanges schedules them instead.
func (w *World) applyPastChanges(id int32) {
	router := &w.routers[id]
	router.appliedChanges = 0
	for i, change := range w.config.Changes {
		at := fromSeconds(change.AtSeconds)
		switch {
		case at <= w.now:
			w.applyChange(router, i)
		case w.now > 0:
			w.pushChange(id, i, at+drawDelay(router.random, maxReloadDelay))
		}
	}
}
