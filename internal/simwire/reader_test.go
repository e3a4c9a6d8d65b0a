package simwire

import (
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"

	"spantack/routing"
)

// A batch with a message of each kind must be parsed to the sent values.
func TestRead(t *testing.T) {
	text := "ROUND Time=5\n" +
		`BORN DirectorId=d-1 Entropy=18446744073709551615 BootInfo={"Zone": "a b", "Siblings": 3, "New": 1}` + "\n" +
		"FLEET DirectorId=d-1 Mode=restored Revision=4 Rows=1\n" +
		"ROW Node=1.2.3.4:5 Campus=z Shape=box Group=2 Status=healthy Weight=1.5 CameUp=9\n" +
		"KNOCK DirectorId=d-1 Call=ab Qos=c Resource=x ExpiresIn=7 SizeKb=6.5 LabelNo=3 Slice=2 IsRetry=1 Odd=x\n" +
		"RESULT DirectorId=d-1 Call=ab Leg=1 Node=n Code=enoent Rtt=8 NoMore=1 Detail=4 UpstreamWait=2 Metrics=1,0.5\n" +
		"REPLACED DirectorId=d-1 BatchId=11 Oldness=85\nHEADERS DirectorId=d-1 Call=ab\nABORTED DirectorId=d-1 Call=ab\n" +
		"TIMER DirectorId=d-1 Ctx=9\nECHO DirectorId=d-1 Code=done Node=n Rtt=3\nMAIL DirectorId=d-1 SrcPeer=1 Octets=-\n" +
		"SHUTDOWN DirectorId=d-1\nOVER_TO_YOU\n"
	reader := NewReader(strings.NewReader(text))
	batch, err := reader.Read()
	if err != nil {
		t.Fatal(err)
	}
	first := batch.Messages[0]
	if !first.IsStart || first.Seed != -1 || first.Settings.Zone != "a b" || first.Settings.FleetSize != 3 {
		t.Errorf("first message %+v", first)
	}
	want := []routing.Event{
		{Kind: routing.EventEndpoints, UpdateMode: "restored", Endpoints: []routing.Endpoint{
			{Server: "1.2.3.4:5", Zone: "z", Kind: "box", Cell: 2, Status: "healthy", Weight: 1.5, StartedAt: 9}}},
		{Kind: routing.EventRequest, RequestID: "ab", Class: "c", Object: "x", Timeout: 7, SizeKB: 6.5, PurgeGroup: 3,
			Chunk: 2, IsClientRetry: true},
		{Kind: routing.EventOutcome, RequestID: "ab", Attempt: 1, Server: "n", Outcome: routing.OutcomeMiss, ResponseTime: 8,
			IsFinal: true, CacheStatus: 4, UpstreamWait: 2, LoadReport: []float64{1, 0.5}},
		{Kind: routing.EventPurge, PurgeGroup: 11, PurgeAge: 85},
		{Kind: routing.EventFirstByte, RequestID: "ab"},
		{Kind: routing.EventAborted, RequestID: "ab"},
		{Kind: routing.EventTimer, TimerToken: 9},
		{Kind: routing.EventProbed, Outcome: routing.OutcomeServed, Server: "n", ResponseTime: 3},
	}
	for i, event := range want {
		if got := batch.Messages[i+1].Event; !reflect.DeepEqual(got, event) {
			t.Errorf("event %d: got %+v, want %+v", i, got, event)
		}
	}
	if last := batch.Messages[len(batch.Messages)-1]; !last.IsStop || batch.Time != 5 {
		t.Errorf("last message %+v, batch time %d", last, batch.Time)
	}
	if _, err := reader.Read(); err != io.EOF {
		t.Errorf("read after the last batch: got %v, want EOF", err)
	}
}

// Malformed input must result in an error that names the line or the field.
func TestReadMalformed(t *testing.T) {
	for text, want := range map[string]string{
		"KNOCK DirectorId=d Call=a\n":                               "line 1: a batch must begin with ROUND",
		"ROUND Time=x\n":                                            "line 1: Time",
		"ROUND\n":                                                   "Time is missing",
		"ROUND Time=1\nNOISE DirectorId=d\n":                        "line 2: unknown message",
		"ROUND Time=1\nABORTED Call=a\n":                            "DirectorId is missing",
		"ROUND Time=1\nKNOCK DirectorId=d Call=a\n":                 "Qos is missing",
		"ROUND Time=1\nKNOCK DirectorId=d junk\n":                   "not a name=value pair",
		"ROUND Time=1\nFLEET DirectorId=d Mode=update Rows=1\nX\n":  "1 ROW lines missing",
		"ROUND Time=1\nROW Node=a\n":                                "ROW outside a list",
		"ROUND Time=1\nROUND Time=2\n":                              "ROUND inside a batch",
		"ROUND Time=1\n":                                            "ends inside a batch",
		"ROUND Time=1\nBORN DirectorId=d Entropy=1 BootInfo={nope}": "BootInfo",
	} {
		_, err := NewReader(strings.NewReader(text)).Read()
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: error %v, want %q", text, err, want)
		}
	}
}

// A line error must wrap its cause and hold the line number and text.
func TestLineErrorWrapsCause(t *testing.T) {
	_, err := NewReader(strings.NewReader("ROUND Time=1\nROUND Time=2\n")).Read()
	var line *lineError
	if !errors.Is(err, errNestedBatch) || !errors.As(err, &line) || line.number != 2 || line.text != "ROUND Time=2" {
		t.Errorf("got error %v, want errNestedBatch in line 2", err)
	}
	_, err = NewReader(strings.NewReader("ROUND Time=1\nTIMER DirectorId=d\n")).Read()
	var missing missingFieldError
	if !errors.As(err, &missing) || missing != "Ctx" {
		t.Errorf("got error %v, want a missing field Ctx", err)
	}
}
