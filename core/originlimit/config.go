// Package originlimit bounds how many fills a router may have in flight at the origin, without messages between
// routers and without a request that nobody asked for.
//
// Guarantee: over all routers together never more than Burst times MaxInFlight are in flight, and a reserve of that
// is open to uncacheable requests alone. Within it a control algorithm moves each router's limit by how long its own
// fills take and how many fail.
//
// The package does no I/O and reads no clock: times come in, in milliseconds.
package originlimit

import (
	"errors"
	"fmt"
)

// Config is what all routers have in common.
type Config struct {
	MaxInFlight float64 // fills in flight at the origin, of all routers, at which it answers in BaselineMs: 1 or more
	Routers     int     // that share it, up or not: 1 or more
	Reserve     float64 // part of every router's limit that fills leave to uncacheable requests: 0 or more, under 1
	Burst       float64 // shares that a router may use while the origin answers well, as others may be down: 1 to 100
	BaselineMs  float64 // latency of a fill when the origin is not overloaded
}

// Bounds of a Config, each under its limit or up to its maximum.
const (
	maxInFlightLimit = 1e9
	maxRouters       = 1_000_000
	maxBurst         = 100
	baselineLimitMs  = 1e6
)

// ErrInvalid is wrapped by every error of a Config or Document, after the field and before what is wrong with its
// value.
var ErrInvalid = errors.New("invalid origin limit")

// invalid is the error for a field.
func invalid(field, format string, args ...any) error {
	return fmt.Errorf("%s: %w: %s", field, ErrInvalid, fmt.Sprintf(format, args...))
}

// Validate returns the first fault, as an error that names the field as in a features file and wraps ErrInvalid.
func (c *Config) Validate() error {
	switch {
	case !(c.MaxInFlight >= 1 && c.MaxInFlight < maxInFlightLimit):
		return invalid("most", "%v is not 1 to %v", c.MaxInFlight, maxInFlightLimit)
	case c.Routers < 1 || c.Routers > maxRouters:
		return invalid("routers", "%d is not 1 to %d", c.Routers, maxRouters)
	case !(c.Reserve >= 0 && c.Reserve < 1):
		return invalid("reserve", "%v is not 0 or more and under 1", c.Reserve)
	case !(c.Burst >= 1 && c.Burst <= maxBurst):
		return invalid("burst", "%v is not 1 to %d", c.Burst, maxBurst)
	case !(c.BaselineMs > 0 && c.BaselineMs < baselineLimitMs):
		return invalid("usualMs", "%v is not above 0 and under %v", c.BaselineMs, baselineLimitMs)
	}
	return nil
}
