package endpoints

import (
	"maps"

	"spantack/routing"
)

// SetEjected replaces the set of servers that the fleet's verdicts have ejected, and returns the effective endpoints
// that change, ordered by server. For a server that is not listed, the ejection takes effect as soon as the server is
// listed.
func (l *List) SetEjected(ids []string) []routing.Endpoint {
	ejected := setOf(ids)
	if maps.Equal(ejected, l.ejected) {
		return nil
	}
	before := l.ejected
	l.ejected = ejected
	return l.effectiveMatching(func(endpoint routing.Endpoint) bool {
		server := endpoint.Server
		hasChanged := before[server] != ejected[server]
		return hasChanged && !l.excluded[server] && endpoint.Status == routing.EndpointHealthy
	})
}
