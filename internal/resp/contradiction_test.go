package resp

import (
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
