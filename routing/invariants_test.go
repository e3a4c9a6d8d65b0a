package routing

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
)

// For random event sequences that are valid on the wire, no unavailable server is used, no request can run twice, no
// purged copy is accepted, each request gets exactly one final answer, and equal events result in equal actions.
func TestInvariantsHoldForRandomEvents(t *testing.T) {
	for seed := range uint64(60) {
		run := func() []Action { return runRandomEvents(t, seed) }
		if a, b := run(), run(); !reflect.DeepEqual(a, b) {
			t.Fatalf("seed %d: equal events resulted in different actions", seed)
		}
	}
}

// openRequest is the test's own record of a request without a final answer.
type openRequest struct {
	class    Class
	object   string
	deadline int64
	attempts int
	inFlight bool

	// The first attempt that may have run.
	mayHaveRun bool
	ranAt      int64
	ranServer  string
}

// zoneOf returns the zone of a server in the list of endpoints: "z" for edge caches, "h" for all others.
func zoneOf(server string) string {
	if strings.HasPrefix(server, "c") {
		return "z"
	}
	return "h"
}

// randomizeSettings changes the settings to those of another deployment: up to twelve classes, with any or mixed
// idempotency, deadlines from about a thirtieth to twenty times as long, and possibly few attempts, no parents or no
// weight for stale responses. It returns the factor on deadlines.
func randomizeSettings(settings *Settings, rng *rand.Rand) float64 {
	timeScale := []float64{1, 0.035, 0.3, 20}[rng.IntN(4)]
	scaled := func(us int64) int64 { return int64(timeScale * float64(us)) }
	var all []classSettings
	for i := range settings.Classes {
		all = append(all, settings.classSettings(i))
	}
	var classes []classSettings
	first := rng.IntN(2 * len(all)) // index, modulo len(all), of the first class; it may be the only class
	kinds := []Idempotency{IdempotentRead, IdempotentKey, NotIdempotent}
	idempotency := []Idempotency{"", IdempotentRead, IdempotentKey, "mixed"}[rng.IntN(4)]
	for i := range []int{1, len(all), 12}[rng.IntN(3)] {
		class := all[(first+i)%len(all)]
		class.Name = fmt.Sprint(class.Name, i)
		class.Deadline = scaled(class.Deadline)
		class.LatencyObjective = scaled(class.LatencyObjective)
		class.DeduplicationWindow = scaled(class.DeduplicationWindow)
		if idempotency != "" { // independent of whether the class is cacheable
			class.Idempotency = idempotency
			if idempotency == "mixed" {
				class.Idempotency = kinds[rng.IntN(len(kinds))]
			}
			class.DeduplicationWindow = max(class.DeduplicationWindow, scaled(sec/2))
		}
		classes = append(classes, class)
	}
	settings.setClassSettings(classes)
	if rng.IntN(3) == 0 {
		settings.Hierarchy.StaleWeightFactor = make([]float64, len(settings.Classes))
	}
	if rng.IntN(4) == 0 {
		settings.Hierarchy.ParentKind = -1
	}
	settings.Permissions.MaxAttempts = []int{1, 2, 6}[rng.IntN(3)]
	settings.FleetSize = []int{1, 3, 300}[rng.IntN(3)]
	return timeScale
}

// delayedEvent is an event that occurs at a later time.
type delayedEvent struct {
	at    int64
	event Event
}

// randomRun is a run of one engine with random events: the events to come, and the test's own records of requests and
// servers.
type randomRun struct {
	t         *testing.T
	seed      uint64
	rng       *rand.Rand
	settings  Settings
	timeScale float64 // factor on deadlines and response times
	engine    *Engine

	now           int64
	queue         []Event // events of the next step
	delayed       []delayedEvent
	endpoints     []Endpoint
	isUnavailable map[string]bool         // servers that must not get requests
	open          map[string]*openRequest // open requests by id
	purgedAt      map[string]int64        // time of the last purge by object
	actions       []Action                // all actions of the run
}

