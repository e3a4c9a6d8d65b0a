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
	"spantack/standin/cache"
)

// maxOpenPerConn is the number of requests that the protocol allows to be open on one connection.
const maxOpenPerConn = 32

// logTimeLayout is the layout of times in the test log.
const logTimeLayout = "15:04:05.000000"

// adminStatus makes a call to a router's admin API and returns the HTTP status.
func adminStatus(t *testing.T, r *Router, method, path string) int {
	t.Helper()
	status, _, err := callAdmin(contextWithLimit(t, callTimeout, "a call"), r, method, path)
	if err != nil {
		t.Fatalf("%s %s: %v", method, path, err)
	}
	return status
}

// mustCall makes a call that must succeed and returns the body of the response.
func mustCall(t *testing.T, r *Router, method, path string) string {
	t.Helper()
	status, body, err := callAdmin(contextWithLimit(t, callTimeout, "a call"), r, method, path)
	if err != nil || status != http.StatusOK {
		t.Fatalf("%s %s: %d %q, %v", method, path, status, body, err)
	}
	return body
}

// readMetrics returns the values of the admin API's telemetry by name.
func readMetrics(t *testing.T, r *Router) map[string]int {
	t.Helper()
	metrics := map[string]int{}
	for line := range strings.Lines(mustCall(t, r, http.MethodGet, "/api/telemetry")) {
		name, rest, found := strings.Cut(strings.TrimSuffix(line, "\n"), ":")
		text, kind, typed := strings.Cut(rest, "|")
		value, err := strconv.Atoi(text)
		if !found || !typed || err != nil || kind != "c" && kind != "g" {
			t.Fatalf("telemetry line %q", line)
		}
		metrics[name] = value
	}
	return metrics
}

// dialRouter opens a client's connection to a router.
func dialRouter(t *testing.T, r *Router) *msgpackrpc.Client {
	t.Helper()
	client, err := msgpackrpc.Dial(r.Addr, loadDialTimeoutMillis)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	return client
}

// requestFor returns a request for an object of family 0, given by its number.
func requestFor(id, class string, object int) router.Request {
	return router.Request{ID: id, Class: class, Object: ObjectName(0, object), SizeKB: objectKB,
		ClientTimeout: clientTimeoutMillis}
}

// A router is replaced three times under load. One cache is excluded before the first replacement and included after
// the second. Every request gets one correct response, no connection is refused, and no two attempts of a request
// overlap. None of the processes forwards a request to the cache while it is excluded.
func TestRouterReplacementLosesNoRequest(t *testing.T) {
	const requests = 6000
	d := startDeployment(t, Options{Routers: 1, EdgeCaches: 4, ResponseDelay: time.Millisecond, HasAdminAPI: true})
	var sent atomic.Int64
	waitUntilSent := func(n int64) {
		t.Helper()
		waitUntil(t, fmt.Sprintf("%d requests to be sent", n), func() bool { return sent.Load() >= n })
	}
	excluded := d.EdgeCaches[1].Name()
	ended := startLoad(t, d, Load{
		Seed:             11,
		Requests:         requests,
		Interval:         500 * time.Microsecond,
		ConnsPerRouter:   6,
		Families:         4,
		ObjectsPerFamily: 200,
		Reconnects:       true,
		OnSend:           func(number int) { sent.Store(int64(number)) },
	})
	waitUntilSent(300)
	mustCall(t, d.Routers[0], http.MethodPut, "/api/exclude/"+excluded)
	firstExcluded := sent.Load() + 1
	waitUntilSent(firstExcluded + 200)
	mustReplaceRouter(t, d)
	mustCall(t, d.Routers[0], http.MethodPut, "/api/exclude/"+excluded) // a repeated call must succeed too
	mustReplaceRouter(t, d)
	lastExcluded := sent.Load()
	includedAt := time.Now()
	mustCall(t, d.Routers[0], http.MethodPut, "/api/include/"+excluded)
	firstIncluded := sent.Load() + 1
	mustReplaceRouter(t, d)
	total := waitForLoad(t, ended).Total()
	checkAllAnswered(t, total, requests)
	if total.Served < requests*9/10 {
		t.Errorf("only %d served of %d", total.Served, requests)
	}
	checkNoOverlaps(t, d)
	between, after := 0, 0
	for _, request := range requestsInvolving(d, excluded) {
		number, err := strconv.ParseInt(request.ID[8:], 16, 64)
		if err != nil {
			t.Fatal(err)
		}
		// On a busy machine, a request that was sent before the cache was included may reach a router afterwards.
		// Requests that arrive after includedAt are therefore not counted as errors.
		switch {
		case number >= firstExcluded && request.ArrivedAt.Before(includedAt):
			between++
		case number >= firstIncluded:
			after++
		}
	}
	if between > 0 {
		t.Errorf("%d attempts at %s while it was excluded, requests %d to %d", between, excluded, firstExcluded, lastExcluded)
	}
	if after == 0 {
		t.Errorf("%s got no request after it was included", excluded)
	}
	waitForLog(t, d.Routers[0], "taking over")
	t.Logf("%d sent again, %d of %d requests while a cache was excluded",
		total.Resent, lastExcluded-firstExcluded, requests)
}

