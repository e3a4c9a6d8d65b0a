package emulator

import "math"

// Capacities of links and servers. They are derived from the normal load, the load of a run without faults or floods.

// originFillRatio is the fraction of the sites' fills that reach the origin under normal load.
const originFillRatio = 0.35

// fillKBPerSecond returns the fill rate of all sites together under normal load, in KB/s.
func (c *Config) fillKBPerSecond() float64 {
	return c.RequestsPerSecond * meanRequestKB() * c.MissRatio
}

// siteLinkKBPerSecond returns the capacity of the link into a site in KB/s, at least the rate of four responses.
func (c *Config) siteLinkKBPerSecond() float64 {
	return max(c.SiteLinkCapacityFactor*c.fillKBPerSecond()/float64(c.Sites), 4*responseKBPerSecond)
}

// remoteHubKBPerSecond returns the capacity of the link from a remote hub to a site in KB/s, at least the rate of two
// responses.
func (c *Config) remoteHubKBPerSecond() float64 {
	return max(c.RemoteHubCapacityFactor*c.fillKBPerSecond()/float64(c.Sites), 2*responseKBPerSecond)
}

// streamsPerParent returns the number of responses that a parent can send concurrently at full rate, at least 4.
func (c *Config) streamsPerParent() float64 {
	return math.Ceil(max(c.ParentCapacityFactor*c.fillKBPerSecond()/float64(c.Parents)/responseKBPerSecond, 4))
}

// originKBPerSecond returns the capacity of the origin in KB/s, at least the rate of twelve responses.
func (c *Config) originKBPerSecond() float64 {
	return max(c.OriginCapacityFactor*c.fillKBPerSecond()*originFillRatio, 12*responseKBPerSecond)
}

// originKnee returns the number of concurrent responses above which the origin slows down.
func (c *Config) originKnee() float64 {
	return 2 * c.originKBPerSecond() / maxFillKBPerSecond
}
