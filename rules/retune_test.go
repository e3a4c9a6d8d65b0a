package rules

import (
	"testing"

	"pgregory.net/rapid"
)

func retuneSettings() Settings {
	return Settings{
		Classes: []Class{
			{Name: "video", Deadline: 6_000_000, Promise: 600_000, Gain: 2, Idempotency: "read_like", Group: "all"},
			{Name: "report", Deadline: 3_000_000, Promise: 600_000, Gain: 3, Idempotency: "idempotency_key", Group: "all", MemorySpan: 6_000_000},
		},
		Extra: Extra{MasterKind: 1, ShieldKind: -1, FreshFor: []int64{0, 0}, GraceFor: []int64{0, 0}, PassOn: []bool{false, true},
			NotesGiven: "all", PaceKbPerS: 2000, PurgeTakes: 6_000_000, Straight: true},
		Kinds: []string{"box", "origin"}, Permissions: Permissions{Cancelling: true, MaxAttempts: 8, MaxRetryAfter: 1_000_000},
		Zone: "east", Zones: []string{"east"},
	}
}

// retuned has three caches, the head office and one open request of class video.
func retuned(t *testing.T) *Router {
	t.Helper()
	r, err := New(retuneSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	rows := []Row{{Node: "o", Zone: "east", Kind: "origin", Status: "healthy", Weight: 4}}
	for _, name := range []string{"a", "b", "c"} {
		rows = append(rows, Row{Node: name, Zone: "east", Kind: "box", Status: "healthy", Weight: 4})
	}
	r.Step(0, []Event{{Kind: Members, Mode: "replace", Rows: rows},
		{Kind: Request, Call: "open", Class: "video", Object: "front", SizeKb: 100, ExpiresIn: 6_000_000}})
	return r
}

// attempts fails every attempt of a request until the module gives it up, and counts them.
func attempts(r *Router, call string, acts []Action) (n int, last ActionKind) {
	for now := int64(1000); ; now += 1000 {
		var next *Action
		for i := range acts {
			if a := &acts[i]; a.Call == call && (a.Kind == Get || a.Kind == Refuse || a.Kind == Fail) {
				next = a
			}
		}
		if next == nil || next.Kind != Get {
			if next != nil {
				last = next.Kind
			}
			return n, last
		}
		acts = r.Step(now, []Event{{Kind: Outcome, Call: call, Attempt: n, Node: next.Node, Code: Refused}})
		n++
	}
}

// A request that is open keeps the attempts and the class it came with; one that comes later has the new ones; a class that
// was dropped is no class any more, and one of the same name may have another effect.
func TestRetune(t *testing.T) {
	r := retuned(t)
	set := retuneSettings()
	set.Permissions.MaxAttempts = 2
	set.Classes = []Class{set.Classes[1], {Name: "price", Deadline: 3_000_000, Promise: 400_000, Gain: 1, Idempotency: "read_like", Group: "all"}}
	set.Extra.FreshFor, set.Extra.GraceFor, set.Extra.PassOn = []int64{0, 20_000_000}, []int64{0, 10_000_000}, []bool{true, false}
	if err := r.Retune(set); err != nil {
		t.Fatal(err)
	}
	open := r.requests["open"]
	if c := r.set.Classes[open.class]; c.Name != "video" || at(r.set.Extra.FreshFor, open.class) != 0 {
		t.Errorf("the open request is of %+v now", c)
	}
	first := open.cur.node.name
	if n, _ := attempts(r, "open", []Action{{Kind: Get, Call: "open", Node: first}}); n <= 2 {
		t.Errorf("the open request had %d attempts, more were allowed when it came", n)
	}
	acts := r.Step(0, []Event{{Kind: Request, Call: "new", Class: "price", Object: "front", SizeKb: 100, ExpiresIn: 3_000_000}})
	if len(acts) == 0 || acts[0].Kind != Get || acts[0].MaxAge == 0 {
		t.Fatalf("a new class: %+v", acts)
	}
	if n, last := attempts(r, "new", acts); n != 2 || last != Refuse {
		t.Errorf("the new request had %d attempts of 2, then %d", n, last)
	}
	if acts := r.Step(0, []Event{{Kind: Request, Call: "old", Class: "video", Object: "x", ExpiresIn: 3_000_000}}); len(acts) != 1 || acts[0].Kind != Fail {
		t.Errorf("a class that was dropped: %+v", acts)
	}
	set.Classes[1].Idempotency = "non_idempotent"
	if err := r.Retune(set); err != nil {
		t.Fatal(err)
	}
	if len(r.set.Classes) != 2 { // nothing is open any more
		t.Errorf("%d classes are kept", len(r.set.Classes))
	}
	if c := r.set.Classes[r.classes["price"]]; c.Idempotency != "non_idempotent" {
		t.Errorf("%+v", c)
	}
}

// Settings that can't be used change nothing.
func TestRetuneRefused(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"no classes":  func(s *Settings) { s.Classes = nil },
		"deadline":    func(s *Settings) { s.Classes[0].Deadline = -5 },
		"attempts":    func(s *Settings) { s.Permissions.MaxAttempts = 0 },
		"idempotency": func(s *Settings) { s.Classes[1].Idempotency = "often" },
	} {
		r := retuned(t)
		set := retuneSettings()
		set.Classes[0].Name = "other"
		spoil(&set)
		if err := r.Retune(set); err == nil {
			t.Errorf("%s: taken", name)
		}
		if _, known := r.classes["video"]; !known || r.set.Permissions.MaxAttempts != 8 {
			t.Errorf("%s: changed something", name)
		}
	}
}

// Whatever settings follow each other while requests are open, each of these keeps what its class said when it came, and the
// table of classes holds no more than the new ones and those.
func TestRetuneKeepsOpenRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, err := New(retuneSettings(), 1)
		if err != nil {
			t.Fatal(err)
		}
		r.Step(0, []Event{{Kind: Members, Mode: "replace", Rows: []Row{{Node: "a", Zone: "east", Kind: "box", Status: "healthy", Weight: 4}}}})
		came := map[string]classRow{}
		for i := range rapid.IntRange(1, 30).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "retune") {
				set := retuneSettings()
				for j := range set.Classes {
					set.Classes[j].Name = rapid.SampledFrom([]string{"video", "report", "price"}).Draw(t, "name") + string(rune('0'+j))
					set.Classes[j].Deadline = rapid.Int64Range(1_000_000, 1_000_003).Draw(t, "deadline")
					set.Extra.FreshFor[j] = rapid.Int64Range(0, 2).Draw(t, "fresh")
				}
				if err := r.Retune(set); err != nil {
					t.Fatal(err)
				}
			}
			class := rapid.IntRange(0, 1).Draw(t, "class")
			call := string(rune('A' + i))
			came[call] = r.set.row(class)
			r.Step(0, []Event{{Kind: Request, Call: call, Class: r.set.Classes[class].Name, Object: "x", SizeKb: 1, ExpiresIn: 900_000}})
		}
		open := map[classRow]bool{}
		for call, q := range r.requests {
			if got := r.set.row(q.class); got != came[call] {
				t.Fatalf("%s is of %+v, came as %+v", call, got, came[call])
			}
			open[came[call]] = true
		}
		if len(r.set.Classes) > 2+len(open) {
			t.Fatalf("%d classes for %d that are open", len(r.set.Classes), len(open))
		}
	})
}
