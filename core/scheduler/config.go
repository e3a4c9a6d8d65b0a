package scheduler

import (
	"errors"
	"fmt"
	"math"
)

// Config is the configuration of a Scheduler. Times are in microseconds.
type Config struct {
	Resources      []Resource
	MaxQueued      int   // maximum number of queued jobs in Submit; jobs queued again may exceed it; 1 or more
	MaxRunning     int   // maximum number of running attempts; 1 or more
	AttemptTimeout int64 // time after which a running attempt counts as failed; must be above 0
	InitialBackoff int64 // delay before the second attempt, then doubled each time, with jitter; must be above 0
	MaxBackoff     int64 // upper bound of backoffs; must be InitialBackoff or more
	AgingInterval  int64 // time in the queue until a job's rank rises by one, so that no job starves; must be above 0
	Tick           int64 // resolution of the timer wheel; 0 means defaultTick; must be 0 or more
}

const (
	// defaultTick is a millisecond, in microseconds.
	defaultTick     = 1000
	microsPerSecond = 1e6
)

// Resource is a resource of which background jobs may use a limited amount per second.
type Resource struct {
	Name          string
	RatePerSecond float64 // 0 or more
	BurstWindow   int64   // microseconds; the burst is the rate times this time; must be above 0
}

// perMicrosecond returns the rate per microsecond.
func (r *Resource) perMicrosecond() float64 { return r.RatePerSecond / microsPerSecond }

// burst returns the maximum amount that may be used at once.
func (r *Resource) burst() float64 { return r.perMicrosecond() * float64(r.BurstWindow) }

// ErrInvalidConfig is wrapped by every error of Validate.
var ErrInvalidConfig = errors.New("invalid scheduler configuration")

// Validate returns an error for the first invalid field, or nil. The error names the field and wraps ErrInvalidConfig.
func (c *Config) Validate() error {
	invalid := func(field, format string, args ...any) error {
		return fmt.Errorf("%s: %w: %s", field, ErrInvalidConfig, fmt.Sprintf(format, args...))
	}
	for i, r := range c.Resources {
		field := fmt.Sprintf("resources[%d]", i)
		switch {
		case r.Name == "":
			return invalid(field+".name", "must not be empty")
		case !(r.RatePerSecond >= 0) || math.IsInf(r.RatePerSecond, 1):
			return invalid(field+".ratePerSecond", "%v is not a finite rate of 0 or more", r.RatePerSecond)
		case r.BurstWindow <= 0:
			return invalid(field+".burstWindow", "%d: must be above 0", r.BurstWindow)
		}
	}
	switch {
	case c.MaxQueued < 1:
		return invalid("maxQueued", "%d is less than 1", c.MaxQueued)
	case c.MaxRunning < 1:
		return invalid("maxRunning", "%d is less than 1", c.MaxRunning)
	case c.AttemptTimeout <= 0:
		return invalid("attemptTimeout", "%d: must be above 0", c.AttemptTimeout)
	case c.InitialBackoff <= 0:
		return invalid("initialBackoff", "%d: must be above 0", c.InitialBackoff)
	case c.MaxBackoff < c.InitialBackoff:
		return invalid("maxBackoff", "%d is less than initialBackoff (%d)", c.MaxBackoff, c.InitialBackoff)
	case c.AgingInterval <= 0:
		return invalid("agingInterval", "%d: must be above 0", c.AgingInterval)
	case c.Tick < 0:
		return invalid("tick", "%d is less than 0", c.Tick)
	}
	return nil
}
