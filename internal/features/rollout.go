package features

import (
	"reflect"

	"spantack/core/rollout"
)

// Rollout is the section of a release that is admitted to cells ring by ring. It needs cells.
type Rollout struct {
	Enabled bool `json:"enabled"`
	rollout.Rollout
}

// ActiveRollout returns the rollout in force; nil while the feature is off.
func (f *File) ActiveRollout() *rollout.Rollout {
	if f == nil || !f.Rollout.Enabled {
		return nil
	}
	return &f.Rollout.Rollout
}

func (f *File) validateRollout() error {
	if f.ActiveRollout() != nil && f.CellSpec() == nil {
		return fieldError("stage.enabled", "true, needs cells.enabled true")
	}
	return nil
}

// checkRolloutReplaces checks that a rollout of the same name, if it differs, has a later version.
func (f *File) checkRolloutReplaces(previous *File) error {
	old, next := previous.ActiveRollout(), f.ActiveRollout()
	if old == nil || next == nil || old.Name != next.Name {
		return nil
	}
	return checkVersion("stage.version", old.Version, next.Version, reflect.DeepEqual(old, next))
}
