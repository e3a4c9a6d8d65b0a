package migration

// CapacityModel computes how much the servers of a cell, or the parent caches, can send. Times are in microseconds.
type CapacityModel struct {
	ResponseKBPerSecond float64 // KB/s of one response; a server of weight w sends w responses at once
	InitialCapacity     float64 // fraction of its capacity that a server has when it starts, 0 to 1
	WarmUp              int64   // time until a server has its full capacity; 0: from the start
	OverloadWindow      int64   // time over which a server's load is summed; the warm-up begins after it
}

// Server is an edge cache or a parent cache.
type Server struct {
	Weight    float64
	StartedAt int64 // microseconds; 0: warmed up already
}

// WarmFraction returns the fraction of its full capacity that a server has at now if it started at startedAt. The
// fraction is InitialCapacity until OverloadWindow after the start, because a server's load is summed over that window.
// It then rises to 1 within WarmUp. It is always 1 if startedAt or WarmUp is 0 or less.
func (c *CapacityModel) WarmFraction(now, startedAt int64) float64 {
	age := now - startedAt - c.OverloadWindow
	if startedAt <= 0 || c.WarmUp <= 0 || age >= c.WarmUp {
		return 1
	}
	return c.InitialCapacity + (1-c.InitialCapacity)*float64(max(age, 0))/float64(c.WarmUp)
}

// Capacity returns the total capacity of the servers at now, in KB/s, and that capacity as a fraction of the capacity
// that the same servers have when all are warm. Both are 0 if there are no servers.
func (c *CapacityModel) Capacity(now int64, servers []Server) (kbPerS, warmFraction float64) {
	warmKBPerS := 0.0
	for _, s := range servers {
		kbPerS += c.WarmFraction(now, s.StartedAt) * s.Weight * c.ResponseKBPerSecond
		warmKBPerS += s.Weight * c.ResponseKBPerSecond
	}
	if warmKBPerS == 0 {
		return 0, 0
	}
	return kbPerS, kbPerS / warmKBPerS
}
