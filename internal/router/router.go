// Package router serves requests by the decision module. It knows no protocol and no socket: a front hands it
// Requests, an Upstream carries its attempts, and discovery hands it Notices of servers and purges.
package router

import (
	"errors"
	"fmt"
	"runtime/debug"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"spantack/core/cells"
	"spantack/core/endpoints"
	"spantack/core/hierarchy"
	"spantack/core/migration"
	"spantack/core/originlimit"
	"spantack/core/rollout"
	"spantack/internal/clock"
	"spantack/routing"
)

// Request is one client's request. Times are milliseconds.
type Request struct {
	ID             string
	Class          string
	Tenant         string // as the front names it; often unknown
	Object         string
	Chunk          int64
	PurgeGroup     int64
	SizeKB         float64
	IdempotencyKey string  // idempotency key
	ClientETag     string  // tag of the copy that the client holds
	ClientTimeout  float64 // how long the client waits from Arrived on
	ArrivedAt      float64
	Body           []byte
	// ClientDeparted tells whether the client has left, as soon as that can be known: the context of Serve may end later. It looks at the client's
	// connection, and may wait some milliseconds. Nil: only the context tells.
	ClientDeparted func() bool
}

// Outcome is the kind of a final answer.
type Outcome int

// The verdicts.
const (
	NoResponse Outcome = iota // the client is gone: no answer is owed
	Served                    // Body, or Same
	Rejected                  // RetryAfter; trying again is harmless
	Failed
)

// Response is the one final answer to a request.
type Response struct {
	Outcome     Outcome
	Body        []byte
	NotModified bool // the client's own copy is the one: no body
	RetryAfter  float64
}

// Attempt is one try of a request at one server. Times are milliseconds.
type Attempt struct {
	*Request
	Server         string // id of the server
	Source         string // id of the server that fills a miss; empty: none
	Timeout        float64
	RetentionRank  int
	MaxAge         float64            // 0: the class's fresh time
	FetchFlags     routing.FetchFlags // bits of rules.Action.FetchFlags
	SendWithin     float64            // how long after its choice it may go out; 0: as long as its server may be sent to
	HasSideEffects bool               // to run it twice does harm: it must not be mistaken for another attempt of its request
}

// AttemptResult is how an attempt ended.
type AttemptResult struct {
	Outcome     routing.AttemptOutcome
	CacheStatus int
	SourceWait  float64 // for the source
	Body        []byte
	NotModified bool
	LoadReport  string  // the server's load report as it came, "NAME:VALUE;NAME:VALUE"; empty: none
	CopyMadeAt  float64 // Unix milliseconds at which the origin gave the copy out; 0: not told
}

// PendingAttempt is an attempt that is out.
type PendingAttempt interface {
	// Done yields the attempt's end, once; nothing after Drop.
	Done() <-chan AttemptResult
	// Drop gives the attempt up; again tells that another may follow. It returns once the server has been told or
	// the connection closed, or neither can be done soon.
	Cancel(again bool)
}

// Upstream carries attempts to servers. Send must not wait for the network.
type Upstream interface {
	Send(Attempt) PendingAttempt
}

// Server is one entry of the list of servers.
type Server struct {
	ID, Addr, Zone, Kind string
	Cell                 int64
	Status               string // in the module's words
	Weight               float64
	StartedAt            float64 // Unix milliseconds; 0: long ago
}

// Purge says that copies of an object (empty: of a whole group) made before At are out of date.
type Purge struct {
	Object string
	Group  int64
	Before float64
}

// WatchEvent is a change of the list of servers, the whole list, or a purge.
type WatchEvent struct {
	IsSnapshot bool
	Servers    []Server
	Purge      *Purge
}

// Counters count the requests of a Router, its attempts, and its answers by kind.
type Counters struct {
	Accepted, Attempts, Served, Rejected, Failed, Departed, Overdue, Faults atomic.Int64
}

// Router shares one decision module between the requests of this process.
type Router struct {
	Counters Counters
	// OnOverloaded, if set before the first request, is called with each server that this router itself found crowded. It must not block.
	OnOverloaded func(server string)

	clock    *clock.Clock
	log      zerolog.Logger
	upstream Upstream

	mu           sync.Mutex // held only while the module decides; never across I/O
	admission    *cells.Admission
	endpoints    *endpoints.List
	lastStepAt   int64 // the module's clock must not run backwards
	mailboxes    map[string]chan routing.Action
	loadFields   []string        // what load reports hold, in the module's order
	keyedClasses map[string]bool // classes whose requests carry an idempotency key

	classCounters atomic.Pointer[map[string]*ClassCounters] // by class; the map itself never changes

	closed chan struct{} // closed when the time for answers is over
}

// ClassCounters counts the ends of requests of one class.
type ClassCounters struct {
	Class                    string
	Served, Rejected, Failed atomic.Int64
}