// runRandomEvents runs an engine with random events and returns all actions.
func runRandomEvents(t *testing.T, seed uint64) []Action {
	rng := rand.New(rand.NewPCG(seed, 1))
	settings := testSettings()
	reporting := []CacheStatusReporting{CacheStatusReported, CacheStatusHitsReported, CacheStatusUnreported}
	settings.Hierarchy.CacheStatusReporting = reporting[rng.IntN(3)]
	settings.Hierarchy.AllowsDirectFetch = rng.IntN(2) == 0
	settings.Permissions.MayCancel = rng.IntN(2) == 0
	settings.WeightSource = []WeightSource{WeightsAbsent, WeightsNominal, WeightsRough, WeightsLive}[rng.IntN(4)]
	timeScale := randomizeSettings(&settings, rand.New(rand.NewPCG(seed, 2)))
	engine, err := NewEngine(settings, int64(seed))
	if err != nil {
		t.Fatal(err)
	}
	list := endpoints(3, 2)
	run := &randomRun{
		t: t, seed: seed, rng: rng, settings: settings, timeScale: timeScale, engine: engine,
		now:           1000 * sec,
		queue:         []Event{{Kind: EventEndpoints, UpdateMode: UpdateRestored, Endpoints: list}},
		endpoints:     list,
		isUnavailable: map[string]bool{},
		open:          map[string]*openRequest{},
		purgedAt:      map[string]int64{},
	}
	const busySteps = 1500
	for step := 0; step < busySteps || len(run.delayed)+len(run.queue) > 0; step++ {
		if step < busySteps {
			run.addEvents(step)
		}
		for _, action := range engine.Step(run.now, run.queue) {
			run.actions = append(run.actions, action)
			run.handleAction(action)
		}
		run.advance()
	}
	if len(run.open) != 0 {
		t.Fatalf("seed %d: %d requests without a final answer", seed, len(run.open))
	}
	return run.actions
}

// addEvents queues random events for a step: a request, a change of a server, an overload report, a purge.
func (r *randomRun) addEvents(step int) {
	if r.rng.IntN(3) == 0 {
		class := r.settings.Classes[r.rng.IntN(len(r.settings.Classes))]
		id := fmt.Sprint("q", step)
		timeout := int64(r.timeScale * float64(200*ms+r.rng.Int64N(3*sec)))
		object := fmt.Sprint("x", r.rng.IntN(30))
		r.open[id] = &openRequest{class: class, deadline: r.now + timeout, object: object}
		request := Event{Kind: EventRequest, RequestID: id, Class: class.Name, Object: object, PurgeGroup: 1}
		request.Timeout = timeout
		r.queue = append(r.queue, request)
	}
	if step > 0 && r.rng.IntN(60) == 0 {
		endpoint := r.endpoints[1+r.rng.IntN(len(r.endpoints)-1)]
		endpoint.Status = []EndpointStatus{EndpointHealthy, EndpointDraining, EndpointRemoved}[r.rng.IntN(3)]
		if r.isUnavailable[endpoint.Server] {
			endpoint.StartedAt = r.now
		}
		r.isUnavailable[endpoint.Server] = endpoint.Status != EndpointHealthy
		r.queueFirst(Event{Kind: EventEndpoints, UpdateMode: UpdateChanges, Endpoints: []Endpoint{endpoint}})
	}
	if r.rng.IntN(50) == 0 { // the server may be unknown or not a parent
		reported := []string{"p0", "p1", "c0", "o", "nobody"}[r.rng.IntN(5)]
		r.queue = append(r.queue, Event{Kind: EventParentOverloaded, Server: reported})
	}
	if r.rng.IntN(40) == 0 {
		object := fmt.Sprint("x", r.rng.IntN(30))
		r.purgedAt[object] = r.now - 100*ms
		r.queueFirst(Event{Kind: EventPurge, Object: object, PurgeGroup: 1, PurgeAge: 100 * ms})
	}
}

// queueFirst queues an event before all others of the step.
func (r *randomRun) queueFirst(event Event) {
	r.queue = append([]Event{event}, r.queue...)
}

// handleAction checks an action and performs it.
func (r *randomRun) handleAction(action Action) {
	switch action.Kind {
	case ActionSetTimer:
		timer := Event{Kind: EventTimer, TimerToken: action.TimerToken}
		r.delayed = append(r.delayed, delayedEvent{r.now + action.Delay, timer})
		return
	case ActionReportOverload:
		if r.engine.servers[action.Server].role != roleParent {
			r.t.Fatalf("seed %d: %s is reported as overloaded but is no parent", r.seed, action.Server)
		}
		return
	case ActionCancel:
		if !r.settings.Permissions.MayCancel {
			r.t.Fatalf("seed %d: cancellation without permission", r.seed)
		}
		return
	}
	req := r.open[action.RequestID]
	if req == nil {
		r.t.Fatalf("seed %d: action for a closed request: %+v", r.seed, action)
	}
	switch action.Kind {
	case ActionSend:
		r.checkSend(req, action)
		r.send(req, action)
	case ActionReject:
		dropsRepeats := req.class.Idempotency == IdempotentKey && req.class.DeduplicationScope == DeduplicatedByAll
		mayReject := req.class.Idempotency == IdempotentRead || dropsRepeats
		if req.mayHaveRun && !mayReject {
			r.t.Fatalf("seed %d: rejection of a request that may have run", r.seed)
		}
		r.closeRequest(req, action)
	case ActionFail:
		r.closeRequest(req, action)
	}
}

