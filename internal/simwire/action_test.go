package simwire

import (
	"testing"

	"spantack/routing"
)

// Each kind of action must be formatted as one line with its fields in order.
func TestAppendAction(t *testing.T) {
	for want, action := range map[string]routing.Action{
		"ASSIGN DirectorId=d Call=a GiveUpAfter=5 Node=n": {
			Kind: routing.ActionSend, RequestID: "a", Server: "n", Timeout: 5},
		"ANSWER_FROM DirectorId=d Call=a GiveUpAfter=5 Node=n Feeder=p Retain=0 Oldness=7 How=3": {
			Kind: routing.ActionSend, RequestID: "a", Server: "n", Timeout: 5, Source: "p", MaxAge: 7,
			FetchFlags: routing.FetchCollapse | routing.FetchCachedOnly},
		"TURN_AWAY DirectorId=d Call=a CoolDown=9":  {Kind: routing.ActionReject, RequestID: "a", RetryAfter: 9},
		"GIVE_UP DirectorId=d Call=a":               {Kind: routing.ActionFail, RequestID: "a"},
		"CANCEL DirectorId=d Call=a Leg=0":          {Kind: routing.ActionCancel, RequestID: "a"},
		"SET_TIMER DirectorId=d FromNow=3 Ctx=0":    {Kind: routing.ActionSetTimer, Delay: 3},
		"TEST DirectorId=d Node=n":                  {Kind: routing.ActionProbe, Server: "n"},
		"SUBSCRIBE DirectorId=d Want=1":             {Kind: routing.ActionSubscribe, Enabled: true},
		"RESOLVE DirectorId=d":                      {Kind: routing.ActionResolve},
		"WRITE_LOG DirectorId=d Line=two lines now": {Kind: routing.ActionLog, LogText: "two lines\nnow"},
	} {
		if got := string(AppendAction(nil, "d", action)); got != want+"\n" {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	if got := string(AppendPanic(nil, "d", "a\nb")); got != "PANIC DirectorId=d Line=a b\n" {
		t.Errorf("panic line %q", got)
	}
}

// Overload reports have no line in the protocol. AppendAction must not append an empty line for them.
func TestOverloadReportAppendsNothing(t *testing.T) {
	if out := AppendAction(nil, "d", routing.Action{Kind: routing.ActionReportOverload, Server: "p"}); len(out) != 0 {
		t.Errorf("overload report: appended %q, want nothing", out)
	}
}
