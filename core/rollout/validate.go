package rollout

import (
	"errors"
	"fmt"
	"math"
	"strings"
)

// Bounds of a rollout.
const (
	// MaxRings is how many rings a rollout may have.
	MaxRings = 16
	// maxPrefix is how many hex digits of an object's name a prefix may give.
	maxPrefix = 16
	// maxFamily is the greatest family of objects.
	maxFamily = 255
	// minJudgeWithin and judgeWithinLimit bound Ring.JudgeWithin, in ms.
	minJudgeWithin   = 1000
	judgeWithinLimit = 1e10
	// maxOldCopyAge is a week, in ms.
	maxOldCopyAge = 7 * 24 * 3600 * 1000
	// maxHarm bounds TestParameters.MinHarm.
	maxHarm = 100
)

// ErrInvalid is wrapped by every error of Validate, after the field and before what is wrong with its value.
var ErrInvalid = errors.New("invalid rollout")

// invalid is the error for a field.
func invalid(field, format string, args ...any) error {
	return fmt.Errorf("%s: %w: %s", field, ErrInvalid, fmt.Sprintf(format, args...))
}

// Validate returns the first fault, as an error that names the field and wraps ErrInvalid. No cell is in two rings, and
// rings open one after the other.
func (r *Rollout) Validate() error {
	switch {
	case r.Version < 1:
		return invalid("version", "%d is under 1", r.Version)
	case r.Name == "":
		return invalid("name", "missing")
	case !isTime(r.Since) || r.Since == 0:
		return invalid("since", "%v is not a time in Unix ms", r.Since)
	case r.OnUndecided != "" && r.OnUndecided != WaitWhenUndecided && r.OnUndecided != ProceedWhenUndecided:
		return invalid("unsure", "%q is neither %s nor %s", r.OnUndecided, WaitWhenUndecided, ProceedWhenUndecided)
	case !isTime(r.RollbackAt):
		return invalid("stopAt", "%v is not a time in Unix ms", r.RollbackAt)
	}
	if err := r.validateObjects(); err != nil {
		return err
	}
	if err := r.validateReplacement(); err != nil {
		return err
	}
	parameters := r.TestParameters()
	if err := parameters.Validate(); err != nil {
		return err
	}
	return r.validateRings()
}

// validateObjects checks which objects belong to the release.
func (r *Rollout) validateObjects() error {
	families := r.FamilyRange
	switch {
	case r.Prefix == "" && families == nil:
		return invalid("prefix", "neither prefix nor families: a release is not everything")
	case len(r.Prefix) > maxPrefix || strings.Trim(r.Prefix, "0123456789abcdef") != "":
		return invalid("prefix", "%q is not up to %d hex digits", r.Prefix, maxPrefix)
	case families == nil:
		return nil
	case len(families) != 2 || families[0] < 0 || families[1] > maxFamily || families[0] > families[1]:
		return invalid("families", "%v is not first and last, 0 to %d", families, maxFamily)
	}
	return nil
}

// validateReplacement checks what is given for a release that replaces objects, and only then.
func (r *Rollout) validateReplacement() error {
	switch {
	case r.OnRollback != "" && r.OnRollback != RejectOnRollback && r.OnRollback != ServeOnRollback:
		return invalid("back", "%q is neither %s nor %s", r.OnRollback, RejectOnRollback, ServeOnRollback)
	case r.OnRollback != "" && !r.ReplacesObjects:
		return invalid("back", "%q without renews: objects that are new are refused", r.OnRollback)
	case !(r.OldCopyMaxAge >= 0 && r.OldCopyMaxAge <= maxOldCopyAge):
		return invalid("keep", "%v ms is not 0 to a week", r.OldCopyMaxAge)
	case r.ReplacesObjects && r.OldCopyMaxAge == 0:
		return invalid("keep", "0 ms with renews: above 0 is needed")
	case !r.ReplacesObjects && r.OldCopyMaxAge > 0:
		return invalid("keep", "%v ms without renews: there are no old copies", r.OldCopyMaxAge)
	}
	return nil
}

// validateRings checks that no cell is in two rings and that rings open in their order.
func (r *Rollout) validateRings() error {
	if len(r.Rings) == 0 || len(r.Rings) > MaxRings {
		return invalid("rings", "%d of them, 1 to %d allowed", len(r.Rings), MaxRings)
	}
	seen := map[string]bool{}
	previous := r.Since
	for i, ring := range r.Rings {
		field := fmt.Sprintf("rings[%d]", i)
		if len(ring.Cells) == 0 {
			return invalid(field+".cells", "none")
		}
		for _, cell := range ring.Cells {
			if cell == "" || seen[cell] {
				return invalid(field+".cells", "%q is in a ring already, or no name", cell)
			}
			seen[cell] = true
		}
		if !isTime(ring.OpensAt) || ring.OpensAt < previous {
			return invalid(field+".open", "%v is not a time from since or the ring before (%v) on", ring.OpensAt, previous)
		}
		if !(ring.JudgeWithin >= minJudgeWithin && ring.JudgeWithin < judgeWithinLimit) {
			return invalid(field+".for", "%v ms is not %d to %v", ring.JudgeWithin, minJudgeWithin, judgeWithinLimit)
		}
		previous = ring.OpensAt
	}
	return nil
}

// isTime reports whether ms is a finite Unix time, or 0. NaN is none.
func isTime(ms float64) bool { return ms >= 0 && !math.IsInf(ms, 1) }
