// Package scenario plays scripted faults between real router processes on loopback and judges by what reached the stand-ins and what clients
// got, never by what a router says of itself. What routers say only tells where to aim.
package scenario

import (
	"embed"
	"encoding/json"
	"fmt"
	"io/fs"
	"strconv"
	"strings"
	"time"

	"github.com/google/go-jsonnet"
)

//go:embed *.jsonnet
var files embed.FS

// Conditions are what befalls datagrams between routers from a step on.
type Conditions struct {
	LossRate              float64 `json:"loss,omitempty"`
	DuplicateRate         float64 `json:"double,omitempty"`
	DelayMillis           float64 `json:"delayMs,omitempty"`
	JitterMillis          float64 `json:"jitterMs,omitempty"`
	ContiguousPartitions  int     `json:"blocks,omitempty"` // the fleet falls into so many, of neighbouring ranks
	InterleavedPartitions int     `json:"parts,omitempty"`  // the tier falls into so many, by rank in turn
	Isolated              string  `json:"alone,omitempty"`  // "holder": that one hears nobody, and nobody hears it
	PartitionFlips        int     `json:"flips,omitempty"`  // cut and healed so often during the step
}

// Step is a while in which something is the matter, and what must hold meanwhile. The limit must hold in every step.
type Step struct {
	Name               string      `json:"name"`
	Conditions         *Conditions `json:"conditions,omitempty"` // nil: as before
	Kill               string      `json:"kill,omitempty"`       // "holder", "fleet" for the one that holds the fleet in a tree, or the part of all routers that die at once
	RestartsKilled     bool        `json:"restart,omitempty"`    // those that are dead come back, under their names
	Freeze             string      `json:"freeze,omitempty"`     // "holder" stands still for FreezeSeconds
	FreezeSeconds      float64     `json:"freezeS,omitempty"`
	DurationSeconds    float64     `json:"forS"`
	SettleSeconds      float64     `json:"settleS,omitempty"` // after which Floors holds
	MustExceedFloors   bool        `json:"regains,omitempty"` // more than the floors must be out before the step ends; it ends then
	IsLimitedToFloors  bool        `json:"floors,omitempty"`  // no more than the floors may be out
	MustFill           bool        `json:"fills,omitempty"`   // and some must be
	KillsParent        bool        `json:"lose,omitempty"`    // the first area cache dies, and nothing is listed
	MaxDeadParentFills *int        `json:"named,omitempty"`   // so many fills may still name it after SettleSeconds, by the caches' request log
	LimitSlack         int         `json:"slack,omitempty"`   // more that may be out than the limit
	Discovery          string      `json:"board,omitempty"`   // the list service: "cut", "silent", "breaks" (each connection, ten times a second) or "open"; left out: as before
	ChecksDials        bool        `json:"tries,omitempty"`   // the bound on tries at the list service must hold
	MustReconnect      bool        `json:"allBack,omitempty"` // all that live must be connected to it before the step ends; it ends then
}

// Scenario is one file.
type Scenario struct {
	Name                  string     `json:"-"`
	Title                 string     `json:"title"`
	OriginFillsPerRouter  float64    `json:"asks"` // the limit, for each router; 0: none is kept
	FloorShare            float64    `json:"floor"`
	Sites                 int        `json:"depots,omitempty"`
	HasVerdicts           bool       `json:"verdicts,omitempty"`
	GroupSize             int        `json:"group,omitempty"` // ranks in a group of a tree of leases; 0: one router holds the limit
	CacheDelayMillis      float64    `json:"delayMs"`
	RequestIntervalMillis float64    `json:"everyMs"`
	Conditions            Conditions `json:"conditions"`
	Steps                 []Step     `json:"steps"`
}

// Names of the scenarios.
func Names() []string {
	found, err := fs.Glob(files, "*.jsonnet")
	if err != nil {
		panic(err) // the pattern is constant
	}
	for i := range found {
		found[i] = strings.TrimSuffix(found[i], ".jsonnet")
	}
	return found
}

// Load reads a scenario. Its error names what can't be used.
func Load(name string) (*Scenario, error) {
	source, err := files.ReadFile(name + ".jsonnet")
	if err != nil {
		return nil, fmt.Errorf("%s: no such scenario; there are %s", name, strings.Join(Names(), ", "))
	}
	text, err := jsonnet.MakeVM().EvaluateAnonymousSnippet(name+".jsonnet", string(source))
	if err != nil {
		return nil, err
	}
	s := &Scenario{Name: name}
	d := json.NewDecoder(strings.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(s); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	for i, step := range s.Steps {
		if part, err := strconv.ParseFloat(step.Kill, 64); step.Kill != "" && step.Kill != "holder" && step.Kill != "fleet" && (err != nil || !(part > 0 && part < 1)) {
			return nil, fmt.Errorf("%s: steps[%d].kill: %q is not holder or fleet, nor above 0 to below 1", name, i, step.Kill)
		}
		if !(step.DurationSeconds > 0 && step.DurationSeconds <= 600) {
			return nil, fmt.Errorf("%s: steps[%d].forS: %v is not above 0 to 600", name, i, step.DurationSeconds)
		}
	}
	return s, nil
}

// parentCount is how many area caches there are: verdicts keep off one in three at most.
const parentCount = 3

// Options of a play.
type Options struct {
	Routers      int
	Seed         uint64
	RouterBinary string // of the router; empty: built for the purpose
	OnStep       func(step string, done, all int)
}

// What tries at the list service are counted by, and how often it breaks off.
const (
	dialWindow    = 100 * time.Millisecond
	resetInterval = 100 * time.Millisecond
)
