package config

import (
	"fmt"
	"slices"

	"spantack/internal/clock"
	"spantack/internal/discovery"
	"spantack/routing"
)

// defaultIdleTimeoutMicros is the idle timeout of connections if the settings have none: 30 s.
const defaultIdleTimeoutMicros = 30_000_000

// transportSettings are the settings that the decision module does not read: those of connections and of gossip. Times
// are microseconds, as in routing.Settings.
type transportSettings struct {
	Rank        int `json:"Rank"`
	Permissions struct {
		GossipAllowed bool  `json:"MayTell"`
		IdleTimeout   int64 `json:"IdleClose"`
		MaxStreams    int   `json:"MaxStreams"`
	} `json:"Permissions"`
}

// parseSettings parses the settings section: settings of the decision module, of connections and of gossip.
func (c *Config) parseSettings(d *document) error {
	var transport transportSettings
	if err := decodeJSON("settings", d.Settings, &c.Settings); err != nil {
		return err
	}
	if err := decodeJSON("settings", d.Settings, &transport); err != nil {
		return err
	}
	if transport.Permissions.IdleTimeout == 0 {
		transport.Permissions.IdleTimeout = defaultIdleTimeoutMicros
	}
	if err := checkSettings(&c.Settings, &transport); err != nil {
		return err
	}
	c.DialTimeout = clock.Millis(c.Settings.Permissions.DialTimeout)
	c.IdleTimeout = clock.Millis(transport.Permissions.IdleTimeout)
	c.MaxStreams = transport.Permissions.MaxStreams
	c.Fleet.GossipEnabled = transport.Permissions.GossipAllowed
	c.Fleet.Rank = transport.Rank
	c.Names = discovery.Names{Zones: c.Settings.Zones, Kinds: c.Settings.Kinds}
	c.MaxSendDelay = shortestGracePeriod(&c.Settings)
	for _, class := range c.Settings.Classes {
		c.MaxDeadline = max(c.MaxDeadline, clock.Millis(class.Deadline))
	}
	return nil
}

func checkSettings(settings *routing.Settings, transport *transportSettings) error {
	switch {
	case settings.Permissions.DialTimeout <= 0:
		return fieldError("settings.Permissions.DialTimeout", "%d µs, must be above 0", settings.Permissions.DialTimeout)
	case transport.Permissions.IdleTimeout < 0:
		return fieldError("settings.Permissions.IdleClose", "%d µs, must be 0 (default) or above",
			transport.Permissions.IdleTimeout)
	case transport.Permissions.MaxStreams <= 0:
		return fieldError("settings.Permissions.MaxStreams", "%d, must be above 0", transport.Permissions.MaxStreams)
	case len(settings.Zones) == 0:
		return fieldError("settings.Zones", "empty, must have at least one zone")
	}
	for i, class := range settings.Classes {
		sameName := func(other routing.Class) bool { return other.Name == class.Name }
		if slices.ContainsFunc(settings.Classes[:i], sameName) {
			return fieldError(fmt.Sprintf("settings.Classes[%d].Name", i), "%q is already the name of another class", class.Name)
		}
	}
	return nil
}

// shortestGracePeriod returns the shorter of the grace periods of drains and purges, in ms. A period that is not set
// does not count. The result is 0 if neither is set.
func shortestGracePeriod(settings *routing.Settings) float64 {
	shortest := 0.0
	for _, micros := range []int64{settings.Guarantees.DrainGracePeriod, settings.Hierarchy.PurgeGracePeriod} {
		if ms := clock.Millis(micros); micros > 0 && (shortest == 0 || ms < shortest) {
			shortest = ms
		}
	}
	return shortest
}
