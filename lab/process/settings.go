package process

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
)

// Classes are the names of the request classes in Settings. Videos are requested in chunks, and their copies do not
// expire. Copies of catalogue objects expire. Reports are uncacheable and have idempotency keys.
var Classes = []string{classVideo, classCatalogue, classReport}

// Names of the request classes.
const (
	classVideo     = "screen-video"
	classCatalogue = "catalogue"
	classReport    = "stock-report"
)

// Names of the zone of parents and the origin, and of the zone of the only site.
const (
	hubZone  = "hub"
	siteZone = "depot-00"
)

// Units and limits of the routers' configuration.
const (
	microsPerMilli = 1000
	memoryLimitMB  = 192
	socketLimit    = 512
	// seedFactor is multiplied by rank + 1 to get the seed of a router.
	seedFactor = 7919
)

// Settings returns the settings of a deployment with one site and the given number of routers, in the platform's
// format. Times are in microseconds. The caller may modify the map.
func Settings(routers int) map[string]any {
	const ms = microsPerMilli
	return map[string]any{
		"Classes": []any{
			classSettings(classVideo, 600, 6000, 2, "read_like"),
			classSettings(classCatalogue, 400, 3000, 1, "read_like"),
			classSettings(classReport, 600, 3000, 3, "idempotency_key"),
		},
		"Discovery": "automatic",
		"Extra": map[string]any{
			"FreshFor":          []int{0, 20_000 * ms, 0},
			"GraceFor":          []int{0, 10_000 * ms, 0},
			"HeedWithin":        300 * ms,
			"MasterKind":        kindOrigin,
			"NotesGiven":        "all",
			"PaceKbPerS":        1000,
			"ParentFloor":       0.1,
			"ParentWarmsIn":     17_000 * ms,
			"PassOn":            []bool{false, false, true},
			"PurgeTakes":        6000 * ms,
			"SeatsByZone":       []int{0, routers},
			"ShieldKind":        kindParent,
			"Straight":          true,
			"UpperFallMultiple": 2,
		},
		"Guarantees": map[string]any{
			"AskWithin":         10_000 * ms,
			"Cold":              11_000 * ms,
			"ColdFrom":          0.3,
			"Fall":              3000 * ms,
			"GraceToAnswer":     8 * ms,
			"StopSendingWithin": 500 * ms,
			"TipMultiple":       3,
		},
		"Kinds": []string{"small-box", "area", "head-office"},
		"Permissions": map[string]any{
			"Cancelling":    true,
			"DialTimeout":   400 * ms,
			"IdleClose":     30_000 * ms,
			"MaxAttempts":   8,
			"MaxRetryAfter": 1000 * ms,
			"MaxStreams":    32,
			"RetryAfter":    true,
		},
		"Siblings":     routers,
		"WeightSource": "nominal",
		"Zone":         siteZone,
		"Zones":        []string{hubZone, siteZone},
	}
}

// classSettings returns the settings of a request class. The latency objective and the deadline are in milliseconds.
func classSettings(name string, objective, deadline int, weight float64, idempotency string) map[string]any {
	return map[string]any{
		"Name":        name,
		"AimStretch":  2,
		"Promise":     objective * microsPerMilli,
		"Deadline":    deadline * microsPerMilli,
		"Gain":        weight,
		"LateWorth":   0.2,
		"Group":       "all",
		"Idempotency": idempotency,
		"MemorySpan":  6000 * microsPerMilli,
	}
}

// routerSettings returns the settings of the router of the given rank, including its rank and site.
func (d *Deployment) routerSettings(rank int) map[string]any {
	settings := Settings(d.options.Routers)
	settings["Rank"] = rank
	sites := d.options.Sites
	if sites <= 1 {
		return settings
	}
	zones := []string{hubZone}
	routersByZone := []int{0}
	for site := range sites {
		zones = append(zones, fmt.Sprintf("depot-%02d", site))
		routersByZone = append(routersByZone, (d.options.Routers-site+sites-1)/sites)
	}
	settings["Zones"] = zones
	settings["Zone"] = zones[1+rank%sites]
	settings["Extra"].(map[string]any)["SeatsByZone"] = routersByZone
	return settings
}

// configPath returns the path of the configuration of the router of the given rank.
func (d *Deployment) configPath(rank int) string {
	return filepath.Join(d.dir, routerName(rank)+".json")
}

// Configure writes the configuration of the router of the given rank in the format that the platform uses. The router
// reads it at its start and on SIGHUP. edit, if not nil, can change the document before it is written.
func (d *Deployment) Configure(rank int, edit func(doc map[string]any)) error {
	doc := map[string]any{
		"seed":     fmt.Sprintf("%016x", seedFactor*(rank+1)),
		"limits":   map[string]any{"memory_mb": memoryLimitMB, "sockets": socketLimit},
		"board":    d.discoveryAddr(),
		"known":    map[string]any{"rev": 0, "notices": []any{}},
		"settings": d.routerSettings(rank),
	}
	if d.Mesh != nil {
		d.configureGossip(rank, doc)
	}
	if edit != nil {
		edit(doc)
	}
	text, err := json.Marshal(doc)
	if err != nil {
		return err
	}
	return os.WriteFile(d.configPath(rank), text, 0o600)
}

// settingsOf returns the settings of a configuration document.
func settingsOf(doc map[string]any) map[string]any { return doc["settings"].(map[string]any) }

// discoveryAddr returns the address at which routers reach the discovery service, or the relay in front of it.
func (d *Deployment) discoveryAddr() string {
	if d.DiscoveryRelay != nil {
		return d.DiscoveryRelay.Addr()
	}
	return d.Discovery.Addr()
}
