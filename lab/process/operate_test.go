package process

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"spantack/internal/msgpackrpc"
	"spantack/internal/router"
	"spantack/internal/testwait"
)

// mustCall makes a call that is owed a yes.
func mustCall(t *testing.T, r *Router, method, path string) string {
	t.Helper()
	status, body, err := r.Call(contextWithLimit(t, callTimeout, "a call"), method, path)
	if err != nil || status != http.StatusOK {
		t.Fatalf("%s %s: %d %q, %v", method, path, status, body, err)
	}
	return body
}

// readMetrics reads the lines of the second address.
func readMetrics(t *testing.T, r *Router) map[string]int {
	t.Helper()
	list := map[string]int{}
	for line := range strings.Lines(mustCall(t, r, http.MethodGet, "/api/telemetry")) {
		name, rest, found := strings.Cut(strings.TrimSuffix(line, "\n"), ":")
		value, kind, typed := strings.Cut(rest, "|")
		n, err := strconv.Atoi(value)
		if !found || !typed || err != nil || kind != "c" && kind != "g" {
			t.Fatalf("line %q", line)
		}
		list[name] = n
	}
	return list
}

// A router is replaced three times under load, with one cache taken out before the first and put back after the second: every request has
// one right answer, none meets a closed door, no two attempts are out at once, and of requests sent between the yes and the call
// back none reaches that cache, in whichever process.
func TestRouterReplacedWhileServing(t *testing.T) {
	const requests = 6000
	d := startDeployment(t, Options{Routers: 1, EdgeCaches: 4, ResponseDelay: time.Millisecond, HasAdminAPI: true})
	var sent atomic.Int64
	at := func(n int64) {
		t.Helper()
		testwait.UntilWithin(t, routerTimeout, fmt.Sprintf("%d requests to be sent", n), func() bool { return sent.Load() >= n })
	}
	out := d.EdgeCaches[1].Name()
	ended := startLoad(t, d, Load{Seed: 11, Requests: requests, Interval: 500 * time.Microsecond, ConnsPerRouter: 6, Families: 4, ObjectsPerFamily: 200, Reconnects: true,
		OnSend: func(i int) { sent.Store(int64(i)) }})
	at(300)
	mustCall(t, d.Routers[0], http.MethodPut, "/api/exclude/"+out)
	from := sent.Load() + 1
	at(from + 200)
	replace := func() {
		begin := time.Now()
		defer func() {
			t.Logf("replaced from %v to %v", begin.Format("15:04:05.000000"), time.Now().Format("15:04:05.000000"))
		}()
		if err := d.ReplaceRouter(contextWithLimit(t, routerTimeout, "the router to be replaced"), 0); err != nil {
			t.Fatal(err)
		}
	}
	replace()
	mustCall(t, d.Routers[0], http.MethodPut, "/api/exclude/"+out) // twice
	replace()
	to, included := sent.Load(), time.Now()
	mustCall(t, d.Routers[0], http.MethodPut, "/api/include/"+out)
	back := sent.Load() + 1
	replace()
	rep := testwait.ReceiveWithin(t, loadTimeout+routerTimeout, ended, "the load")
	all := rep.Total()
	if all.Served+all.Rejected+all.Failed != requests || all.WrongBody+all.Lost > 0 {
		t.Errorf("answers %+v, want %d, none wrong or lost", all, requests)
	}
	if all.Served < requests*9/10 {
		t.Errorf("only %d served of %d", all.Served, requests)
	}
	if crossed := d.RequestLog.Overlaps(); len(crossed) > 0 {
		t.Errorf("two attempts at once: %v", crossed)
	}
	between, after := 0, 0
	for _, g := range d.RequestLog.Requests() {
		i, err := strconv.ParseInt(g.ID[8:], 16, 64)
		if err != nil {
			t.Fatal(err)
		}
		if g.Server != out && g.FillFrom != out {
			continue
		}
		switch {
		case i >= from && g.ArrivedAt.Before(included): // one sent in time may reach a router after it, on a busy machine
			between++
		case i >= back:
			after++
		}
	}
	if between > 0 {
		t.Errorf("%d attempts at %s while it was out, requests %d to %d", between, out, from, to)
	}
	if after == 0 {
		t.Errorf("%s got nothing after the call back", out)
	}
	waitForLog(t, d.Routers[0], "taking over")
	t.Logf("%d sent again, %d of %d requests while one was out", all.Resent, to-from, requests)
}

