package emulator

import (
	"fmt"

	"spantack/core/hierarchy"
)

// Styles of a shape.
const (
	Planned = "planned" // all ways, each with what it bears
	Near    = "nearest" // all hubs, each taken to bear anything: fills go to the nearest that is there
	Direct  = "direct"  // the near hub, and without it the head office, taken to bear anything
)

// anything is more than any tier bears, KB a second.
const anything = 1e9

// Hierarchy is the shape of a world with hubs, as a document would have it.
func (c *Config) Hierarchy(style string) (*hierarchy.Topology, error) {
	if c.Hubs < 1 {
		return nil, fmt.Errorf("shape: hubs: %d is under 1", c.Hubs)
	}
	s := &hierarchy.Topology{Version: 1, Origin: hierarchy.Origin{Name: "head", CapacityKBPerS: c.originKbS()}}
	if style != Planned {
		s.Origin.CapacityKBPerS = anything
	}
	for h := range c.Hubs {
		a := hierarchy.ParentGroup{Name: hubName(h), MissRatio: 0.35}
		for i := h; i < c.Parents; i += c.Hubs {
			a.ServerPrefixes = append(a.ServerPrefixes, parentName(i))
		}
		s.ParentGroups = append(s.ParentGroups, a)
		s.Links = append(s.Links, hierarchy.Link{From: a.Name, To: "head", CapacityKBPerS: anything, RTTMillis: ms2(c.originWay())})
	}
	for d := range c.Depots {
		depot := hierarchy.Site{Name: zoneName(d), PeakFillKBPerS: c.fillKbS() / float64(c.Depots)}
		if style != Planned {
			depot.PeakFillKBPerS = 1 // what there is always fits
		}
		s.Sites = append(s.Sites, depot)
		for h := range c.Hubs {
			way := hierarchy.Link{From: depot.Name, To: hubName(h), CapacityKBPerS: c.linkKbS(), RTTMillis: ms2(hubWay)}
			if h != d%c.Hubs {
				if style == Direct {
					continue
				}
				if way.RTTMillis = ms2(hubWay + farWay); style == Near { // and so far that no object has its place there
					way.RTTMillis = hierarchy.RejectionCostMillis / 2
				}
				if c.FarRoom > 0 && style == Planned {
					way.CapacityKBPerS = min(way.CapacityKBPerS, c.farKbS())
				}
			}
			s.Links = append(s.Links, way)
		}
		if style != Near {
			s.Links = append(s.Links, hierarchy.Link{From: depot.Name, To: "head", CapacityKBPerS: c.linkKbS(), RTTMillis: ms2(hubWay + c.originWay() + originAsk)})
		}
	}
	return s, nil
}

// ms2 is the way there and back, in ms.
func ms2(us int64) float64 { return 2 * float64(us) / float64(ms) }

func hubName(hub int) string { return fmt.Sprintf("hub-%d", hub) }

func parentName(i int) string { return fmt.Sprintf("p-%08x", uint32(i+1)*2654435761) }
