package wire

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"reflect"
	"strings"
	"testing"

	"spantack/rules"
)

// The files under testdata are texts of the simulator's wire, as the program of commit e67ffc3 reads and writes them.
// The simulator is another program, so none is ever changed to suit this one.
func readPin(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile("testdata/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// every is what testdata/settings.json says: each field has a value, and no two numbers of it are the same.
func every() *rules.Settings {
	return &rules.Settings{
		Classes: []rules.Class{{Name: "page", AimStretch: 1.5, Deadline: 101, Promise: 102, Gain: 2.5, LateWorth: 0.25,
			Group: "cell", Idempotency: "idempotency_key", MemorySpan: 103, Stream: true}},
		Discovery: "subscribe",
		Extra: rules.Extra{FreshFor: []int64{201, 202}, GraceFor: []int64{203}, HeedWithin: 204, MasterKind: 205,
			MultiPart: []bool{true, false}, Neighbours: "location", NotesGiven: "hit", PaceKbPerS: 3.5, ParentFloor: 4.5,
			ParentWarmsIn: 206, PassOn: []bool{false, true}, PurgeTakes: 207, SeatsByZone: []int{208, 209}, SharesFills: true,
			ShieldKind: -1, StaleEarns: []float64{5.5}, Straight: true, TransitPrice: 6.5, UpperFallMultiple: 7.5,
			ZoneLinkKbPerS: []float64{8.5, 9.5}},
		Guarantees: rules.Guarantees{AskWithin: 301, Cold: 302, ColdFrom: 0.5, Fall: 303, GraceToAnswer: 304,
			StopSendingWithin: 305, TipMultiple: 10.5},
		Kinds: []string{"std", "parent"},
		Permissions: rules.Permissions{Cancelling: true, DialTimeout: 401, MaxAttempts: 402, MaxRetryAfter: 403,
			Probing: true, RetryAfter: true, SecondCopies: true},
		Prices:         rules.Prices{Origin: 11.5, Probe: 12.5, Waste: 13.5},
		Report:         rules.Report{Fields: []string{"busy", "queue"}, How: "piggyback"},
		Siblings:       501,
		Tenants:        []rules.Tenant{{Name: "acme", QuotaPerS: 14.5, Share: 0.75}},
		WeightSource:   "live",
		Zone:           "a b",
		Zones:          []string{"a b", "east"},
		OverShareWorth: 15.5,
	}
}

// Each key of the settings goes to its field, and to no other. The keys are also those that come out again.
func TestSettingsCompat(t *testing.T) {
	text := readPin(t, "settings.json")
	strict := json.NewDecoder(bytes.NewReader(text))
	strict.DisallowUnknownFields()
	var got rules.Settings
	if err := strict.Decode(&got); err != nil || !reflect.DeepEqual(&got, every()) {
		t.Errorf("read %+v (%v), want %+v", got, err, every())
	}
	written, err := json.Marshal(every())
	if err != nil {
		t.Fatal(err)
	}
	var want, again any
	if err := json.Unmarshal(text, &want); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(written, &again); err != nil || !reflect.DeepEqual(again, want) {
		t.Errorf("wrote %s (%v)", written, err)
	}
}

func TestEventsCompat(t *testing.T) {
	var settings bytes.Buffer
	if err := json.Compact(&settings, readPin(t, "settings.json")); err != nil {
		t.Fatal(err)
	}
	text := strings.Replace(string(readPin(t, "events.txt")), "@SETTINGS@", settings.String(), 1)
	outcome := func(attempt int, code rules.Code) Item {
		return Item{Event: rules.Event{Kind: rules.Outcome, Call: "ab", Attempt: attempt, Code: code}}
	}
	want := []Item{
		{Born: true, Seed: -1, Settings: every()},
		{Instance: "d-2", Born: true, Seed: -7, Settings: &rules.Settings{}},
		{Event: rules.Event{Kind: rules.Members, Mode: "replace", Rows: []rules.Row{
			{Node: "10.1.0.9:5050", Zone: "central", Kind: "parent", Cell: 2, Status: "healthy", Weight: 1.5, CameUp: 9},
			{Node: "n2", Zone: "east", Kind: "std", Cell: 3, Status: "cordoned", Weight: 0.25, CameUp: -8},
			{Node: "n3", Status: "deregistered"}}}},
		{Event: rules.Event{Kind: rules.Members, Mode: "update"}},
		{Event: rules.Event{Kind: rules.Members, Mode: "restored"}},
		{Event: rules.Event{Kind: rules.Members, Mode: "unavailable"}},
		{Event: rules.Event{Kind: rules.Request, Call: "ab", Class: "report", Tenant: "acme", Object: "7f3a", ExpiresIn: 7000,
			SizeKb: 6.5, Group: 3, Part: 2, IsRetry: true, Write: true}},
		{Event: rules.Event{Kind: rules.Request, Call: "ac", Class: "page", ExpiresIn: 1}},
		{Event: rules.Event{Kind: rules.FirstByte, Call: "ab", Attempt: 1, Node: "n2", Rtt: 8}},
		{Event: rules.Event{Kind: rules.Outcome, Call: "ab", Attempt: 1, Node: "n2", Code: rules.Done, Rtt: 8, Final: true,
			Note: 4, UpstreamWait: 2, Metrics: []float64{1, 0.5}}},
		outcome(2, rules.Failed), outcome(3, rules.Busy), outcome(4, rules.TimedOut), outcome(5, rules.Refused),
		outcome(6, rules.Reset), outcome(7, rules.Cancelled), outcome(8, rules.Skipped), outcome(9, rules.Miss),
		{Event: rules.Event{Kind: rules.Gone, Call: "ab"}},
		{Event: rules.Event{Kind: rules.Timer, Token: 9}},
		{Event: rules.Event{Kind: rules.Probed, Code: rules.Done, Node: "n2", Rtt: 3, Metrics: []float64{0.25}}},
		{Event: rules.Event{Kind: rules.Purged, Object: "7f3a", Age: 85}},
		{Event: rules.Event{Kind: rules.Purged, Group: 11, Age: 86}},
		{Shutdown: true},
	}
	r := NewReader(strings.NewReader(text))
	b, err := r.Read()
	if err != nil || b.Time != 5000001 || len(b.Items) != len(want) {
		t.Fatalf("%+v (%v), want %d items", b, err, len(want))
	}
	for i, w := range want {
		if w.Instance == "" {
			w.Instance = "d-1"
		}
		if got := b.Items[i]; !reflect.DeepEqual(got, w) {
			t.Errorf("item %d: read %+v, want %+v", i, got, w)
		}
	}
	if _, err := r.Read(); err != io.EOF {
		t.Errorf("at the end: %v", err)
	}
}

func TestActionsCompat(t *testing.T) {
	fill := func(how int) rules.Action {
		return rules.Action{Kind: rules.Get, Call: "ab", Node: "n2", Source: "p1", How: how}
	}
	var got []byte
	for _, a := range []rules.Action{
		{Kind: rules.Get, Call: "ab", Node: "n2", TimeOut: 5, Within: 6, Effects: true},
		{Kind: rules.Get, Call: "ab", Node: "n2", TimeOut: 5, Source: "p1", Keep: 2, MaxAge: 7,
			How: rules.Join | rules.HeldOnly | rules.PassParent | rules.Renew},
		fill(0), fill(rules.Join), fill(rules.HeldOnly), fill(rules.PassParent), fill(rules.Renew),
		{Kind: rules.Refuse, Call: "ab", RetryAfter: 9},
		{Kind: rules.Fail, Call: "ab"},
		{Kind: rules.Cancel, Call: "ab", Attempt: 3},
		{Kind: rules.SetTimer, In: 3, Token: 4},
		{Kind: rules.Probe, Node: "n2"},
		{Kind: rules.Subscribe, On: true},
		{Kind: rules.Subscribe},
		{Kind: rules.Resolve},
		{Kind: rules.Log, Text: "two lines\nnow"},
		{Kind: rules.Tell, Node: "n2"}, // has no line
	} {
		got = Append(got, "d-1", a)
	}
	got = AppendPanic(got, "d-1", "two lines\nnow")
	lines, want := strings.Split(string(got), "\n"), strings.Split(string(readPin(t, "actions.txt")), "\n")
	for i := range max(len(lines), len(want)) {
		if i >= len(lines) || i >= len(want) || lines[i] != want[i] {
			t.Fatalf("from line %d on: wrote %q, want %q", i+1, lines[min(i, len(lines)):], want[min(i, len(want)):])
		}
	}
}
