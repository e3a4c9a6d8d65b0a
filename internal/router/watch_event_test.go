package router

import (
	"testing"

	"spantack/core/endpoints"
	"spantack/routing"
)

// Guards against a server that stays on the list after another has taken its address: an update must remove it, and a
// snapshot must not list it. Purges and events without such a server stay as they are.
func TestSupersededServerIsRemoved(t *testing.T) {
	first := Server{ID: "s-1", Addr: "127.0.0.1:1", Status: routing.EndpointHealthy}
	second := Server{ID: "s-2", Addr: "127.0.0.1:1", Status: routing.EndpointHealthy}
	addresses := endpoints.NewAddresses()
	start := WatchEvent{IsSnapshot: true, Servers: []Server{first}}
	if got := start.WithoutSuperseded(addresses); len(got.Servers) != 1 {
		t.Errorf("the first list has %d servers", len(got.Servers))
	}
	update := WatchEvent{Servers: []Server{second}}.WithoutSuperseded(addresses)
	if len(update.Servers) != 2 || update.Servers[1].ID != "s-1" || update.Servers[1].Status != routing.EndpointRemoved {
		t.Errorf("update: %+v, want s-2 and the removal of s-1", update.Servers)
	}
	snapshot := WatchEvent{IsSnapshot: true, Servers: []Server{first, second}}.WithoutSuperseded(addresses)
	if len(snapshot.Servers) != 1 || snapshot.Servers[0].ID != "s-2" {
		t.Errorf("snapshot: %+v, want s-2 alone", snapshot.Servers)
	}
	purge := WatchEvent{Purge: &Purge{Object: "7f3a9c21e0b4d655"}}
	if got := purge.WithoutSuperseded(addresses); got.Purge != purge.Purge {
		t.Errorf("purge: %+v", got)
	}
}
