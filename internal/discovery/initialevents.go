package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"slices"

	"spantack/internal/router"
	"spantack/routing"
)

// initialEvents is the document `known` in the settings. It holds the events that the discovery service sent before the
// start of this process.
type initialEvents struct {
	LastNumber uint64         `json:"rev"`
	Events     []initialEvent `json:"notices"`
}

// initialEvent is an endpoint list event or a purge.
type initialEvent struct {
	Number  uint64      `json:"rev"`
	Servers *serverList `json:"pool"`  // nil for a purge
	Purge   *purgeEvent `json:"flush"` // nil for an endpoint list event
}

// serverList is a snapshot or an update of the endpoint list.
type serverList struct {
	IsSnapshot bool           `json:"all"`
	Servers    []listedServer `json:"targets"`
}

// listedServer is an entry of the endpoint list.
type listedServer struct {
	ID        string  `json:"uid"`
	Addr      string  `json:"endpoint"`
	Zone      string  `json:"az"`
	Kind      string  `json:"model"`
	Cell      int64   `json:"pod_group"`
	State     string  `json:"state"`
	Weight    float64 `json:"capacity_hint"`
	StartedAt float64 `json:"boot_ms"` // Unix milliseconds
}

// purgeEvent is a purge of an object, or of a group if Object is empty.
type purgeEvent struct {
	Object string  `json:"asset"`
	Group  int64   `json:"collection"`
	Before float64 `json:"ms"` // Unix milliseconds
}

// statusesByState maps the document's states to server statuses.
var statusesByState = map[string]routing.EndpointStatus{
	"Ready":       routing.EndpointHealthy,
	"Terminating": routing.EndpointDraining,
	"Gone":        routing.EndpointRemoved,
}

var (
	errNoPoolOrFlush = errors.New("neither pool nor flush")
	errMissing       = errors.New("missing")
)

// ParseInitialEvents parses the document `known` in the settings and returns its events in order. It also returns the
// number of the last event, after which a Watcher resumes. Its errors name the invalid field by path.
func ParseInitialEvents(text []byte, names Names) (last uint64, events []router.WatchEvent, err error) {
	var document initialEvents
	if err := json.Unmarshal(text, &document); err != nil {
		return 0, nil, err
	}
	last = document.LastNumber
	for i, initial := range document.Events {
		event, err := initial.watchEvent(names)
		if err != nil {
			return 0, nil, fmt.Errorf("notices[%d]%w", i, err)
		}
		events = append(events, event)
		last = max(last, initial.Number)
	}
	return last, events, nil
}

// watchEvent checks the names in an event and converts it. Errors begin with the field's path within the event.
func (e *initialEvent) watchEvent(names Names) (event router.WatchEvent, err error) {
	switch {
	case e.Servers != nil:
		event, err = e.Servers.watchEvent(names)
		if err != nil {
			return event, fmt.Errorf(".pool%w", err)
		}
		return event, nil
	case e.Purge != nil:
		event.Purge = &router.Purge{Object: e.Purge.Object, Group: e.Purge.Group, Before: e.Purge.Before}
		return event, nil
	}
	return event, fmt.Errorf(": %w", errNoPoolOrFlush)
}

// watchEvent checks the names in the list and converts it. Errors begin with the field's path within the list.
func (l *serverList) watchEvent(names Names) (event router.WatchEvent, err error) {
	event.IsSnapshot = l.IsSnapshot
	for i, listed := range l.Servers {
		server, err := listed.server(names)
		if err != nil {
			return event, fmt.Errorf(".targets[%d]%w", i, err)
		}
		event.Servers = append(event.Servers, server)
	}
	return event, nil
}

// server checks an entry and converts it. Errors begin with the field's path within the entry.
func (s *listedServer) server(names Names) (server router.Server, err error) {
	status, isKnown := statusesByState[s.State]
	_, addrErr := netip.ParseAddrPort(s.Addr)
	switch {
	case s.ID == "":
		return server, fmt.Errorf(".uid: %w", errMissing)
	case !isKnown:
		return server, fmt.Errorf(".state: unknown %q", s.State)
	case addrErr != nil:
		return server, fmt.Errorf(".endpoint: %w", addrErr)
	case !slices.Contains(names.Zones, s.Zone):
		return server, fmt.Errorf(".az: unknown %q", s.Zone)
	case !slices.Contains(names.Kinds, s.Kind):
		return server, fmt.Errorf(".model: unknown %q", s.Kind)
	}
	return router.Server{
		ID:        s.ID,
		Addr:      s.Addr,
		Zone:      s.Zone,
		Kind:      s.Kind,
		Cell:      s.Cell,
		Status:    status,
		Weight:    s.Weight,
		StartedAt: s.StartedAt,
	}, nil
}
