package routing

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
)

// Seeded random days that are legal on the wire: the rules hold for every action, each request gets one final
// answer, and equal events bring equal actions.
func TestInvariantsHoldOnRandomDays(t *testing.T) {
	for seed := range uint64(60) {
		day := func() []Action { return playRandomDay(t, seed) }
		if a, b := day(), day(); !reflect.DeepEqual(a, b) {
			t.Fatalf("seed %d: two routers with equal events differ", seed)
		}
	}
}

// openRequest is what the test knows of a request without a final answer.
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

// zoneOf returns the zone of a server of endpoints: edge caches are in one, all others in the other.
func zoneOf(server string) string {
	if strings.HasPrefix(server, "c") {
		return "z"
	}
	return "h"
}

// randomTraffic makes the settings those of another deployment: one class or twelve, none, all or any of them with an
// idempotency key, deadlines down to a thirtieth and up to twenty times as long, few attempts, no parents, no weight of
// stale copies. It returns the factor on deadlines.
func randomTraffic(settings *Settings, rng *rand.Rand) float64 {
	stretch := []float64{1, 0.035, 0.3, 20}[rng.IntN(4)]
	stretched := func(us int64) int64 { return int64(stretch * float64(us)) }
	var all []classSettings
	for i := range settings.Classes {
		all = append(all, settings.classSettings(i))
	}
	var classes []classSettings
	only := rng.IntN(2 * len(all)) // one class alone, of any kind, or all kinds
	kinds := []Idempotency{IdempotentRead, IdempotentKey, NotIdempotent}
	idempotency := []Idempotency{"", IdempotentRead, IdempotentKey, "mixed"}[rng.IntN(4)]
	for i := range []int{1, len(all), 12}[rng.IntN(3)] {
		class := all[(only+i)%len(all)]
		class.Name = fmt.Sprint(class.Name, i)
		class.Deadline = stretched(class.Deadline)
		class.LatencyObjective = stretched(class.LatencyObjective)
		class.DeduplicationWindow = stretched(class.DeduplicationWindow)
		if idempotency != "" { // whatever their way through the caches
			class.Idempotency = idempotency
			if idempotency == "mixed" {
				class.Idempotency = kinds[rng.IntN(len(kinds))]
			}
			class.DeduplicationWindow = max(class.DeduplicationWindow, stretched(sec/2))
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
	return stretch
}

// delayedEvent is an event that comes at a time.
type delayedEvent struct {
	at    int64
	event Event
}

// randomDay is a day at one engine: what comes next, and what the test knows by itself of requests and servers.
type randomDay struct {
	t        *testing.T
	seed     uint64
	rng      *rand.Rand
	settings Settings
	stretch  float64 // factor on deadlines and response times
	engine   *Engine

	now       int64
	queue     []Event // of the next step
	later     []delayedEvent
	endpoints []Endpoint
	isDown    map[string]bool         // servers that may get nothing
	open      map[string]*openRequest // by id
	purgedAt  map[string]int64        // by object
	actions   []Action                // all of the day
}

// playRandomDay plays a day and returns all actions.
func playRandomDay(t *testing.T, seed uint64) []Action {
	rng := rand.New(rand.NewPCG(seed, 1))
	settings := testSettings()
	reporting := []CacheStatusReporting{CacheStatusReported, CacheStatusHitsReported, CacheStatusUnreported}
	settings.Hierarchy.CacheStatusReporting = reporting[rng.IntN(3)]
	settings.Hierarchy.AllowsDirectFetch = rng.IntN(2) == 0
	settings.Permissions.MayCancel = rng.IntN(2) == 0
	settings.WeightSource = []WeightSource{WeightsAbsent, WeightsNominal, WeightsRough, WeightsLive}[rng.IntN(4)]
	stretch := randomTraffic(&settings, rand.New(rand.NewPCG(seed, 2)))
	engine, err := NewEngine(settings, int64(seed))
	if err != nil {
		t.Fatal(err)
	}
	list := endpoints(3, 2)
	day := &randomDay{
		t: t, seed: seed, rng: rng, settings: settings, stretch: stretch, engine: engine,
		now:       1000 * sec,
		queue:     []Event{{Kind: EventEndpoints, UpdateMode: UpdateRestored, Endpoints: list}},
		endpoints: list,
		isDown:    map[string]bool{},
		open:      map[string]*openRequest{},
		purgedAt:  map[string]int64{},
	}
	const busySteps = 1500
	for step := 0; step < busySteps || len(day.later)+len(day.queue) > 0; step++ {
		if step < busySteps {
			day.addEvents(step)
		}
		for _, action := range engine.Step(day.now, day.queue) {
			day.actions = append(day.actions, action)
			day.take(action)
		}
		day.advance()
	}
	if len(day.open) != 0 {
		t.Fatalf("seed %d: %d requests never answered", seed, len(day.open))
	}
	return day.actions
}

// addEvents queues what may come at a step: a request, a change of a server, a report of peers, a purge.
func (d *randomDay) addEvents(step int) {
	if d.rng.IntN(3) == 0 {
		class := d.settings.Classes[d.rng.IntN(len(d.settings.Classes))]
		id := fmt.Sprint("q", step)
		timeout := int64(d.stretch * float64(200*ms+d.rng.Int64N(3*sec)))
		object := fmt.Sprint("x", d.rng.IntN(30))
		d.open[id] = &openRequest{class: class, deadline: d.now + timeout, object: object}
		request := Event{Kind: EventRequest, RequestID: id, Class: class.Name, Object: object, PurgeGroup: 1}
		request.Timeout = timeout
		d.queue = append(d.queue, request)
	}
	if step > 0 && d.rng.IntN(60) == 0 {
		endpoint := d.endpoints[1+d.rng.IntN(len(d.endpoints)-1)]
		endpoint.Status = []EndpointStatus{EndpointHealthy, EndpointDraining, EndpointRemoved}[d.rng.IntN(3)]
		if d.isDown[endpoint.Server] {
			endpoint.StartedAt = d.now
		}
		d.isDown[endpoint.Server] = endpoint.Status != EndpointHealthy
		d.queueFirst(Event{Kind: EventEndpoints, UpdateMode: UpdateChanges, Endpoints: []Endpoint{endpoint}})
	}
	if d.rng.IntN(50) == 0 { // whatever peers report, the rules hold
		reported := []string{"p0", "p1", "c0", "o", "nobody"}[d.rng.IntN(5)]
		d.queue = append(d.queue, Event{Kind: EventParentOverloaded, Server: reported})
	}
	if d.rng.IntN(40) == 0 {
		object := fmt.Sprint("x", d.rng.IntN(30))
		d.purgedAt[object] = d.now - 100*ms
		d.queueFirst(Event{Kind: EventPurge, Object: object, PurgeGroup: 1, PurgeAge: 100 * ms})
	}
}

// queueFirst queues an event before all others of the step.
func (d *randomDay) queueFirst(event Event) {
	d.queue = append([]Event{event}, d.queue...)
}

// take checks an action and does what it says.
func (d *randomDay) take(action Action) {
	switch action.Kind {
	case ActionSetTimer:
		timer := Event{Kind: EventTimer, TimerToken: action.TimerToken}
		d.later = append(d.later, delayedEvent{d.now + action.Delay, timer})
		return
	case ActionReportOverload:
		if d.engine.servers[action.Server].role != roleParent {
			d.t.Fatalf("seed %d: reports %s", d.seed, action.Server)
		}
		return
	case ActionCancel:
		if !d.settings.Permissions.MayCancel {
			d.t.Fatalf("seed %d: cancels where it may not", d.seed)
		}
		return
	}
	req := d.open[action.RequestID]
	if req == nil {
		d.t.Fatalf("seed %d: action for a closed request: %+v", d.seed, action)
	}
	switch action.Kind {
	case ActionSend:
		d.checkSend(req, action)
		d.send(req, action)
	case ActionReject:
		isKeyedByAll := req.class.Idempotency == IdempotentKey && req.class.DeduplicationScope == DeduplicatedByAll
		mayReject := req.class.Idempotency == IdempotentRead || isKeyedByAll
		if req.mayHaveRun && !mayReject {
			d.t.Fatalf("seed %d: rejects what may have run", d.seed)
		}
		d.end(req, action)
	case ActionFail:
		d.end(req, action)
	}
}

// checkSend checks an attempt: one at a time, to servers in use, no second effect, no purged copy.
func (d *randomDay) checkSend(req *openRequest, action Action) {
	class := &req.class
	if req.inFlight || d.isDown[action.Server] || d.isDown[action.Source] {
		d.t.Fatalf("seed %d: sends twice or to a drained server: %+v", d.seed, action)
	}
	isKeyed := class.Idempotency == IdempotentKey
	isPastWindow := d.now+action.SendWithin-req.ranAt > class.DeduplicationWindow
	if req.mayHaveRun && (class.Idempotency == NotIdempotent || isKeyed && isPastWindow) {
		d.t.Fatalf("seed %d: effect twice: %+v", d.seed, action)
	}
	isZoned := isKeyed && class.DeduplicationScope == DeduplicatedByZone
	if req.mayHaveRun && isZoned && zoneOf(action.Server) != zoneOf(req.ranServer) {
		d.t.Fatalf("seed %d: outside the deduplication scope: %+v", d.seed, action)
	}
	sincePurge := d.now - d.purgedAt[req.object]
	isUnbounded := action.MaxAge <= 0 && strings.HasPrefix(class.Name, "big")
	if sincePurge < d.settings.Hierarchy.PurgePropagationTime && (isUnbounded || action.MaxAge > sincePurge) {
		d.t.Fatalf("seed %d: purged copy would do: %+v", d.seed, action)
	}
}

// send draws the outcome of an attempt, which comes later.
func (d *randomDay) send(req *openRequest, action Action) {
	outcomes := []AttemptOutcome{
		OutcomeServed, OutcomeServed, OutcomeServed, OutcomeError, OutcomeRejected, OutcomeTimedOut,
		OutcomeConnectionRefused, OutcomeConnectionReset, OutcomeMiss,
	}
	outcome, status := outcomes[d.rng.IntN(len(outcomes))], CacheStatusUnknown
	if d.settings.Hierarchy.CacheStatusReporting == CacheStatusReported {
		status = CacheStatus(d.rng.IntN(11))
	}
	took := int64(d.stretch*float64(1+d.rng.Int64N(800*ms))) + 1
	if d.now+took >= req.deadline {
		took, outcome = req.deadline-d.now, OutcomeTimedOut
	}
	isProofOfNoRun := outcome == OutcomeRejected || outcome == OutcomeConnectionRefused || outcome == OutcomeMiss
	if !req.mayHaveRun && !isProofOfNoRun {
		req.mayHaveRun = true
		req.ranAt = d.now
		req.ranServer = action.Server
	}
	ended := outcomeEvent(action, req.attempts, outcome, status)
	ended.ResponseTime = took
	d.later = append(d.later, delayedEvent{d.now + took, ended})
	req.inFlight = true
	req.attempts++
}

// end checks a final answer.
func (d *randomDay) end(req *openRequest, action Action) {
	if d.now > req.deadline+10*ms || req.inFlight { // a step every 10 ms
		d.t.Fatalf("seed %d: late or early end: %+v", d.seed, action)
	}
	delete(d.open, action.RequestID)
}

// advance goes on to the next step, queues what is due, and checks that no request waits for its answer too long.
func (d *randomDay) advance() {
	d.now += 10 * ms
	d.queue = nil
	rest := d.later[:0]
	for _, delayed := range d.later {
		if delayed.at > d.now {
			rest = append(rest, delayed)
			continue
		}
		if req := d.open[delayed.event.RequestID]; req != nil {
			req.inFlight = false
			if delayed.event.IsFinal {
				delete(d.open, delayed.event.RequestID)
			}
		}
		d.queue = append(d.queue, delayed.event)
	}
	d.later = rest
	for id, req := range d.open {
		if !req.inFlight && req.attempts > 0 && d.now > req.deadline+20*ms {
			d.t.Fatalf("seed %d: %s was never answered", d.seed, id)
		}
	}
}
