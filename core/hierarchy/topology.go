package hierarchy

import (
	"errors"
	"fmt"
	"strings"
)

// Topology is the document that lists the nodes and the links over which they may fill. Routers with the same document
// compile the same graph.
type Topology struct {
	Version      int64         `json:"version" jsonschema:"minimum=0" jsonschema_description:"number of this document; a later one is greater"`
	Origin       Origin        `json:"head"`
	ParentGroups []ParentGroup `json:"areas,omitempty"`
	Sites        []Site        `json:"depots,omitempty"`
	Links        []Link        `json:"ways,omitempty"`
}

// Origin is the root of the hierarchy. It has all objects, and every route ends there.
type Origin struct {
	Name           string  `json:"name"`
	CapacityKBPerS float64 `json:"kbPerS" jsonschema_description:"maximum total rate of all fills from the head office"`
}

// ParentGroup is a set of parent caches at one location. Objects are distributed over its caches by hash.
type ParentGroup struct {
	Name string `json:"name"`
	// ServerPrefixes are the name prefixes of the caches in the group. A cache on the endpoint list gets no fills if its
	// name starts with no prefix of any group.
	ServerPrefixes []string `json:"servers" jsonschema_description:"name prefixes of the servers in the area"`
	// MissRatio is the fraction of requests that a warm group forwards to its own parents. 0 means the default, 0.35.
	MissRatio float64 `json:"miss,omitempty" jsonschema_description:"fraction of the area's requests that it forwards to its own parents, 0 to 1; 0.35 if left out"`
}

// Site is a location with edge caches and routers. Fills start there.
type Site struct {
	Name           string  `json:"name"`
	PeakFillKBPerS float64 `json:"kbPerS" jsonschema_description:"peak rate of the depot's fills"`
}

// Link permits node From to fill from node To.
type Link struct {
	From           string  `json:"from"`
	To             string  `json:"to"`
	CapacityKBPerS float64 `json:"kbPerS" jsonschema_description:"capacity of the way"`
	RTTMillis      float64 `json:"ms,omitempty" jsonschema_description:"round-trip time of the way; of two ways with free capacity the shorter one is used"`
}

// Bounds of a topology.
const (
	MaxNodes = 20_000
	MaxLinks = 200_000
)

// defaultMissRatio is the miss ratio of a warm group for which the document states no miss ratio.
const defaultMissRatio = 0.35

// missRatio returns the miss ratio of the group while it is warm.
func (g *ParentGroup) missRatio() float64 {
	if g.MissRatio == 0 {
		return defaultMissRatio
	}
	return g.MissRatio
}

// ErrTopology is wrapped by every error of Compile.
var ErrTopology = errors.New("invalid topology")

// ErrCycle is wrapped by an error of Compile if links form a cycle, and by an error of Forward if a fill has returned
// to a node and its path is therefore a cycle.
var ErrCycle = errors.New("cycle")

// cycleError reports a cycle of links by its node names. The first name is repeated at the end.
type cycleError struct{ nodes []string }

// Error returns a text that names the nodes of the cycle.
func (e *cycleError) Error() string { return ErrCycle.Error() + ": " + strings.Join(e.nodes, " > ") }

// Is makes the error match ErrCycle.
func (e *cycleError) Is(target error) bool { return target == ErrCycle }

// Cycle returns the node names of the cycle that an error of Compile reports. The first name is repeated at the end. It
// returns nil for any other error.
func Cycle(err error) []string {
	var cycle *cycleError
	if errors.As(err, &cycle) {
		return cycle.nodes
	}
	return nil
}

// invalid returns an error of Compile: the path of the field in the document, the invalid value, and the allowed
// values.
func invalid(field, format string, args ...any) error {
	return fmt.Errorf("%s: %w: %s", field, ErrTopology, fmt.Sprintf(format, args...))
}
