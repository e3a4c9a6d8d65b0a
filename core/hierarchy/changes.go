package hierarchy

import (
	"fmt"
	"strings"
)

// Changes lists what a new topology changes, a line for each node and link that is new, different or gone.
func Changes(old, next *Topology) []string {
	var lines []string
	if old.Origin != next.Origin {
		lines = append(lines, fmt.Sprintf("head office %s, %.0f KB/s: now %s, %.0f KB/s",
			old.Origin.Name, old.Origin.CapacityKBPerS, next.Origin.Name, next.Origin.CapacityKBPerS))
	}
	lines = append(lines, compareItems(old.Sites, next.Sites, Site.key, Site.describe)...)
	lines = append(lines, compareItems(old.ParentGroups, next.ParentGroups, ParentGroup.key, ParentGroup.describe)...)
	return append(lines, compareItems(old.Links, next.Links, Link.key, Link.describe)...)
}

func (s Site) key() string      { return s.Name }
func (s Site) describe() string { return fmt.Sprintf("depot %s, %.0f KB/s", s.Name, s.PeakFillKBPerS) }

func (g ParentGroup) key() string { return g.Name }
func (g ParentGroup) describe() string {
	return fmt.Sprintf("area %s, servers %s, miss %.2f", g.Name, strings.Join(g.ServerPrefixes, " "), g.missRatio())
}

func (l Link) key() string { return l.From + " > " + l.To }
func (l Link) describe() string {
	return fmt.Sprintf("way %s > %s, %.0f KB/s, %.1f ms", l.From, l.To, l.CapacityKBPerS, l.RTTMillis)
}

// compareItems lists the items that are new, different or gone, matched by key.
func compareItems[T any](old, next []T, key, describe func(T) string) []string {
	var lines []string
	before := map[string]string{}
	for _, item := range old {
		before[key(item)] = describe(item)
	}
	remains := map[string]bool{}
	for _, item := range next {
		remains[key(item)] = true
		was, known := before[key(item)]
		is := describe(item)
		switch {
		case !known:
			lines = append(lines, "new: "+is)
		case was != is:
			lines = append(lines, was+": now "+is)
		}
	}
	for _, item := range old {
		if !remains[key(item)] {
			lines = append(lines, "gone: "+describe(item))
		}
	}
	return lines
}
