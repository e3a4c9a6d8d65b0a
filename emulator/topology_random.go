package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"spantack/core/hierarchy"
)

// Capacities in random topologies, and the peak fill rate of each site. One link carries the peak fills of nine sites
// with capacity to spare.
const (
	randomOriginKBPerSecond = 1e4
	randomLinkKBPerSecond   = 1000
	randomFillKBPerSecond   = 100
)

func groupName(group int) string { return fmt.Sprint("a", group) }

func siteName(site int) string { return fmt.Sprint("d", site) }

// nodeNames returns the names of all sites and parent groups.
func nodeNames(t *hierarchy.Topology) (names []string) {
	for _, site := range t.Sites {
		names = append(names, site.Name)
	}
	for _, group := range t.ParentGroups {
		names = append(names, group.Name)
	}
	return names
}

// randomTopology returns a random topology without loops.
func randomTopology(rng *rand.Rand, groups, sites int) *hierarchy.Topology {
	origin := hierarchy.Origin{Name: originNode, CapacityKBPerS: randomOriginKBPerSecond}
	t := &hierarchy.Topology{Origin: origin}
	for group := range groups {
		name := groupName(group)
		t.ParentGroups = append(t.ParentGroups, hierarchy.ParentGroup{Name: name, ServerPrefixes: []string{name + "-"}})
	}
	for site := range sites {
		t.Sites = append(t.Sites, hierarchy.Site{Name: siteName(site), PeakFillKBPerS: randomFillKBPerSecond})
	}
	t.Links = randomLinks(rng, groups, sites)
	return t
}

func randomLink(from, to string) hierarchy.Link {
	return hierarchy.Link{From: from, To: to, CapacityKBPerS: randomLinkKBPerSecond}
}

// randomLinks orders the parent groups at random and returns random links. Links of groups lead only to earlier groups
// or to the origin, so there are no loops.
func randomLinks(rng *rand.Rand, groups, sites int) (links []hierarchy.Link) {
	order := rng.Perm(groups)
	for i, group := range order {
		if i == 0 || rng.IntN(4) == 0 {
			links = append(links, randomLink(groupName(group), originNode))
		}
		for _, k := range rng.Perm(i)[:min(i, 1+rng.IntN(3))] {
			links = append(links, randomLink(groupName(group), groupName(order[k])))
		}
	}
	for site := range sites {
		for _, group := range rng.Perm(groups)[:1+rng.IntN(min(groups, 4))] {
			links = append(links, randomLink(siteName(site), groupName(group)))
		}
	}
	return links
}

// changeTopology returns a copy of a topology with one of three random changes, each of which keeps it valid. Either
// all links are replaced, or all links from one parent group are replaced by one to the origin, or one link is removed.
// In the third case nothing changes if the link is the only one from its node.
func changeTopology(rng *rand.Rand, t *hierarchy.Topology, groups int) *hierarchy.Topology {
	next := *t
	next.Links = slices.Clone(t.Links)
	switch rng.IntN(3) {
	case 0:
		next.Links = randomLinks(rng, groups, len(t.Sites))
	case 1:
		name := groupName(rng.IntN(groups))
		next.Links = slices.DeleteFunc(next.Links, func(l hierarchy.Link) bool { return l.From == name })
		next.Links = append(next.Links, randomLink(name, originNode))
	default:
		dropped := next.Links[rng.IntN(len(next.Links))]
		if len(linksFrom(t, dropped.From)) > 1 {
			next.Links = slices.DeleteFunc(next.Links, func(l hierarchy.Link) bool { return l == dropped })
		}
	}
	return &next
}

// linksFrom returns the links of a node towards the origin.
func linksFrom(t *hierarchy.Topology, node string) (links []hierarchy.Link) {
	for _, link := range t.Links {
		if link.From == node {
			links = append(links, link)
		}
	}
	return links
}

// addLoop returns a copy of a topology with an additional link that closes a loop. The link leads back to a random
// parent group, from that group or from one that is reachable from it.
func addLoop(rng *rand.Rand, t *hierarchy.Topology) *hierarchy.Topology {
	next := *t
	next.Version = 1
	start := groupName(rng.IntN(len(t.ParentGroups)))
	end := start
	for range rng.IntN(len(t.ParentGroups)) {
		links := slices.DeleteFunc(linksFrom(t, end), func(l hierarchy.Link) bool { return l.To == originNode })
		if len(links) == 0 {
			break
		}
		end = links[rng.IntN(len(links))].To
	}
	position := rng.IntN(len(t.Links) + 1)
	next.Links = slices.Insert(slices.Clone(t.Links), position, randomLink(end, start))
	return &next
}

// hasReportedLoop reports whether the topology contains the loop that an error names.
func hasReportedLoop(t *hierarchy.Topology, err error) bool {
	nodes := hierarchy.Cycle(err)
	if len(nodes) < 2 || nodes[0] != nodes[len(nodes)-1] {
		return false
	}
	for i := range nodes[1:] {
		isStep := func(l hierarchy.Link) bool { return l.From == nodes[i] && l.To == nodes[i+1] }
		if !slices.ContainsFunc(t.Links, isStep) {
			return false
		}
	}
	return true
}
