package cells

import (
	"testing"

	"spantack/rules"
)

// Settings change while requests of confined tenants are open: these end as they would have, their cell's books come back to nothing,
// and a class that was dropped is refused by rules.
func TestRetuneUnderOpenRequests(t *testing.T) {
	set := rules.Settings{
		Classes: []rules.Class{{Name: "video", Deadline: 6_000_000, Promise: 600_000, Gain: 2, Idempotency: "read_like", Group: "all"},
			{Name: "price", Deadline: 3_000_000, Promise: 400_000, Gain: 1, Idempotency: "read_like", Group: "all"}},
		Extra:       rules.Extra{MasterKind: 1, ShieldKind: -1, PassOn: []bool{false, true}, NotesGiven: "all", PaceKbPerS: 2000, Straight: true},
		Kinds:       []string{"box", "origin"},
		Permissions: rules.Permissions{Cancelling: true, MaxAttempts: 8, MaxRetryAfter: 1_000_000},
		Zone:        "east", Zones: []string{"east"},
	}
	m, err := NewModule(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	rows := []rules.Row{{Node: "o", Zone: "east", Kind: "origin", Status: "healthy", Weight: 4}}
	for _, name := range []string{"a", "b", "c", "d"} {
		rows = append(rows, rules.Row{Node: name, Zone: "east", Kind: "box", Status: "healthy", Weight: 4})
	}
	m.Step(0, []rules.Event{{Kind: rules.Members, Mode: "replace", Rows: rows}})
	spec := &Spec{Version: 1, Scheme: Fixed, Cells: []Cell{{Name: "one", Share: 0.5}, {Name: "two", Share: 0.5}},
		Tenants: []Tenant{{Name: "loud", Cell: "one"}, {Name: "rest", Cell: "two"}}, Keys: []Key{{Families: []int{0, 0}, Tenant: "loud"}, {Tenant: "rest"}},
		Budget: Budget{RequestsPerS: 3000, Open: 200}}
	a, err := Compile(spec)
	if err != nil {
		t.Fatal(err)
	}
	m.Confine(0, a)
	ask := func(call, class string) []rules.Action {
		return m.Step(1000, []rules.Event{{Kind: rules.Request, Call: call, Class: class, Object: "x", Group: 0, SizeKb: 10, ExpiresIn: 3_000_000}})
	}
	acts := ask("r1", "video")
	if len(acts) == 0 || acts[0].Kind != rules.Get {
		t.Fatalf("%+v", acts)
	}
	next := set
	next.Classes = []rules.Class{{Name: "price", Deadline: 3_000_000, Promise: 400_000, Gain: 1, Idempotency: "read_like", Group: "all"}}
	next.Extra.PassOn = nil
	if err := m.Retune(2000, next); err != nil {
		t.Fatal(err)
	}
	if m.writes["price"] {
		t.Error("a class of the new settings is still taken for uncacheable")
	}
	if err := m.Retune(2000, rules.Settings{}); err == nil {
		t.Error("settings without a class were taken")
	}
	if again := ask("r2", "price"); len(again) == 0 || again[0].Kind != rules.Get {
		t.Errorf("the new settings: %+v", again)
	}
	if again := ask("r3", "video"); len(again) != 1 || again[0].Kind != rules.Fail {
		t.Errorf("a class that was dropped: %+v", again)
	}
	m.Step(3000, []rules.Event{{Kind: rules.Outcome, Call: "r1", Node: acts[0].Node, Code: rules.Done, Final: true, Note: 1, Rtt: 2000}})
	m.Step(3000, []rules.Event{{Kind: rules.Gone, Call: "r2"}, {Kind: rules.Gone, Call: "r3"}})
	if len(m.open) != 0 || m.cells[0].open != 0 {
		t.Errorf("%d open, %d in its cell", len(m.open), m.cells[0].open)
	}
}
