package endpoints

import (
	"maps"
	"slices"
	"strings"
	"testing"
)

// Guards against work that goes to a new process at the address of one that has gone: in whatever order the platform
// tells of the two, and also if it never says that the old one has gone, only the new one may count as listed.
func TestOnlyOneServerHasAnAddress(t *testing.T) {
	old := Listing{Server: "old", Addr: "1:1"}
	oldGone := Listing{Server: "old", Addr: "1:1", IsRemoved: true}
	oldMoved := Listing{Server: "old", Addr: "2:2"}
	successor := Listing{Server: "new", Addr: "1:1"}
	late := Listing{Server: "new", Addr: "1:1", StartedAt: 5}
	type event struct {
		isSnapshot bool
		listings   []Listing
		superseded string
	}
	for name, events := range map[string][]event{
		"new one listed first":          {{false, []Listing{successor}, "old"}, {false, []Listing{oldGone}, ""}},
		"old one removed first":         {{false, []Listing{oldGone}, ""}, {false, []Listing{successor}, ""}},
		"one event, new one first":      {{false, []Listing{successor, oldGone}, ""}},
		"one event, old one first":      {{false, []Listing{oldGone, successor}, ""}},
		"snapshot with both":            {{true, []Listing{successor, old}, "old"}},
		"snapshot with both, old first": {{true, []Listing{old, successor}, "old"}},
		"snapshot, new one alone":       {{true, []Listing{successor}, ""}},
		"old one told again, late":      {{false, []Listing{late}, "old"}, {false, []Listing{old}, "old"}},
		"old one told again":            {{false, []Listing{successor}, "old"}, {false, []Listing{old}, "old"}},
		"snapshot with both, known": {{false, []Listing{successor}, "old"}, {true, []Listing{old, successor}, "old"},
			{true, []Listing{successor, old}, "old"}},
		"new one gone, old one back": {{false, []Listing{successor}, "old"},
			{false, []Listing{{Server: "new", Addr: "1:1", IsRemoved: true}}, ""}, {false, []Listing{old}, ""}},
		"old one moves":                 {{false, []Listing{successor, oldMoved}, ""}, {false, []Listing{oldMoved}, ""}},
		"old one told again, unchanged": {{false, []Listing{old}, ""}, {false, []Listing{late}, "old"}},
	} {
		t.Run(name, func(t *testing.T) {
			addresses := NewAddresses()
			addresses.Update(true, []Listing{old})
			for i, event := range events {
				superseded := addresses.Update(event.isSnapshot, event.listings)
				if got := strings.Join(slices.Sorted(maps.Keys(superseded)), " "); got != event.superseded {
					t.Errorf("event %d: superseded %q, want %q", i, got, event.superseded)
				}
			}
		})
	}
}