// The figures are what clients and servers saw; an id that nobody knows is owed a no.
func TestMetricsMatchClients(t *testing.T) {
	const requests = 1500
	d := startDeployment(t, Options{Routers: 1, EdgeCaches: 3, ResponseDelay: time.Millisecond, HasAdminAPI: true})
	r := d.Routers[0]
	if status, _, err := r.Call(contextWithLimit(t, callTimeout, "a call"), http.MethodPut, "/api/exclude/s-00000000"); err != nil || status != http.StatusNotFound {
		t.Errorf("an unknown id: %d, %v", status, err)
	}
	waitUntil(t, "list", func() bool { return readMetrics(t, r)["app.discovered"] == 3 }) // it comes from the discovery service alone, after the router is ready
	mustCall(t, r, http.MethodPut, "/api/exclude/"+d.EdgeCaches[0].Name())
	rep, err := runLoad(t, d, Load{Seed: 12, Requests: requests, Interval: 500 * time.Microsecond, ConnsPerRouter: 2, Families: 2, ObjectsPerFamily: 100})
	if err != nil {
		t.Fatal(err)
	}
	f := readMetrics(t, r)
	for _, class := range Classes {
		c := rep.ByClass[class]
		for name, want := range map[string]int{"succeeded": c.Served, "declined": c.Rejected, "aborted": c.Failed} {
			if got := f["app.results."+class+"."+name]; got != want {
				t.Errorf("%s %s: %d told, clients had %d", class, name, got, want)
			}
		}
	}
	for name, want := range map[string]int{"app.outstanding": 0, "app.discovered": 3, "app.ejected": 1, "app.sighup_applied": 0, "app.sighup_rejected": 0} {
		if got, told := f[name]; got != want || !told {
			t.Errorf("%s: %d, want %d", name, got, want)
		}
	}
	waitUntil(t, "forwards", func() bool { return readMetrics(t, r)["app.forwards"] == len(d.RequestLog.Requests()) }) // may lag behind the answer
}

// A file that can't be used is turned down whole: neither its classes nor its discovery address hold. A good one holds for requests that come.
func TestSettingsReload(t *testing.T) {
	d := startDeployment(t, Options{Routers: 1, EdgeCaches: 2, HasAdminAPI: true})
	r := d.Routers[0]
	settings := func(doc map[string]any) map[string]any { return doc["settings"].(map[string]any) }
	price := map[string]any{"Name": "price", "Promise": 400_000, "Deadline": 3_000_000, "Gain": 1, "LateWorth": 0, "Group": "all", "Idempotency": "read_like",
		"MemorySpan": 0, "AimStretch": 2}
	ask := func(class string, n int) (router.Response, error) {
		c, err := msgpackrpc.Dial(r.Addr, 1000)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		return c.Do(contextWithLimit(t, callTimeout, "an answer"), router.Request{ID: fmt.Sprintf("%016x", n), Class: class, Object: ObjectName(0, n), SizeKB: 20, ClientTimeout: 3000})
	}
	rejected := 0
	for name, change := range map[string]func(doc map[string]any){
		"a key of the document": func(doc map[string]any) { delete(doc, "settings"); doc["board"] = "127.0.0.1:9" },
		"a key of Permissions":  func(doc map[string]any) { delete(settings(doc)["Permissions"].(map[string]any), "MaxAttempts") },
		"a deadline below 0": func(doc map[string]any) {
			price := map[string]any{"Name": "x", "Promise": 1, "Deadline": -5, "Gain": 1, "LateWorth": 0, "Group": "all", "Idempotency": "read_like", "MemorySpan": 0, "AimStretch": 1}
			settings(doc)["Classes"], doc["board"] = []any{price}, "127.0.0.1:9"
		},
		"attempts that are no number": func(doc map[string]any) { settings(doc)["Permissions"].(map[string]any)["MaxAttempts"] = "many" },
		"no attempts":                 func(doc map[string]any) { settings(doc)["Permissions"].(map[string]any)["MaxAttempts"] = 0 },
	} {
		if err := d.Configure(0, change); err != nil {
			t.Fatal(err)
		}
		if err := r.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		rejected++
		waitUntil(t, name, func() bool { return readMetrics(t, r)["app.sighup_rejected"] == rejected })
	}
	if a, err := ask("catalogue", 1); err != nil || a.Outcome != router.Served {
		t.Errorf("after files that were turned down: %+v, %v", a, err)
	}
	if err := d.Configure(0, func(doc map[string]any) {
		settings(doc)["Classes"] = append(settings(doc)["Classes"].([]any)[:1], price)
		settings(doc)["Permissions"].(map[string]any)["MaxAttempts"] = 2
	}); err != nil {
		t.Fatal(err)
	}
	if err := r.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "a good file", func() bool { return readMetrics(t, r)["app.sighup_applied"] == 1 })
	if a, err := ask("price", 2); err != nil || a.Outcome != router.Served {
		t.Errorf("a new class: %+v, %v", a, err)
	}
	if a, err := ask("catalogue", 3); err != nil || a.Outcome != router.Failed {
		t.Errorf("a class that was dropped: %+v, %v", a, err)
	}
	if f := readMetrics(t, r); f["app.sighup_rejected"] != rejected || f["app.results.price.succeeded"] != 1 || f["app.results.catalogue.succeeded"] != 1 {
		t.Errorf("figures %v", f)
	}
}

