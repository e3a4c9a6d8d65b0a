package endpoints

import (
	"maps"

	"spantack/routing"
)

// SetEjected replaces the servers that verdicts of the fleet have ejected, and returns the effective endpoints that
// change. Servers that are not listed are ejected once they are.
func (l *List) SetEjected(ids []string) []routing.Endpoint {
	ejected := setOf(ids)
	if maps.Equal(ejected, l.ejected) {
		return nil
	}
	before := l.ejected
	l.ejected = ejected
	return l.effectiveWhere(func(endpoint routing.Endpoint) bool {
		server := endpoint.Server
		hasChanged := before[server] != ejected[server]
		return hasChanged && !l.excluded[server] && endpoint.Status == routing.EndpointHealthy
	})
}
