// Package scenario runs scripted faults between real router processes on loopback. It judges by what reached the
// stand-ins and by what clients got, never by what a router says of itself: what routers say only tells where to aim.
package scenario

import (
	"embed"
	"encoding/json"
	"fmt"
	"io/fs"
	"strconv"
	"strings"

	"github.com/google/go-jsonnet"
)

//go:embed *.jsonnet
var files embed.FS

// fileSuffix ends the name of a scenario's file.
const fileSuffix = ".jsonnet"

// Conditions are what happens to datagrams between routers from a step on. The zero value is a network without faults.
type Conditions struct {
	LossRate      float64 `json:"loss,omitempty"`     // fraction of the datagrams, 0 to 1
	DuplicateRate float64 `json:"double,omitempty"`   // fraction of the datagrams, 0 to 1
	DelayMillis   float64 `json:"delayMs,omitempty"`  // of each datagram
	JitterMillis  float64 `json:"jitterMs,omitempty"` // random further delay, which reorders datagrams

	// The numbers of partitions that the fleet falls into: of neighbouring ranks, or of ranks in turn. Up to 1: it is
	// whole.
	ContiguousPartitions  int `json:"blocks,omitempty"`
	InterleavedPartitions int `json:"parts,omitempty"`
	// Isolated names a router that is cut off from all others; targetHolder is the only one.
	Isolated Target `json:"alone,omitempty"`
	// PartitionFlips is how often InterleavedPartitions comes and goes during the step.
	PartitionFlips int `json:"flips,omitempty"`
}

// Target names routers that a fault is aimed at; or, as a number above 0 and below 1, a fraction of them.
type Target string

// The targets with a name.
const (
	targetNone        Target = ""
	targetHolder      Target = "holder" // the lease holder: in a tree, one of a group
	targetFleetHolder Target = "fleet"  // in a tree, the lease holder of the fleet
)

// fraction returns the target as a fraction of the routers.
func (t Target) fraction() (fraction float64, isFraction bool) {
	fraction, err := strconv.ParseFloat(string(t), 64)
	return fraction, err == nil
}

// isValid reports that the target is one that can be killed.
func (t Target) isValid() bool {
	switch t {
	case targetNone, targetHolder, targetFleetHolder:
		return true
	}
	fraction, isFraction := t.fraction()
	return isFraction && fraction > 0 && fraction < 1
}

// DiscoveryFault is what the discovery service does from a step on.
type DiscoveryFault string

// The faults of the discovery service.
const (
	discoveryUnchanged DiscoveryFault = ""       // as before
	discoveryOpen      DiscoveryFault = "open"   // none
	discoveryCut       DiscoveryFault = "cut"    // it refuses connections, and resets those that there are
	discoverySilent    DiscoveryFault = "silent" // it keeps connections open and says nothing
	discoveryResets    DiscoveryFault = "breaks" // it resets all connections every resetInterval
)

// Step is a while with faults, and what must hold meanwhile. The limit on origin fills must hold in every step. The
// order of the fields is that of the stored form.
type Step struct {
	Name           string      `json:"name"`
	Conditions     *Conditions `json:"conditions,omitempty"` // nil: as before
	Kill           Target      `json:"kill,omitempty"`
	RestartsKilled bool        `json:"restart,omitempty"` // all killed routers come back, under their names
	Freeze         Target      `json:"freeze,omitempty"`  // stands still for FreezeSeconds; targetHolder is the only one
	FreezeSeconds  float64     `json:"freezeS,omitempty"`

	DurationSeconds float64 `json:"forS"`              // above 0, maxStepSeconds at most
	SettleSeconds   float64 `json:"settleS,omitempty"` // after which IsLimitedToFloors and MaxFailedParentFills hold

	MustExceedFloors  bool `json:"regains,omitempty"` // more fills than the floors are in flight; the step ends then
	IsLimitedToFloors bool `json:"floors,omitempty"`  // no more fills than the floors are in flight
	MustFill          bool `json:"fills,omitempty"`   // the origin gets fills

	KillsParent          bool `json:"lose,omitempty"`  // the first parent dies, and the endpoint list stays
	MaxFailedParentFills *int `json:"named,omitempty"` // fills that name the dead parent, by the request log; nil: any
	LimitSlack           int  `json:"slack,omitempty"` // fills that may be in flight beyond the limit

	Discovery     DiscoveryFault `json:"board,omitempty"`
	ChecksDials   bool           `json:"tries,omitempty"`   // dials of the discovery service keep their bound
	MustReconnect bool           `json:"allBack,omitempty"` // all routers that live are connected; the step ends then
}

// Scenario is one file: a deployment, a load and the steps that follow one another.
type Scenario struct {
	Name  string `json:"-"`
	Title string `json:"title"`

	OriginFillsPerRouter float64 `json:"asks"`  // times the routers: the fleet's limit; 0: there is none
	FloorShare           float64 `json:"floor"` // of the limit, which routers have without a lease
	Sites                int     `json:"depots,omitempty"`
	HasVerdicts          bool    `json:"verdicts,omitempty"` // routers share what they observe of parents
	GroupSize            int     `json:"group,omitempty"`    // routers in a group of a tree of leases; 0: no tree

	CacheDelayMillis      float64    `json:"delayMs"` // of an edge cache; parents and the origin take longer
	RequestIntervalMillis float64    `json:"everyMs"` // from one request to the next, over all routers
	Conditions            Conditions `json:"conditions"`
	Steps                 []Step     `json:"steps"`
}

// maxStepSeconds bounds the duration of a step.
const maxStepSeconds = 600

// Names returns the names of the scenarios, sorted.
func Names() []string {
	found, err := fs.Glob(files, "*"+fileSuffix)
	if err != nil {
		panic(err) // the pattern is constant
	}
	for i := range found {
		found[i] = strings.TrimSuffix(found[i], fileSuffix)
	}
	return found
}

// Load reads a scenario. Its error names the field that can't be used.
func Load(name string) (*Scenario, error) {
	source, err := files.ReadFile(name + fileSuffix)
	if err != nil {
		return nil, fmt.Errorf("%s: no such scenario; there are %s", name, strings.Join(Names(), ", "))
	}
	text, err := jsonnet.MakeVM().EvaluateAnonymousSnippet(name+fileSuffix, string(source))
	if err != nil {
		return nil, err
	}
	s := &Scenario{Name: name}
	decoder := json.NewDecoder(strings.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(s); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if err := s.validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return s, nil
}

// validate checks the fields of all steps that not every value fits.
func (s *Scenario) validate() error {
	for i, step := range s.Steps {
		if !step.Kill.isValid() {
			return fmt.Errorf("steps[%d].kill: %q is not holder or fleet, nor above 0 to below 1", i, step.Kill)
		}
		if step.Freeze != targetNone && step.Freeze != targetHolder {
			return fmt.Errorf("steps[%d].freeze: %q is not holder", i, step.Freeze)
		}
		if !(step.DurationSeconds > 0 && step.DurationSeconds <= maxStepSeconds) {
			return fmt.Errorf("steps[%d].forS: %v is not above 0 to %d", i, step.DurationSeconds, maxStepSeconds)
		}
	}
	return nil
}