// waitUntil waits for what follows from a signal.
func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	testwait.UntilWithin(t, routerTimeout, what, holds)
}

// An emptied router says no at both addresses, answers what it had, closes its clients' connections and runs on; then it works again.
func TestDrainAndRejoin(t *testing.T) {
	d := startDeployment(t, Options{Routers: 1, EdgeCaches: 2, ResponseDelay: 100 * time.Millisecond, HasAdminAPI: true})
	r := d.Routers[0]
	work := func(seed uint64) {
		rep, err := runLoad(t, d, Load{Seed: seed, Requests: 50, Interval: time.Millisecond, ConnsPerRouter: 1, Families: 1, ObjectsPerFamily: 5})
		if err != nil {
			t.Fatal(err)
		}
		if all := rep.Total(); all.Served+all.Rejected+all.Failed != 50 || all.Served == 0 {
			t.Errorf("at work: %+v", all)
		}
	}
	work(13)
	before := len(d.RequestLog.Requests())
	c, err := msgpackrpc.Dial(r.Addr, 1000)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	answers := make(chan router.Response, 1)
	go func() {
		a, err := c.Do(contextWithLimit(t, callTimeout, "an answer"), router.Request{ID: "0000000000000001", Class: Classes[0], Object: ObjectName(0, 1), SizeKB: 20, ClientTimeout: 3000})
		if err != nil {
			t.Error(err)
		}
		answers <- a
	}()
	waitUntil(t, "a request out", func() bool { return len(d.RequestLog.Requests()) > before })
	mustCall(t, r, http.MethodPut, "/api/evacuate")
	if status, _, err := r.Call(contextWithLimit(t, callTimeout, "a call"), http.MethodGet, "/api/ready"); err != nil || status != http.StatusServiceUnavailable {
		t.Errorf("ready while it is emptied: %d, %v", status, err)
	}
	if a := testwait.Receive(t, answers, "the answer to the open request"); a.Outcome != router.Served {
		t.Errorf("what was open got %+v", a)
	}
	waitUntil(t, "the connection closed", func() bool {
		_, err := c.Ready(contextWithLimit(t, callTimeout, "health"))
		return errors.Is(err, msgpackrpc.ErrClosed)
	})
	front, err := msgpackrpc.Dial(r.Addr, 1000)
	if err != nil {
		t.Fatal(err)
	}
	defer front.Close()
	if ready, err := front.Ready(contextWithLimit(t, callTimeout, "health")); err != nil || ready {
		t.Errorf("to the front: %v, %v", ready, err)
	}
	mustCall(t, r, http.MethodPut, "/api/rejoin")
	mustCall(t, r, http.MethodGet, "/api/ready")
	work(14)
	if f := readMetrics(t, r); f["app.outstanding"] != 0 {
		t.Errorf("figures %v", f)
	}
}
