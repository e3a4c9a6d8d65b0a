package migration

// CapacityModel is what the servers of a deployment can send. Times are microseconds.
type CapacityModel struct {
	ResponseKBPerSecond float64 // rate of one answer, in KB a second; a server of weight w sends w of them at once
	InitialCapacity     float64 // part of its capacity that a server has at its start, 0 to 1
	WarmUp              int64   // until it has all of it; 0: at once
	OverloadWindow      int64   // over which a server's load is summed
}

// Server is one cache or parent cache.
type Server struct {
	Weight    float64
	StartedAt int64 // microseconds; 0: long ago
}

// WarmFraction is the part of its capacity that a server has at a time. Its age is taken to be less by OverloadWindow,
// since its load is summed over that.
func (c *CapacityModel) WarmFraction(now, startedAt int64) float64 {
	age := now - startedAt - c.OverloadWindow
	if startedAt <= 0 || c.WarmUp <= 0 || age >= c.WarmUp {
		return 1
	}
	return c.InitialCapacity + (1-c.InitialCapacity)*float64(max(age, 0))/float64(c.WarmUp)
}

// Capacity is what the servers can send together at a time, in KB a second, and the part of it that they would have
// if all were warm; 0 and 0 without a server.
func (c *CapacityModel) Capacity(now int64, servers []Server) (kbPerS, warmPart float64) {
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
