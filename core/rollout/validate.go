package rollout

import (
	"errors"
	"fmt"
	"math"
	"strings"
)

// Bounds of a rollout.
const (
	// MaxRings is the maximum number of rings of a rollout.
	MaxRings = 16
	// maxPrefix is the maximum length of Prefix, in hex digits.
	maxPrefix = 16
	// maxFamily is the upper bound of FamilyRange. Families are numbered from 0.
	maxFamily = 255
	// minJudgeWithin is the lower, judgeWithinLimit the exclusive upper bound of Ring.JudgeWithin, in ms.
	minJudgeWithin   = 1000
	judgeWithinLimit = 1e10
	// maxOldCopyAge is the upper bound of OldCopyMaxAge in ms: a week.
	maxOldCopyAge = 7 * 24 * 3600 * 1000
	// maxMinDegradation is the upper bound of TestParameters.MinDegradation.
	maxMinDegradation = 100
)

// ErrInvalid is wrapped by every error of Validate. The text is the field, then ErrInvalid, then the details.
var ErrInvalid = errors.New("invalid rollout")

// invalid returns an error that names a field and wraps ErrInvalid.
func invalid(field, format string, args ...any) error {
	return fmt.Errorf("%s: %w: %s", field, ErrInvalid, fmt.Sprintf(format, args...))
}

// Validate returns an error for the first invalid field, or nil. The error names the field and wraps ErrInvalid. A cell
// must not be in two rings, and rings must be in the order of OpensAt.
func (r *Rollout) Validate() error {
	switch {
	case r.Version < 1:
		return invalid("version", "%d is less than 1", r.Version)
	case r.Name == "":
		return invalid("name", "must not be empty")
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

// validateObjects checks Prefix and FamilyRange.
func (r *Rollout) validateObjects() error {
	families := r.FamilyRange
	switch {
	case r.Prefix == "" && families == nil:
		return invalid("prefix", "neither prefix nor families is set: a release must not contain all objects")
	case len(r.Prefix) > maxPrefix || strings.Trim(r.Prefix, "0123456789abcdef") != "":
		return invalid("prefix", "%q is not a string of up to %d hex digits", r.Prefix, maxPrefix)
	case families == nil:
		return nil
	case len(families) != 2 || families[0] < 0 || families[1] > maxFamily || families[0] > families[1]:
		return invalid("families", "%v: must be two family numbers from 0 to %d in ascending order",
			families, maxFamily)
	}
	return nil
}

// validateReplacement checks the fields that apply only to a release that replaces objects.
func (r *Rollout) validateReplacement() error {
	switch {
	case r.OnStop != "" && r.OnStop != RejectWhenStopped && r.OnStop != ServeWhenStopped:
		return invalid("back", "%q is neither %s nor %s", r.OnStop, RejectWhenStopped, ServeWhenStopped)
	case r.OnStop != "" && !r.ReplacesObjects:
		return invalid("back", "%q without renews: requests for new objects are always rejected", r.OnStop)
	case !(r.OldCopyMaxAge >= 0 && r.OldCopyMaxAge <= maxOldCopyAge):
		return invalid("keep", "%v ms is not between 0 and a week", r.OldCopyMaxAge)
	case r.ReplacesObjects && r.OldCopyMaxAge == 0:
		return invalid("keep", "0 ms with renews: must be above 0")
	case !r.ReplacesObjects && r.OldCopyMaxAge > 0:
		return invalid("keep", "%v ms without renews: new objects have no old copies", r.OldCopyMaxAge)
	}
	return nil
}

// validateRings checks each ring, and that no cell is in two rings and that rings are in the order of OpensAt.
func (r *Rollout) validateRings() error {
	if len(r.Rings) == 0 || len(r.Rings) > MaxRings {
		return invalid("rings", "%d rings, 1 to %d allowed", len(r.Rings), MaxRings)
	}
	seen := map[string]bool{}
	previous := r.Since
	for i, ring := range r.Rings {
		field := fmt.Sprintf("rings[%d]", i)
		if len(ring.Cells) == 0 {
			return invalid(field+".cells", "must not be empty")
		}
		for _, cell := range ring.Cells {
			if cell == "" || seen[cell] {
				return invalid(field+".cells", "%q is empty or already in a ring", cell)
			}
			seen[cell] = true
		}
		if !isTime(ring.OpensAt) || ring.OpensAt < previous {
			return invalid(field+".open", "%v: must be %v (since or the previous ring) or later",
				ring.OpensAt, previous)
		}
		if !(ring.JudgeWithin >= minJudgeWithin && ring.JudgeWithin < judgeWithinLimit) {
			return invalid(field+".for", "%v ms is not from %d to below %v", ring.JudgeWithin, minJudgeWithin, judgeWithinLimit)
		}
		previous = ring.OpensAt
	}
	return nil
}

// isTime reports whether ms is a finite Unix time or 0. NaN is invalid.
func isTime(ms float64) bool { return ms >= 0 && !math.IsInf(ms, 1) }
