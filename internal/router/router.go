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
	"spantack/core/hierarchy"
	"spantack/core/moves"
	"spantack/core/roster"
	"spantack/core/shield"
	"spantack/core/stages"
	"spantack/internal/clock"
	"spantack/rules"
)

// Request is one client's request. Times are milliseconds.
type Request struct {
	ID      string
	Class   string
	Tenant  string // as the front names it; often unknown
	Object  string
	Part    int64
	Group   int64
	SizeKb  float64
	Key     string  // idempotency key
	Have    string  // tag of the copy that the client holds
	Allow   float64 // how long the client waits from Arrived on
	Arrived float64
	Body    []byte
	// Departed tells whether the client has left, as soon as that can be known: the context of Serve may end later. It looks at the client's
	// connection, and may wait some milliseconds. Nil: only the context tells.
	Departed func() bool
}

// Verdict is the kind of a final answer.
type Verdict int

// The verdicts.
const (
	None    Verdict = iota // the client is gone: no answer is owed
	Served                 // Body, or Same
	Refused                // RetryAfter; trying again is harmless
	Failed
)

// Answer is the one final answer to a request.
type Answer struct {
	Verdict    Verdict
	Body       []byte
	Same       bool // the client's own copy is the one: no body
	RetryAfter float64
}

// Attempt is one try of a request at one server. Times are milliseconds.
type Attempt struct {
	*Request
	Server   string // id of the server
	Source   string // id of the server that fills a miss; empty: none
	Patience float64
	Keep     int
	MaxAge   float64          // 0: the class's fresh time
	How      rules.FetchFlags // bits of rules.Action.FetchFlags
	Within   float64          // how long after its choice it may go out; 0: as long as its server may be sent to
	Effects  bool             // to run it twice does harm: it must not be mistaken for another attempt of its request
}

// End is how an attempt ended.
type End struct {
	Code   rules.AttemptOutcome
	Note   int
	Waited float64 // for the source
	Body   []byte
	Same   bool
	Load   string  // the server's load report as it came, "NAME:VALUE;NAME:VALUE"; empty: none
	Made   float64 // Unix milliseconds at which the origin gave the copy out; 0: not told
}

// Call is an attempt that is out.
type Call interface {
	// Done yields the attempt's end, once; nothing after Drop.
	Done() <-chan End
	// Drop gives the attempt up; again tells that another may follow. It returns once the server has been told or
	// the connection closed, or neither can be done soon.
	Drop(again bool)
}

// Upstream carries attempts to servers. Send must not wait for the network.
type Upstream interface {
	Send(Attempt) Call
}

// Server is one entry of the list of servers.
type Server struct {
	ID, Addr, Zone, Kind string
	Cell                 int64
	Status               string // in the module's words
	Weight               float64
	Started              float64 // Unix milliseconds; 0: long ago
}

// Purge says that copies of an object (empty: of a whole group) made before At are out of date.
type Purge struct {
	Object string
	Group  int64
	At     float64
}

// Notice is a change of the list of servers, the whole list, or a purge.
type Notice struct {
	Whole   bool
	Servers []Server
	Purge   *Purge
}

// Counters count the requests of a Router, its attempts, and its answers by kind.
type Counters struct {
	Taken, Sent, Served, Refused, Failed, Gone, Overdue, Faults atomic.Int64
}

// Router shares one decision module between the requests of this process.
type Router struct {
	Counters Counters
	// OnCrowded, if set before the first request, is called with each server that this router itself found crowded. It must not block.
	OnCrowded func(server string)

	clock    *clock.Clock
	log      zerolog.Logger
	upstream Upstream

	mu        sync.Mutex // held only while the module decides; never across I/O
	rules     *cells.Admission
	list      *roster.List
	last      int64 // the module's clock must not run backwards
	mailboxes map[string]chan rules.Action
	fields    []string        // what load reports hold, in the module's order
	keyed     map[string]bool // classes whose requests carry an idempotency key

	tallies atomic.Pointer[map[string]*Tally] // by class; the map itself never changes

	finish chan struct{} // closed when the time for answers is over
}

// Tally counts the ends of requests of one class.
type Tally struct {
	Class                   string
	Served, Refused, Failed atomic.Int64
}

