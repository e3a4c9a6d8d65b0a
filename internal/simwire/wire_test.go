package simwire

import (
	"io"
	"reflect"
	"strings"
	"testing"

	"spantack/routing"
)

// What the module tells its peers has no line here; once it would have been an empty one.
func TestNothingIsToldToPeers(t *testing.T) {
	if out := AppendAction(nil, "d", routing.Action{Kind: routing.ActionReportOverload, Server: "p"}); len(out) != 0 {
		t.Errorf("%q", out)
	}
}

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
	r := NewReader(strings.NewReader(text))
	b, err := r.Read()
	if err != nil {
		t.Fatal(err)
	}
	if it := b.Messages[0]; !it.IsStart || it.Seed != -1 || it.Settings.Zone != "a b" || it.Settings.FleetSize != 3 {
		t.Errorf("born %+v", it)
	}
	want := []routing.Event{
		{Kind: routing.EventEndpoints, UpdateMode: "restored", Endpoints: []routing.Endpoint{
			{Server: "1.2.3.4:5", Zone: "z", Kind: "box", Cell: 2, Status: "healthy", Weight: 1.5, StartedAt: 9}}},
		{Kind: routing.EventRequest, RequestID: "ab", Class: "c", Object: "x", Timeout: 7, SizeKB: 6.5, PurgeGroup: 3, Chunk: 2, IsClientRetry: true},
		{Kind: routing.EventOutcome, RequestID: "ab", Attempt: 1, Server: "n", Outcome: routing.OutcomeMiss, ResponseTime: 8, IsFinal: true, CacheStatus: 4,
			UpstreamWait: 2, LoadReport: []float64{1, 0.5}},
		{Kind: routing.EventPurge, PurgeGroup: 11, PurgeAge: 85},
		{Kind: routing.EventFirstByte, RequestID: "ab"},
		{Kind: routing.EventAborted, RequestID: "ab"},
		{Kind: routing.EventTimer, TimerToken: 9},
		{Kind: routing.EventProbed, Outcome: routing.OutcomeServed, Server: "n", ResponseTime: 3},
	}
	for i, ev := range want {
		if got := b.Messages[i+1].Event; !reflect.DeepEqual(got, ev) {
			t.Errorf("event %d: got %+v, want %+v", i, got, ev)
		}
	}
	if last := b.Messages[len(b.Messages)-1]; !last.IsStop || b.Time != 5 {
		t.Errorf("last %+v at %d", last, b.Time)
	}
	if _, err := r.Read(); err != io.EOF {
		t.Errorf("at the end: %v", err)
	}
}

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
		if _, err := NewReader(strings.NewReader(text)).Read(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: error %v, want %q", text, err, want)
		}
	}
}

func TestAppend(t *testing.T) {
	for want, a := range map[string]routing.Action{
		"ASSIGN DirectorId=d Call=a GiveUpAfter=5 Node=n": {Kind: routing.ActionSend, RequestID: "a", Server: "n", Timeout: 5},
		"ANSWER_FROM DirectorId=d Call=a GiveUpAfter=5 Node=n Feeder=p Retain=0 Oldness=7 How=3": {Kind: routing.ActionSend, RequestID: "a",
			Server: "n", Timeout: 5, Source: "p", MaxAge: 7, FetchFlags: routing.FetchCollapse | routing.FetchCachedOnly},
		"TURN_AWAY DirectorId=d Call=a CoolDown=9":  {Kind: routing.ActionReject, RequestID: "a", RetryAfter: 9},
		"GIVE_UP DirectorId=d Call=a":               {Kind: routing.ActionFail, RequestID: "a"},
		"CANCEL DirectorId=d Call=a Leg=0":          {Kind: routing.ActionCancel, RequestID: "a"},
		"SET_TIMER DirectorId=d FromNow=3 Ctx=0":    {Kind: routing.ActionSetTimer, Delay: 3},
		"TEST DirectorId=d Node=n":                  {Kind: routing.ActionProbe, Server: "n"},
		"SUBSCRIBE DirectorId=d Want=1":             {Kind: routing.ActionSubscribe, Enabled: true},
		"RESOLVE DirectorId=d":                      {Kind: routing.ActionResolve},
		"WRITE_LOG DirectorId=d Line=two lines now": {Kind: routing.ActionLog, LogText: "two lines\nnow"},
	} {
		if got := string(AppendAction(nil, "d", a)); got != want+"\n" {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	if got := string(AppendPanic(nil, "d", "a\nb")); got != "PANIC DirectorId=d Line=a b\n" {
		t.Errorf("panic line %q", got)
	}
}
