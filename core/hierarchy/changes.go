package hierarchy

import (
	"fmt"
	"strings"
)

// Changes describes the difference between two topologies: one line for each node and link that was added, changed or
// removed.
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
	return fmt.Sprintf("area %s, servers %s, miss ratio %.2f", g.Name, strings.Join(g.ServerPrefixes, " "), g.missRatio())
}

func (l Link) key() string { return l.From + " > " + l.To }
func (l Link) describe() string {
	return fmt.Sprintf("way %s > %s, %.0f KB/s, %.1f ms", l.From, l.To, l.CapacityKBPerS, l.RTTMillis)
}

// compareItems returns one line for each item that was added, changed or removed. Items are matched by key.
func compareItems[T any](old, next []T, key, describe func(T) string) []string {
	var lines []string
	oldTexts := map[string]string{}
	for _, item := range old {
		oldTexts[key(item)] = describe(item)
	}
	isInNext := map[string]bool{}
	for _, item := range next {
		isInNext[key(item)] = true
		oldText, isInOld := oldTexts[key(item)]
		newText := describe(item)
		switch {
		case !isInOld:
			lines = append(lines, "added: "+newText)
		case oldText != newText:
			lines = append(lines, oldText+": now "+newText)
		}
	}
	for _, item := range old {
		if !isInNext[key(item)] {
			lines = append(lines, "removed: "+describe(item))
		}
	}
	return lines
}
