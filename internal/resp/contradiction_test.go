package resp

import (
	"fmt"
	"testing"

	"spantack/internal/router"
	"spantack/routing"
)

// sendWith sends an attempt to the server of newPools, and returns it with the connection on which it arrived.
func sendWith(pools *Pools, server *fakeServer, attempt router.Attempt) (router.PendingAttempt, *fakeConn) {
	attempt.Server = "s-1"
	pending := pools.Send(attempt)
	conn := server.accept()
	conn.expect("GET " + attempt.ID)
	return pending, conn
}

// Guards against a client that goes on with an old copy (review case 9): a response SAME must name the client's copy.
// One that names another or none must end its connection, like any response that can't belong to its request.
func TestNotModifiedMustNameTheClientsCopy(t *testing.T) {
	for _, test := range []struct {
		fields string
		want   routing.AttemptOutcome
	}{
		{"n=TCP_HIT,sum=4be0c1927d55a6f3,t0=900", routing.OutcomeServed},
		{"n=TCP_HIT,sum=77aa01927d55a6f3,t0=900", routing.OutcomeConnectionReset},
		{"n=TCP_HIT,sum=4be0c1927d55a6f,t0=900", routing.OutcomeConnectionReset},
		{"n=TCP_HIT,sum=4be0c1927d55a6f3x,t0=900", routing.OutcomeConnectionReset},
		{"n=TCP_HIT,sum=4BE0C1927D55A6F3,t0=900", routing.OutcomeConnectionReset},
		{"n=TCP_HIT,sum=,t0=900", routing.OutcomeConnectionReset},
		{"n=TCP_HIT,sum,t0=900", routing.OutcomeConnectionReset},
		{"n=TCP_HIT,t0=900", routing.OutcomeConnectionReset},
		{"-", routing.OutcomeConnectionReset},
	} {
		t.Run(test.fields, func(t *testing.T) {
			server := listen(t)
			pools, _ := newPools(t, server.addr())
			pending, conn := sendWith(pools, server,
				router.Attempt{Request: &router.Request{ID: "a", ClientETag: "4be0c1927d55a6f3"}})
			conn.respond("a", "SAME", test.fields, "")
			result := wantOutcome(t, pending, test.want)
			if result.NotModified != (test.want == routing.OutcomeServed) {
				t.Errorf("not modified: %v", result.NotModified)
			}
		})
	}
}

// A response OK brings the bytes that its tag names, so it must be passed on whatever tag the client sent.
func TestServedWithAnyTagIsPassedOn(t *testing.T) {
	for _, tag := range []string{"4be0c1927d55a6f3", "77aa01927d55a6f3"} {
		server := listen(t)
		pools, _ := newPools(t, server.addr())
		pending, conn := sendWith(pools, server,
			router.Attempt{Request: &router.Request{ID: "a", ClientETag: "4be0c1927d55a6f3"}})
		conn.respond("a", "OK", "sum="+tag, "bytes")
		result := wantOutcome(t, pending, routing.OutcomeServed)
		if result.NotModified || string(result.Body) != "bytes" {
			t.Errorf("tag %s: %+v, want the bytes", tag, result)
		}
	}
}

// Guards against copies that are too old for their request: a client can't tell their age. The attempt must fail, and
// the connection must stay usable. Without an age limit or a time of the copy, there is nothing to compare.
func TestCopyOlderThanTheAgeLimitIsNotServed(t *testing.T) {
	const sentAt = 1000 // time of the fake clock
	for _, test := range []struct {
		maxAge, madeAt float64
		want           routing.AttemptOutcome
	}{
		{400, sentAt - 400, routing.OutcomeServed},
		{400, sentAt - 400 - maxClockOffset, routing.OutcomeServed},
		{400, sentAt - 401 - maxClockOffset, routing.OutcomeError},
		{400, 1, routing.OutcomeError},
		{400, sentAt + 3000, routing.OutcomeServed}, // the origin issued it while the attempt waited for a fill
		{0, 1, routing.OutcomeServed},
		{400, 0, routing.OutcomeServed},
	} {
		for _, word := range []string{"OK", "SAME"} {
			t.Run(fmt.Sprintf("%s max=%v made=%v", word, test.maxAge, test.madeAt), func(t *testing.T) {
				server := listen(t)
				pools, fake := newPools(t, server.addr())
				request := &router.Request{ID: "a", ClientETag: "4be0c1927d55a6f3"}
				pending, conn := sendWith(pools, server, router.Attempt{Request: request, MaxAge: test.maxAge})
				fake.Advance(2000) // a slow transfer doesn't make the copy too old
				conn.respond("a", word, fmt.Sprintf("sum=4be0c1927d55a6f3,t0=%.0f", test.madeAt), "bytes")
				result := wantOutcome(t, pending, test.want)
				if test.want == routing.OutcomeError && (result.Body != nil || result.NotModified) {
					t.Errorf("failed with content: %+v", result)
				}
				next := send(pools, "b")
				conn.expect("GET b")
				conn.respond("b", "OK", "-", "more")
				wantOutcome(t, next, routing.OutcomeServed)
			})
		}
	}
}
