package discovery

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"

	"spantack/internal/router"
)

type known struct {
	Rev     uint64
	Notices []struct {
		Rev   uint64
		Pool  *pool
		Flush *flush
	}
}

type pool struct {
	All     bool
	Targets []struct {
		UID          string
		Endpoint     string
		AZ           string
		Model        string
		PodGroup     int64 `json:"pod_group"`
		State        string
		CapacityHint float64 `json:"capacity_hint"`
		BootMs       float64 `json:"boot_ms"`
	}
}

type flush struct {
	Asset      string
	Collection int64
	Ms         float64
}

var states = map[string]string{"Ready": "healthy", "Terminating": "cordoned", "Gone": "deregistered"}

// ParseKnown reads the events of the start and the number of the last one.
func ParseKnown(text []byte, names Names) (last uint64, notices []router.Notice, err error) {
	var k known
	if err := json.Unmarshal(text, &k); err != nil {
		return 0, nil, err
	}
	for i, e := range k.Notices {
		var n router.Notice
		switch {
		case e.Pool != nil:
			if n, err = e.Pool.notice(names); err != nil {
				return 0, nil, fmt.Errorf("notices[%d].pool.%w", i, err)
			}
		case e.Flush != nil:
			n.Purge = &router.Purge{Object: e.Flush.Asset, Group: e.Flush.Collection, At: e.Flush.Ms}
		default:
			return 0, nil, fmt.Errorf("notices[%d]: neither pool nor flush", i)
		}
		notices = append(notices, n)
		last = max(last, e.Rev)
	}
	return max(last, k.Rev), notices, nil
}

func (p *pool) notice(names Names) (n router.Notice, err error) {
	n.Whole = p.All
	for i, t := range p.Targets {
		status, known := states[t.State]
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
			Cell: t.PodGroup, Status: status, Weight: t.CapacityHint, Started: t.BootMs})
	}
	return n, nil
}
