package hierarchy

import (
	"errors"
	"fmt"
	"strings"
)

// Topology says which node may fill from which. It is a document: all routers that have the same one make the same
// graph.
type Topology struct {
	Version      int64         `json:"version" jsonschema:"minimum=0" jsonschema_description:"number of this document; a later one is greater"`
	Origin       Origin        `json:"head"`
	ParentGroups []ParentGroup `json:"areas,omitempty"`
	Sites        []Site        `json:"depots,omitempty"`
	Links        []Link        `json:"ways,omitempty"`
}

// Origin is the root of the hierarchy: it has all objects, and every route ends there.
type Origin struct {
	Name           string  `json:"name"`
	CapacityKBPerS float64 `json:"kbPerS" jsonschema_description:"what all fills together may ask of it"`
}

// ParentGroup is a set of parent caches at one place. Objects are spread over its caches by hash.
type ParentGroup struct {
	Name string `json:"name"`
	// ServerPrefixes are the prefixes of the names of its caches. A listed cache that matches no group gets no fills.
	ServerPrefixes []string `json:"servers" jsonschema_description:"how the names of its servers begin"`
	// MissRatio is the fraction of requests that a warm group forwards to its own parents; 0 stands for 0.35.
	MissRatio float64 `json:"miss,omitempty" jsonschema_description:"part of what it is asked for that it asks for in turn, 0 to 1; 0.35 if left out"`
}

// Site is a place with edge caches and routers, where fills begin.
type Site struct {
	Name           string  `json:"name"`
	PeakFillKBPerS float64 `json:"kbPerS" jsonschema_description:"what it fills at its peak"`
}

// Link permits node From to fill from node To.
type Link struct {
	From           string  `json:"from"`
	To             string  `json:"to"`
	CapacityKBPerS float64 `json:"kbPerS" jsonschema_description:"what fits on it"`
	RTTMillis      float64 `json:"ms,omitempty" jsonschema_description:"its length there and back: of two ways with room the shorter is taken"`
}

// Bounds of a topology.
const (
	MaxNodes = 20_000
	MaxLinks = 200_000
)

// defaultMissRatio is the miss ratio of a warm group whose document gives none.
const defaultMissRatio = 0.35

// missRatio is the miss ratio of the group while it is warm.
func (g *ParentGroup) missRatio() float64 {
	if g.MissRatio == 0 {
		return defaultMissRatio
	}
	return g.MissRatio
}

// ErrTopology is wrapped by every error of Compile.
var ErrTopology = errors.New("invalid topology")

// ErrLoop is wrapped by an error of Compile that is a cycle of links, and by an error of Forward for a fill that came
// back.
var ErrLoop = errors.New("cycle")

// cycleError is a cycle of links: node names, the first one again at the end.
type cycleError struct{ nodes []string }

// Error names the nodes of the cycle.
func (e *cycleError) Error() string { return ErrLoop.Error() + ": " + strings.Join(e.nodes, " > ") }

// Is makes the error match ErrLoop.
func (e *cycleError) Is(target error) bool { return target == ErrLoop }

// Cycle returns the nodes of the cycle that an error of Compile reports, the first one again at the end; nil for any
// other error.
func Cycle(err error) []string {
	var cycle *cycleError
	if errors.As(err, &cycle) {
		return cycle.nodes
	}
	return nil
}

// invalid is an error of Compile: the path of the field in the document, what is wrong with its value, what is allowed.
func invalid(field, format string, args ...any) error {
	return fmt.Errorf("%s: %w: %s", field, ErrTopology, fmt.Sprintf(format, args...))
}
