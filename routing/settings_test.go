package routing

import (
	"errors"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// The error for invalid settings names the invalid field.
func TestNewEngineNamesTheInvalidField(t *testing.T) {
	for field, corrupt := range map[string]func(*Settings){
		"Classes":     func(invalid *Settings) { invalid.Classes = nil },
		"Deadline":    func(invalid *Settings) { invalid.Classes[0].Deadline = 0 },
		"Idempotency": func(invalid *Settings) { invalid.Classes[0].Idempotency = "?" },
		"Zone":        func(invalid *Settings) { invalid.Zone = "" },
		"MasterKind":  func(invalid *Settings) { invalid.Hierarchy.OriginKind = 9 },
		"MaxAttempts": func(invalid *Settings) { invalid.Permissions.MaxAttempts = 0 },
	} {
		t.Run(field, func(t *testing.T) {
			invalid := testSettings()
			corrupt(&invalid)
			_, err := NewEngine(invalid, 1)
			if err == nil || !strings.Contains(err.Error(), field) {
				t.Errorf("error %v, want one that names the field", err)
			}
			var settingsError *SettingsError
			if !errors.As(err, &settingsError) || settingsError.Field == "" {
				t.Errorf("%T: %v, want a *SettingsError with a field", err, err)
			}
		})
	}
}

// settingsWithoutParents returns the settings of a deployment without parents, with a read class and a class with
// idempotency keys.
func settingsWithoutParents() Settings {
	return Settings{
		Classes: []Class{
			{
				Name:               "video",
				Deadline:           6_000_000,
				LatencyObjective:   600_000,
				PriorityWeight:     2,
				Idempotency:        IdempotentRead,
				DeduplicationScope: DeduplicatedByAll,
			},
			{
				Name:                "report",
				Deadline:            3_000_000,
				LatencyObjective:    600_000,
				PriorityWeight:      3,
				Idempotency:         IdempotentKey,
				DeduplicationScope:  DeduplicatedByAll,
				DeduplicationWindow: 6_000_000,
			},
		},
		Hierarchy: CacheHierarchy{
			OriginKind:           1,
			ParentKind:           -1,
			FreshnessLifetime:    []int64{0, 0},
			StaleGracePeriod:     []int64{0, 0},
			Uncacheable:          []bool{false, true},
			CacheStatusReporting: CacheStatusReported,
			ResponseKBPerSecond:  2000,
			PurgePropagationTime: 6_000_000,
			AllowsDirectFetch:    true,
		},
		Kinds:       []string{"box", "origin"},
		Permissions: Permissions{MayCancel: true, MaxAttempts: 8, MaxRetryAfter: 1_000_000},
		Zone:        "east",
		Zones:       []string{"east"},
	}
}

// engineWithOpenRequest returns an engine with three edge caches, the origin and one open request of class video.
func engineWithOpenRequest(t *testing.T) *Engine {
	t.Helper()
	engine, err := NewEngine(settingsWithoutParents(), 1)
	if err != nil {
		t.Fatal(err)
	}
	list := []Endpoint{{Server: "o", Zone: "east", Kind: "origin", Status: EndpointHealthy, Weight: 4}}
	for _, name := range []string{"a", "b", "c"} {
		list = append(list, Endpoint{Server: name, Zone: "east", Kind: "box", Status: EndpointHealthy, Weight: 4})
	}
	engine.Step(0, []Event{
		{Kind: EventEndpoints, UpdateMode: UpdateReplace, Endpoints: list},
		{Kind: EventRequest, RequestID: "open", Class: "video", Object: "front", SizeKB: 100, Timeout: 6_000_000},
	})
	return engine
}

// failAttempts fails every attempt of a request until it has a final answer. It returns the number of attempts and the
// kind of the final answer.
func failAttempts(engine *Engine, id string, actions []Action) (attempts int, last ActionKind) {
	for now := int64(1000); ; now += 1000 {
		var next *Action
		for i := range actions {
			switch action := &actions[i]; action.Kind {
			case ActionSend, ActionReject, ActionFail:
				if action.RequestID == id {
					next = action
				}
			}
		}
		if next == nil || next.Kind != ActionSend {
			if next != nil {
				last = next.Kind
			}
			return attempts, last
		}
		refused := Event{Kind: EventOutcome, RequestID: id, Attempt: attempts, Server: next.Server}
		refused.Outcome = OutcomeConnectionRefused
		actions = engine.Step(now, []Event{refused})
		attempts++
	}
}

// Changed settings apply to new requests only. An open request keeps its number of attempts and the settings of its
// class. A removed class is unknown to new requests. A class of the same name may have another idempotency.
func TestUpdatedSettingsApplyToNewRequestsOnly(t *testing.T) {
	engine := engineWithOpenRequest(t)
	updated := settingsWithoutParents()
	updated.Permissions.MaxAttempts = 2
	updated.Classes = []Class{
		updated.Classes[1],
		{
			Name:               "price",
			Deadline:           3_000_000,
			LatencyObjective:   400_000,
			PriorityWeight:     1,
			Idempotency:        IdempotentRead,
			DeduplicationScope: DeduplicatedByAll,
		},
	}
	updated.Hierarchy.FreshnessLifetime = []int64{0, 20_000_000}
	updated.Hierarchy.StaleGracePeriod = []int64{0, 10_000_000}
	updated.Hierarchy.Uncacheable = []bool{true, false}
	if err := engine.UpdateSettings(updated); err != nil {
		t.Fatal(err)
	}
	open := engine.requests["open"]
	if class := engine.settings.classSettings(open.class); class.Name != "video" || class.freshnessLifetime != 0 {
		t.Errorf("class of the open request changed to %+v", class)
	}
	first := Action{Kind: ActionSend, RequestID: "open", Server: open.current.server.name}
	if attempts, _ := failAttempts(engine, "open", []Action{first}); attempts <= 2 {
		t.Errorf("open request had %d attempts, want the former maximum", attempts)
	}
	request := requestEvent("new", "price", "front")
	request.SizeKB = 100
	actions := engine.Step(0, []Event{request})
	if len(actions) == 0 || actions[0].Kind != ActionSend || actions[0].MaxAge == 0 {
		t.Fatalf("request of a new class: %+v, want an attempt with MaxAge", actions)
	}
	if attempts, last := failAttempts(engine, "new", actions); attempts != 2 || last != ActionReject {
		t.Errorf("new request had %d attempts, then %s; want 2, then reject", attempts, last)
	}
	actions = engine.Step(0, []Event{requestEvent("old", "video", "x")})
	if len(actions) != 1 || actions[0].Kind != ActionFail {
		t.Errorf("request of a removed class: %+v, want a failure", actions)
	}
	updated.Classes[1].Idempotency = NotIdempotent
	if err := engine.UpdateSettings(updated); err != nil {
		t.Fatal(err)
	}
	if len(engine.settings.Classes) != 2 { // no request is open that uses an old class
		t.Errorf("%d classes kept, want 2", len(engine.settings.Classes))
	}
	if class := engine.settings.Classes[engine.classIndexes["price"]]; class.Idempotency != NotIdempotent {
		t.Errorf("class %+v, want the updated idempotency", class)
	}
}

// Invalid settings are rejected and change nothing.
func TestInvalidUpdateChangesNothing(t *testing.T) {
	for name, corrupt := range map[string]func(*Settings){
		"no classes":  func(s *Settings) { s.Classes = nil },
		"deadline":    func(s *Settings) { s.Classes[0].Deadline = -5 },
		"attempts":    func(s *Settings) { s.Permissions.MaxAttempts = 0 },
		"idempotency": func(s *Settings) { s.Classes[1].Idempotency = "often" },
	} {
		t.Run(name, func(t *testing.T) {
			engine := engineWithOpenRequest(t)
			invalid := settingsWithoutParents()
			invalid.Classes[0].Name = "other"
			corrupt(&invalid)
			if err := engine.UpdateSettings(invalid); err == nil {
				t.Error("invalid settings were accepted")
			}
			if _, known := engine.classIndexes["video"]; !known || engine.settings.Permissions.MaxAttempts != 8 {
				t.Error("rejected settings changed the engine")
			}
		})
	}
}

// Through random changes of settings, each open request keeps the settings that its class had at its arrival, and the
// table of classes holds only the new classes and those of open requests.
func TestUpdateSettingsKeepsOpenRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engine, err := NewEngine(settingsWithoutParents(), 1)
		if err != nil {
			t.Fatal(err)
		}
		list := []Endpoint{{Server: "a", Zone: "east", Kind: "box", Status: EndpointHealthy, Weight: 4}}
		engine.Step(0, []Event{{Kind: EventEndpoints, UpdateMode: UpdateReplace, Endpoints: list}})
		original := map[string]classSettings{}
		for i := range rapid.IntRange(1, 30).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "update") {
				updated := settingsWithoutParents()
				for j := range updated.Classes {
					name := rapid.SampledFrom([]string{"video", "report", "price"}).Draw(t, "name")
					updated.Classes[j].Name = name + string(rune('0'+j))
					updated.Classes[j].Deadline = rapid.Int64Range(1_000_000, 1_000_003).Draw(t, "deadline")
					updated.Hierarchy.FreshnessLifetime[j] = rapid.Int64Range(0, 2).Draw(t, "fresh")
				}
				if err := engine.UpdateSettings(updated); err != nil {
					t.Fatal(err)
				}
			}
			class := rapid.IntRange(0, 1).Draw(t, "class")
			id := string(rune('A' + i))
			original[id] = engine.settings.classSettings(class)
			request := requestEvent(id, engine.settings.Classes[class].Name, "x")
			request.SizeKB = 1
			request.Timeout = 900_000
			engine.Step(0, []Event{request})
		}
		open := map[classSettings]bool{}
		for id, req := range engine.requests {
			if got := engine.settings.classSettings(req.class); got != original[id] {
				t.Fatalf("request %s has class %+v, want %+v", id, got, original[id])
			}
			open[original[id]] = true
		}
		if len(engine.settings.Classes) > 2+len(open) {
			t.Fatalf("%d classes kept, %d used by open requests", len(engine.settings.Classes), len(open))
		}
	})
}
