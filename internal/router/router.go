// Package router takes requests through the decision module. It knows no protocol and no socket: a front hands it
// Requests, an Upstream carries its attempts, and notices tell it of servers and purges.
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
	MaxAge   float64 // 0: the class's fresh time
	How      int     // bits of rules.Action.How
	Within   float64 // how long after its choice it may go out; 0: as long as its server may be sent to
	Effects  bool    // to run it twice does harm: it must not be mistaken for another attempt of its request
}

// End is how an attempt ended.
type End struct {
	Code   rules.Code
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

// Counters count what a Router took in, sent and answered.
type Counters struct {
	Taken, Sent, Served, Refused, Failed, Gone, Overdue, Faults atomic.Int64
}

// Router shares one decision module between the requests of this process.
type Router struct {
	Counters Counters
	// Tell, if set before requests come, is told which server this router found crowded by itself. It must not wait.
	Tell func(server string)

	clock    *clock.Clock
	log      zerolog.Logger
	upstream Upstream

	mu     sync.Mutex // held only while the module decides; never across I/O
	rules  *cells.Module
	list   *roster.Roster
	last   int64 // the module's clock must not run backwards
	mail   map[string]chan rules.Action
	fields []string        // what load reports hold, in the module's order
	keyed  map[string]bool // classes whose requests carry an idempotency key

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
	module, err := cells.NewModule(set, seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	r := &Router{clock: c, log: log, upstream: upstream, rules: module, list: roster.New(), mail: map[string]chan rules.Action{},
		finish: make(chan struct{})}
	r.heed(set)
	return r, nil
}

// Finish answers all that is still open, and what comes later: the process is about to end, and what it leaves
// unanswered is lost. It is called once.
func (r *Router) Finish() { close(r.finish) }

// Frame is what a features file sets: an assignment of cells, a document of moves and a release that fit it, a shape of the hierarchy, and a shield of the head
// office. nil: none.
type Frame struct {
	Cells   *cells.Assignment
	Moves   *moves.Document
	Release *stages.Stage
	Shape   *hierarchy.Graph
	Shield  *shield.Document
}

// Put puts a frame in force before it returns. No request sees a part without the others. Its error is that of the release or the shield, which
// is then not in force.
func (r *Router) Put(f Frame) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last = max(r.last, clock.Micros(r.clock.Now()))
	r.rules.Shape(r.last, f.Shape)
	r.rules.Confine(r.last, f.Cells)
	r.rules.Move(r.last, f.Moves)
	return errors.Join(r.rules.Stage(r.last, f.Release), r.rules.Shield(r.last, f.Shield))
}

// Guard tells how the shield of the head office stands; nil without one.
func (r *Router) Guard() *cells.GuardNow {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rules.GuardNow()
}

// Turn lets the time of moves and of a release pass while no request comes, and works out what plan for fills is due, beside the requests.
func (r *Router) Turn() {
	r.mu.Lock()
	r.last = max(r.last, clock.Micros(r.clock.Now()))
	says := r.rules.Turn(r.last)
	plan := r.rules.Wanted()
	r.mu.Unlock()
	if plan != nil {
		plan.Work()
		r.mu.Lock()
		r.rules.Planned(plan)
		r.mu.Unlock()
	}
	for _, a := range says {
		r.log.Info().Str("text", a.Text).Msg("module says")
	}
}

// PlanInTurn leaves plans for many areas to Turn. It is called before requests come, by one who calls Turn now and then.
func (r *Router) PlanInTurn() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rules.Elsewhere = true
}

// Release tells how far the release is, nil without one.
func (r *Router) Release() *cells.StageNow {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rules.StageNow()
}

// Moves tells how far the moves of this depot are, and the version of their document; 0 while there is none.
func (r *Router) Moves() ([]cells.MoveNow, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rules.Paths(clock.Micros(r.clock.Now())), r.rules.Moves()
}

// mostDemand is how many tenants' demand is told of.
const mostDemand = 500

// Cells is a picture of the cells at present, and what tenants asked for of late; nil while nothing is confined.
func (r *Router) Cells() (*cells.Picture, []cells.Demand) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Micros(r.clock.Now())
	return r.rules.Picture(now), r.rules.Demand(now, mostDemand)
}

// Apply takes a notice to the module before it returns; the first whole list is the one restored at the start.
func (r *Router) Apply(n Notice) {
	ev := rules.Event{Kind: rules.Members, Mode: "update"}
	if n.Whole {
		ev.Mode = "replace"
	}
	for _, s := range n.Servers {
		ev.Rows = append(ev.Rows, rules.Row{Node: s.ID, Zone: s.Zone, Kind: s.Kind, Cell: s.Cell, Status: s.Status,
			Weight: s.Weight, CameUp: clock.Micros(s.Started)})
	}
	if n.Purge != nil {
		r.step(rules.Event{Kind: rules.Purged, Object: n.Purge.Object, Group: n.Purge.Group,
			Age: clock.Micros(max(r.clock.Now()-n.Purge.At, 0))})
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	ev.Rows = r.list.Note(n.Whole, ev.Rows)
	r.take(ev)
}

// step takes one event to the module and each action to the mailbox of the request that it names. The timers that
// the module sets are the router's own: they must reach it even when their request is long over.
func (r *Router) step(ev rules.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.take(ev)
}

// take is step for one who holds the lock.
func (r *Router) take(ev rules.Event) {
	r.last = max(r.last, clock.Micros(r.clock.Now()))
	for _, a := range r.decide(ev) {
		switch a.Kind {
		case rules.SetTimer:
			r.clock.AfterFunc(clock.Millis(a.In), func() { r.step(rules.Event{Kind: rules.Timer, Token: a.Token}) })
		case rules.Get, rules.Refuse, rules.Fail, rules.Cancel:
			select {
			case r.mail[a.Call] <- a:
			default: // nobody waits for it, or the mailbox is full: the deadline still answers the request
				r.Counters.Faults.Add(1)
			}
		case rules.Tell:
			if r.Tell != nil {
				r.Tell(a.Node)
			}
		case rules.Log:
			r.log.Info().Str("text", a.Text).Msg("module says")
		}
	}
}

// decide keeps a fault in the module from taking every open request down with it.
func (r *Router) decide(ev rules.Event) (acts []rules.Action) {
	defer func() {
		if p := recover(); p != nil {
			r.Counters.Faults.Add(1)
			r.log.Error().Str("panic", fmt.Sprint(p)).Bytes("stack", debug.Stack()).Msg("decision module failed")
		}
	}()
	return r.rules.Step(r.last, []rules.Event{ev})
}
