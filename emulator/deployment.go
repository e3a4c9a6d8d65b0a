package emulator

import "spantack/routing"

// Deployment lists the differences from the default deployment.
type Deployment struct {
	// CachesOnly makes routers send requests only to the edge caches of their site, never to parents or the origin.
	CachesOnly bool `json:"cachesOnly,omitempty"`
	// FetchesSeparately makes parents start a fetch from the origin for each fill. By default, concurrent fills of one
	// chunk share a fetch.
	FetchesSeparately bool `json:"apart,omitempty"`
	// ReportsLinkLoad makes edge caches report the utilization of the link into their site with every response.
	ReportsLinkLoad bool `json:"linkTold,omitempty"`

	// In each of these fields, 0 selects the default.
	OriginDelayMillis      float64 `json:"originWayMs,omitempty"` // one way, between a parent and the origin
	FreshSeconds           float64 `json:"freshS,omitempty"`      // freshness lifetime of the catalogue
	StaleGraceSeconds      float64 `json:"graceS,omitempty"`      // stale grace period of the catalogue
	LatencyObjectiveMillis float64 `json:"promiseMs,omitempty"`   // latency objective of the catalogue
}

// validate returns an error that names the first field that is out of range. A nil deployment is valid.
func (d *Deployment) validate() error {
	if d == nil {
		return nil
	}
	return checkBounds("site.", []bounds{
		{"originWayMs", d.OriginDelayMillis, 0, 1000},
		{"freshS", d.FreshSeconds, 0, 3600},
		{"graceS", d.StaleGraceSeconds, 0, 3600},
		{"promiseMs", d.LatencyObjectiveMillis, 0, 60_000},
	})
}

// applyTo sets the fields of a router's settings that depend on the deployment. A nil deployment changes nothing.
func (d *Deployment) applyTo(settings *routing.Settings) {
	if d == nil {
		return
	}
	settings.Hierarchy.AllowsDirectFetch = !d.CachesOnly
	if d.ReportsLinkLoad {
		settings.LoadReporting = routing.LoadReporting{
			Fields:   []string{"x1"}, // the link's utilization
			Delivery: routing.LoadReportPiggyback,
		}
	}
}

// deployment returns the configured deployment, or the default one.
func (c *Config) deployment() Deployment {
	if c.Deployment == nil {
		return Deployment{}
	}
	return *c.Deployment
}

// configuredOr converts a configured duration, given in unit, to virtual time. It returns defaultValue if value is 0.
func configuredOr(value float64, unit, defaultValue int64) int64 {
	if value == 0 {
		return defaultValue
	}
	return int64(value * float64(unit))
}

// originDelay returns the one-way delay between a hub and the origin.
func (c *Config) originDelay() int64 {
	return configuredOr(c.deployment().OriginDelayMillis, millisecond, defaultOriginDelay)
}

// freshnessLifetime returns the freshness lifetime of catalogue copies.
func (c *Config) freshnessLifetime() int64 {
	return configuredOr(c.deployment().FreshSeconds, second, defaultFreshnessLifetime)
}

// staleGracePeriod returns the stale grace period of catalogue copies.
func (c *Config) staleGracePeriod() int64 {
	return configuredOr(c.deployment().StaleGraceSeconds, second, defaultStaleGracePeriod)
}

// latencyObjectiveMs returns the latency objective of a class in milliseconds, without the addition for the size of a
// response. A response within its objective has its full weight.
func (c *Config) latencyObjectiveMs(class int) float64 {
	if objective := c.deployment().LatencyObjectiveMillis; class == classCatalogue && objective != 0 {
		return objective
	}
	return classModels[class].latencyObjectiveMs
}