// mustReplaceRouter replaces the process of the only router.
func mustReplaceRouter(t *testing.T, d *Deployment) {
	t.Helper()
	startedAt := time.Now()
	defer func() {
		t.Logf("replaced from %v to %v", startedAt.Format(logTimeLayout), time.Now().Format(logTimeLayout))
	}()
	if err := replaceRouter(contextWithLimit(t, routerTimeout, "the router to be replaced"), d, 0); err != nil {
		t.Fatal(err)
	}
}

// requestsInvolving returns the requests that reached a server or that named it for the fill.
func requestsInvolving(d *Deployment, server string) (found []cache.Request) {
	for _, request := range d.RequestLog.Requests() {
		if request.Server == server || request.FillFrom == server {
			found = append(found, request)
		}
	}
	return found
}

// The metrics agree with the outcomes that clients and servers saw. Excluding an unknown id fails with status 404.
func TestMetricsMatchClients(t *testing.T) {
	const requests = 1500
	d := startDeployment(t, Options{Routers: 1, EdgeCaches: 3, ResponseDelay: time.Millisecond, HasAdminAPI: true})
	r := d.Routers[0]
	if status := adminStatus(t, r, http.MethodPut, "/api/exclude/s-00000000"); status != http.StatusNotFound {
		t.Errorf("excluding an unknown id: status %d", status)
	}
	// The endpoint list comes only from the discovery service, after the router is ready.
	waitUntil(t, "the endpoint list", func() bool { return readMetrics(t, r)["app.discovered"] == 3 })
	mustCall(t, r, http.MethodPut, "/api/exclude/"+d.EdgeCaches[0].Name())
	result := mustRunLoad(t, d, Load{
		Seed:             12,
		Requests:         requests,
		Interval:         500 * time.Microsecond,
		ConnsPerRouter:   2,
		MaxInFlight:      maxOpenPerConn, // on a busy machine more would be open on a connection than the protocol allows
		Families:         2,
		ObjectsPerFamily: 100,
	})
	metrics := readMetrics(t, r)
	for _, class := range Classes {
		tally := result.ByClass[class]
		wants := map[string]int{"succeeded": tally.Served, "declined": tally.Rejected, "aborted": tally.Failed}
		for name, want := range wants {
			if got := metrics["app.results."+class+"."+name]; got != want {
				t.Errorf("%s %s: metric %d, clients counted %d", class, name, got, want)
			}
		}
	}
	for name, want := range map[string]int{
		"app.outstanding":     0,
		"app.discovered":      3,
		"app.ejected":         1,
		"app.sighup_applied":  0,
		"app.sighup_rejected": 0,
	} {
		if got, reported := metrics[name]; got != want || !reported {
			t.Errorf("%s: %d, want %d", name, got, want)
		}
	}
	waitUntil(t, "app.forwards to equal the requests at servers", func() bool { // may lag behind the response
		return readMetrics(t, r)["app.forwards"] == len(d.RequestLog.Requests())
	})
}

// classDocument returns the settings of a request class. Times are in microseconds.
func classDocument(name string, objective, deadline, objectiveSizeFactor int) map[string]any {
	return map[string]any{
		"Name":        name,
		"Promise":     objective,
		"Deadline":    deadline,
		"Gain":        1,
		"LateWorth":   0,
		"Group":       "all",
		"Idempotency": "read_like",
		"MemorySpan":  0,
		"AimStretch":  objectiveSizeFactor,
	}
}

// permissionsOf returns the permissions of a configuration document.
func permissionsOf(doc map[string]any) map[string]any {
	return settingsOf(doc)["Permissions"].(map[string]any)
}

// invalidEdits are changes that make a configuration invalid, by description.
var invalidEdits = map[string]func(doc map[string]any){
	"missing settings": func(doc map[string]any) {
		delete(doc, "settings")
		doc["board"] = "127.0.0.1:9"
	},
	"missing MaxAttempts": func(doc map[string]any) { delete(permissionsOf(doc), "MaxAttempts") },
	"negative deadline": func(doc map[string]any) {
		settingsOf(doc)["Classes"] = []any{classDocument("x", 1, -5, 1)}
		doc["board"] = "127.0.0.1:9"
	},
	"MaxAttempts not a number": func(doc map[string]any) { permissionsOf(doc)["MaxAttempts"] = "many" },
	"MaxAttempts 0":            func(doc map[string]any) { permissionsOf(doc)["MaxAttempts"] = 0 },
}

