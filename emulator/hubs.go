package emulator

import (
	"fmt"

	"spantack/core/hierarchy"
)

// Styles of a shape.
const (
	TopologyPlanned = "planned" // all ways, each with what it bears
	TopologyNearest = "nearest" // all hubs, each taken to bear anything: fills go to the nearest that is there
	TopologyDirect  = "direct"  // the near hub, and without it the head office, taken to bear anything
)

// unboundedKBPerSecond is more than any tier bears, KB a second.
const unboundedKBPerSecond = 1e9

// BuildTopology is the shape of a world with hubs, as a document would have it.
func (c *Config) BuildTopology(style string) (*hierarchy.Topology, error) {
	if c.Hubs < 1 {
		return nil, fmt.Errorf("shape: hubs: %d is under 1", c.Hubs)
	}
	s := &hierarchy.Topology{Version: 1, Origin: hierarchy.Origin{Name: "head", CapacityKBPerS: c.originKBPerSecond()}}
	if style != TopologyPlanned {
		s.Origin.CapacityKBPerS = unboundedKBPerSecond
	}
	for h := range c.Hubs {
		a := hierarchy.ParentGroup{Name: hubName(h), MissRatio: 0.35}
		for i := h; i < c.Parents; i += c.Hubs {
			a.ServerPrefixes = append(a.ServerPrefixes, parentName(i))
		}
		s.ParentGroups = append(s.ParentGroups, a)
		s.Links = append(s.Links, hierarchy.Link{From: a.Name, To: "head", CapacityKBPerS: unboundedKBPerSecond, RTTMillis: roundTripMillis(c.originDelay())})
	}
	for d := range c.Sites {
		depot := hierarchy.Site{Name: zoneName(d), PeakFillKBPerS: c.fillKBPerSecond() / float64(c.Sites)}
		if style != TopologyPlanned {
			depot.PeakFillKBPerS = 1 // what there is always fits
		}
		s.Sites = append(s.Sites, depot)
		for h := range c.Hubs {
			way := hierarchy.Link{From: depot.Name, To: hubName(h), CapacityKBPerS: c.siteLinkKBPerSecond(), RTTMillis: roundTripMillis(hubDelay)}
			if h != d%c.Hubs {
				if style == TopologyDirect {
					continue
				}
				if way.RTTMillis = roundTripMillis(hubDelay + remoteHubExtraDelay); style == TopologyNearest { // and so far that no object has its place there
					way.RTTMillis = hierarchy.RejectionCostMillis / 2
				}
				if c.RemoteHubCapacityFactor > 0 && style == TopologyPlanned {
					way.CapacityKBPerS = min(way.CapacityKBPerS, c.remoteHubKBPerSecond())
				}
			}
			s.Links = append(s.Links, way)
		}
		if style != TopologyNearest {
			s.Links = append(s.Links, hierarchy.Link{From: depot.Name, To: "head", CapacityKBPerS: c.siteLinkKBPerSecond(), RTTMillis: roundTripMillis(hubDelay + c.originDelay() + originServiceTime)})
		}
	}
	return s, nil
}

// roundTripMillis is the way there and back, in ms.
func roundTripMillis(us int64) float64 { return 2 * float64(us) / float64(millisecond) }

func hubName(hub int) string { return fmt.Sprintf("hub-%d", hub) }

func parentName(i int) string { return fmt.Sprintf("p-%08x", uint32(i+1)*2654435761) }
