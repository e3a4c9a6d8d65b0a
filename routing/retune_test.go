package routing

import (
	"testing"

	"pgregory.net/rapid"
)

func baseSettings() Settings {
	return Settings{
		Classes: []Class{
			{Name: "video", Deadline: 6_000_000, LatencyObjective: 600_000, PriorityWeight: 2, Idempotency: "read_like", DeduplicationScope: "all"},
			{Name: "report", Deadline: 3_000_000, LatencyObjective: 600_000, PriorityWeight: 3, Idempotency: "idempotency_key", DeduplicationScope: "all", DeduplicationWindow: 6_000_000},
		},
		Hierarchy: CacheHierarchy{OriginKind: 1, ParentKind: -1, FreshnessLifetime: []int64{0, 0}, StaleGracePeriod: []int64{0, 0}, Uncacheable: []bool{false, true},
			CacheStatusReporting: "all", ResponseKBPerSecond: 2000, PurgePropagationTime: 6_000_000, AllowsDirectFetch: true},
		Kinds: []string{"box", "origin"}, Permissions: Permissions{MayCancel: true, MaxAttempts: 8, MaxRetryAfter: 1_000_000},
		Zone: "east", Zones: []string{"east"},
	}
}

// updatedEngine has three caches, the head office and one open request of class video.
func updatedEngine(t *testing.T) *Engine {
	t.Helper()
	r, err := NewEngine(baseSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	rows := []Endpoint{{Server: "o", Zone: "east", Kind: "origin", Status: "healthy", Weight: 4}}
	for _, name := range []string{"a", "b", "c"} {
		rows = append(rows, Endpoint{Server: name, Zone: "east", Kind: "box", Status: "healthy", Weight: 4})
	}
	r.Step(0, []Event{{Kind: EventEndpoints, UpdateMode: "replace", Endpoints: rows},
		{Kind: EventRequest, RequestID: "open", Class: "video", Object: "front", SizeKB: 100, Timeout: 6_000_000}})
	return r
}

// attempts fails every attempt of a request until the module gives it up, and counts them.
func attempts(r *Engine, call string, acts []Action) (n int, last ActionKind) {
	for now := int64(1000); ; now += 1000 {
		var next *Action
		for i := range acts {
			if a := &acts[i]; a.RequestID == call && (a.Kind == ActionSend || a.Kind == ActionReject || a.Kind == ActionFail) {
				next = a
			}
		}
		if next == nil || next.Kind != ActionSend {
			if next != nil {
				last = next.Kind
			}
			return n, last
		}
		acts = r.Step(now, []Event{{Kind: EventOutcome, RequestID: call, Attempt: n, Server: next.Server, Outcome: OutcomeConnectionRefused}})
		n++
	}
}

// A request that is open keeps the attempts and the class it came with; one that comes later has the new ones; a class
// that was dropped is no class any more, and one of the same name may have another effect.
func TestRetune(t *testing.T) {
	r := updatedEngine(t)
	set := baseSettings()
	set.Permissions.MaxAttempts = 2
	set.Classes = []Class{set.Classes[1], {Name: "price", Deadline: 3_000_000, LatencyObjective: 400_000, PriorityWeight: 1, Idempotency: "read_like", DeduplicationScope: "all"}}
	set.Hierarchy.FreshnessLifetime, set.Hierarchy.StaleGracePeriod, set.Hierarchy.Uncacheable = []int64{0, 20_000_000}, []int64{0, 10_000_000}, []bool{true, false}
	if err := r.UpdateSettings(set); err != nil {
		t.Fatal(err)
	}
	open := r.requests["open"]
	if c := r.settings.Classes[open.class]; c.Name != "video" || valueAt(r.settings.Hierarchy.FreshnessLifetime, open.class) != 0 {
		t.Errorf("the open request is of %+v now", c)
	}
	first := open.current.server.name
	if n, _ := attempts(r, "open", []Action{{Kind: ActionSend, RequestID: "open", Server: first}}); n <= 2 {
		t.Errorf("the open request had %d attempts, more were allowed when it came", n)
	}
	acts := r.Step(0, []Event{{Kind: EventRequest, RequestID: "new", Class: "price", Object: "front", SizeKB: 100, Timeout: 3_000_000}})
	if len(acts) == 0 || acts[0].Kind != ActionSend || acts[0].MaxAge == 0 {
		t.Fatalf("a new class: %+v", acts)
	}
	if n, last := attempts(r, "new", acts); n != 2 || last != ActionReject {
		t.Errorf("the new request had %d attempts of 2, then %d", n, last)
	}
	if acts := r.Step(0, []Event{{Kind: EventRequest, RequestID: "old", Class: "video", Object: "x", Timeout: 3_000_000}}); len(acts) != 1 || acts[0].Kind != ActionFail {
		t.Errorf("a class that was dropped: %+v", acts)
	}
	set.Classes[1].Idempotency = "non_idempotent"
	if err := r.UpdateSettings(set); err != nil {
		t.Fatal(err)
	}
	if len(r.settings.Classes) != 2 { // nothing is open any more
		t.Errorf("%d classes are kept", len(r.settings.Classes))
	}
	if c := r.settings.Classes[r.classIndexes["price"]]; c.Idempotency != "non_idempotent" {
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
		r := updatedEngine(t)
		set := baseSettings()
		set.Classes[0].Name = "other"
		spoil(&set)
		if err := r.UpdateSettings(set); err == nil {
			t.Errorf("%s: taken", name)
		}
		if _, known := r.classIndexes["video"]; !known || r.settings.Permissions.MaxAttempts != 8 {
			t.Errorf("%s: changed something", name)
		}
	}
}

// Whatever settings follow each other while requests are open, each of these keeps what its class said when it came,
// and the table of classes holds no more than the new ones and those.
func TestRetuneKeepsOpenRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, err := NewEngine(baseSettings(), 1)
		if err != nil {
			t.Fatal(err)
		}
		r.Step(0, []Event{{Kind: EventEndpoints, UpdateMode: "replace", Endpoints: []Endpoint{{Server: "a", Zone: "east", Kind: "box", Status: "healthy", Weight: 4}}}})
		came := map[string]classSettings{}
		for i := range rapid.IntRange(1, 30).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "retune") {
				set := baseSettings()
				for j := range set.Classes {
					set.Classes[j].Name = rapid.SampledFrom([]string{"video", "report", "price"}).Draw(t, "name") + string(rune('0'+j))
					set.Classes[j].Deadline = rapid.Int64Range(1_000_000, 1_000_003).Draw(t, "deadline")
					set.Hierarchy.FreshnessLifetime[j] = rapid.Int64Range(0, 2).Draw(t, "fresh")
				}
				if err := r.UpdateSettings(set); err != nil {
					t.Fatal(err)
				}
			}
			class := rapid.IntRange(0, 1).Draw(t, "class")
			call := string(rune('A' + i))
			came[call] = r.settings.classSettings(class)
			r.Step(0, []Event{{Kind: EventRequest, RequestID: call, Class: r.settings.Classes[class].Name, Object: "x", SizeKB: 1, Timeout: 900_000}})
		}
		open := map[classSettings]bool{}
		for call, q := range r.requests {
			if got := r.settings.classSettings(q.class); got != came[call] {
				t.Fatalf("%s is of %+v, came as %+v", call, got, came[call])
			}
			open[came[call]] = true
		}
		if len(r.settings.Classes) > 2+len(open) {
			t.Fatalf("%d classes for %d that are open", len(r.settings.Classes), len(open))
		}
	})
}
