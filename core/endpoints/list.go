// Package endpoints maintains a router's endpoint list as announced by the discovery service. It tracks separately the
// servers that operators have excluded and the servers that the fleet's verdicts have ejected.
//
// If a healthy server is excluded or ejected, package routing receives it with the status draining. Such a server gets
// no new requests and is not used as a source of new fills until its exclusion or ejection ends, whatever the discovery
// service announces in the meantime. Exclusions are passed on to the process that replaces this one (Exclusions,
// ReplaceExclusions). Ejections are not passed on, because each process determines its own.
package endpoints

import (
	"slices"

	"spantack/routing"
)

// List is one router's endpoint list. Its methods that change it return the endpoint updates for package routing. It is
// not safe for concurrent use.
type List struct {
	announced map[string]routing.Endpoint // by server, as last announced, without removed servers
	excluded  map[string]bool             // by server: excluded by operators
	ejected   map[string]bool             // by server: ejected by verdicts of the fleet, listed or not
}

// New returns a list without endpoints, exclusions and ejections.
func New() *List {
	return &List{
		announced: map[string]routing.Endpoint{},
		excluded:  map[string]bool{},
		ejected:   map[string]bool{},
	}
}

// Update applies announced endpoints to the list and returns their effective endpoints, in the same order. If
// isSnapshot is true, the announced endpoints replace the list.
func (l *List) Update(isSnapshot bool, announced []routing.Endpoint) []routing.Endpoint {
	if isSnapshot {
		clear(l.announced)
	}
	effective := make([]routing.Endpoint, 0, len(announced))
	for _, endpoint := range announced {
		if endpoint.Status == routing.EndpointRemoved {
			delete(l.announced, endpoint.Server)
		} else {
			l.announced[endpoint.Server] = endpoint
		}
		effective = append(effective, l.effective(endpoint))
	}
	return effective
}

// effective returns an announced endpoint as package routing receives it. A healthy endpoint that is excluded or
// ejected becomes draining. All other endpoints are unchanged.
func (l *List) effective(endpoint routing.Endpoint) routing.Endpoint {
	isWithheld := l.excluded[endpoint.Server] || l.ejected[endpoint.Server]
	if isWithheld && endpoint.Status == routing.EndpointHealthy {
		endpoint.Status = routing.EndpointDraining
	}
	return endpoint
}

// effectiveMatching returns the effective endpoints of the announced endpoints that match, ordered by server.
func (l *List) effectiveMatching(matches func(routing.Endpoint) bool) []routing.Endpoint {
	var effective []routing.Endpoint
	for _, server := range sortedKeys(l.announced) {
		if endpoint := l.announced[server]; matches(endpoint) {
			effective = append(effective, l.effective(endpoint))
		}
	}
	return effective
}

// Count returns the number of announced endpoints that match, and how many of these are excluded or contained in
// ejected. In ejected the caller passes the servers that its own circuit breakers have ejected. Ejections set by
// SetEjected do not count.
func (l *List) Count(matches func(routing.Endpoint) bool, ejected []string) (listed, unavailable int) {
	for server, endpoint := range l.announced {
		if !matches(endpoint) {
			continue
		}
		listed++
		if l.excluded[server] || slices.Contains(ejected, server) {
			unavailable++
		}
	}
	return listed, unavailable
}
