package emulator

import "spantack/routing"

// Deployment is how a deployment differs from the first one.
type Deployment struct {
	// CachesOnly makes routers send requests to the edge caches of their site alone, never to parents or the origin.
	CachesOnly bool `json:"cachesOnly,omitempty"`
	// FetchesSeparately makes parents fetch from the origin for each fill, where otherwise fills of one chunk share a
	// fetch.
	FetchesSeparately bool `json:"apart,omitempty"`
	// ReportsLinkLoad makes edge caches report with every answer how full the link into their site is.
	ReportsLinkLoad bool `json:"linkTold,omitempty"`

	// 0 stands for the usual figure in all of these.
	OriginDelayMillis      float64 `json:"originWayMs,omitempty"` // one way, between a parent and the origin
	FreshSeconds           float64 `json:"freshS,omitempty"`      // freshness lifetime of the catalogue
	StaleGraceSeconds      float64 `json:"graceS,omitempty"`      // stale grace period of the catalogue
	LatencyObjectiveMillis float64 `json:"promiseMs,omitempty"`   // of the catalogue
}

// validate returns an error that names the first field out of its bounds. A nil deployment is valid.
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

// applyTo changes a router's settings to what the deployment allows. A nil deployment changes nothing.
func (d *Deployment) applyTo(settings *routing.Settings) {
	if d == nil {
		return
	}
	settings.Hierarchy.AllowsDirectFetch = !d.CachesOnly
	if d.ReportsLinkLoad {
		settings.LoadReporting = routing.LoadReporting{
			Fields:   []string{"x1"}, // the link's use
			Delivery: routing.LoadReportPiggyback,
		}
	}
}

// deployment returns the configured deployment, or one like the first.
func (c *Config) deployment() Deployment {
	if c.Deployment == nil {
		return Deployment{}
	}
	return *c.Deployment
}

// configuredOr returns a configured figure in virtual time, or the usual one where it is 0.
func configuredOr(figure float64, unit, usual int64) int64 {
	if figure == 0 {
		return usual
	}
	return int64(figure * float64(unit))
}

// originDelay is the one-way delay between a hub and the origin.
func (c *Config) originDelay() int64 {
	return configuredOr(c.deployment().OriginDelayMillis, millisecond, defaultOriginDelay)
}

// freshnessLifetime is that of the catalogue.
func (c *Config) freshnessLifetime() int64 {
	return configuredOr(c.deployment().FreshSeconds, second, defaultFreshnessLifetime)
}

// staleGracePeriod is that of the catalogue.
func (c *Config) staleGracePeriod() int64 {
	return configuredOr(c.deployment().StaleGraceSeconds, second, defaultStaleGracePeriod)
}

// latencyObjectiveMs is the time in which an answer of a class has its full weight, in milliseconds, without what its
// size adds.
func (c *Config) latencyObjectiveMs(class int) float64 {
	if objective := c.deployment().LatencyObjectiveMillis; class == classCatalogue && objective != 0 {
		return objective
	}
	return classModels[class].latencyObjectiveMs
}
