package simwire

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"reflect"
	"strings"
	"testing"

	"spantack/routing"
)

// readFixture reads a file of recorded protocol text, in the format that the simulator uses. The simulator is a
// separate program, so these files must not be changed to match this program.
func readFixture(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile("testdata/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// fullSettings returns the content of testdata/settings.json. Each field has a value, and all numbers differ.
func fullSettings() *routing.Settings {
	return &routing.Settings{
		Classes: []routing.Class{{Name: "page", ObjectiveSizeFactor: 1.5, Deadline: 101, LatencyObjective: 102,
			PriorityWeight: 2.5, LateWeightFactor: 0.25,
			DeduplicationScope: "cell", Idempotency: "idempotency_key", DeduplicationWindow: 103, Streaming: true}},
		Discovery: "subscribe",
		Hierarchy: routing.CacheHierarchy{FreshnessLifetime: []int64{201, 202}, StaleGracePeriod: []int64{203},
			PurgeGracePeriod: 204, OriginKind: 205,
			Chunked: []bool{true, false}, PeerSources: "location", CacheStatusReporting: "hit", ResponseKBPerSecond: 3.5,
			ParentInitialCapacity: 4.5,
			ParentWarmUpTime:      206, Uncacheable: []bool{false, true}, PurgePropagationTime: 207,
			RoutersByZone:  []int{208, 209},
			CollapsesFills: true,
			ParentKind:     -1, StaleWeightFactor: []float64{5.5}, AllowsDirectFetch: true, TransitPenalty: 6.5,
			ParentOverloadMultiple: 7.5,
			ZoneLinkKBPerSecond:    []float64{8.5, 9.5}},
		Guarantees: routing.Guarantees{MaxResubscribeDelay: 301, WarmUpTime: 302, InitialCapacity: 0.5, OverloadWindow: 303,
			AnswerGracePeriod: 304,
			DrainGracePeriod:  305, OverloadMultiple: 10.5},
		Kinds: []string{"std", "parent"},
		Permissions: routing.Permissions{MayCancel: true, DialTimeout: 401, MaxAttempts: 402, MaxRetryAfter: 403,
			MayProbe: true, SendsRetryAfter: true, MayHedge: true},
		Penalties:             routing.Penalties{Origin: 11.5, Probe: 12.5, Waste: 13.5},
		LoadReporting:         routing.LoadReporting{Fields: []string{"busy", "queue"}, Delivery: "piggyback"},
		FleetSize:             501,
		Tenants:               []routing.Tenant{{Name: "acme", QuotaPerSecond: 14.5, ServiceShare: 0.75}},
		WeightSource:          "live",
		Zone:                  "a b",
		Zones:                 []string{"a b", "east"},
		OverQuotaWeightFactor: 15.5,
	}
}

// Each key of the settings must be decoded to its field and to no other, and encoding must produce the same keys.
func TestSettingsKeysCompat(t *testing.T) {
	text := readFixture(t, "settings.json")
	strict := json.NewDecoder(bytes.NewReader(text))
	strict.DisallowUnknownFields()
	var got routing.Settings
	if err := strict.Decode(&got); err != nil || !reflect.DeepEqual(&got, fullSettings()) {
		t.Errorf("decoded %+v (%v), want %+v", got, err, fullSettings())
	}
	written, err := json.Marshal(fullSettings())
	if err != nil {
		t.Fatal(err)
	}
	var want, reencoded any
	if err := json.Unmarshal(text, &want); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(written, &reencoded); err != nil || !reflect.DeepEqual(reencoded, want) {
		t.Errorf("encoded %s (%v)", written, err)
	}
}

// Each recorded message must be parsed to the recorded values.
func TestMessagesWireCompat(t *testing.T) {
	var settings bytes.Buffer
	if err := json.Compact(&settings, readFixture(t, "settings.json")); err != nil {
		t.Fatal(err)
	}
	text := strings.Replace(string(readFixture(t, "events.txt")), "@SETTINGS@", settings.String(), 1)
	outcome := func(attempt int, code routing.AttemptOutcome) Message {
		return Message{Event: routing.Event{Kind: routing.EventOutcome, RequestID: "ab", Attempt: attempt, Outcome: code}}
	}
	want := []Message{
		{IsStart: true, Seed: -1, Settings: fullSettings()},
		{Instance: "d-2", IsStart: true, Seed: -7, Settings: &routing.Settings{}},
		{Event: routing.Event{Kind: routing.EventEndpoints, UpdateMode: "replace", Endpoints: []routing.Endpoint{
			{Server: "10.1.0.9:5050", Zone: "central", Kind: "parent", Cell: 2, Status: "healthy", Weight: 1.5, StartedAt: 9},
			{Server: "n2", Zone: "east", Kind: "std", Cell: 3, Status: "cordoned", Weight: 0.25, StartedAt: -8},
			{Server: "n3", Status: "deregistered"}}}},
		{Event: routing.Event{Kind: routing.EventEndpoints, UpdateMode: "update"}},
		{Event: routing.Event{Kind: routing.EventEndpoints, UpdateMode: "restored"}},
		{Event: routing.Event{Kind: routing.EventEndpoints, UpdateMode: "unavailable"}},
		{Event: routing.Event{Kind: routing.EventRequest, RequestID: "ab", Class: "report", Tenant: "acme", Object: "7f3a",
			Timeout: 7000,
			SizeKB:  6.5, PurgeGroup: 3, Chunk: 2, IsClientRetry: true, IsWrite: true}},
		{Event: routing.Event{Kind: routing.EventRequest, RequestID: "ac", Class: "page", Timeout: 1}},
		{Event: routing.Event{Kind: routing.EventFirstByte, RequestID: "ab", Attempt: 1, Server: "n2", ResponseTime: 8}},
		{Event: routing.Event{Kind: routing.EventOutcome, RequestID: "ab", Attempt: 1, Server: "n2",
			Outcome: routing.OutcomeServed, ResponseTime: 8, IsFinal: true,
			CacheStatus: 4, UpstreamWait: 2, LoadReport: []float64{1, 0.5}}},
		outcome(2, routing.OutcomeError), outcome(3, routing.OutcomeRejected), outcome(4, routing.OutcomeTimedOut),
		outcome(5, routing.OutcomeConnectionRefused),
		outcome(6, routing.OutcomeConnectionReset), outcome(7, routing.OutcomeCanceled), outcome(8, routing.OutcomeSkipped),
		outcome(9, routing.OutcomeMiss),
		{Event: routing.Event{Kind: routing.EventAborted, RequestID: "ab"}},
		{Event: routing.Event{Kind: routing.EventTimer, TimerToken: 9}},
		{Event: routing.Event{Kind: routing.EventProbed, Outcome: routing.OutcomeServed, Server: "n2", ResponseTime: 3,
			LoadReport: []float64{0.25}}},
		{Event: routing.Event{Kind: routing.EventPurge, Object: "7f3a", PurgeAge: 85}},
		{Event: routing.Event{Kind: routing.EventPurge, PurgeGroup: 11, PurgeAge: 86}},
		{IsStop: true},
	}
	r := NewReader(strings.NewReader(text))
	b, err := r.Read()
	if err != nil || b.Time != 5000001 || len(b.Messages) != len(want) {
		t.Fatalf("batch %+v (%v), want %d messages", b, err, len(want))
	}
	for i, w := range want {
		if w.Instance == "" {
			w.Instance = "d-1"
		}
		if got := b.Messages[i]; !reflect.DeepEqual(got, w) {
			t.Errorf("message %d: parsed %+v, want %+v", i, got, w)
		}
	}
	if _, err := r.Read(); err != io.EOF {
		t.Errorf("read after the last batch: got %v, want EOF", err)
	}
}

// Each kind of action must be formatted as the recorded line.
func TestActionsWireCompat(t *testing.T) {
	fill := func(how routing.FetchFlags) routing.Action {
		return routing.Action{Kind: routing.ActionSend, RequestID: "ab", Server: "n2", Source: "p1", FetchFlags: how}
	}
	var got []byte
	for _, a := range []routing.Action{
		{Kind: routing.ActionSend, RequestID: "ab", Server: "n2", Timeout: 5, SendWithin: 6, HasSideEffects: true},
		{Kind: routing.ActionSend, RequestID: "ab", Server: "n2", Timeout: 5, Source: "p1", RetentionRank: 2, MaxAge: 7,
			FetchFlags: routing.FetchCollapse | routing.FetchCachedOnly | routing.FetchSkipParentStore |
				routing.FetchRevalidate},
		fill(0), fill(routing.FetchCollapse), fill(routing.FetchCachedOnly), fill(routing.FetchSkipParentStore),
		fill(routing.FetchRevalidate),
		{Kind: routing.ActionReject, RequestID: "ab", RetryAfter: 9},
		{Kind: routing.ActionFail, RequestID: "ab"},
		{Kind: routing.ActionCancel, RequestID: "ab", Attempt: 3},
		{Kind: routing.ActionSetTimer, Delay: 3, TimerToken: 4},
		{Kind: routing.ActionProbe, Server: "n2"},
		{Kind: routing.ActionSubscribe, Enabled: true},
		{Kind: routing.ActionSubscribe},
		{Kind: routing.ActionResolve},
		{Kind: routing.ActionLog, LogText: "two lines\nnow"},
		{Kind: routing.ActionReportOverload, Server: "n2"}, // has no line
	} {
		got = AppendAction(got, "d-1", a)
	}
	got = AppendPanic(got, "d-1", "two lines\nnow")
	lines, want := strings.Split(string(got), "\n"), strings.Split(string(readFixture(t, "actions.txt")), "\n")
	for i := range max(len(lines), len(want)) {
		if i >= len(lines) || i >= len(want) || lines[i] != want[i] {
			t.Fatalf("from line %d on: wrote %q, want %q", i+1, lines[min(i, len(lines)):], want[min(i, len(want)):])
		}
	}
}
