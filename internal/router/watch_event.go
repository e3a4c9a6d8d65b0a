package router

import (
	"spantack/internal/clock"
	"spantack/routing"
)

// Server is one entry of the endpoint list.
type Server struct {
	ID        string
	Addr      string // host and port
	Zone      string
	Kind      string // kind of server, one of Settings.Kinds
	Cell      int64
	Status    routing.EndpointStatus
	Weight    float64
	StartedAt float64 // time when the server started, in Unix milliseconds; 0: long ago
}

// Purge invalidates the copies of objects that were made before a given time.
type Purge struct {
	Object string // empty: all objects of Group
	Group  int64
	Before float64 // Unix milliseconds
}

// WatchEvent is a notification of the discovery service: the complete endpoint list, changes of it, or a purge.
type WatchEvent struct {
	IsSnapshot bool     // Servers is the complete list
	Servers    []Server // all entries, or without IsSnapshot those that are new or have changed
	Purge      *Purge   // nil: the event is about the endpoint list
}

// Apply passes an event to the module. The event is in effect when Apply returns.
func (r *Router) Apply(event WatchEvent) {
	if event.Purge != nil {
		r.applyPurge(event.Purge)
		return
	}
	mode := routing.UpdateChanges
	if event.IsSnapshot {
		mode = routing.UpdateReplace
	}
	var listed []routing.Endpoint
	for _, s := range event.Servers {
		listed = append(listed, s.endpoint())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	effective := r.endpoints.Update(event.IsSnapshot, listed)
	r.stepLocked(routing.Event{Kind: routing.EventEndpoints, UpdateMode: mode, Endpoints: effective})
}

func (r *Router) applyPurge(p *Purge) {
	age := max(r.clock.Now()-p.Before, 0)
	r.step(routing.Event{Kind: routing.EventPurge, Object: p.Object, PurgeGroup: p.Group, PurgeAge: clock.Micros(age)})
}

// endpoint converts the entry to the module's type.
func (s *Server) endpoint() routing.Endpoint {
	return routing.Endpoint{
		Server:    s.ID,
		Zone:      s.Zone,
		Kind:      s.Kind,
		Cell:      s.Cell,
		Status:    s.Status,
		Weight:    s.Weight,
		StartedAt: clock.Micros(s.StartedAt),
	}
}
