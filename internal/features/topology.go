package features

import (
	"fmt"
	"reflect"

	"spantack/core/hierarchy"
)

// Topology is the section that describes the sites, the parent groups, the origin, and the links that fills may use.
type Topology struct {
	Enabled bool `json:"enabled"`
	hierarchy.Topology
}

// TopologyGraph returns the compiled topology; nil if the feature is off.
func (f *File) TopologyGraph() (*hierarchy.Graph, error) {
	if f == nil || !f.Topology.Enabled {
		return nil, nil
	}
	graph, err := hierarchy.Compile(&f.Topology.Topology)
	if err != nil {
		return nil, fmt.Errorf("shape.%w", err)
	}
	return graph, nil
}

func (f *File) validateTopology() error {
	_, err := f.TopologyGraph()
	return err
}

// checkTopologyReplaces checks that a changed topology has a higher version.
func (f *File) checkTopologyReplaces(previous *File) error {
	if previous == nil || !previous.Topology.Enabled || !f.Topology.Enabled {
		return nil
	}
	old, next := &previous.Topology.Topology, &f.Topology.Topology
	return checkVersion("shape.version", old.Version, next.Version, reflect.DeepEqual(old, next))
}
