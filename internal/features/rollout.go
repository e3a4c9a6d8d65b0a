package features

import (
	"reflect"

	"spantack/core/rollout"
)

// Rollout is the section that rolls a release out to cells, ring by ring. It requires that cells are enabled.
type Rollout struct {
	Enabled bool `json:"enabled"`
	rollout.Rollout
}

// ActiveRollout returns the rollout, also if it is finished or in the future; nil if the feature is off.
func (f *File) ActiveRollout() *rollout.Rollout {
	if f == nil || !f.Rollout.Enabled {
		return nil
	}
	return &f.Rollout.Rollout
}

func (f *File) validateRollout() error {
	if f.ActiveRollout() != nil && f.CellSpec() == nil {
		return fieldError("stage.enabled", "true, requires cells.enabled to be true")
	}
	return nil
}

// checkRolloutReplaces checks that a changed rollout of the same name has a higher version.
func (f *File) checkRolloutReplaces(previous *File) error {
	old, next := previous.ActiveRollout(), f.ActiveRollout()
	if old == nil || next == nil || old.Name != next.Name {
		return nil
	}
	return checkVersion("stage.version", old.Version, next.Version, reflect.DeepEqual(old, next))
}