// checkSend checks an attempt: it is the only one in flight, its servers are available, the request cannot run twice,
// and no purged copy is accepted.
func (r *randomRun) checkSend(req *openRequest, action Action) {
	class := &req.class
	if req.inFlight || r.isUnavailable[action.Server] || r.isUnavailable[action.Source] {
		r.t.Fatalf("seed %d: second attempt in flight, or unavailable server: %+v", r.seed, action)
	}
	isKeyed := class.Idempotency == IdempotentKey
	isPastWindow := r.now+action.SendWithin-req.ranAt > class.DeduplicationWindow
	if req.mayHaveRun && (class.Idempotency == NotIdempotent || isKeyed && isPastWindow) {
		r.t.Fatalf("seed %d: request may run twice: %+v", r.seed, action)
	}
	isZoned := isKeyed && class.DeduplicationScope == DeduplicatedByZone
	if req.mayHaveRun && isZoned && zoneOf(action.Server) != zoneOf(req.ranServer) {
		r.t.Fatalf("seed %d: retry outside the deduplication scope: %+v", r.seed, action)
	}
	sincePurge := r.now - r.purgedAt[req.object]
	isUnbounded := action.MaxAge <= 0 && strings.HasPrefix(class.Name, "big")
	if sincePurge < r.settings.Hierarchy.PurgePropagationTime && (isUnbounded || action.MaxAge > sincePurge) {
		r.t.Fatalf("seed %d: purged copy is accepted: %+v", r.seed, action)
	}
}

// send records an attempt and schedules a random outcome.
func (r *randomRun) send(req *openRequest, action Action) {
	outcomes := []AttemptOutcome{
		OutcomeServed, OutcomeServed, OutcomeServed, OutcomeError, OutcomeRejected, OutcomeTimedOut,
		OutcomeConnectionRefused, OutcomeConnectionReset, OutcomeMiss,
	}
	outcome, status := outcomes[r.rng.IntN(len(outcomes))], CacheStatusUnknown
	if r.settings.Hierarchy.CacheStatusReporting == CacheStatusReported {
		status = CacheStatus(r.rng.IntN(11))
	}
	responseTime := int64(r.timeScale*float64(1+r.rng.Int64N(800*ms))) + 1
	if r.now+responseTime >= req.deadline {
		responseTime, outcome = req.deadline-r.now, OutcomeTimedOut
	}
	isProofOfNoRun := outcome == OutcomeRejected || outcome == OutcomeConnectionRefused || outcome == OutcomeMiss
	if !req.mayHaveRun && !isProofOfNoRun {
		req.mayHaveRun = true
		req.ranAt = r.now
		req.ranServer = action.Server
	}
	ended := outcomeEvent(action, req.attempts, outcome, status)
	ended.ResponseTime = responseTime
	r.delayed = append(r.delayed, delayedEvent{r.now + responseTime, ended})
	req.inFlight = true
	req.attempts++
}

// closeRequest checks a final answer and closes its request.
func (r *randomRun) closeRequest(req *openRequest, action Action) {
	if r.now > req.deadline+10*ms || req.inFlight { // steps are 10 ms apart
		r.t.Fatalf("seed %d: final answer after the deadline or with an attempt in flight: %+v", r.seed, action)
	}
	delete(r.open, action.RequestID)
}

// advance proceeds to the next step, queues the events that are due, and checks that no request is open too long after
// its deadline.
func (r *randomRun) advance() {
	r.now += 10 * ms
	r.queue = nil
	rest := r.delayed[:0]
	for _, delayed := range r.delayed {
		if delayed.at > r.now {
			rest = append(rest, delayed)
			continue
		}
		if req := r.open[delayed.event.RequestID]; req != nil {
			req.inFlight = false
			if delayed.event.IsFinal {
				delete(r.open, delayed.event.RequestID)
			}
		}
		r.queue = append(r.queue, delayed.event)
	}
	r.delayed = rest
	for id, req := range r.open {
		if !req.inFlight && req.attempts > 0 && r.now > req.deadline+20*ms {
			r.t.Fatalf("seed %d: request %s is open after its deadline", r.seed, id)
		}
	}
}