// New returns a router that decides by the settings and sends by way of upstream.
func New(set rules.Settings, seed int64, c *clock.Clock, upstream Upstream, log zerolog.Logger) (*Router, error) {
	module, err := cells.NewAdmission(set, seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	r := &Router{clock: c, log: log, upstream: upstream, rules: module, list: roster.New(), mailboxes: map[string]chan rules.Action{},
		finish: make(chan struct{})}
	r.applySettingsLocked(set)
	return r, nil
}

// Finish fails all open requests and all later ones, so that none is left without an answer when the process ends. It must be called once
// only.
func (r *Router) Finish() { close(r.finish) }

// Features is what a features file sets: an assignment of cells, a document of moves and a release that fit it, a shape of the hierarchy,
// and a shield of the head office. A nil field is off.
type Features struct {
	Cells   *cells.Assignment
	Moves   *moves.Document
	Release *stages.Rollout
	Shape   *hierarchy.Graph
	Shield  *shield.Document
}

// ApplyFeatures puts features in force before it returns. No request sees a part without the others. The error is that of the release or the
// shield, which is then not in force.
func (r *Router) ApplyFeatures(f Features) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last = max(r.last, clock.Micros(r.clock.Now()))
	r.rules.SetTopology(r.last, f.Shape)
	r.rules.SetAssignment(r.last, f.Cells)
	r.rules.SetMigrations(r.last, f.Moves)
	return errors.Join(r.rules.SetRollout(r.last, f.Release), r.rules.SetOriginLimit(r.last, f.Shield))
}

// ShieldStatus returns the state of the shield of the head office; nil without one.
func (r *Router) ShieldStatus() *cells.OriginLimitStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rules.OriginLimitStatus()
}

// Tick advances moves and a release while no request comes, and computes a due plan for fills outside the lock.
func (r *Router) Tick() {
	r.mu.Lock()
	r.last = max(r.last, clock.Micros(r.clock.Now()))
	actions := r.rules.Tick(r.last)
	plan := r.rules.TakePlanJob()
	r.mu.Unlock()
	if plan != nil {
		plan.Run()
		r.mu.Lock()
		r.rules.ApplyPlanJob(plan)
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
	r.rules.PlansInBackground = true
}

// Release returns the progress of the release; nil without one.
func (r *Router) Release() *cells.RolloutStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rules.RolloutStatus()
}

// Moves returns the progress of the moves of this depot, and the version of their document; 0 while there is none.
func (r *Router) Moves() ([]cells.MigrationStatus, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rules.Migrations(clock.Micros(r.clock.Now())), r.rules.MigrationsVersion()
}

// maxDemand bounds the tenants whose demand Cells returns.
const maxDemand = 500

// Cells returns the present state of the cells and the recent demand of tenants; nil while cells are off.
func (r *Router) Cells() (*cells.Status, []cells.TenantDemand) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Micros(r.clock.Now())
	return r.rules.Status(now), r.rules.TopDemand(now, maxDemand)
}

// Apply passes a notice to the module before it returns.
func (r *Router) Apply(n Notice) {
	ev := rules.Event{Kind: rules.EventEndpoints, UpdateMode: "update"}
	if n.Whole {
		ev.UpdateMode = "replace"
	}
	for _, s := range n.Servers {
		ev.Endpoints = append(ev.Endpoints, rules.Endpoint{Server: s.ID, Zone: s.Zone, Kind: s.Kind, Cell: s.Cell, Status: rules.EndpointStatus(s.Status),
			Weight: s.Weight, StartedAt: clock.Micros(s.Started)})
	}
	if n.Purge != nil {
		r.step(rules.Event{Kind: rules.EventPurge, Object: n.Purge.Object, PurgeGroup: n.Purge.Group,
			PurgeAge: clock.Micros(max(r.clock.Now()-n.Purge.At, 0))})
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	ev.Endpoints = r.list.Update(n.Whole, ev.Endpoints)
	r.stepLocked(ev)
}

// step passes one event to the module, and each action to the mailbox of the request that it names. The timers that
// the module sets belong to the router: they fire even when their request has ended.
func (r *Router) step(ev rules.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stepLocked(ev)
}

// stepLocked is step for a caller that holds r.mu.
func (r *Router) stepLocked(ev rules.Event) {
	r.last = max(r.last, clock.Micros(r.clock.Now()))
	for _, a := range r.decide(ev) {
		switch a.Kind {
		case rules.ActionSetTimer:
			r.clock.AfterFunc(clock.Millis(a.Delay), func() { r.step(rules.Event{Kind: rules.EventTimer, TimerToken: a.TimerToken}) })
		case rules.ActionSend, rules.ActionReject, rules.ActionFail, rules.ActionCancel:
			select {
			case r.mailboxes[a.RequestID] <- a:
			default: // no request waits for it, or the mailbox is full: the request is still answered at its deadline
				r.Counters.Faults.Add(1)
			}
		case rules.ActionReportOverload:
			if r.OnCrowded != nil {
				r.OnCrowded(a.Server)
			}
		case rules.ActionLog:
			r.log.Info().Str("text", a.LogText).Msg("module says")
		}
	}
}

// decide calls the module and recovers from its panics, which would end every open request.
func (r *Router) decide(ev rules.Event) (actions []rules.Action) {
	defer func() {
		if p := recover(); p != nil {
			r.Counters.Faults.Add(1)
			r.log.Error().Str("panic", fmt.Sprint(p)).Bytes("stack", debug.Stack()).Msg("decision module failed")
		}
	}()
	return r.rules.Step(r.last, []rules.Event{ev})
}
