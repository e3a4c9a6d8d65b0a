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
func (c *Config) Hierarchy(style string) (*hierarchy.Shape, error) {
	if c.Hubs < 1 {
		return nil, fmt.Errorf("shape: hubs: %d is under 1", c.Hubs)
	}
	s := &hierarchy.Shape{Version: 1, Head: hierarchy.Head{Name: "head", KbPerS: c.originKbS()}}
	if style != Planned {
		s.Head.KbPerS = anything
	}
	for h := range c.Hubs {
		a := hierarchy.Area{Name: hubName(h), Miss: 0.35}
		for i := h; i < c.Parents; i += c.Hubs {
			a.Servers = append(a.Servers, parentName(i))
		}
		s.Areas = append(s.Areas, a)
		s.Ways = append(s.Ways, hierarchy.Way{From: a.Name, To: "head", KbPerS: anything, Ms: ms2(c.originWay())})
	}
	for d := range c.Depots {
		depot := hierarchy.Depot{Name: zoneName(d), KbPerS: c.fillKbS() / float64(c.Depots)}
		if style != Planned {
			depot.KbPerS = 1 // what there is always fits
		}
		s.Depots = append(s.Depots, depot)
		for h := range c.Hubs {
			way := hierarchy.Way{From: depot.Name, To: hubName(h), KbPerS: c.linkKbS(), Ms: ms2(hubWay)}
			if h != d%c.Hubs {
				if style == Direct {
					continue
				}
				if way.Ms = ms2(hubWay + farWay); style == Near { // and so far that no object has its place there
					way.Ms = hierarchy.Refuse / 2
				}
				if c.FarRoom > 0 && style == Planned {
					way.KbPerS = min(way.KbPerS, c.farKbS())
				}
			}
			s.Ways = append(s.Ways, way)
		}
		if style != Near {
			s.Ways = append(s.Ways, hierarchy.Way{From: depot.Name, To: "head", KbPerS: c.linkKbS(), Ms: ms2(hubWay + c.originWay() + originAsk)})
		}
	}
	return s, nil
}

// ms2 is the way there and back, in ms.
func ms2(us int64) float64 { return 2 * float64(us) / float64(ms) }

func hubName(hub int) string { return fmt.Sprintf("hub-%d", hub) }

func parentName(i int) string { return fmt.Sprintf("p-%08x", uint32(i+1)*2654435761) }
