package emulator

import (
	"fmt"

	"spantack/core/hierarchy"
)

// Styles of a world's topology document. With TopologyNearest and TopologyDirect, the fills are not limited by
// capacities, because the document gives the origin unboundedKBPerSecond and each site a peak fill rate of only
// minimalFillKBPerSecond.
const (
	TopologyPlanned = "planned" // all links, with the capacities and fill rates of the world
	TopologyNearest = "nearest" // links from each site to all hubs: sites fill from the nearest available hub
	TopologyDirect  = "direct"  // links from each site to its near hub, and to the origin in case the hub fails
)

// unboundedKBPerSecond is a capacity above that of any server or link.
const unboundedKBPerSecond = 1e9

// minimalFillKBPerSecond is a site load that fits on every link.
const minimalFillKBPerSecond = 1

// originNode is the origin's name in topologies.
const originNode = "head"

func hubName(hub int) string { return fmt.Sprintf("hub-%d", hub) }

// BuildTopology returns the topology document of a world in one of the styles above, as operators would write it. It
// returns an error if the world has no hubs.
func (c *Config) BuildTopology(style string) (*hierarchy.Topology, error) {
	if c.Hubs < 1 {
		return nil, fmt.Errorf("shape: hubs: %d is less than 1", c.Hubs)
	}
	t := &hierarchy.Topology{
		Version: 1,
		Origin:  hierarchy.Origin{Name: originNode, CapacityKBPerS: unboundedKBPerSecond},
	}
	if style == TopologyPlanned {
		t.Origin.CapacityKBPerS = c.originKBPerSecond()
	}
	for hub := range c.Hubs {
		t.ParentGroups = append(t.ParentGroups, c.parentGroup(hub))
		t.Links = append(t.Links, hierarchy.Link{
			From:           hubName(hub),
			To:             originNode,
			CapacityKBPerS: unboundedKBPerSecond,
			RTTMillis:      roundTripMillis(c.originDelay()),
		})
	}
	for site := range c.Sites {
		t.Sites = append(t.Sites, c.topologySite(site, style))
		for hub := range c.Hubs {
			if isNear := hub == site%c.Hubs; isNear || style != TopologyDirect {
				t.Links = append(t.Links, c.hubLink(site, hub, style))
			}
		}
		if style != TopologyNearest {
			t.Links = append(t.Links, hierarchy.Link{
				From:           zoneName(site),
				To:             originNode,
				CapacityKBPerS: c.siteLinkKBPerSecond(),
				RTTMillis:      roundTripMillis(hubDelay + c.originDelay() + originServiceTime),
			})
		}
	}
	return t, nil
}

// parentGroup returns the parents of a hub.
func (c *Config) parentGroup(hub int) hierarchy.ParentGroup {
	group := hierarchy.ParentGroup{Name: hubName(hub), MissRatio: originFillRatio}
	for parent := hub; parent < c.Parents; parent += c.Hubs {
		group.ServerPrefixes = append(group.ServerPrefixes, parentName(parent))
	}
	return group
}

func (c *Config) topologySite(site int, style string) hierarchy.Site {
	s := hierarchy.Site{Name: zoneName(site), PeakFillKBPerS: minimalFillKBPerSecond}
	if style == TopologyPlanned {
		s.PeakFillKBPerS = c.fillKBPerSecond() / float64(c.Sites)
	}
	return s
}

// hubLink returns the link of a site to a hub.
func (c *Config) hubLink(site, hub int, style string) hierarchy.Link {
	link := hierarchy.Link{
		From:           zoneName(site),
		To:             hubName(hub),
		CapacityKBPerS: c.siteLinkKBPerSecond(),
		RTTMillis:      roundTripMillis(hubDelay),
	}
	if hub == site%c.Hubs {
		return link
	}
	link.RTTMillis = roundTripMillis(hubDelay + remoteHubExtraDelay)
	if style == TopologyNearest { // far enough that no object is placed there
		link.RTTMillis = hierarchy.RejectionCostMillis / 2
	}
	if c.RemoteHubCapacityFactor > 0 && style == TopologyPlanned {
		link.CapacityKBPerS = min(link.CapacityKBPerS, c.remoteHubKBPerSecond())
	}
	return link
}
