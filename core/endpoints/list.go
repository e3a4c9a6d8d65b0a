// Package endpoints keeps a router's endpoint list as discovery announces it, and apart from it the servers that
// operators have excluded and those that the fleet's verdicts have ejected.
//
// A server that is excluded or ejected reaches package routing as draining: nothing new goes to it, as a request or
// as the source of a fill, whatever discovery announces meanwhile, until it is reinstated. Exclusions are handed on
// to the process that replaces this one (Exclusions, ReplaceExclusions); ejections are not, as each process finds its
// own.
package endpoints

import (
	"slices"

	"spantack/routing"
)

// List is one router's endpoint list. Its methods return what package routing has to be told. It is not safe for
// concurrent use.
type List struct {
	announced map[string]routing.Endpoint // by server, as last announced; without those that were removed
	excluded  map[string]bool             // by operators
	ejected   map[string]bool             // by verdicts of the fleet, listed or not
}

// New returns an empty list without exclusions.
func New() *List {
	return &List{
		announced: map[string]routing.Endpoint{},
		excluded:  map[string]bool{},
		ejected:   map[string]bool{},
	}
}

// Update takes in a change of the list, or with isSnapshot the complete list, and returns the effective endpoints.
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

// effective is an announced endpoint as package routing is told of it: draining if it is excluded or ejected.
func (l *List) effective(endpoint routing.Endpoint) routing.Endpoint {
	isOut := l.excluded[endpoint.Server] || l.ejected[endpoint.Server]
	if isOut && endpoint.Status == routing.EndpointHealthy {
		endpoint.Status = routing.EndpointDraining
	}
	return endpoint
}

// effectiveWhere returns the effective endpoints of the announced ones that match, in the order of their servers.
func (l *List) effectiveWhere(matches func(routing.Endpoint) bool) []routing.Endpoint {
	var effective []routing.Endpoint
	for _, server := range sortedKeys(l.announced) {
		if endpoint := l.announced[server]; matches(endpoint) {
			effective = append(effective, l.effective(endpoint))
		}
	}
	return effective
}

// Count returns how many announced endpoints match, and how many of these are excluded or among avoided.
func (l *List) Count(matches func(routing.Endpoint) bool, avoided []string) (listed, unavailable int) {
	for server, endpoint := range l.announced {
		if !matches(endpoint) {
			continue
		}
		listed++
		if l.excluded[server] || slices.Contains(avoided, server) {
			unavailable++
		}
	}
	return listed, unavailable
}
