// Package scenario injects scripted faults into a fleet of router processes on loopback, and checks that it keeps its
// bounds. Results are based on the requests that reached the stand-ins and on the responses that clients got. What the
// routers themselves report is used only to choose the targets of faults.
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

// fileSuffix is the suffix of scenario files.
const fileSuffix = ".jsonnet"

// Conditions are the network faults between routers. They last until a later step sets others. The zero value is a
// network without faults.
type Conditions struct {
	LossRate      float64 `json:"loss,omitempty"`     // fraction of the datagrams, 0 to 1
	DuplicateRate float64 `json:"double,omitempty"`   // fraction of the datagrams, 0 to 1
	DelayMillis   float64 `json:"delayMs,omitempty"`  // delay of each datagram
	JitterMillis  float64 `json:"jitterMs,omitempty"` // random additional delay, which reorders datagrams

	// The numbers of partitions: of consecutive ranks, and of interleaved ranks. 0 or 1 means that the network is not
	// partitioned.
	ContiguousPartitions  int `json:"blocks,omitempty"`
	InterleavedPartitions int `json:"parts,omitempty"`
	// Isolated is a router that is cut off from all others. Only targetHolder is valid.
	Isolated Target `json:"alone,omitempty"`
	// PartitionFlips is how many times InterleavedPartitions is applied and removed during the step.
	PartitionFlips int `json:"flips,omitempty"`
}

// Target selects the routers that a fault applies to: by name, or as a number above 0 and below 1, the fraction of the
// routers.
type Target string

// Named targets.
const (
	targetNone        Target = ""
	targetHolder      Target = "holder" // the lease holder; in a lease tree, the holder of some group
	targetFleetHolder Target = "fleet"  // the lease holder of the fleet, in a lease tree
)

// fraction returns the target as a fraction of the routers. isFraction is false for a named target.
func (t Target) fraction() (fraction float64, isFraction bool) {
	fraction, err := strconv.ParseFloat(string(t), 64)
	return fraction, err == nil
}

// isValidKill reports whether the target is a valid value of Step.Kill.
func (t Target) isValidKill() bool {
	switch t {
	case targetNone, targetHolder, targetFleetHolder:
		return true
	}
	fraction, isFraction := t.fraction()
	return isFraction && fraction > 0 && fraction < 1
}

// DiscoveryFault is a fault of the discovery service. It lasts until a later step changes it.
type DiscoveryFault string

// Faults of the discovery service.
const (
	discoveryUnchanged DiscoveryFault = ""       // keeps the previous fault
	discoveryOpen      DiscoveryFault = "open"   // no fault
	discoveryCut       DiscoveryFault = "cut"    // refuses new connections and resets existing ones
	discoverySilent    DiscoveryFault = "silent" // leaves connections open and sends nothing
	discoveryResets    DiscoveryFault = "breaks" // resets all connections every resetInterval
)

// Step is a period of a scenario: the faults that begin with it and the checks that must pass. The limit on origin
// fills is checked in every step. The order of the fields is the order in the stored form.
type Step struct {
	Name           string      `json:"name"`
	Conditions     *Conditions `json:"conditions,omitempty"` // nil: unchanged
	Kill           Target      `json:"kill,omitempty"`
	RestartsKilled bool        `json:"restart,omitempty"` // restarts all killed routers under their names
	Freeze         Target      `json:"freeze,omitempty"`  // frozen for FreezeSeconds; only targetHolder is valid
	FreezeSeconds  float64     `json:"freezeS,omitempty"`

	DurationSeconds float64 `json:"forS"`              // above 0, at most maxStepSeconds
	SettleSeconds   float64 `json:"settleS,omitempty"` // time until IsLimitedToFloors and MaxFailedParentFills must hold

	// MustExceedFloors requires that the fills in flight exceed the sum of the floors by a quarter. The step ends when
	// they do.
	MustExceedFloors  bool `json:"regains,omitempty"`
	IsLimitedToFloors bool `json:"floors,omitempty"` // at most the sum of the floors is in flight
	MustFill          bool `json:"fills,omitempty"`  // fills must reach the origin

	KillsParent bool `json:"lose,omitempty"` // kills the first parent and leaves it in the endpoint list
	// MaxFailedParentFills is the maximum number of fills that are sent to the dead parent after SettleSeconds; nil:
	// not checked.
	MaxFailedParentFills *int `json:"named,omitempty"`
	LimitSlack           int  `json:"slack,omitempty"` // fills allowed in flight beyond the limit

	Discovery     DiscoveryFault `json:"board,omitempty"`
	ChecksDials   bool           `json:"tries,omitempty"`   // dials to the discovery service must stay within a bound
	MustReconnect bool           `json:"allBack,omitempty"` // all running routers must be connected; this ends the step
}

// Scenario is the content of one file: a deployment, a load and a sequence of steps.
type Scenario struct {
	Name  string `json:"-"`
	Title string `json:"title"`

	OriginFillsPerRouter float64 `json:"asks"`  // the fleet limit divided by the number of routers; 0: no limit
	FloorShare           float64 `json:"floor"` // fraction of the limit that routers have without a lease
	Sites                int     `json:"depots,omitempty"`
	// HasVerdicts makes routers share observations about parents and act on verdicts.
	HasVerdicts bool `json:"verdicts,omitempty"`
	GroupSize   int  `json:"group,omitempty"` // routers per group of the lease tree; 0: no tree

	CacheDelayMillis      float64    `json:"delayMs"` // response delay of an edge cache; parents and the origin are slower
	RequestIntervalMillis float64    `json:"everyMs"` // between two requests, over all routers
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

// Load reads a scenario. The error names the scenario and the invalid field.
func Load(name string) (*Scenario, error) {
	source, err := files.ReadFile(name + fileSuffix)
	if err != nil {
		return nil, fmt.Errorf("unknown scenario %s, want one of %s", name, strings.Join(Names(), ", "))
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

// validate checks the targets and durations of all steps.
func (s *Scenario) validate() error {
	for i, step := range s.Steps {
		if !step.Kill.isValidKill() {
			return fmt.Errorf("steps[%d].kill: %q is not holder, fleet or a number above 0 and below 1", i, step.Kill)
		}
		if step.Freeze != targetNone && step.Freeze != targetHolder {
			return fmt.Errorf("steps[%d].freeze: %q is not holder", i, step.Freeze)
		}
		if !(step.DurationSeconds > 0 && step.DurationSeconds <= maxStepSeconds) {
			return fmt.Errorf("steps[%d].forS: %v is not above 0 and at most %d", i, step.DurationSeconds, maxStepSeconds)
		}
	}
	return nil
}
