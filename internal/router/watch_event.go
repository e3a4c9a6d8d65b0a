package router

import (
	"maps"
	"slices"

	"spantack/core/endpoints"
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

// WithoutSuperseded returns the event with every server removed whose address another server has taken over. It records
// the addresses of the event.
func (e WatchEvent) WithoutSuperseded(addresses *endpoints.Addresses) WatchEvent {
	if e.Purge != nil {
		return e
	}
	listings := make([]endpoints.Listing, 0, len(e.Servers))
	for _, s := range e.Servers {
		listings = append(listings, endpoints.Listing{
			Server:    s.ID,
			Addr:      s.Addr,
			IsRemoved: s.Status == routing.EndpointRemoved,
			StartedAt: clock.Micros(s.StartedAt),
		})
	}
	superseded := addresses.Update(e.IsSnapshot, listings)
	if len(superseded) == 0 {
		return e
	}
	isSuperseded := func(s Server) bool { return superseded[s.ID] }
	result := WatchEvent{IsSnapshot: e.IsSnapshot, Servers: slices.DeleteFunc(slices.Clone(e.Servers), isSuperseded)}
	for _, id := range slices.Sorted(maps.Keys(superseded)) {
		if !e.IsSnapshot { // a snapshot removes the servers that it does not list
			result.Servers = append(result.Servers, Server{ID: id, Status: routing.EndpointRemoved})
		}
	}
	return result
}
