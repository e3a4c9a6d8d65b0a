package emulator

import "math"

// Capacities of links and servers, derived from the load of a calm day.

// originFillRatio is how many of the sites' fills reach the origin on a calm day.
const originFillRatio = 0.35

// fillKBPerSecond is what all sites together fill on a calm day.
func (c *Config) fillKBPerSecond() float64 {
	return c.RequestsPerSecond * meanRequestKB() * c.MissRatio
}

// siteLinkKBPerSecond is the capacity of the link into a site.
func (c *Config) siteLinkKBPerSecond() float64 {
	return max(c.SiteLinkCapacityFactor*c.fillKBPerSecond()/float64(c.Sites), 4*responseKBPerSecond)
}

// remoteHubKBPerSecond is the capacity of the line from a hub into a site that is not near it.
func (c *Config) remoteHubKBPerSecond() float64 {
	return max(c.RemoteHubCapacityFactor*c.fillKBPerSecond()/float64(c.Sites), 2*responseKBPerSecond)
}

// streamsPerParent is how many responses a parent sends at full rate at once.
func (c *Config) streamsPerParent() float64 {
	return math.Ceil(max(c.ParentCapacityFactor*c.fillKBPerSecond()/float64(c.Parents)/responseKBPerSecond, 4))
}

// originKBPerSecond is the capacity of the origin.
func (c *Config) originKBPerSecond() float64 {
	return max(c.OriginCapacityFactor*c.fillKBPerSecond()*originFillRatio, 12*responseKBPerSecond)
}

// originKnee is how many responses the origin sends at once before it slows down.
func (c *Config) originKnee() float64 {
	return 2 * c.originKBPerSecond() / maxFillKBPerSecond
}
