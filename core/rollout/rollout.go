// Package rollout introduces a release, which is a set of new or changed objects, into cells ring by ring. It compares
// each ring with the cells that still have the old version, and stops a release that degrades a ring.
//
// Guarantee: the probability that a release without degradation is stopped is at most Alpha over all metrics together,
// regardless of how long and how often it is tested (Ville's inequality). The bound is for the test of one ring at one
// router. It rests on two assumptions:
//   - Bad events of ring and control are independent, apart from bursts no larger than those before the ring opened.
//   - The estimate of the odds ratio between ring and control before the ring opened is wrong by at most two standard
//     errors of its logarithm, and by at most a factor of maxUncertainty.
//
// The package does no I/O and does not read the clock: callers pass counts and times. Times are Unix milliseconds,
// durations are milliseconds.
package rollout

import (
	"cmp"
	"strings"
)

// Rollout is the document that describes the rollout of a release. The release either adds new objects, which cells
// without the release reject, or has ReplacesObjects set: it is a new version of existing objects under the same names,
// which the origin serves from Since on.
type Rollout struct {
	Version int64  `json:"version" jsonschema:"minimum=0" jsonschema_description:"version of this document; must be greater than that of the document that it replaces"`
	Name    string `json:"name"`
	// Prefix and FamilyRange select the objects of the release: by a prefix of their hex names, and by the first and
	// last family. The family of an object is its purge group, 0 to 255. If both are set, objects must match both. At
	// least one must be set.
	Prefix      string `json:"prefix,omitempty" jsonschema_description:"prefix of the hex names of its objects"`
	FamilyRange []int  `json:"families,omitempty" jsonschema_description:"first and last purge group of its objects"`
	// Since is the time from which on the origin has the release. No ring may open earlier.
	Since float64 `json:"since" jsonschema_description:"Unix milliseconds from which on the origin has the release; no ring may open earlier"`
	// ReplacesObjects means that the objects had an older version, which the origin served until Since.
	ReplacesObjects bool `json:"renews,omitempty" jsonschema_description:"its objects had an older version, which the origin served until since"`
	// OldCopyMaxAge is the maximum age, in ms, of cached copies of the older version in cells without the release. It
	// must be above 0 with ReplacesObjects, and 0 without.
	OldCopyMaxAge float64 `json:"keep,omitempty" jsonschema_description:"maximum age in ms of cached copies of the older version in closed rings; required with renews, not allowed without"`
	Rings         []Ring  `json:"rings"`
	// OnStop determines what a cell does with requests for replaced objects from the time at which this router stops the
	// cell's ring until RollbackAt. It is RejectWhenStopped, the default, or ServeWhenStopped. From RollbackAt on the
	// origin has the old version again.
	OnStop string `json:"back,omitempty" jsonschema:"enum=refuse,enum=serve" jsonschema_description:"requests for replaced objects in a ring that a router has stopped: refuse (if left out) or serve any version"`
	// OnUndecided determines how the rollout continues after a ring without a verdict within JudgeWithin. It is
	// WaitWhenUndecided, the default, or ProceedWhenUndecided.
	OnUndecided string `json:"unsure,omitempty" jsonschema:"enum=wait,enum=go" jsonschema_description:"after a ring without a verdict in its time: wait for one (if left out) or go on with the next ring"`
	// RollbackAt is the time from which on all rings are stopped; 0: not rolled back. With ReplacesObjects the origin
	// must have the old version again by then.
	RollbackAt float64 `json:"stopAt,omitempty" jsonschema_description:"Unix milliseconds from which on all rings are stopped; with renews the origin must have the old version again by then"`
	// Alpha, Beta, MinDegradation and Margin are the fields of TestParameters; 0 means the default.
	Alpha          float64 `json:"alpha,omitempty" jsonschema_description:"maximum probability that a release without degradation is stopped; 0.01 if left out"`
	Beta           float64 `json:"beta,omitempty" jsonschema_description:"maximum probability that a release with a degradation of at least the value of least is judged healthy; 0.05 if left out"`
	MinDegradation float64 `json:"least,omitempty" jsonschema_description:"smallest degradation that must be found, as an odds ratio of bad events; 2 if left out"`
	Margin         float64 `json:"margin,omitempty" jsonschema_description:"odds ratio of bad events that is tolerated; 1.1 if left out"`
}

// Ring is a set of cells that get the release at the same time.
type Ring struct {
	Cells []string `json:"cells"`
	// OpensAt is the earliest time at which the ring opens. The ring opens only once the previous ring has passed, but
	// see OnUndecided.
	OpensAt float64 `json:"open" jsonschema_description:"Unix milliseconds at which the ring opens, at the earliest"`
	// JudgeWithin is the time, in ms after the ring has opened, after which a ring without a verdict becomes
	// RingUndecided.
	JudgeWithin float64 `json:"for" jsonschema_description:"ms within which a verdict is expected; the next ring waits for the verdict, but see unsure"`
}

// Values of Rollout.OnStop and Rollout.OnUndecided. An empty string means RejectWhenStopped and WaitWhenUndecided.
const (
	RejectWhenStopped    = "refuse"
	ServeWhenStopped     = "serve"
	WaitWhenUndecided    = "wait"
	ProceedWhenUndecided = "go"
)

// Default test parameters.
const (
	defaultAlpha          = 0.01
	defaultBeta           = 0.05
	defaultMinDegradation = 2.0
	defaultMargin         = 1.1
)

// TestParameters returns the test parameters of the rings, with defaults for those that are 0.
func (r *Rollout) TestParameters() TestParameters {
	return TestParameters{
		Alpha:          cmp.Or(r.Alpha, defaultAlpha),
		Beta:           cmp.Or(r.Beta, defaultBeta),
		MinDegradation: cmp.Or(r.MinDegradation, defaultMinDegradation),
		Margin:         cmp.Or(r.Margin, defaultMargin),
	}
}

// Contains reports whether an object belongs to the release.
func (r *Rollout) Contains(family int, object string) bool {
	inRange := r.FamilyRange == nil || family >= r.FamilyRange[0] && family <= r.FamilyRange[1]
	return inRange && strings.HasPrefix(object, r.Prefix)
}
