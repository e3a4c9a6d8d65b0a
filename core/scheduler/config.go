package scheduler

import (
	"errors"
	"fmt"
	"math"
)

// Config sets a Scheduler up. Times are microseconds.
type Config struct {
	Resources      []Resource
	MaxQueued      int   // jobs in the queue: 1 or more
	MaxRunning     int   // attempts that run at once: 1 or more
	AttemptTimeout int64 // an attempt that has not ended by then has failed: above 0
	InitialBackoff int64 // before the second attempt; twice as much before each further one, with jitter: above 0
	MaxBackoff     int64 // InitialBackoff or more
	AgingInterval  int64 // a job that is queued for so long rises by one rank, so that none starves: above 0
	Tick           int64 // of the timer wheel; 0: defaultTick
}

const (
	// defaultTick is a millisecond.
	defaultTick = 1000
	// microsPerSecond turns rates a second into rates a microsecond.
	microsPerSecond = 1e6
)

// Resource is something of which background jobs may use so much a second.
type Resource struct {
	Name          string
	RatePerSecond float64 // 0 or more
	BurstWindow   int64   // microseconds; what is due in this time may be used at once
}

// perMicrosecond is the rate in amounts a microsecond.
func (r *Resource) perMicrosecond() float64 { return r.RatePerSecond / microsPerSecond }

// burst is the greatest amount that may be used at once.
func (r *Resource) burst() float64 { return r.perMicrosecond() * float64(r.BurstWindow) }

// ErrInvalidConfig is wrapped by every error of Validate.
var ErrInvalidConfig = errors.New("invalid scheduler configuration")

// Validate returns the first fault, as an error that names the field.
func (c *Config) Validate() error {
	invalid := func(field, format string, args ...any) error {
		return fmt.Errorf("%s: %w: %s", field, ErrInvalidConfig, fmt.Sprintf(format, args...))
	}
	for i, r := range c.Resources {
		field := fmt.Sprintf("resources[%d]", i)
		switch {
		case r.Name == "":
			return invalid(field+".name", "missing")
		case !(r.RatePerSecond >= 0) || math.IsInf(r.RatePerSecond, 1):
			return invalid(field+".ratePerS", "%v is not a rate of 0 or more", r.RatePerSecond)
		case r.BurstWindow <= 0:
			return invalid(field+".burstWindow", "%d is not above 0", r.BurstWindow)
		}
	}
	switch {
	case c.MaxQueued < 1:
		return invalid("maxQueued", "%d is under 1", c.MaxQueued)
	case c.MaxRunning < 1:
		return invalid("maxRunning", "%d is under 1", c.MaxRunning)
	case c.AttemptTimeout <= 0:
		return invalid("attemptTimeout", "%d is not above 0", c.AttemptTimeout)
	case c.InitialBackoff <= 0:
		return invalid("initialBackoff", "%d is not above 0", c.InitialBackoff)
	case c.MaxBackoff < c.InitialBackoff:
		return invalid("maxBackoff", "%d is under initialBackoff (%d)", c.MaxBackoff, c.InitialBackoff)
	case c.AgingInterval <= 0:
		return invalid("agingInterval", "%d is not above 0", c.AgingInterval)
	case c.Tick < 0:
		return invalid("tick", "%d is under 0", c.Tick)
	}
	return nil
}
