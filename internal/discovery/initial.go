package discovery

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"

	"spantack/internal/router"
)

// initialEvents is the settings' document `known`.
type initialEvents struct {
	Rev     uint64 `json:"rev"`
	Notices []struct {
		Rev   uint64      `json:"rev"`
		Pool  *serverList `json:"pool"`
		Flush *purgeEvent `json:"flush"`
	} `json:"notices"`
}

// serverList is a snapshot of the list of servers, or a change of it.
type serverList struct {
	All     bool `json:"all"`
	Targets []struct {
		UID          string  `json:"uid"`
		Endpoint     string  `json:"endpoint"`
		AZ           string  `json:"az"`
		Model        string  `json:"model"`
		PodGroup     int64   `json:"pod_group"`
		State        string  `json:"state"`
		CapacityHint float64 `json:"capacity_hint"`
		BootMs       float64 `json:"boot_ms"`
	} `json:"targets"`
}

// purgeEvent names what is purged: an object or a collection.
type purgeEvent struct {
	Asset      string  `json:"asset"`
	Collection int64   `json:"collection"`
	Ms         float64 `json:"ms"`
}

// statusesByState maps the states of the document to the decision module's names of a server's status.
var statusesByState = map[string]string{"Ready": "healthy", "Terminating": "cordoned", "Gone": "deregistered"}

// ParseInitialEvents reads the settings' document `known`, the events from before the start, and returns the number of the last one too.
func ParseInitialEvents(text []byte, names Names) (last uint64, notices []router.WatchEvent, err error) {
	var document initialEvents
	if err := json.Unmarshal(text, &document); err != nil {
		return 0, nil, err
	}
	for i, e := range document.Notices {
		var n router.WatchEvent
		switch {
		case e.Pool != nil:
			if n, err = e.Pool.watchEvent(names); err != nil {
				return 0, nil, fmt.Errorf("notices[%d].pool.%w", i, err)
			}
		case e.Flush != nil:
			n.Purge = &router.Purge{Object: e.Flush.Asset, Group: e.Flush.Collection, Before: e.Flush.Ms}
		default:
			return 0, nil, fmt.Errorf("notices[%d]: neither pool nor flush", i)
		}
		notices = append(notices, n)
		last = max(last, e.Rev)
	}
	return max(last, document.Rev), notices, nil
}

// watchEvent checks the list against the settings' names and converts it.
func (p *serverList) watchEvent(names Names) (n router.WatchEvent, err error) {
	n.IsSnapshot = p.All
	for i, t := range p.Targets {
		status, known := statusesByState[t.State]
		_, addrErr := netip.ParseAddrPort(t.Endpoint)
		switch {
		case t.UID == "":
			return n, fmt.Errorf("targets[%d].uid: missing", i)
		case !known:
			return n, fmt.Errorf("targets[%d].state: unknown %q", i, t.State)
		case addrErr != nil:
			return n, fmt.Errorf("targets[%d].endpoint: %w", i, addrErr)
		case !slices.Contains(names.Zones, t.AZ):
			return n, fmt.Errorf("targets[%d].az: unknown %q", i, t.AZ)
		case !slices.Contains(names.Kinds, t.Model):
			return n, fmt.Errorf("targets[%d].model: unknown %q", i, t.Model)
		}
		n.Servers = append(n.Servers, router.Server{ID: t.UID, Addr: t.Endpoint, Zone: t.AZ, Kind: t.Model,
			Cell: t.PodGroup, Status: status, Weight: t.CapacityHint, StartedAt: t.BootMs})
	}
	return n, nil
}