// An invalid configuration is rejected as a whole: neither its classes nor its discovery address take effect. A valid
// one applies to the requests that follow.
func TestSettingsReloadIsAllOrNothing(t *testing.T) {
	d := startDeployment(t, Options{Routers: 1, EdgeCaches: 2, HasAdminAPI: true})
	r := d.Routers[0]
	reload := func(edit func(doc map[string]any)) {
		t.Helper()
		if err := d.Configure(0, edit); err != nil {
			t.Fatal(err)
		}
		signal(t, r, syscall.SIGHUP)
	}
	checkOutcome := func(number int, class string, want router.Outcome, what string) {
		t.Helper()
		request := requestFor(fmt.Sprintf("%016x", number), class, number)
		response, err := dialRouter(t, r).Do(contextWithLimit(t, callTimeout, "a response"), request)
		if err != nil || response.Outcome != want {
			t.Errorf("%s: response %+v, error %v, not the wanted outcome", what, response, err)
		}
	}
	rejected := 0
	for name, edit := range invalidEdits {
		reload(edit)
		rejected++
		waitUntil(t, name, func() bool { return readMetrics(t, r)["app.sighup_rejected"] == rejected })
	}
	checkOutcome(1, classCatalogue, router.Served, "after invalid configurations")
	reload(func(doc map[string]any) {
		classes := settingsOf(doc)["Classes"].([]any)
		settingsOf(doc)["Classes"] = append(classes[:1], classDocument("price", 400_000, 3_000_000, 2))
		permissionsOf(doc)["MaxAttempts"] = 2
	})
	waitUntil(t, "the valid configuration", func() bool { return readMetrics(t, r)["app.sighup_applied"] == 1 })
	checkOutcome(2, "price", router.Served, "a new class")
	checkOutcome(3, classCatalogue, router.Failed, "a removed class")
	for name, want := range map[string]int{
		"app.sighup_rejected":             rejected,
		"app.results.price.succeeded":     1,
		"app.results.catalogue.succeeded": 1,
	} {
		if got := readMetrics(t, r)[name]; got != want {
			t.Errorf("%s: %d, want %d", name, got, want)
		}
	}
}

// A drained router reports at both addresses that it is not ready, responds to its open requests, closes the
// connections of its clients and keeps running. After it rejoins it serves requests again.
func TestDrainAndRejoin(t *testing.T) {
	d := startDeployment(t, Options{
		Routers:       1,
		EdgeCaches:    2,
		ResponseDelay: 100 * time.Millisecond,
		HasAdminAPI:   true,
	})
	r := d.Routers[0]
	checkServesRequests(t, d, 13)
	before := len(d.RequestLog.Requests())
	client := dialRouter(t, r)
	responses := make(chan router.Response, 1)
	go func() {
		request := requestFor("0000000000000001", classVideo, 1)
		response, err := client.Do(contextWithLimit(t, callTimeout, "a response"), request)
		if err != nil {
			t.Error(err)
		}
		responses <- response
	}()
	waitUntil(t, "the request to reach a server", func() bool { return len(d.RequestLog.Requests()) > before })
	mustCall(t, r, http.MethodPut, "/api/evacuate")
	if status := adminStatus(t, r, http.MethodGet, "/api/ready"); status != http.StatusServiceUnavailable {
		t.Errorf("readiness while drained: status %d", status)
	}
	response := testwait.Receive(t, responses, "the response to the open request")
	if response.Outcome != router.Served {
		t.Errorf("response to the open request: %+v", response)
	}
	waitUntil(t, "the connection to close", func() bool {
		_, err := client.Ready(contextWithLimit(t, callTimeout, "health"))
		return errors.Is(err, msgpackrpc.ErrClosed)
	})
	if isReady, err := healthOnNewConnection(t, r); err != nil || isReady {
		t.Errorf("drained router at its client address: ready %v, %v", isReady, err)
	}
	mustCall(t, r, http.MethodPut, "/api/rejoin")
	mustCall(t, r, http.MethodGet, "/api/ready")
	checkServesRequests(t, d, 14)
	if metrics := readMetrics(t, r); metrics["app.outstanding"] != 0 {
		t.Errorf("app.outstanding is not 0: %v", metrics)
	}
}

// healthOnNewConnection returns the result of a health check on a new connection. A router that has been draining for
// some time closes a connection whose first message does not arrive within a millisecond. On a busy machine the message
// can take longer. If the connection is closed during the check, the check is repeated on another connection, as
// clients do.
func healthOnNewConnection(t *testing.T, r *Router) (isReady bool, err error) {
	t.Helper()
	waitUntil(t, "a health check to be answered on a new connection", func() bool {
		isReady, err = dialRouter(t, r).Ready(contextWithLimit(t, callTimeout, "health"))
		return !errors.Is(err, msgpackrpc.ErrClosed)
	})
	return isReady, err
}

// checkServesRequests checks that the routers respond to 50 requests and serve some of them.
func checkServesRequests(t *testing.T, d *Deployment, seed uint64) {
	t.Helper()
	total := mustRunLoad(t, d, Load{
		Seed:             seed,
		Requests:         50,
		Interval:         time.Millisecond,
		ConnsPerRouter:   1,
		Families:         1,
		ObjectsPerFamily: 5,
	}).Total()
	if total.Served+total.Rejected+total.Failed != 50 || total.Served == 0 {
		t.Errorf("outcomes of 50 requests: %+v", total)
	}
}