// New returns a router that decides by the settings and sends by way of upstream.
func New(set routing.Settings, seed int64, c *clock.Clock, upstream Upstream, log zerolog.Logger) (*Router, error) {
	module, err := cells.NewAdmission(set, seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	r := &Router{clock: c, log: log, upstream: upstream, admission: module, endpoints: endpoints.New(), mailboxes: map[string]chan routing.Action{},
		closed: make(chan struct{})}
	r.applySettingsLocked(set)
	return r, nil
}

// Close fails all open requests and all later ones, so that none is left without an answer when the process ends. It must be called once
// only.
func (r *Router) Close() { close(r.closed) }

// Features is what a features file sets: an assignment of cells, a document of moves and a release that fit it, a shape of the hierarchy,
// and a shield of the head office. A nil field is off.
type Features struct {
	Cells       *cells.Assignment
	Migrations  *migration.Document
	Rollout     *rollout.Rollout
	Topology    *hierarchy.Graph
	OriginLimit *originlimit.Document
}

// ApplyFeatures puts features in force before it returns. No request sees a part without the others. The error is that of the release or the
// shield, which is then not in force.
func (r *Router) ApplyFeatures(f Features) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastStepAt = max(r.lastStepAt, clock.Micros(r.clock.Now()))
	r.admission.SetTopology(r.lastStepAt, f.Topology)
	r.admission.SetAssignment(r.lastStepAt, f.Cells)
	r.admission.SetMigrations(r.lastStepAt, f.Migrations)
	return errors.Join(r.admission.SetRollout(r.lastStepAt, f.Rollout), r.admission.SetOriginLimit(r.lastStepAt, f.OriginLimit))
}

// OriginLimitStatus returns the state of the shield of the head office; nil without one.
func (r *Router) OriginLimitStatus() *cells.OriginLimitStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.admission.OriginLimitStatus()
}

// Tick advances moves and a release while no request comes, and computes a due plan for fills outside the lock.
func (r *Router) Tick() {
	r.mu.Lock()
	r.lastStepAt = max(r.lastStepAt, clock.Micros(r.clock.Now()))
	actions := r.admission.Tick(r.lastStepAt)
	plan := r.admission.TakePlanJob()
	r.mu.Unlock()
	if plan != nil {
		plan.Run()
		r.mu.Lock()
		r.admission.ApplyPlanJob(plan)
		r.mu.Unlock()
	}
	for _, a := range actions {
		r.log.Info().Str("text", a.LogText).Msg("module says")
	}
}

// PlanOnTick leaves the computing of plans for many areas to Tick, which the caller must then call regularly. It is called before the first
// request.
func (r *Router) PlanOnTick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.admission.PlansInBackground = true
}

// RolloutStatus returns the progress of the release; nil without one.
func (r *Router) RolloutStatus() *cells.RolloutStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.admission.RolloutStatus()
}

// MigrationStatus returns the progress of the moves of this depot, and the version of their document; 0 while there is none.
func (r *Router) MigrationStatus() ([]cells.MigrationStatus, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.admission.Migrations(clock.Micros(r.clock.Now())), r.admission.MigrationsVersion()
}

// maxReportedDemands bounds the tenants whose demand Cells returns.
const maxReportedDemands = 500

// CellStatus returns the present state of the cells and the recent demand of tenants; nil while cells are off.
func (r *Router) CellStatus() (*cells.Status, []cells.TenantDemand) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Micros(r.clock.Now())
	return r.admission.Status(now), r.admission.TopDemand(now, maxReportedDemands)
}

// Apply passes a notice to the module before it returns.
func (r *Router) Apply(n WatchEvent) {
	ev := routing.Event{Kind: routing.EventEndpoints, UpdateMode: "update"}
	if n.IsSnapshot {
		ev.UpdateMode = "replace"
	}
	for _, s := range n.Servers {
		ev.Endpoints = append(ev.Endpoints, routing.Endpoint{Server: s.ID, Zone: s.Zone, Kind: s.Kind, Cell: s.Cell, Status: routing.EndpointStatus(s.Status),
			Weight: s.Weight, StartedAt: clock.Micros(s.StartedAt)})
	}
	if n.Purge != nil {
		r.step(routing.Event{Kind: routing.EventPurge, Object: n.Purge.Object, PurgeGroup: n.Purge.Group,
			PurgeAge: clock.Micros(max(r.clock.Now()-n.Purge.Before, 0))})
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	ev.Endpoints = r.endpoints.Update(n.IsSnapshot, ev.Endpoints)
	r.stepLocked(ev)
}

// step passes one event to the module, and each action to the mailbox of the request that it names. The timers that
// the module sets belong to the router: they fire even when their request has ended.
func (r *Router) step(ev routing.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stepLocked(ev)
}

// stepLocked is step for a caller that holds r.mu.
func (r *Router) stepLocked(ev routing.Event) {
	r.lastStepAt = max(r.lastStepAt, clock.Micros(r.clock.Now()))
	for _, a := range r.decide(ev) {
		switch a.Kind {
		case routing.ActionSetTimer:
			r.clock.AfterFunc(clock.Millis(a.Delay), func() { r.step(routing.Event{Kind: routing.EventTimer, TimerToken: a.TimerToken}) })
		case routing.ActionSend, routing.ActionReject, routing.ActionFail, routing.ActionCancel:
			select {
			case r.mailboxes[a.RequestID] <- a:
			default: // no request waits for it, or the mailbox is full: the request is still answered at its deadline
				r.Counters.Faults.Add(1)
			}
		case routing.ActionReportOverload:
			if r.OnOverloaded != nil {
				r.OnOverloaded(a.Server)
			}
		case routing.ActionLog:
			r.log.Info().Str("text", a.LogText).Msg("module says")
		}
	}
}

// decide calls the module and recovers from its panics, which would end every open request.
func (r *Router) decide(ev routing.Event) (actions []routing.Action) {
	defer func() {
		if p := recover(); p != nil {
			r.Counters.Faults.Add(1)
			r.log.Error().Str("panic", fmt.Sprint(p)).Bytes("stack", debug.Stack()).Msg("decision module failed")
		}
	}()
	return r.admission.Step(r.lastStepAt, []routing.Event{ev})
}
