// Package originlimit limits the number of requests that a router may have in flight at the origin. Routers exchange no
// messages for this and send no probe requests.
//
// Guarantee: all routers together never have more than Burst times MaxInFlight requests in flight at the origin. This
// holds because the limit of each router never exceeds Burst times its share. A limit that is not a whole number is
// rounded up or down at random, see Limit.Allows. The fraction Reserve of each router's limit is available only to
// uncacheable requests. Within these bounds a control algorithm adjusts each router's limit to the latencies and
// failures of the router's own fills.
//
// The package does no I/O and reads no clock. Times are in milliseconds.
package originlimit

import (
	"errors"
	"fmt"
)

// Config is the configuration that all routers share.
type Config struct {
	// MaxInFlight is the maximum number of fills in flight, of all routers together, at which the origin responds within
	// BaselineMs: 1 or more, under 1e9.
	MaxInFlight float64
	// Routers is the number of routers that share MaxInFlight, running or not: 1 to 1,000,000.
	Routers int
	// Reserve is the fraction of each router's limit that only uncacheable requests may use: 0 or more, under 1.
	Reserve float64
	// Burst is the maximum limit of a router, in multiples of its share: 1 to 100. A router may exceed its share while
	// fills are not slow, since other routers may be down.
	Burst float64
	// BaselineMs is the latency of a fill when the origin is not overloaded: above 0, under 1e6.
	BaselineMs float64
}

// Upper bounds of a Config. Values must be below inFlightLimit and baselineLimitMs. They may equal maxRouters and
// maxBurst.
const (
	inFlightLimit   = 1e9
	maxRouters      = 1_000_000
	maxBurst        = 100
	baselineLimitMs = 1e6
)

// ErrInvalid is wrapped by every error about a Config or Document. Its text follows the name of the field.
var ErrInvalid = errors.New("invalid origin limit")

// invalid returns an error that names the field and wraps ErrInvalid.
func invalid(field, format string, args ...any) error {
	return fmt.Errorf("%s: %w: %s", field, ErrInvalid, fmt.Sprintf(format, args...))
}

// Validate returns an error for the first invalid field. It wraps ErrInvalid and names the field as in a features file.
func (c *Config) Validate() error {
	switch {
	case !(c.MaxInFlight >= 1 && c.MaxInFlight < inFlightLimit):
		return invalid("most", "%v is not 1 to %v", c.MaxInFlight, inFlightLimit)
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
