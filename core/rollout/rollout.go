// Package rollout lets a release or a price file into cells ring by ring, and tests each ring against the cells that
// are still on the old version. A harmful release is stopped.
//
// Guarantee: as long as bad events of ring and control occur independently but for bursts as in the time before, a
// release that does no harm is stopped with a probability of Alpha at most, however long and however often it is
// tested (Ville's inequality), over all metrics together.
//
// The package does no I/O and reads no clock: counts and times come in. Times are Unix milliseconds, spans
// milliseconds.
package rollout

import (
	"cmp"
	"strings"
)

// Rollout is one release on its way through the cells: either objects that are new with it, which cells without the
// release reject, or with ReplacesObjects a new version of objects that the origin has had since Since under their old
// names.
type Rollout struct {
	Version int64  `json:"version" jsonschema:"minimum=0" jsonschema_description:"number of this document; a later one is greater"`
	Name    string `json:"name"`
	// Prefix and FamilyRange tell which objects belong to the release: those whose hex name begins so, those of the first
	// to the last of these families; both where both are given. One of them is needed.
	Prefix      string `json:"prefix,omitempty" jsonschema_description:"how its objects begin, in hex"`
	FamilyRange []int  `json:"families,omitempty" jsonschema_description:"first and last group of its objects"`
	// Since is when the release is at the origin; no ring opens before.
	Since float64 `json:"since" jsonschema_description:"Unix milliseconds; no ring opens before"`
	// ReplacesObjects: the objects had an older version, which the origin served until Since.
	ReplacesObjects bool `json:"renews,omitempty" jsonschema_description:"its objects had an older version, which the head office gave out until since"`
	// OldCopyMaxAge is how old copies of the older version may be where the release is not, in ms. It is above 0 with
	// ReplacesObjects and 0 without.
	OldCopyMaxAge float64 `json:"keep,omitempty" jsonschema_description:"ms: how old copies may be where a ring is shut; with renews only, and then needed"`
	Rings         []Ring  `json:"rings"`
	// OnRollback is what a ring that was stopped here does with replaced objects, until RollbackAt tells when the origin
	// has the old version again: RejectOnRollback, which is the default, or ServeOnRollback.
	OnRollback string `json:"back,omitempty" jsonschema:"enum=refuse,enum=serve" jsonschema_description:"renewed objects of a ring taken back: refuse (if left out) or serve whatever is there"`
	// OnUndecided is what follows a ring that had its time without a verdict: WaitWhenUndecided, which is the default, or
	// ProceedWhenUndecided.
	OnUndecided string `json:"unsure,omitempty" jsonschema:"enum=wait,enum=go" jsonschema_description:"a ring that can't be judged in its time: wait (if left out) or go"`
	// RollbackAt stops all rings from then on; 0: not rolled back. With ReplacesObjects the origin has the old version
	// again by then.
	RollbackAt float64 `json:"stopAt,omitempty" jsonschema_description:"from then on all rings are taken back; with renews the head office has the old version again by then"`
	// Alpha, Beta, MinHarm and Margin are those of TestParameters; 0 stands for the default.
	Alpha   float64 `json:"alpha,omitempty" jsonschema_description:"probability at most that a ring without harm is stopped; 0.01 if left out"`
	Beta    float64 `json:"beta,omitempty" jsonschema_description:"the same that harm is called sound; 0.05 if left out"`
	MinHarm float64 `json:"least,omitempty" jsonschema_description:"smallest harm that matters, as a factor on the odds of a bad event; 2 if left out"`
	Margin  float64 `json:"margin,omitempty" jsonschema_description:"factor that is no harm; 1.1 if left out"`
}

// Ring is a set of cells that get the release at once.
type Ring struct {
	Cells []string `json:"cells"`
	// OpensAt is the earliest time; a ring also waits for the verdict on the one before it.
	OpensAt float64 `json:"open" jsonschema_description:"Unix milliseconds, at the soonest"`
	// JudgeWithin is the span after which a ring without a verdict is RingUndecided.
	JudgeWithin float64 `json:"for" jsonschema_description:"ms in which it must be judged; the next ring opens no sooner than a verdict"`
}

// Values of Rollout.OnRollback and Rollout.OnUndecided; an empty string stands for the first of each.
const (
	RejectOnRollback     = "refuse"
	ServeOnRollback      = "serve"
	WaitWhenUndecided    = "wait"
	ProceedWhenUndecided = "go"
)

// The test parameters of a rollout that leaves them out.
const (
	defaultAlpha   = 0.01
	defaultBeta    = 0.05
	defaultMinHarm = 2.0
	defaultMargin  = 1.1
)

// TestParameters are those that the rings are tested with.
func (r *Rollout) TestParameters() TestParameters {
	return TestParameters{
		Alpha:   cmp.Or(r.Alpha, defaultAlpha),
		Beta:    cmp.Or(r.Beta, defaultBeta),
		MinHarm: cmp.Or(r.MinHarm, defaultMinHarm),
		Margin:  cmp.Or(r.Margin, defaultMargin),
	}
}

// Contains reports whether an object belongs to the release.
func (r *Rollout) Contains(family int, object string) bool {
	inRange := r.FamilyRange == nil || family >= r.FamilyRange[0] && family <= r.FamilyRange[1]
	return inRange && strings.HasPrefix(object, r.Prefix)
}
